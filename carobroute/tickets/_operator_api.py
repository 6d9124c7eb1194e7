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

FILE_TIMEOUT_MS = 15_000.0
STATUS_TIMEOUT_MS = 4_000.0
MAX_WAIT_MS = 60_000.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ConfigurationView(msgspec.Struct, kw_only=True):
    """A configuration as operators read it."""

    number: int
    chain: str
    ready: bool
    explain: str
    objects: dict[str, ObjectInForce]


class TicketPage(msgspec.Struct, kw_only=True):
    """Some tickets of the log, and the head's number."""

    head: int
    tickets: list[Ticket]


class CheckView(msgspec.Struct, kw_only=True):
    """What is wrong with a ticket, on top of ticket `number`."""

    number: int
    faults: list[TicketFault]


class StatusView(msgspec.Struct, kw_only=True):
    """Where a ticket is in force."""

    number: int
    asked: int
    in_force: int
    everywhere: bool
    laggards: list[Laggard]
    slowest_ms: float
    slowest: str


class FaultView(msgspec.Struct, kw_only=True):
    """A fault as operators read it."""

    error: str
    detail: str
    outcome: str


class TicketApi:
    """Handlers of the operators' routes.

    Parameters
    ----------
    keeper : ConfigurationKeeper
        Configuration in force in this process.
    log : TicketLog
        The accepted tickets.
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
        """Return the routes of this subject."""
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
        """Answer the configuration in force here, or as it was at ticket `at`.

        With `objects=0` its objects are left out, which can be a megabyte.
        """
        at = request.query.get("at")
        if at is None:
            found = self._keeper.current
        else:
            found = _value(await self._log.configuration_at(_number(at, "at")))
        return _json(self._view(found, request.query.get("objects") != "0"))

    async def tickets(self, request: web.Request) -> web.Response:
        """Answer the tickets above `after`."""
        after = _number(request.query.get("after", "0"), "after")
        limit = _number(request.query.get("limit", str(READ_LIMIT_ROWS)), "limit")
        head = _value(await self._log.head_number())
        found = await self._log.read(after, min(max(limit, 1), READ_LIMIT_ROWS))
        return _json(TicketPage(head=head, tickets=_value(found)))

    async def ticket(self, request: web.Request) -> web.Response:
        """Answer one ticket."""
        number = _number(request.match_info["number"], "number")
        return _json(_value(await self._log.ticket(number)))

    async def check(self, request: web.Request) -> web.Response:
        """Answer what is wrong with the ticket in the body."""
        ticket = await _read_ticket(request)
        current = self._keeper.current
        faults = check_ticket(ticket, current)
        return _json(CheckView(number=current.number, faults=faults))

    async def file(self, request: web.Request) -> web.Response:
        """File the ticket in the body and put it in force here."""
        ticket = await _read_ticket(request)
        deadline_ms = self._clock.now_ms() + FILE_TIMEOUT_MS
        accepted = _value(await self._log.file(ticket, deadline_ms))
        if not self._keeper.offer([accepted]):
            # This process lacks tickets before it; the answer does not wait for them.
            await self._keeper.refresh()
        return _json(accepted)

    async def status(self, request: web.Request) -> web.Response:
        """Answer where a ticket is in force."""
        number = _number(request.match_info["number"], "number")
        timeout_ms = float(
            _number(request.query.get("timeout_ms", f"{STATUS_TIMEOUT_MS:.0f}"), "time")
        )
        found = await self._keeper.status(number, min(timeout_ms, MAX_WAIT_MS))
        return _json(
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

    def _view(self, configuration: Configuration, whole: bool) -> ConfigurationView:
        return ConfigurationView(
            number=configuration.number,
            chain=configuration.chain,
            ready=self._keeper.ready,
            explain=self._keeper.explain(),
            objects=configuration.objects if whole else {},
        )


def ticket_routes(
    keeper: ConfigurationKeeper,
    log: TicketLog,
    directory: Directory,
    clock: Clock | None = None,
) -> list[web.RouteDef]:
    """Return the operators' routes; whoever mounts them checks who asks."""
    api = TicketApi(keeper=keeper, log=log, directory=directory, clock=clock or Clock())
    return api.routes()


def answer_faults(handler: Handler) -> Handler:
    """Return `handler` with its faults answered by the table of error kinds."""

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
            return _json(view, status=fault.answer.status)

    return answer


async def _read_ticket(request: web.Request) -> Ticket:
    data = bytearray()
    async for chunk in request.content.iter_chunked(64 * 1024):
        data += chunk
        if len(data) > MAX_FILE_BYTES:
            _value(
                fail(
                    ErrorKind.TOO_LARGE,
                    f"body has over {MAX_FILE_BYTES} bytes; file it in parts",
                )
            )
    try:
        return msgspec.json.decode(bytes(data), type=Ticket)
    except msgspec.MsgspecError as error:
        return _value(fail(ErrorKind.INVALID_TICKET, f"body: {error}"))


def _value(result: Result[Any, Fault]) -> Any:
    if isinstance(result, Failure):
        raise FaultError(result.failure())
    assert isinstance(result, Success)
    return result.unwrap()


def _number(text: str, name: str) -> int:
    if not text.isdecimal():
        _value(
            fail(ErrorKind.BAD_REQUEST, f"{name} is {text!r}, expected a whole number")
        )
    return int(text)


def _json(view: msgspec.Struct, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(view), status=status, content_type="application/json"
    )
