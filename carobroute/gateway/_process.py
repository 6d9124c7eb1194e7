"""Gateway process: start, readiness, reload and stop."""

import asyncio
import logging
import os
import random as random_module
import signal
import sys
from pathlib import Path
from typing import Any

from aiohttp import web
from returns.result import Failure

from carobroute.errors import FaultError
from carobroute.gateway._call_records import CallRecorder
from carobroute.gateway._cold_starts import ColdProfile, ColdStarts, TargetRates
from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._crash_detector import CrashDetector, crash_name
from carobroute.gateway._digests import PeerState
from carobroute.gateway._dispatch import Dispatcher
from carobroute.gateway._evacuations import Evacuations
from carobroute.gateway._evidence_store import EvidenceStore
from carobroute.gateway._exchange import Exchange
from carobroute.gateway._group_limits import GroupLimit, GroupLimits
from carobroute.gateway._operations import OperationsInterface
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._part_verdicts import PartState
from carobroute.gateway._peers import PeerParameters, PeerProtocol
from carobroute.gateway._prompt_quarantine import PromptQuarantine
from carobroute.gateway._rank_groups import PassTimeEstimators, RebalancingLoop
from carobroute.gateway._rate_limits import RateLimits
from carobroute.gateway._rate_tokens import RateTokens
from carobroute.gateway._retry_budget import RetryBudget
from carobroute.gateway._shared_reads import SharedReads
from carobroute.gateway._slot_shares import SlotShares
from carobroute.gateway._state_dump import StateDump
from carobroute.gateway._store_watch import (
    ConfigurationWatcher,
    TargetListPoller,
)
from carobroute.gateway._stream_ends import StreamEndJudge
from carobroute.gateway._stuck_calls import StuckCallDetector
from carobroute.gateway._suspect_requests import SuspectRequests
from carobroute.gateway._suspect_store import SuspectStore
from carobroute.gateway._target_pool import TargetPool
from carobroute.gateway._targets import DirectoryChange, Target, TargetDirectory
from carobroute.gateway._token_exchange import TokenExchange
from carobroute.platform import (
    READY_PATH,
    ProcessSettings,
    RankClient,
    RowStore,
    read_settings,
)
from carobroute.telemetry import EventLog, LibraryLogHandler, LineBuffer, Metrics
from carobroute.utils import Backoff, Clock, TaskSet, new_incarnation
from carobroute.web import ClientConnection, WebSite

METRICS_PORT = 9464
# Limit on a header line; the configuration's own limit is not known at the start.
MAX_HEADER_BYTES = 16_384
# Shortest header line: a name of one character, a colon and the line's end.
MIN_HEADER_LINE_BYTES = 4
MAX_BODY_BYTES = 1 << 24
IDLE_TIMEOUT_MS = 75_000.0
FIRST_HEADERS_TIMEOUT_MS = 10_000.0
MAX_EVENTS_PER_S = 200.0
MS_PER_S = 1_000
# Parts of the time between the end of the last calls and the kill: for writing their
# answers, and for leaving peers and the store, while slow callers still read theirs.
# The rest is for the end of the process.
ANSWERS_RATIO = 0.25
CLOSE_RATIO = 0.5
# Part of it after which calls that are still in hand are logged, in case that the
# process is killed before it ends.
UNFINISHED_RATIO = 0.125
# Part of the rest that a slow reader of the log may take.
LOG_RATIO = 0.5
# Heartbeats of a target after which the store has removed its entry, with one to spare.
EXPIRED_HEARTBEATS = 4


