"""What an entry and a local process have in common."""

import asyncio
import contextlib
import logging
import random
import signal
import ssl
import sys
from collections.abc import AsyncIterator
from typing import Any

from aiohttp import web
from returns.result import Failure

from carobroute.daemon._operator import OperatorInterface
from carobroute.domain import Instance
from carobroute.links import (
    Endpoint,
    KeyRing,
    LinkParameters,
    LinkSecurity,
    load_link_security,
)
from carobroute.membership import Directory, ListPoller, Overlay
from carobroute.requests import BlameBroadcaster, Quarantine
from carobroute.settings import Settings, read_secret
from carobroute.tables import PlatformClients, platform_adapters
from carobroute.telemetry import LibraryLogHandler, LineBuffer, Telemetry
from carobroute.tickets import (
    Configuration,
    ConfigurationKeeper,
    TicketLog,
    ticket_routes,
)
from carobroute.utils import Clock, TaskSet, new_incarnation
from carobroute.web import WebSite

CONFIGURATION_WAIT_MS = 10_000.0
MS_PER_S = 1_000
# Time before the kill at which the last calls are ended, and its largest part of the
# time from the stop signal to the kill.
STOP_MARGIN_MS = 2_000.0
STOP_MARGIN_RATIO = 0.2
# Parts of that time for the answers to these calls, and until all else is closed.
ANSWERS_RATIO = 0.5
CLOSE_RATIO = 0.8
# Part of the rest that a slow reader of the log may take, and the longest such time.
LOG_RATIO = 0.5
MAX_LOG_WAIT_MS = 500.0
NEVER_MS = float("inf")


