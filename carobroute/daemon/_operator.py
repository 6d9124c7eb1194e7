"""Operators' HTTP interface of every process: health, metrics, dump, explain."""

import hmac
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from carobroute.errors import ErrorKind, Fault
from carobroute.requests import OrderRow
from carobroute.telemetry import Telemetry

OPEN_PATHS = frozenset({"/healthz", "/readyz"})
LOOPBACK = frozenset({"127.0.0.1", "::1"})
METRICS_TYPE = "text/plain; version=0.0.4"


class OperatorInterface:
    """Serves operators, apart from callers and with tokens of their own.

    Parameters
    ----------
    telemetry : Telemetry
        Log, decisions, metrics and dump of this process.
    tokens : list of str
        Accepted bearer tokens; without any, only loopback addresses are served.
    ready : callable
        Tells whether the process is ready to serve.
    routes : list of web.RouteDef
        Further routes, such as those for tickets.
    """

    __slots__ = ("_ready", "_refused", "_routes", "_telemetry", "_tokens")

    def __init__(
        self,
        *,
        telemetry: Telemetry,
        tokens: list[str],
        ready: Callable[[], bool],
        routes: list[web.RouteDef],
    ):
        self._telemetry = telemetry
        self._tokens = tokens
        self._ready = ready
        self._routes = routes
        self._refused = telemetry.metrics.counter(
            "operator_refused", "Operator calls refused."
        )

    def application(self) -> web.Application:
        """Return the application that serves operators."""
        application = web.Application(middlewares=[self._authenticate])
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._readiness)
        application.router.add_get("/metrics", self._metrics)
        application.router.add_get("/operator/dump", self._dump)
        application.router.add_get("/operator/explain/{subject}", self._explain)
        application.add_routes(self._routes)
        return application

    @web.middleware
    async def _authenticate(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        if request.path in OPEN_PATHS or self._accepts(request):
            return await handler(request)
        self._refused.inc()
        self._telemetry.log.event(
            "operator_refused", level="warning", path=request.path
        )
        fault = Fault(
            kind=ErrorKind.UNAUTHENTICATED, detail="expected an operator's token"
        )
        return operator_error(fault)

    def _accepts(self, request: web.Request) -> bool:
        if not self._tokens:
            return request.remote in LOOPBACK
        given = request.headers.get("Authorization", "").partition(" ")[2].encode()
        matches = [hmac.compare_digest(given, token.encode()) for token in self._tokens]
        return any(matches)

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readiness(self, request: web.Request) -> web.Response:
        if self._ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._telemetry.metrics.render(),
            headers={"Content-Type": METRICS_TYPE},
        )

    async def _dump(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._telemetry.dump.render(), content_type="application/json"
        )

    async def _explain(self, request: web.Request) -> web.Response:
        subject = request.match_info["subject"]
        found = self._telemetry.decisions.explain(subject)
        return web.Response(
            body=msgspec.json.encode(found), content_type="application/json"
        )


def operator_error(fault: Fault) -> web.Response:
    """Return the answer that tells an operator of `fault`."""
    return web.json_response(
        {"error": msgspec.to_builtins(fault)}, status=fault.answer.status
    )


def order_record(row: OrderRow) -> dict[str, object]:
    """Return what an operator may see of an order: everything but the answer's body."""
    record = msgspec.to_builtins(row)
    record.pop("answer", None)
    record["answer_status"] = row.answer.status if row.answer is not None else None
    return record
