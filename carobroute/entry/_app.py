"""Callers' HTTP interface of an entry."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from returns.result import Failure, Result

from carobroute.domain import ServiceKind
from carobroute.entry._call import Call
from carobroute.entry._parse import CallParser
from carobroute.entry._run import CallRun
from carobroute.entry._services import RelayServices
from carobroute.entry._writer import REQUEST_ID_HEADER, CallerWriter, error_response
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.requests import Admission
from carobroute.telemetry import EventLog, Metrics
from carobroute.tickets import Configuration, TeamObject
from carobroute.utils import Clock

Parse = Callable[..., Result[Call, Fault]]
MS_PER_S = 1_000
# Delay after which callers that a stopping entry refuses may come back.
STOP_RETRY_MS = 50.0


class CallerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what callers send.

    Parameters
    ----------
    max_body_bytes : int
        Largest request body.
    body_timeout_ms, write_timeout_ms : float
        Longest time to send a request, and to accept a piece of the answer.
    max_in_flight : int
        Requests served at a time.
    """

    max_body_bytes: int
    body_timeout_ms: float
    write_timeout_ms: float
    max_in_flight: int


class ModelEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One model in the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "carobroute"


class ModelList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `GET /v1/models`."""

    data: list[ModelEntry]
    object: str = "list"


class CallerInterface:
    """Serves callers: OpenAI-shaped model calls and plain services' calls.

    Parameters
    ----------
    parameters : CallerParameters
        Bounds.
    parser : CallParser
        Reads requests.
    admission : Admission
        Teams' limits.
    services : RelayServices
        What calls use.
    configuration : callable
        Returns the configuration in force.
    clock : Clock
        Source of time.
    events : EventLog
        Where events are logged.
    metrics : Metrics
        Where calls are counted.
    """

    __slots__ = (
        "_admission",
        "_clock",
        "_configuration",
        "_events",
        "_failures",
        "_gaps",
        "_in_flight",
        "_latency",
        "_parameters",
        "_parser",
        "_services",
        "_requests",
        "_calls_end_ms",
    )

    def __init__(
        self,
        *,
        parameters: CallerParameters,
        parser: CallParser,
        admission: Admission,
        services: RelayServices,
        configuration: Callable[[], Configuration],
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ):
        self._parameters = parameters
        self._parser = parser
        self._admission = admission
        self._services = services
        self._configuration = configuration
        self._clock = clock
        self._events = events
        self._in_flight = 0
        self._requests = metrics.counter(
            "requests", "Calls answered.", ["service", "team", "answer"]
        )
        self._latency = metrics.histogram(
            "first_byte_ms", "Time to the first byte of an answer.", ["service"]
        )
        self._gaps = metrics.histogram(
            "between_writes_ms",
            "Time between two writes of an answer, for one in 16.",
            ["service"],
        )
        self._failures = metrics.counter(
            "failures", "Calls that ended with a fault.", ["service", "kind"]
        )
        self._calls_end_ms = float("inf")

    @property
    def stopping(self) -> bool:
        """Whether the process has been asked to stop."""
        return self._calls_end_ms < float("inf")

    def begin_stop(self, calls_end_ms: float) -> None:
        """Take only calls that can end until a monotonic time, in milliseconds."""
        self._calls_end_ms = calls_end_ms

    @property
    def in_flight(self) -> int:
        """Calls being served."""
        return self._in_flight

    def application(self) -> web.Application:
        """Return the application that serves callers."""
        application = web.Application(
            client_max_size=self._parameters.max_body_bytes,
            middlewares=[self._answer_errors],
        )
        application.router.add_post("/v1/chat/completions", self._serve_model)
        application.router.add_post("/v1/completions", self._serve_model)
        application.router.add_get("/v1/models", self._list_models)
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._ready)
        application.router.add_route("*", "/{service}/{path:.*}", self._serve_plain)
        return application

    @web.middleware
    async def _answer_errors(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Give every refusal the same shape, those of the HTTP library too."""
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            kind, detail = (
                ErrorKind.TOO_LARGE,
                (f"the body is larger than {self._parameters.max_body_bytes} bytes"),
            )
        except web.HTTPException as error:
            if error.status >= 500:
                raise
            kind, detail = ErrorKind.BAD_REQUEST, error.reason
            if error.status in (404, 405):
                kind = ErrorKind.UNKNOWN_SERVICE
        fault = Fault(kind=kind, detail=detail)
        return error_response(fault, self._parser.new_request_id())

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        if self.stopping:
            return web.Response(status=503, text="stopping\n")
        return web.Response(text="ready\n")

    async def _list_models(self, request: web.Request) -> web.StreamResponse:
        configuration = self._configuration()
        authenticated = self._parser.authenticate(request, configuration)
        if isinstance(authenticated, Failure):
            fault = authenticated.failure()
            return error_response(fault, self._parser.new_request_id())
        models = [
            ModelEntry(id=model)
            for service in configuration.services()
            if service.kind is ServiceKind.MODEL
            for model in service.models
        ]
        body = msgspec.json.encode(ModelList(data=models))
        return web.Response(body=body, content_type="application/json")

    async def _serve_model(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._parser.parse_model_call)

    async def _serve_plain(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._parser.parse_plain_call)

    async def _serve(self, request: web.Request, parse: Parse) -> web.StreamResponse:
        request_id = self._parser.new_request_id()
        configuration = self._configuration()
        authenticated = self._parser.authenticate(request, configuration)
        if isinstance(authenticated, Failure):
            return self._refuse(authenticated.failure(), request_id)
        team = authenticated.unwrap()
        if self._in_flight >= self._parameters.max_in_flight:
            fault = Fault(
                kind=ErrorKind.OVERLOADED,
                detail=f"{self._in_flight} calls are in flight at this entry",
                retry_after_ms=MS_PER_S,
            )
            return self._refuse(fault, request_id, team=team.name)
        self._in_flight += 1
        try:
            read = await self._read_body(request)
            parsed = read.bind(
                lambda body: parse(
                    request,
                    body,
                    request_id=request_id,
                    team=team,
                    configuration=configuration,
                )
            )
            if isinstance(parsed, Failure):
                return self._refuse(parsed.failure(), request_id, team=team.name)
            call = parsed.unwrap()
            if self._would_be_cut(call):
                detail = "the entry stops; the call may take longer"
                fault = Fault(
                    kind=ErrorKind.SHUTTING_DOWN,
                    detail=detail,
                    retry_after_ms=STOP_RETRY_MS,
                )
                return self._refuse(fault, request_id, team=team.name)
            return await self._admit(request, call, team)
        finally:
            self._in_flight -= 1

    def _would_be_cut(self, call: Call) -> bool:
        """Whether the stop ends a call at once, or may end one that runs only once."""
        if self._clock.now_ms() >= self._calls_end_ms:
            return True
        return not call.is_repeatable and call.deadline_ms > self._calls_end_ms

    async def _read_body(self, request: web.Request) -> Result[bytes, Fault]:
        try:
            async with asyncio.timeout(self._parameters.body_timeout_ms / MS_PER_S):
                body = await request.read()
        except TimeoutError:
            return fail(
                ErrorKind.BAD_REQUEST,
                "the body did not arrive within"
                f" {self._parameters.body_timeout_ms:.0f} ms",
            )
        return Result.from_value(body)

    async def _admit(
        self, request: web.Request, call: Call, team: TeamObject
    ) -> web.StreamResponse:
        admitted = self._admission.admit(team.name)
        if isinstance(admitted, Failure):
            fault = admitted.failure()
            return self._refuse(
                fault, call.request_id, team=team.name, service=call.service
            )
        return await self._relay_call(request, call)

    async def _relay_call(self, request: web.Request, call: Call) -> web.StreamResponse:
        writer = CallerWriter(
            request=request,
            request_id=call.request_id,
            write_ms=self._parameters.write_timeout_ms,
            closing=lambda: self.stopping,
            on_gap=self._gaps.labels(call.service).observe,
        )
        self._events.event(
            "call_received",
            level="debug",
            request=call.request_id,
            team=call.team,
            service=call.service,
        )
        run = CallRun(services=self._services, call=call, writer=writer)
        response = await run.answer()
        self._requests.labels(call.service, call.team, str(response.status)).inc()
        if run.fault is not None:
            self._failures.labels(call.service, run.fault.kind.value).inc()
        if writer.first_byte_ms:
            took_ms = writer.first_byte_ms - call.received_ms
            self._latency.labels(call.service).observe(took_ms)
        return response

    def _refuse(
        self, fault: Fault, request_id: str, *, team: str = "", service: str = ""
    ) -> web.Response:
        self._requests.labels(service, team, str(fault.answer.status)).inc()
        self._failures.labels(service, fault.kind.value).inc()
        self._events.event(
            "call_refused",
            request=request_id,
            team=team,
            service=service,
            kind=fault.kind.value,
        )
        response = error_response(fault, request_id)
        response.headers[REQUEST_ID_HEADER] = request_id
        return response