class Process:
    """Links, configuration, membership and operators' interface of one process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, *, settings: Settings):
        self.settings = settings
        self.clock = Clock()
        instance = settings.instance
        self.incarnation = new_incarnation(instance.name)
        self.random = random.Random(self.incarnation)
        # Neither the log nor the line that tells readiness waits for its reader.
        self._line_buffer = LineBuffer(descriptor=sys.stderr.fileno())
        self._ready_buffer = LineBuffer(descriptor=sys.stdout.fileno())
        self.telemetry = Telemetry(
            name=instance.name,
            incarnation=self.incarnation,
            settings=settings.log,
            clock=self.clock,
            stream=self._line_buffer.as_stream(),
        )
        self.tasks = TaskSet(on_failure=self._task_failed)
        self.endpoint = Endpoint(
            name=instance.name,
            role=instance.role.value,
            data_centre=instance.data_centre,
            incarnation=self.incarnation,
            clock=self.clock,
            parameters=self._link_parameters(),
            ticket_number=lambda: self.keeper.current.number,
            security=self._load_security(),
            on_event=self.telemetry.log.event,
        )
        self.platform = self._make_platform()
        self.log = TicketLog(
            table=self.platform.table,
            clock=self.clock,
            on_event=self.telemetry.decisions.record,
        )
        self.ready = False
        self.stopping = False
        # Monotonic times of a stop: when the last calls are ended, and the kill.
        self.calls_end_ms = NEVER_MS
        self.kill_ms = NEVER_MS
        self.instance: Instance
        self.directory: Directory
        self.poller: ListPoller
        self.keeper: ConfigurationKeeper
        self.overlay: Overlay
        self.quarantine = Quarantine(clock=self.clock)
        self.blames: BlameBroadcaster
        self._operator_site: WebSite | None = None
        self._stop_asked = asyncio.Event()
        self._started = contextlib.AsyncExitStack()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then end without cutting anything."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ask_to_stop)
        self._line_buffer.start(loop)
        self._ready_buffer.start(loop)
        logging.getLogger().addHandler(LibraryLogHandler(events=self.telemetry.log))
        try:
            await self._start()
            await self._stop_asked.wait()
            # A second signal finds the same handler and does not cut either.
            self.stopping = True
            self.telemetry.log.event("process_stopping", in_flight=self.in_flight)
            async with self._limit_stop():
                await self.finish()
        finally:
            async with self._limit_stop():
                await self._stop()
            left_ms = LOG_RATIO * (self.kill_ms - self.clock.now_ms())
            self._line_buffer.close(min(MAX_LOG_WAIT_MS, left_ms))
            self._ready_buffer.close()

    @property
    def answers_end_ms(self) -> float:
        """Monotonic time by which the last calls that are ended have their answers."""
        return self.calls_end_ms + ANSWERS_RATIO * (self.kill_ms - self.calls_end_ms)

    def _ask_to_stop(self) -> None:
        if self._stop_asked.is_set():
            return
        stop_ms = self.settings.instance.stop_timeout_ms
        self.kill_ms = self.clock.now_ms() + stop_ms
        margin_ms = min(STOP_MARGIN_MS, STOP_MARGIN_RATIO * stop_ms)
        self.calls_end_ms = self.kill_ms - margin_ms
        self._line_buffer.hasten()
        self._stop_asked.set()

    @contextlib.asynccontextmanager
    async def _limit_stop(self) -> AsyncIterator[None]:
        """Give up what has not ended shortly before the kill; not without a signal."""
        end_s = None
        if self._stop_asked.is_set():
            margin_ms = self.kill_ms - self.calls_end_ms
            left_ms = self.calls_end_ms + CLOSE_RATIO * margin_ms - self.clock.now_ms()
            end_s = asyncio.get_running_loop().time() + max(0.0, left_ms) / MS_PER_S
        try:
            async with asyncio.timeout_at(end_s):
                yield
        except TimeoutError:
            if end_s is None:
                raise
            self.telemetry.log.event("stop_incomplete", level="warning")

    @property
    def in_flight(self) -> int:
        """Calls in hand."""
        return 0

    async def begin(self) -> None:
        """Start the role's own parts, before the process is announced."""
        raise NotImplementedError

    async def finish(self) -> None:
        """End the role's own parts without cutting what is in flight."""
        raise NotImplementedError

    def own_instance(self, address: str) -> Instance:
        """Return the entry of this process for the instance list."""
        raise NotImplementedError

    def ticket_routes(self) -> list[web.RouteDef]:
        """Return the operators' routes for tickets."""
        return ticket_routes(self.keeper, self.log, self.directory)

    def operator_routes(self) -> list[web.RouteDef]:
        """Return the operators' routes of this role."""
        return self.ticket_routes()

    async def _start(self) -> None:
        # What was started is stopped in reverse, however far the start has come.
        self._started.push_async_callback(self.platform.close)
        self._started.push_async_callback(self.endpoint.stop)
        bound = await self.endpoint.start(self.settings.links.bind)
        address = self.settings.links.announce or bound
        self.instance = self.own_instance(address)
        self.directory = Directory(
            clock=self.clock, own=self.instance, on_event=self.telemetry.log.event
        )
        self.overlay = Overlay(
            directory=self.directory,
            endpoint=self.endpoint,
            clock=self.clock,
            random=self.random,
            on_event=self.telemetry.log.event,
        )
        self.keeper = ConfigurationKeeper(
            log=self.log,
            endpoint=self.endpoint,
            directory=self.directory,
            clock=self.clock,
            random=self.random,
            name=self.settings.instance.name,
            overlay=self.overlay,
            on_event=self.telemetry.decisions.record,
        )
        self.blames = BlameBroadcaster(
            quarantine=self.quarantine,
            endpoint=self.endpoint,
            neighbours=lambda: self.overlay.neighbours,
        )
        self.poller = ListPoller(
            instances=self.platform.instances,
            directory=self.directory,
            clock=self.clock,
            random=self.random,
            on_event=self.telemetry.log.event,
        )
        self.keeper.on_change(self._follow_key_ring)
        self._register_dump()
        await self._start_operator_site()
        self._started.push_async_callback(self.poller.stop, withdraw=False)
        await self.poller.start()
        self.blames.start()
        self._started.push_async_callback(self.overlay.stop)
        await self.overlay.start()
        self._started.push_async_callback(self.keeper.stop)
        await self.keeper.start()
        await self._wait_configured()
        await self.begin()
        self.ready = True
        self.telemetry.log.event(
            "process_ready", ticket=self.keeper.current.number, link=address
        )
        self._ready_buffer.write(self.ready_line() + "\n")
        self._ready_buffer.hasten()

    async def _wait_configured(self) -> None:
        """Wait for the head of the tickets, however long the store is away."""
        while not self._stop_asked.is_set():
            found = await self.keeper.wait_ready(CONFIGURATION_WAIT_MS)
            if not isinstance(found, Failure):
                return
            self.telemetry.log.event(
                "waiting_for_configuration",
                level="warning",
                reason=str(found.failure()),
            )

    def ready_line(self) -> str:
        """Return the line that tells where the process listens."""
        return (
            f"READY address={self.operator_address} operator={self.operator_address}"
            f" link={self.endpoint.address}"
        )

    async def _start_operator_site(self) -> None:
        tokens: list[str] = []
        if self.settings.operator.token_file:
            tokens = read_secret(self.settings.operator.token_file).unwrap()
        interface = OperatorInterface(
            telemetry=self.telemetry,
            tokens=tokens,
            ready=lambda: self.ready and not self.stopping,
            routes=self.operator_routes(),
        )
        self._operator_site = WebSite(
            application=interface.application(), bind=self.settings.operator.http_bind
        )
        self._started.push_async_callback(self._operator_site.stop)
        self.operator_address = await self._operator_site.start()

    async def _stop(self) -> None:
        await self.tasks.close()
        await self._started.aclose()

    def _register_dump(self) -> None:
        dump = self.telemetry.dump
        dump.register("process", self._dump_process)
        dump.register("peers", self._dump_peers)
        dump.register("link_counts", lambda: dict(self.endpoint.counts))
        dump.register("link_keys", self._dump_link_keys)
        dump.register("configuration", self._dump_configuration)
        dump.register("directory", self._dump_directory)
        dump.register("suspects", self.quarantine.dump)

    def _dump_process(self) -> dict[str, object]:
        instance = self.settings.instance
        return {
            "name": instance.name,
            "role": instance.role.value,
            "data_centre": instance.data_centre,
            "region": instance.region,
            "incarnation": self.incarnation,
            "ready": self.ready,
            "stopping": self.stopping,
            "in_flight": self.in_flight,
            "ticket": self.keeper.current.number,
        }

    def _dump_peers(self) -> list[dict[str, object]]:
        return [
            {
                "name": str(peer),
                "incarnation": peer.incarnation,
                "address": peer.address,
                "up": peer.up,
                "silent_ms": round(peer.silent_ms),
                "reopened": peer.reopened,
                "queued": peer.queued,
                "ticket": peer.ticket_number,
            }
            for peer in self.endpoint.peers
        ]

    def _dump_configuration(self) -> dict[str, object]:
        current = self.keeper.current
        return {
            "number": current.number,
            "objects": {key: entry.number for key, entry in current.objects.items()},
        }

    def _dump_directory(self) -> list[dict[str, object]]:
        return [
            {
                "name": entry.name,
                "incarnation": entry.incarnation,
                "role": entry.role.value,
                "target": entry.target,
                "state": entry.state.value,
                "address": entry.address,
            }
            for entry in self.directory.instances()
        ]

    def _dump_link_keys(self) -> dict[str, object]:
        security = self.endpoint.security
        if security is None:
            return {"on": False}
        return {"on": True, "ring": security.ring, "counts": dict(security.counts)}

    def _load_security(self) -> LinkSecurity | None:
        curve = self.settings.links.curve
        if curve is None:
            return None
        loaded = load_link_security(curve, on_event=self.telemetry.log.event)
        if isinstance(loaded, Failure):
            raise SystemExit(str(loaded.failure()))
        return loaded.unwrap()

    def _follow_key_ring(self, configuration: Configuration) -> None:
        ring = configuration.key_ring()
        if ring is not None:
            self._reload_keys()
            self.endpoint.use_key_ring(
                KeyRing(accepted=ring.accepted, servers=ring.servers)
            )

    def _reload_keys(self) -> None:
        """Read the key files again, which may have got the keys of the new ring."""
        curve, security = self.settings.links.curve, self.endpoint.security
        if curve is None or security is None:
            return
        loaded = load_link_security(curve)
        if isinstance(loaded, Failure):
            self.telemetry.log.event(
                "link_keys_unreadable", level="error", fault=str(loaded.failure())
            )
            return
        security.use_pairs(loaded.unwrap().pairs)

    def _link_parameters(self) -> LinkParameters:
        links = self.settings.links
        return LinkParameters(
            ping_busy_ms=links.ping_busy_ms,
            ping_idle_ms=links.ping_idle_ms,
            silence_ms=links.silence_ms,
            reopen_ms=links.reopen_ms,
            reopen_most_ms=links.reopen_most_ms,
            max_queued=links.max_queued,
        )

    def _make_platform(self) -> PlatformClients:
        platform = self.settings.platform
        token = ""
        if platform.token_file:
            token = read_secret(platform.token_file).unwrap()[0]
        return platform_adapters.get(platform.adapter)(
            table_url=platform.table_url,
            objects_url=platform.objects_url,
            instances_url=platform.instances_url,
            clock=self.clock,
            random=self.random,
            timeout_ms=platform.timeout_ms,
            token=token,
            on_event=self.telemetry.log.event,
        )

    def record_duty(
        self, event: str, /, *, level: str = "info", duty: str = "", **inputs: Any
    ) -> None:
        """Keep an event about a duty, so that `explain` finds it."""
        self.telemetry.decisions.record(event, level=level, duty=duty, **inputs)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self.telemetry.log.event(
            "task_failed", level="error", task=name, error=repr(error)
        )


def load_tls(certificate_file: str, key_file: str) -> ssl.SSLContext | None:
    """Return the TLS context for a listening socket, or None without a certificate."""
    if not certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate_file, key_file)
    return context
