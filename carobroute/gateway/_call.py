"""Reading and authorization of a caller's request."""

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from carobroute.domain import Route, ServiceProfile
from carobroute.engines import is_writable
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._configuration import RoutingTable, choose_service
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._suspect_requests import request_fingerprint
from carobroute.platform import CallHeaders
from carobroute.utils import Clock
from carobroute.web import ClientConnection

UNAVAILABLE_RETRY_MS = 500.0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Authorized request, with its complete body.

    Parameters
    ----------
    head : CallHeaders
        Decoded headers.
    route : Route
        Route that matches the request.
    service : ServiceProfile
        Service that the route selects.
    configuration_version : int
        Version of the configuration that authorized the request.
    team : str
        Team of the caller; empty for none.
    priority : int
        Priority among calls; 0 comes first.
    uses_key : bool
        Whether an API key authorized the request; the key may be revoked before the
        call is sent.
    body : bytes
        Request body.
    fingerprint : str
        Hash of the request's content.
    expires_ms : float
        Monotonic time of the deadline that the caller or the route sets.
    """

    head: CallHeaders
    route: Route
    service: ServiceProfile
    configuration_version: int
    team: str
    priority: int
    uses_key: bool
    body: bytes
    fingerprint: str
    expires_ms: float

    def remaining_ms(self, clock: Clock) -> float:
        """Return the time until the deadline."""
        return self.expires_ms - clock.now_ms()


class _Authorization(msgspec.Struct, frozen=True, kw_only=True):
    """Route of a request, with the team that its key belongs to."""

    route: Route
    uses_key: bool = False
    team: str = ""
    priority: int | None = None


class CallReader:
    """Reads a request, and refuses it unless the configuration allows it.

    Parameters
    ----------
    context : GatewayContext
        Shared parts of the gateway.
    request : web.Request
        The caller's request.
    head : CallHeaders
        Decoded headers of the request.
    record : CallRecord
        Log of the decisions about the call.
    """

    __slots__ = ("_head", "_record", "_request", "_context")

    def __init__(
        self,
        *,
        context: GatewayContext,
        request: web.Request,
        head: CallHeaders,
        record: CallRecord,
    ):
        self._context = context
        self._request = request
        self._head = head
        self._record = record

    async def read(self) -> Result[Call, Fault]:
        """Read the body, and return the call or the reason for its refusal."""
        connection = self._request.protocol
        if isinstance(connection, ClientConnection):
            connection.last_call = self._record
        table = self._context.configuration.table
        if table is None:
            return fail(
                ErrorKind.STORE_UNAVAILABLE,
                "the gateway has not read a configuration yet",
                retry_after_ms=UNAVAILABLE_RETRY_MS,
            )
        authorized = self._authorize(table)
        if isinstance(authorized, Failure):
            return authorized
        for name, value in self._request.headers.items():
            if not is_writable(value):
                detail = f"header {name} has bytes that cannot be passed on"
                return fail(ErrorKind.BAD_REQUEST, detail)
        authorization = authorized.unwrap()
        route = authorization.route
        service = table.find_service(choose_service(route, self._context.random))
        if service is None:
            detail = f"route {route.name!r} names an unknown service"
            return fail(
                ErrorKind.NO_TARGET, detail, retry_after_ms=UNAVAILABLE_RETRY_MS
            )
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
            configuration_version=table.version,
            team=authorization.team,
            priority=route.priority
            if authorization.priority is None
            else authorization.priority,
            uses_key=authorization.uses_key,
            body=body,
            fingerprint=request_fingerprint(
                route.host, self._request.raw_path, authorization.team, body
            ),
            expires_ms=expires_ms,
        )
        return self._admit(call)

    def _authorize(self, table: RoutingTable) -> Result[_Authorization, Fault]:
        route = table.find_route(_requested_host(self._request), self._request.raw_path)
        if route is None and not self._request.raw_path.startswith("/"):
            detail = "the request line has no path, expected one that begins with /"
            return fail(ErrorKind.BAD_REQUEST, detail)
        if route is None:
            detail = f"no route matches in configuration {table.version}"
            return fail(ErrorKind.UNKNOWN_SERVICE, detail)
        self._record.route = route.name
        if route.allows_anonymous or not table.needs_keys:
            return Success(_Authorization(route=route))
        stale = stale_proof_fault(self._context)
        if stale is not None:
            return Failure(stale)
        caller = table.find_caller(self._head.key)
        if caller is None:
            detail = f"the API key is not in configuration {table.version}"
            return fail(ErrorKind.UNAUTHENTICATED, detail)
        self._record.team = caller.team
        return Success(
            _Authorization(
                route=route, uses_key=True, team=caller.team, priority=caller.priority
            )
        )

    def _expires_ms(self, route: Route) -> float:
        time_left_ms = self._head.time_left_ms
        remaining_ms = route.timeout_ms
        if time_left_ms is not None:
            remaining_ms = min(remaining_ms, time_left_ms)
        return self._record.received_ms + remaining_ms

    async def _read_body(
        self, max_body_bytes: int, expires_ms: float
    ) -> Result[bytes, Fault]:
        chunks, size = [], 0
        shutdown = self._context.shutdown
        try:
            async with shutdown.timeout(lambda: shutdown.deadline_ms(expires_ms)):
                async for chunk in self._request.content.iter_any():
                    size += len(chunk)
                    if size > max_body_bytes:
                        detail = f"the body is larger than {max_body_bytes} bytes"
                        return fail(ErrorKind.TOO_LARGE, detail)
                    chunks.append(chunk)
        except TimeoutError:
            if shutdown.cuts(expires_ms):
                return Failure(stopping_fault(self._context))
            return fail(
                ErrorKind.DEADLINE, "the body did not arrive before the deadline"
            )
        except web.RequestPayloadError as error:
            return fail(ErrorKind.BAD_REQUEST, f"the body cannot be read: {error}")
        return Success(b"".join(chunks))

    def _admit(self, call: Call) -> Result[Call, Fault]:
        """Count a call for the retry budget, and return it or the fault of a suspect.

        A suspect is a request that was in flight at `crash_limit` target crashes.
        """
        self._context.retry_budget.note_call(call.service.name)
        if not self._context.suspects.is_refused(call.fingerprint):
            return Success(call)
        return fail(
            ErrorKind.NO_TARGET,
            f"request {call.fingerprint} was in flight when targets crashed",
            retry_after_ms=call.remaining_ms(self._context.clock),
        )


def stale_proof_fault(context: GatewayContext) -> Fault | None:
    """Return the reason that API keys are not accepted now, or None if they are."""
    configuration = context.configuration
    if configuration.accepts_keys:
        return None
    return Fault(
        kind=ErrorKind.STORE_UNAVAILABLE,
        detail=(
            f"the configuration was last proved {configuration.proof_age_ms:.0f} ms"
            f" ago, expected below {configuration.max_proof_age_ms:.0f} ms"
        ),
        retry_after_ms=UNAVAILABLE_RETRY_MS,
    )


def stopping_fault(context: GatewayContext) -> Fault:
    """Return the reason that a stopping gateway does not send a call."""
    left_ms = context.shutdown.calls_end_ms - context.clock.now_ms()
    return Fault(
        kind=ErrorKind.SHUTTING_DOWN,
        detail=f"the gateway stops in {left_ms:.0f} ms; the call may take longer",
        retry_after_ms=context.parameters.stop_retry_ms,
    )


def _requested_host(request: web.Request) -> str:
    """Return the host name of a request, in lower case and without a port."""
    name, colon, port = request.headers.get("Host", "").rpartition(":")
    host = name if colon and port.isdigit() else f"{name}{colon}{port}"
    return host.lower()
