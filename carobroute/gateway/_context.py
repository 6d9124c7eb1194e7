"""Parts of a gateway that all its exchanges share."""

import random
from collections.abc import Callable

from aiohttp import web

from carobroute.gateway._call_durations import PlainCallDurations, StreamPaces
from carobroute.gateway._call_records import CallRecorder
from carobroute.gateway._cold_starts import ColdStarts
from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._crash_detector import CrashDetector
from carobroute.gateway._dispatch import Dispatcher
from carobroute.gateway._empty_answers import EmptyAnswers
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._prompt_quarantine import PromptQuarantine
from carobroute.gateway._rank_groups import PassTimeEstimators
from carobroute.gateway._rate_limits import RateLimits
from carobroute.gateway._retry_budget import RetryBudget
from carobroute.gateway._shutdown import Shutdown
from carobroute.gateway._stream_ends import StreamEndJudge
from carobroute.gateway._stuck_calls import StuckCallDetector
from carobroute.gateway._suspect_requests import SuspectRequests
from carobroute.gateway._target_pool import TargetPool
from carobroute.gateway._targets import Target, TargetDirectory
from carobroute.health import AnswerQuality, RecordChange
from carobroute.utils import Clock
from carobroute.web import ClientConnection, has_next_request


class GatewayContext:
    """Shared parts of a gateway, passed to each exchange.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    parameters : GatewayParameters
        Timeouts and limits.
    configuration : ActiveConfiguration
        Routes, services and API keys.
    directory : TargetDirectory
        Known targets.
    dispatcher : Dispatcher
        Assigns calls to targets.
    pool : TargetPool
        Connections to targets.
    retry_budget : RetryBudget
        Limit on retries.
    stream_ends : StreamEndJudge
        Judges whether streams are complete.
    stuck_calls : StuckCallDetector
        Finds calls that a rank has lost.
    suspects : SuspectRequests
        Requests that were in flight when targets crashed.
    quarantine : PromptQuarantine
        Prompt parts that crash targets.
    limits : RateLimits
        Rate limits that targets name.
    cold_starts : ColdStarts
        Targets that are cold.
    crash_detector : CrashDetector
        Tells crashes of targets from answers that broke off.
    pass_time_estimators : PassTimeEstimators
        Pace of each rank group.
    recorder : CallRecorder
        Logs and metrics of calls.
    """

    __slots__ = (
        "clock",
        "cold_starts",
        "configuration",
        "crash_detector",
        "directory",
        "dispatcher",
        "empty_answers",
        "limits",
        "on_ejections",
        "on_leaving",
        "parameters",
        "pass_time_estimators",
        "plain_durations",
        "pool",
        "quarantine",
        "random",
        "recorder",
        "retry_budget",
        "shutdown",
        "stream_ends",
        "stream_paces",
        "stuck_calls",
        "suspects",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        parameters: GatewayParameters,
        configuration: ActiveConfiguration,
        directory: TargetDirectory,
        dispatcher: Dispatcher,
        pool: TargetPool,
        retry_budget: RetryBudget,
        stream_ends: StreamEndJudge,
        stuck_calls: StuckCallDetector,
        suspects: SuspectRequests,
        quarantine: PromptQuarantine,
        limits: RateLimits,
        cold_starts: ColdStarts,
        crash_detector: CrashDetector,
        pass_time_estimators: PassTimeEstimators,
        recorder: CallRecorder,
    ):
        self.clock = clock
        self.random = random
        self.parameters = parameters
        self.configuration = configuration
        self.directory = directory
        self.dispatcher = dispatcher
        self.pool = pool
        self.retry_budget = retry_budget
        self.stream_ends = stream_ends
        self.stuck_calls = stuck_calls
        self.suspects = suspects
        self.quarantine = quarantine
        self.limits = limits
        self.cold_starts = cold_starts
        self.crash_detector = crash_detector
        self.pass_time_estimators = pass_time_estimators
        self.recorder = recorder
        self.shutdown = Shutdown(clock=clock, parameters=parameters)
        self.stream_paces = StreamPaces(clock=clock)
        self.plain_durations = PlainCallDurations(clock=clock)
        self.empty_answers = EmptyAnswers(clock=clock)
        # Called when a target has said that it leaves.
        self.on_leaving: Callable[[], None] = lambda: None
        # Called when a target has been ejected or taken back.
        self.on_ejections: Callable[[], None] = lambda: None

    @property
    def is_stopping(self) -> bool:
        """Whether the stop signal has come."""
        return self.shutdown.is_stopping

    def note_leaving(self, run_id: str, *, is_first_hand: bool) -> None:
        """Send no new calls to a run of a target that has said that it leaves.

        Parameters
        ----------
        run_id : str
            Run of the target.
        is_first_hand : bool
            Whether it said so to this gateway, and not to a peer.
        """
        noted = self.directory.note_leaving(run_id, is_first_hand=is_first_hand)
        if noted is not None:
            source = "answer" if is_first_hand else "peer"
            self.recorder.note_leaving(run_id, source)
            if is_first_hand:
                self.on_leaving()

    def note_answer(
        self,
        target: Target,
        quality: AnswerQuality,
        *,
        sent_ms: float,
        fingerprint: str,
    ) -> None:
        """Record how a target has answered a call, and log what that changes.

        Parameters
        ----------
        target : Target
            The target.
        quality : AnswerQuality
            How it has answered.
        sent_ms : float
            Monotonic time at which the call was sent.
        fingerprint : str
            Hash of the request's content.
        """
        change = target.health.note(
            quality,
            sent_ms=sent_ms,
            request=fingerprint,
            is_sound_request=self.suspects.was_answered(fingerprint),
            is_ejected_elsewhere=target.peer_ejections > 0,
        )
        if change is None:
            return
        self.recorder.note_record_change(target, change, quality)
        if change is not RecordChange.TRIED:
            self.note_target_states()
            self.on_ejections()

    def note_target_states(self) -> None:
        """Update the metric of targets by state."""
        self.recorder.set_target_states(self.directory.count_states())

    @property
    def should_close_connections(self) -> bool:
        """Whether callers should open their next connection to another gateway."""
        return self.is_stopping or not self.configuration.accepts_keys

    def should_end_connection(self, request: web.Request) -> bool:
        """Whether the connection of a request should end with its answer.

        A request that was sent behind it is answered first.
        """
        connection = request.protocol
        is_unwanted = self.should_close_connections or (
            isinstance(connection, ClientConnection) and connection.keeps_too_much
        )
        return is_unwanted and not has_next_request(request)
