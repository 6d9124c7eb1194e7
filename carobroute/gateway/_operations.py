"""Operators' interface of a gateway: metrics, state, quarantine of prompt parts."""

from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from carobroute.gateway._prompt_quarantine import PromptQuarantine
from carobroute.telemetry import EventLog, Metrics

METRICS_PATH = "/metrics"
QUARANTINE_PATH = "/quarantine"
# The same path as at entries and local processes, so that the command line reads it.
DUMP_PATH = "/operator/dump"


class OperationsInterface:
    """Handlers of the operators' requests.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    quarantine : PromptQuarantine
        Prompt parts that crash targets.
    events : EventLog
        Log of what operators change.
    describe_state : callable
        Returns the state of the gateway.
    """

    __slots__ = ("_describe_state", "_events", "_metrics", "_quarantine")

    def __init__(
        self,
        *,
        metrics: Metrics,
        quarantine: PromptQuarantine,
        events: EventLog,
        describe_state: Callable[[], dict[str, Any]],
    ):
        self._describe_state = describe_state
        self._metrics = metrics
        self._quarantine = quarantine
        self._events = events

    def application(self) -> web.Application:
        """Return an application with all handlers."""
        application = web.Application()
        application.router.add_get(METRICS_PATH, self._answer_metrics)
        application.router.add_get(DUMP_PATH, self._dump)
        application.router.add_get(QUARANTINE_PATH, self._list_parts)
        path = QUARANTINE_PATH + "/{service}/{part}"
        application.router.add_delete(path, self._lift_part)
        return application

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self._metrics.render())

    async def _dump(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self._describe_state()),
            content_type="application/json",
        )

    async def _list_parts(self, request: web.Request) -> web.Response:
        described = [
            self._quarantine.describe(service, verdict)
            for service, verdicts in self._quarantine.verdicts().items()
            for verdict in verdicts
        ]
        return web.Response(
            body=msgspec.json.encode(described), content_type="application/json"
        )

    async def _lift_part(self, request: web.Request) -> web.Response:
        service, part = request.match_info["service"], request.match_info["part"]
        if not self._quarantine.lift(service, part):
            text = f"part {part!r} of service {service!r} is not in quarantine\n"
            return web.Response(status=404, text=text)
        self._events.event("prompt_part_lifted", service=service, part=part)
        return web.Response(status=204)
