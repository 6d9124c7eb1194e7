"""What a caller asks for, and whether it may."""

import asyncio

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._configuration import RoutingTable, choose_service
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._suspect_requests import request_fingerprint
from carobroute.platform import CallHead
from carobroute.utils import Clock
from carobroute.world import Route, ServiceProfile

MS_PER_S = 1_000
UNREADY_RETRY_MS = 500.0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A request that the configuration in force allows, read to its end.

    Parameters
    ----------
    head : CallHead
        What its headers say.
    route : Route
        Route that it takes.
    service : ServiceProfile
        Service that it goes to.
    configuration : int
        Version of the configuration that allowed it.
    team : str
        Team of the caller; empty for none.
    rank : int
        Rank among calls; 0 comes first.
    keyed : bool
        Whether a key allowed it, which may be revoked before it leaves.
    body : bytes
        Its body.
    fingerprint : str
        Identity of its content.
    expires_ms : float
        Monotonic time at which the caller or the operators give it up.
    """

    head: CallHead
    route: Route
    service: ServiceProfile
    configuration: int
    team: str
    rank: int
    keyed: bool
    body: bytes
    fingerprint: str
    expires_ms: float

    def remaining_ms(self, clock: Clock) -> float:
        """Return the time left for the answer."""
        return self.expires_ms - clock.now_ms()


class _Permit(msgspec.Struct, frozen=True, kw_only=True):
    """A route, and who may take it."""

    route: Route
    keyed: bool = False
    team: str = ""
    priority: int | None = None


class CallReader:
    """Reads a request, and refuses what the configuration does not allow.

    Parameters
    ----------
    context : GatewayContext
        What all exchanges share.
    request : web.Request
        The caller's request.
    head : CallHead
        What its headers say.
    record : CallRecord
        Decisions about it.
    """

    __slots__ = ("_head", "_record", "_request", "_context")

    def __init__(
        self,
        *,
        context: GatewayContext,
        request: web.Request,
        head: CallHead,
        record: CallRecord,
    ):
        self._context = context
        self._request = request
        self._head = head
        self._record = record

    async def read(self) -> Result[Call, Fault]:
        """Return the call, or why it is refused."""
        table = self._context.configuration.table
        if table is None:
            return fail(
                ErrorKind.STORE_UNAVAILABLE,
                "no configuration is known yet",
                retry_after_ms=UNREADY_RETRY_MS,
            )
        permitted = self._permit(table)
        if isinstance(permitted, Failure):
            return permitted
        permit = permitted.unwrap()
        route = permit.route
        service = table.find_service(choose_service(route, self._context.random))
        if service is None:
            detail = f"route {route.name!r} names an unknown service"
            return fail(ErrorKind.NO_TARGET, detail, retry_after_ms=UNREADY_RETRY_MS)
        self._record.service = service.name
        expires_ms = self._expires_ms(route)
        read = await self._read_body(table.bounds.body_bytes, expires_ms)
        if isinstance(read, Failure):
            return read
        body = read.unwrap()
        call = Call(
            head=self._head,
            route=route,
            service=service,
            configuration=table.version,
            team=permit.team,
            rank=route.priority if permit.priority is None else permit.priority,
            keyed=permit.keyed,
            body=body,
            fingerprint=request_fingerprint(
                route.host, self._request.raw_path, permit.team, body
            ),
            expires_ms=expires_ms,
        )
        return self._unless_suspect(call)

    def _permit(self, table: RoutingTable) -> Result[_Permit, Fault]:
        route = table.find_route(_host(self._request), self._request.raw_path)
        if route is None:
            detail = f"no route in configuration {table.version}"
            return fail(ErrorKind.UNKNOWN_SERVICE, detail)
        self._record.route = route.name
        if route.anonymous or not table.needs_keys:
            return Success(_Permit(route=route))
        stale = stale_proof(self._context)
        if stale is not None:
            return Failure(stale)
        caller = table.find_caller(self._head.key)
        if caller is None:
            detail = f"the key is not in configuration {table.version}"
            return fail(ErrorKind.UNAUTHENTICATED, detail)
        self._record.team = caller.team
        return Success(
            _Permit(route=route, keyed=True, team=caller.team, priority=caller.priority)
        )

    def _expires_ms(self, route: Route) -> float:
        patience_ms = self._head.patience_ms
        remaining_ms = route.timeout_ms
        if patience_ms is not None:
            remaining_ms = min(remaining_ms, patience_ms)
        return self._record.received_ms + remaining_ms

    async def _read_body(
        self, most_bytes: int, expires_ms: float
    ) -> Result[bytes, Fault]:
        pieces, size = [], 0
        remaining_ms = max(0.0, expires_ms - self._context.clock.now_ms())
        try:
            async with asyncio.timeout(remaining_ms / MS_PER_S):
                async for piece in self._request.content.iter_any():
                    size += len(piece)
                    if size > most_bytes:
                        detail = f"the body is larger than {most_bytes} bytes"
                        return fail(ErrorKind.TOO_LARGE, detail)
                    pieces.append(piece)
        except TimeoutError:
            return fail(ErrorKind.BAD_REQUEST, "the body did not arrive in time")
        except web.RequestPayloadError as error:
            return fail(ErrorKind.BAD_REQUEST, f"the body cannot be read: {error}")
        return Success(b"".join(pieces))

    def _unless_suspect(self, call: Call) -> Result[Call, Fault]:
        self._context.retries.note_call(call.service.name)
        if not self._context.suspects.is_refused(call.fingerprint):
            return Success(call)
        return fail(
            ErrorKind.NO_TARGET,
            f"request {call.fingerprint} was in flight at crashes of targets",
            retry_after_ms=call.remaining_ms(self._context.clock),
        )


def stale_proof(context: GatewayContext) -> Fault | None:
    """Return why keys are not accepted now, or None if they are."""
    configuration = context.configuration
    if configuration.accepts_keys:
        return None
    return Fault(
        kind=ErrorKind.STORE_UNAVAILABLE,
        detail=(
            f"the configuration was last proved {configuration.proof_age_ms:.0f} ms"
            f" ago, expected below {configuration.proof_limit_ms:.0f} ms"
        ),
        retry_after_ms=UNREADY_RETRY_MS,
    )


def _host(request: web.Request) -> str:
    """Return the host that a request names, without its port."""
    name, colon, port = request.headers.get("Host", "").rpartition(":")
    whole = name if colon and port.isdigit() else f"{name}{colon}{port}"
    return whole.lower()
