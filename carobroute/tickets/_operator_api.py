"""HTTP routes through which operators read the configuration and file tickets."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, FaultError, fail
from carobroute.membership import Directory
from carobroute.tickets._check import TicketFault, check_ticket
from carobroute.tickets._file import MAX_FILE_BYTES
from carobroute.tickets._keeper import ConfigurationKeeper
from carobroute.tickets._log import TicketLog
from carobroute.tickets._log_reader import READ_LIMIT_ROWS
from carobroute.tickets._messages import Laggard
from carobroute.tickets._schema import Configuration, ObjectInForce, Ticket
from carobroute.utils import Clock

FILING_TIMEOUT_MS = 15_000.0
STATUS_TIMEOUT_MS = 4_000.0
MAX_STATUS_TIMEOUT_MS = 60_000.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ConfigurationView(msgspec.Struct, kw_only=True):
    """Body of an answer with a configuration."""

    number: int
    chain: str
    ready: bool
    explain: str
    objects: dict[str, ObjectInForce]


class TicketPage(msgspec.Struct, kw_only=True):
    """A page of tickets of the log, and the head's number."""

    head: int
    tickets: list[Ticket]


class CheckView(msgspec.Struct, kw_only=True):
    """Faults of a ticket when applied after ticket `number`."""

    number: int
    faults: list[TicketFault]


class StatusView(msgspec.Struct, kw_only=True):
    """Number of processes in which a ticket is in force, and the laggards."""

    number: int
    asked: int
    in_force: int
    everywhere: bool
    laggards: list[Laggard]
    slowest_ms: float
    slowest: str


class FaultView(msgspec.Struct, kw_only=True):
    """Body of an answer with a fault."""

    error: str
    detail: str
    outcome: str


class TicketApi:
    """Handlers of the operators' routes for tickets.

    Parameters
    ----------
    keeper : ConfigurationKeeper
        Keeper of the configuration in force in this process.
    log : TicketLog
        Log of accepted tickets.
    directory : Directory
        Known instances.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_directory", "_keeper", "_log")

    def __init__(
        self,
        *,
        keeper: ConfigurationKeeper,
        log: TicketLog,
        directory: Directory,
        clock: Clock,
    ):
        self._keeper = keeper
        self._log = log
        self._directory = directory
        self._clock = clock

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of configuration and tickets."""
        base = "/operator/tickets"
        return [
            web.get("/operator/configuration", answer_faults(self.configuration)),
            web.get(base, answer_faults(self.tickets)),
            web.post(base, answer_faults(self.file)),
            web.post(f"{base}/check", answer_faults(self.check)),
            web.get(base + r"/{number:\d+}", answer_faults(self.ticket)),
            web.get(base + r"/{number:\d+}/status", answer_faults(self.status)),
        ]

    async def configuration(self, request: web.Request) -> web.Response:
        """Return the configuration in force here, or as it was at ticket `at`.

        With `objects=0` its objects, which can take a megabyte, are left out.
        """
        at = request.query.get("at")
        if at is None:
            found = self._keeper.current
        else:
            found = _value_or_raise(
                await self._log.configuration_at(_parse_number(at, "at"))
            )
        return _json_response(self._view(found, request.query.get("objects") != "0"))

    async def tickets(self, request: web.Request) -> web.Response:
        """Return a page of the tickets above `after`."""
        after = _parse_number(request.query.get("after", "0"), "after")
        limit = _parse_number(request.query.get("limit", str(READ_LIMIT_ROWS)), "limit")
        head = _value_or_raise(await self._log.head_number())
        found = await self._log.read(after, min(max(limit, 1), READ_LIMIT_ROWS))
        return _json_response(TicketPage(head=head, tickets=_value_or_raise(found)))

    async def ticket(self, request: web.Request) -> web.Response:
        """Return one ticket."""
        number = _parse_number(request.match_info["number"], "number")
        return _json_response(_value_or_raise(await self._log.ticket(number)))

    async def check(self, request: web.Request) -> web.Response:
        """Return the faults of the ticket in the body."""
        ticket = await _read_ticket(request)
        current = self._keeper.current
        faults = check_ticket(ticket, current)
        return _json_response(CheckView(number=current.number, faults=faults))

    async def file(self, request: web.Request) -> web.Response:
        """File the ticket in the body and put it in force here."""
        ticket = await _read_ticket(request)
        deadline_ms = self._clock.now_ms() + FILING_TIMEOUT_MS
        accepted = _value_or_raise(await self._log.file(ticket, deadline_ms))
        if not self._keeper.apply_tickets([accepted]):
            # Tickets before it are missing here; the answer does not depend on them.
            await self._keeper.refresh()
        return _json_response(accepted)

    async def status(self, request: web.Request) -> web.Response:
        """Return where a ticket is in force."""
        number = _parse_number(request.match_info["number"], "number")
        timeout_ms = float(
            _parse_number(
                request.query.get("timeout_ms", f"{STATUS_TIMEOUT_MS:.0f}"),
                "timeout_ms",
            )
        )
        found = await self._keeper.status(
            number, min(timeout_ms, MAX_STATUS_TIMEOUT_MS)
        )
        return _json_response(
            StatusView(
                number=number,
                asked=found.in_force + len(found.laggards),
                in_force=found.in_force,
                everywhere=not found.laggards,
                laggards=found.laggards,
                slowest_ms=found.slowest_ms,
                slowest=found.slowest,
            )
        )

    def _view(
        self, configuration: Configuration, with_objects: bool
    ) -> ConfigurationView:
        return ConfigurationView(
            number=configuration.number,
            chain=configuration.chain,
            ready=self._keeper.is_ready,
            explain=self._keeper.explain(),
            objects=configuration.objects if with_objects else {},
        )


def ticket_routes(
    keeper: ConfigurationKeeper,
    log: TicketLog,
    directory: Directory,
    clock: Clock | None = None,
) -> list[web.RouteDef]:
    """Return the operators' routes; the caller has to add authentication."""
    api = TicketApi(keeper=keeper, log=log, directory=directory, clock=clock or Clock())
    return api.routes()


def answer_faults(handler: Handler) -> Handler:
    """Wrap `handler`: a fault is answered with the status of its error kind."""

    async def answer(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except FaultError as error:
            fault = error.fault
            view = FaultView(
                error=fault.kind.value,
                detail=fault.detail,
                outcome=fault.answer.outcome.value,
            )
            return _json_response(view, status=fault.answer.status)

    return answer


async def _read_ticket(request: web.Request) -> Ticket:
    data = bytearray()
    async for chunk in request.content.iter_chunked(64 * 1024):
        data += chunk
        if len(data) > MAX_FILE_BYTES:
            _value_or_raise(
                fail(
                    ErrorKind.TOO_LARGE,
                    f"body has over {MAX_FILE_BYTES} bytes; file it in parts",
                )
            )
    try:
        return msgspec.json.decode(bytes(data), type=Ticket)
    except msgspec.MsgspecError as error:
        return _value_or_raise(fail(ErrorKind.INVALID_TICKET, f"body: {error}"))


def _value_or_raise(result: Result[Any, Fault]) -> Any:
    if isinstance(result, Failure):
        raise FaultError(result.failure())
    assert isinstance(result, Success)
    return result.unwrap()


def _parse_number(text: str, name: str) -> int:
    if not text.isdecimal():
        _value_or_raise(
            fail(
                ErrorKind.BAD_REQUEST,
                f"{name} is {text!r}, expected a whole number",
            )
        )
    return int(text)


def _json_response(view: msgspec.Struct, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(view), status=status, content_type="application/json"
    )