class GatewayProcess:
    """Process that receives callers' requests and sends them to targets itself.

    Parameters
    ----------
    settings_path : Path
        The platform's settings file.
    settings : ProcessSettings
        Content of that file at the start.
    parameters : GatewayParameters, default=None
        Timeouts and limits.
    clock : Clock, default=None
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_cold_starts",
        "_configuration",
        "_context",
        "_directory",
        "_dispatcher",
        "_evacuations",
        "_events",
        "_failed_tasks",
        "_group_limits",
        "_groups",
        "_incarnation",
        "_limits",
        "_line_buffer",
        "_metrics",
        "_parameters",
        "_pass_time_estimators",
        "_peer_state",
        "_peers",
        "_pool",
        "_quarantine",
        "_random",
        "_rank_client",
        "_settings",
        "_settings_path",
        "_shared_reads",
        "_sites",
        "_slot_shares",
        "_stop",
        "_store",
        "_suspects",
        "_target_poller",
        "_tasks",
        "_token_exchange",
        "_tokens",
        "_unfinished_count",
    )

    def __init__(
        self,
        *,
        settings_path: Path,
        settings: ProcessSettings,
        parameters: GatewayParameters | None = None,
        clock: Clock | None = None,
    ):
        self._settings_path = settings_path
        self._settings = settings
        self._parameters = parameters or GatewayParameters()
        self._clock = clock or Clock()
        self._random = random_module.Random()
        self._incarnation = new_incarnation(settings.name)
        self._line_buffer = LineBuffer(descriptor=sys.stdout.fileno())
        self._events = EventLog(
            name=settings.name,
            incarnation=self._incarnation,
            most_per_s=MAX_EVENTS_PER_S,
            stream=self._line_buffer.as_stream(),
            clock=self._clock,
        )
        self._metrics = Metrics()
        self._failed_tasks = self._metrics.counter(
            "failed_tasks", "Background tasks that ended by an exception.", ["task"]
        )
        self._tasks = TaskSet(on_failure=self._note_failed_task)
        self._sites: list[WebSite] = []
        self._stop = asyncio.Event()
        # Calls without a complete answer shortly before the kill.
        self._unfinished_count = 0
        self._assemble()

    def _assemble(self) -> None:
        bounds, clock = self._settings.bounds, self._clock
        self._store = RowStore(
            base_url=f"http://{self._settings.store_address}",
            on_restored=self._note_store_restored,
        )
        self._configuration = ActiveConfiguration(
            clock=clock,
            revoke_ms=bounds.revoke_ms,
            margin_ms=self._parameters.proof_margin_ms,
        )
        self._peer_state = PeerState(
            clock=clock,
            calls_expiry_ms=PeerParameters().calls_expiry_ms,
            gone_after_ms=PeerParameters().gone_after_ms,
        )
        self._directory = TargetDirectory(
            clock=clock,
            store_outage_ms=self._parameters.store_outage_ms(
                bounds.drain_ms, self._settings.heartbeat_ms
            ),
            lapsed_grace_ms=self._parameters.lapsed_grace_ms,
            entry_expiry_ms=EXPIRED_HEARTBEATS * self._settings.heartbeat_ms,
            peer_calls=self._peer_state.calls_at,
            peer_slowdown=self._peer_state.slowdown_at,
            peer_ejections=self._peer_state.count_ejections,
        )
        self._evacuations = Evacuations(clock=clock, on_change=self._note_evacuation)
        self._shared_reads = SharedReads(
            clock=clock,
            name=self._incarnation,
            configuration=self._configuration,
            directory=self._directory,
            peers=self._peer_state.knowledge,
            evacuations=self._evacuations,
        )
        own_key = (self._settings.data_centre, self._incarnation)
        self._slot_shares = SlotShares(
            clock=clock,
            data_centre=self._settings.data_centre,
            name=self._incarnation,
            directory=self._directory,
            calls_per_s=lambda: {
                **self._peer_state.calls_per_s(),
                own_key: self._dispatcher.engine_calls_per_s,
            },
        )
        self._limits = RateLimits(clock=clock, on_change=self._note_limit)
        self._cold_starts = ColdStarts(
            clock=clock,
            find_profile=self._find_cold_profile,
            heard_share=self._heard_share,
            on_change=self._note_cold,
        )
        self._tokens = RateTokens(
            clock=clock,
            random=self._random,
            name=self._incarnation,
            limits=TargetRates(named=self._limits, cold=self._cold_starts),
            peers=lambda: self._peer_state.live_peers,
            send=lambda peer, message: self._token_exchange.send(peer, message),
            on_reply=lambda: self._dispatcher.dispatch_all_queued(),
        )
        self._token_exchange = TokenExchange(
            bind=f"{self._settings.ip}:{self._settings.peer_ports[0] + 1}",
            find_host=self._peer_state.host_of,
            on_message=self._tokens.handle,
            events=self._events,
        )
        self._pass_time_estimators = PassTimeEstimators(clock=clock)
        self._group_limits = GroupLimits(
            clock=clock,
            directory=self._directory,
            configuration=self._configuration,
            pass_time_estimators=self._pass_time_estimators,
            peer_imbalances=self._peer_state.imbalances_of,
            heard_share=self._heard_share,
            on_change=self._note_group_limit,
        )
        self._dispatcher = Dispatcher(
            clock=clock,
            random=self._random,
            data_centre=self._settings.data_centre,
            directory=self._directory,
            on_change=lambda: self._peers.note_change(),
            unseen_ms=self._peer_state.sum_ages_ms,
            own_slots=self._slot_shares.own_slots,
            tokens=self._tokens,
            gateway_count=lambda: self._peer_state.peer_count + 1,
            has_returned=self._peer_state.has_returned,
            cold=self._cold_starts,
            group_limits=self._group_limits,
            peer_waiting=self._peer_state.waiting,
            total_calls_per_s=lambda: (
                self._dispatcher.engine_calls_per_s
                + sum(self._peer_state.calls_per_s().values())
            ),
        )
        self._pool = TargetPool(parameters=self._parameters, tasks=self._tasks)
        self._rank_client = RankClient()
        self._suspects = SuspectRequests(
            clock=clock, crash_limit=self._parameters.crash_limit
        )
        self._quarantine = PromptQuarantine(
            clock=clock,
            name=self._incarnation,
            peer_trials=self._peer_state.trials_of,
            on_change=lambda: self._peers.send_now(),
            on_state=self._note_part_state,
        )
        self._target_poller = TargetListPoller(
            shared=self._shared_reads,
            store=self._store,
            directory=self._directory,
            on_change=self._handle_directory_change,
            interval_ms=self._parameters.target_poll_interval_ms(bounds.drain_ms),
            parameters=self._parameters,
            events=self._events,
            clock=clock,
            random=self._random,
        )
        crash_detector = CrashDetector(
            pool=self._pool,
            client=self._rank_client,
            timeout_ms=self._parameters.connect_timeout_ms,
            directory=self._directory,
            refresh_list=self._target_poller.refresh,
            events=self._events,
        )
        self._context = GatewayContext(
            clock=clock,
            random=self._random,
            parameters=self._parameters,
            configuration=self._configuration,
            directory=self._directory,
            dispatcher=self._dispatcher,
            pool=self._pool,
            retry_budget=RetryBudget(
                clock=clock,
                window_ms=bounds.retry_window_ms,
                share=bounds.retry_share,
                slack=bounds.retry_slack,
            ),
            stream_ends=StreamEndJudge(detector=crash_detector),
            stuck_calls=StuckCallDetector(
                pool=self._pool,
                client=self._rank_client,
                stuck_after_ms=self._parameters.stuck_after_ms,
            ),
            suspects=self._suspects,
            quarantine=self._quarantine,
            limits=self._limits,
            cold_starts=self._cold_starts,
            crash_detector=crash_detector,
            pass_time_estimators=self._pass_time_estimators,
            recorder=CallRecorder(events=self._events, metrics=self._metrics),
        )
        self._groups = RebalancingLoop(
            holder=self._incarnation,
            store=self._store,
            configuration=self._configuration,
            directory=self._directory,
            pool=self._pool,
            client=self._rank_client,
            pass_time_estimators=self._context.pass_time_estimators,
            events=self._events,
            clock=clock,
            random=self._random,
            is_gone=self._peer_state.is_gone,
            find_holder=self._peer_state.find_holder,
            count_stronger=self._count_stronger,
            is_stopping=lambda: self._context.is_stopping,
            tasks=self._tasks,
        )
        # Until peers are known, assume one gateway in each data centre.
        self._context.retry_budget.set_gateway_count(len(self._settings.data_centres))
        self._peers = PeerProtocol(
            incarnation=self._incarnation,
            name=self._settings.name,
            bind=f"{self._settings.ip}:{self._settings.peer_ports[0]}",
            store=self._store,
            peer_state=self._peer_state,
            directory=self._directory,
            suspects=self._suspects,
            quarantine=self._quarantine,
            limits=self._limits,
            cold_starts=self._cold_starts,
            calls_per_s=lambda: self._dispatcher.engine_calls_per_s,
            imbalances=lambda: self._group_limits.imbalances,
            waiting=lambda: self._dispatcher.waiting_by_priority,
            shared=self._shared_reads,
            duties=lambda: self._groups.held_duties,
            capacity=self._settings.link_mbps,
            data_centre=self._settings.data_centre,
            on_gateway_count=self._update_gateway_count,
            events=self._events,
            clock=clock,
            random=self._random,
            tasks=self._tasks,
            on_leaving=lambda run_id: self._context.note_leaving(
                run_id, is_first_hand=False
            ),
        )
        self._context.on_leaving = self._peers.share_change
        self._context.on_ejections = self._peers.note_change

    def _heard_share(self) -> float:
        """Return the share of all gateways that this one is in touch with."""
        return self._peer_state.heard_share(len(self._settings.data_centres))

    def _count_stronger(self) -> int:
        """Return the number of live gateways that duties are left to."""
        return self._peer_state.count_stronger(
            self._incarnation, self._settings.link_mbps
        )

    def _update_gateway_count(self, count: int) -> None:
        # A peer that only this gateway cannot reach still makes retries.
        assumed_count = max(count, len(self._settings.data_centres))
        self._context.retry_budget.set_gateway_count(assumed_count)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers to this gateway."""
        has_configuration = self._configuration.table is not None
        return has_configuration and not self._context.should_close_connections

    async def run(self) -> None:
        """Serve until a stop signal."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGINT, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self._line_buffer.start(loop)
        logging.getLogger().addHandler(LibraryLogHandler(events=self._events))
        self._events.event(
            "started",
            data_centre=self._settings.data_centre,
            callers=self._settings.caller_address,
            store=self._settings.store_address,
        )
        self._spawn_background_tasks()
        await self._peers.start()
        await self._token_exchange.start()
        callers = await self._listen()
        await self._stop.wait()
        await self._shut_down(callers)

    def _spawn_background_tasks(self) -> None:
        configuration = ConfigurationWatcher(
            shared=self._shared_reads,
            on_change=self._peers.share_change,
            store=self._store,
            configuration=self._configuration,
            evacuations=self._evacuations,
            wait_ms=self._parameters.watch_timeout_ms(self._settings.bounds.revoke_ms),
            parameters=self._parameters,
            events=self._events,
            clock=self._clock,
            random=self._random,
        )
        evidence = EvidenceStore(
            store=self._store,
            quarantine=self._quarantine,
            count_stronger=self._count_stronger,
            events=self._events,
            clock=self._clock,
            backoff=self._make_backoff(),
        )
        suspects = SuspectStore(
            store=self._store,
            suspects=self._suspects,
            count_stronger=self._count_stronger,
            events=self._events,
            clock=self._clock,
            backoff=self._make_backoff(),
        )
        for name, run in (
            ("store prompt parts", evidence.run),
            ("store crashing requests", suspects.run),
            ("rebalance groups", self._groups.run),
            ("watch configuration", configuration.run),
            ("watch targets", self._target_poller.run),
            ("dispatch queued calls", self._dispatch_periodically),
        ):
            self._tasks.keep_running(
                run, name=name, backoff=self._make_backoff(), clock=self._clock
            )

    def _make_backoff(self) -> Backoff:
        """Return the delays after failed calls to the store."""
        return Backoff(
            random=self._random,
            min_ms=self._parameters.store_retry_min_ms,
            max_ms=self._parameters.store_retry_max_ms,
        )

    async def _dispatch_periodically(self) -> None:
        """Check the queues periodically, for slots that other gateways released."""
        while True:
            await self._clock.sleep_ms(self._dispatcher.queue_check_interval_ms)
            self._group_limits.update()
            self._dispatcher.dispatch_all_queued()

    def _handle_directory_change(self, change: DirectoryChange) -> None:
        for incarnation in change.gone:
            # Only a target without a group has its own entry here. Entries of a group
            # are shared by its ranks and outlive each of them.
            self._context.pass_time_estimators.discard(incarnation)
            self._dispatcher.drop_circuit_breaker(incarnation)
        for target in self._directory.all_targets():
            self._cold_starts.note(target.run_id, target.entry.slow_start_ms, "list")
        for target in change.lost:
            if self._has_interrupted(target):
                self._tasks.spawn(self._judge_loss(target), name="judge loss")
        if change.joined or change.leaving or change.gone:
            self._peers.share_change()
            self._context.note_target_states()
        self._pool.drop_gone()

    def _has_interrupted(self, target: Target) -> bool:
        """Whether calls at a target have lately ended without an answer."""
        crash = crash_name(target)
        return self._suspects.has_interrupted(
            crash
        ) or self._quarantine.has_interrupted(crash)

    async def _judge_loss(self, target: Target) -> None:
        """Count the end of a target as a crash of the calls that it interrupted.

        It has not said that it leaves; its entry may still have been removed as
        planned.
        """
        if await self._context.crash_detector.is_alive(target):
            self._events.event("target_left_unreported", target=target.incarnation)
            return
        self._quarantine.note_target_lost(crash_name(target))
        fingerprints = self._suspects.note_crash(crash_name(target))
        if fingerprints:
            self._events.event(
                "requests_suspected",
                target=target.incarnation,
                requests=",".join(fingerprints),
            )

    def _note_store_restored(self, before: int, era: int) -> None:
        """Log that the store has come back without its last writes."""
        self._events.event("store_restored", level="warning", before=before, era=era)

    def _note_evacuation(
        self, data_centre: str, is_evacuated: bool, source: str
    ) -> None:
        """Send no calls to a data centre, or send it calls again."""
        self._directory.set_evacuated(self._evacuations.data_centres)
        targets = self._directory.all_targets()
        self._context.recorder.note_evacuation(
            data_centre,
            is_evacuated=is_evacuated,
            is_known=data_centre in self._settings.data_centres,
            source=source,
            store_version=self._evacuations.version,
            era=self._evacuations.era,
            proof_age_ms=self._configuration.proof_age_ms,
            targets=sum(t.entry.data_centre == data_centre for t in targets),
            usable=sum(target.is_usable for target in targets),
        )
        self._context.note_target_states()
        if is_evacuated:
            self._dispatcher.refuse_unservable()
            return
        for target in targets:
            if target.entry.data_centre == data_centre:
                # It may have become cold meanwhile, which the list tells later.
                profile = self._find_cold_profile(target.run_id)
                cold_ms = profile.duration_ms if profile is not None else 0.0
                self._cold_starts.note(target.run_id, cold_ms, "evacuation")
        self._dispatcher.dispatch_all_queued()

    def _note_group_limit(self, limit: GroupLimit) -> None:
        self._context.recorder.note_group_limit(limit)

    def _find_cold_profile(self, run_id: str) -> ColdProfile | None:
        """Return what the service of a run publishes of cold targets."""
        target = self._directory.find(run_id.rpartition("@")[0])
        table = self._configuration.table
        if target is None or table is None:
            return None
        service = table.find_service(target.entry.service)
        if service is None:
            return None
        return ColdProfile(service.cold_ms, service.cold_calls_per_s)

    def _note_cold(self, run_id: str, remaining_ms: float, source: str) -> None:
        self._context.recorder.note_cold(run_id, remaining_ms, source)
        if source != "peer":
            self._peers.note_urgent_change()

    def _note_part_state(
        self, part: str, state: PartState, fields: dict[str, Any]
    ) -> None:
        self._context.recorder.count_part(state.value)
        self._events.event("prompt_part_" + state.value, part=part, **fields)

    def _note_limit(
        self, target: str, per_s: float | None, age_ms: float, source: str
    ) -> None:
        """Log a target's new rate limit, and tell peers if they cannot know it yet."""
        event = "target_limit_lifted" if per_s is None else "target_limit_named"
        fields: dict[str, Any] = {} if per_s is None else {"per_s": per_s}
        self._context.recorder.count_limit(event.removeprefix("target_limit_"))
        self._events.event(
            event, target=target, age_ms=round(age_ms), source=source, **fields
        )
        if source == "answer":
            self._peers.note_urgent_change()

    async def _listen(self) -> WebSite:
        callers = web.Application(client_max_size=MAX_BODY_BYTES)
        # A dot would match no line feed, which a path may have in percent encoding.
        callers.router.add_route("*", r"/{path:[\s\S]*}", self._serve)
        operations = web.Application()
        operations.router.add_get(READY_PATH, self._answer_ready)
        operators = OperationsInterface(
            metrics=self._metrics,
            quarantine=self._quarantine,
            events=self._events,
            describe_state=StateDump(
                configuration=self._configuration,
                directory=self._directory,
                evacuations=self._evacuations,
                cold_starts=self._cold_starts,
                group_limits=self._group_limits,
            ).describe,
        )
        options = {
            "keepalive_timeout": IDLE_TIMEOUT_MS / MS_PER_S,
            "max_line_size": MAX_HEADER_BYTES,
            "max_field_size": MAX_HEADER_BYTES,
            "max_headers": MAX_HEADER_BYTES // MIN_HEADER_LINE_BYTES,
            # A body is the target's to decode.
            "auto_decompress": False,
        }
        caller_site = WebSite(
            application=callers,
            bind=self._settings.caller_address,
            max_connections=self._parameters.max_connections,
            header_timeout_ms=FIRST_HEADERS_TIMEOUT_MS,
            options=options,
            on_cut=self._note_cut,
        )
        self._sites = [
            WebSite(application=application, bind=bind, stop_timeout_ms=0.0)
            for application, bind in (
                (operations, self._settings.ready_address),
                (operators.application(), f"{self._settings.ip}:{METRICS_PORT}"),
            )
        ]
        for site in (caller_site, *self._sites):
            await site.start()
        return caller_site

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        return await Exchange(context=self._context, request=request).answer()

    async def _answer_ready(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    def _reload(self) -> None:
        loaded = read_settings(self._settings_path)
        if isinstance(loaded, Failure):
            self._events.event(
                "reload_failed", level="error", why=loaded.failure().detail
            )
            return
        changed = loaded.unwrap() != self._settings
        self._settings = loaded.unwrap()
        self._events.event("reloaded", changed=changed)

    def _begin_stop(self) -> None:
        """Leave the balancer's rotation; later signals change nothing."""
        if self._context.is_stopping:
            return
        stop_ms = self._settings.bounds.stop_ms
        self._stop.set()
        self._context.shutdown.begin(stop_ms)
        self._context.recorder.begin_stop()
        self._line_buffer.hasten()
        self._events.event("stopping", killed_in_ms=round(stop_ms))

    async def _shut_down(self, callers: WebSite) -> None:
        """Close the listener once callers are sent elsewhere, and let calls end."""
        shutdown, clock = self._context.shutdown, self._clock
        margin_ms = shutdown.kill_ms - shutdown.calls_end_ms
        loop, unfinished_ms = asyncio.get_running_loop(), UNFINISHED_RATIO * margin_ms
        loop.call_later(
            (shutdown.calls_end_ms + unfinished_ms - clock.now_ms()) / MS_PER_S,
            self._note_unfinished,
            callers,
        )
        await clock.sleep_ms(shutdown.listener_close_ms - clock.now_ms())
        answers_end_ms = shutdown.calls_end_ms + ANSWERS_RATIO * margin_ms
        close_end_ms = answers_end_ms + CLOSE_RATIO * margin_ms
        left_ms = max(0.0, close_end_ms - clock.now_ms())
        ending = asyncio.create_task(callers.stop(timeout_ms=left_ms))
        left_ms = max(0.0, answers_end_ms - clock.now_ms())
        await asyncio.wait({ending}, timeout=left_ms / MS_PER_S)
        remaining_ms = max(0.0, close_end_ms - clock.now_ms())
        close_ms = min(remaining_ms, self._parameters.stop_close_ms)
        try:
            async with asyncio.timeout(close_ms / MS_PER_S):
                await self._close()
        except TimeoutError:
            self._events.event("stop_incomplete", level="warning")
        await ending
        self._events.event(
            "stopped",
            cut=callers.counts["cut_connections"],
            unfinished=self._unfinished_count,
            unsent_answers=callers.counts["unsent_answers"],
            unsent_bytes=callers.counts["unsent_bytes"],
            lines_dropped=self._line_buffer.dropped_count,
            remaining_ms=round(shutdown.kill_ms - clock.now_ms()),
        )
        self._line_buffer.close(LOG_RATIO * (shutdown.kill_ms - clock.now_ms()))

    def _note_unfinished(self, callers: WebSite) -> None:
        """Log each call without a complete answer, shortly before the kill."""
        unfinished = callers.unfinished
        self._unfinished_count = len(unfinished)
        for connection in unfinished:
            self._context.recorder.note_unfinished(connection)

    async def _close(self) -> None:
        """Close everything but the site of the callers."""
        await self._tasks.close()
        await self._peers.stop()
        self._token_exchange.stop()
        for site in self._sites:
            await site.stop()
        await self._pool.close()
        await self._store.close()

    def _note_cut(self, reason: str, connection: ClientConnection | None) -> None:
        record = None
        if reason == "unsent_answer" and connection is not None:
            record = connection.last_call
        self._context.recorder.note_cut(
            reason, connection, record=record, is_stopping=self._context.is_stopping
        )

    def _note_failed_task(self, name: str, error: BaseException) -> None:
        self._failed_tasks.labels(name).inc()
        self._events.event("task_failed", level="error", task=name, error=repr(error))


def load_process_settings(path: Path) -> ProcessSettings:
    """Return the settings in the file at `path`.

    Raises
    ------
    FaultError
        If they cannot be read.
    """
    loaded = read_settings(path)
    if isinstance(loaded, Failure):
        raise FaultError(loaded.failure())
    return loaded.unwrap()


def settings_path_from_environment(variable: str) -> Path:
    """Return the path in the environment variable `variable`.

    Raises
    ------
    KeyError
        If it is not set.
    """
    return Path(os.environ[variable])
