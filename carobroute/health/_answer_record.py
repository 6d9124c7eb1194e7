"""How a target has answered of late: outlier detection, ejection and slow start."""

import enum
import math
from collections import deque

import msgspec

from carobroute.utils import Clock

# Requests whose failures at a target are remembered, so that each counts once.
FAILED_REQUEST_COUNT = 16


class AnswerQuality(enum.StrEnum):
    """How a target has answered a call.

    Attributes
    ----------
    SERVED
        In time, with an answer of its own that is no error.
    SLOW
        The first byte came late.
    REFUSED
        It did not run the call, although it seemed to have a free slot.
    REFUSED_FULL
        It did not run the call, and was known to be full.
    UNREACHABLE
        The call could not be sent.
    INTERRUPTED
        The answer timed out or broke off.
    ERROR
        It failed with an error of its own.
    BROKEN_STREAM
        Its stream was found to have broken off, although it ended in order.
    EXCESSIVE
        Its answer was broken off here, since its form cost too much.
    MALFORMED
        Its answer was broken off here, since its head was invalid.
    """

    SERVED = "served"
    SLOW = "slow"
    REFUSED = "refused"
    REFUSED_FULL = "refused_full"
    UNREACHABLE = "unreachable"
    INTERRUPTED = "interrupted"
    ERROR = "error"
    BROKEN_STREAM = "broken_stream"
    EXCESSIVE = "excessive"
    MALFORMED = "malformed"


# What one answer adds to the failures of a target. A full target that refuses works,
# and one that is late serves the call.
FAILURE_WEIGHTS = {
    AnswerQuality.SERVED: 0.0,
    AnswerQuality.SLOW: 0.5,
    AnswerQuality.REFUSED: 1.0,
    AnswerQuality.REFUSED_FULL: 0.25,
    AnswerQuality.UNREACHABLE: 1.0,
    AnswerQuality.INTERRUPTED: 1.0,
    AnswerQuality.ERROR: 1.0,
    AnswerQuality.BROKEN_STREAM: 1.0,
    AnswerQuality.EXCESSIVE: 1.0,
    AnswerQuality.MALFORMED: 1.0,
}
# Failures that the request may have caused.
REQUEST_FAILURES = frozenset(
    {
        AnswerQuality.UNREACHABLE,
        AnswerQuality.INTERRUPTED,
        AnswerQuality.ERROR,
        AnswerQuality.EXCESSIVE,
        AnswerQuality.MALFORMED,
    }
)


class RecordChange(enum.StrEnum):
    """What an answer changes about a target.

    Attributes
    ----------
    EJECTED
        It is ejected, also once more in its slow start.
    TRIED
        It has answered a trial call, and stays ejected.
    RETURNED
        It has answered enough trial calls, and a slow start begins.
    """

    EJECTED = "ejected"
    TRIED = "tried"
    RETURNED = "returned"


class OutlierParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of outlier detection, trials and slow start.

    Parameters
    ----------
    min_failure_run : int
        Fewest failures in a row that eject a target.
    max_run_chance : float
        Probability of a run of failures, by the share of failures before it, below
        which it ejects a target. A target that fails now and then needs a longer run.
    max_failure_share : float
        Share of failures among its last answers that ejects a target.
    min_answers : float
        Fewest answers that this share is judged by.
    window_answers : float
        Number of answers after which older ones count little.
    half_life_ms : float
        Time after which an answer counts half.
    max_ejected_share : float
        Largest share of the targets of a service that may be ejected. If more would
        be, the fault is not theirs, and all are used.
    trial_interval_ms : float
        Time between two trials of an ejected target by all gateways together.
    trial_successes : int
        Trial calls in a row that have to be served before a target is taken back.
    slow_start_ms : float
        Duration of the slow start, at whose end a target has its full share.
    initial_share : float
        Share of its full weight with which a target begins the slow start.
    """

    min_failure_run: int = 3
    max_run_chance: float = 0.01
    max_failure_share: float = 0.75
    min_answers: float = 6.0
    window_answers: float = 20.0
    half_life_ms: float = 5_000.0
    max_ejected_share: float = 0.5
    trial_interval_ms: float = 800.0
    trial_successes: int = 3
    slow_start_ms: float = 1_500.0
    initial_share: float = 0.25


class AnswerRecord:
    """Answers of one target of late, and whether it is ejected for them.

    Answers are weighed by what they tell of the target, and aged by time and by later
    answers. An ejected target gets single calls as trials, and is taken back when
    several in a row have been served. A slow start follows, in which one failure
    ejects it again.

    An answer that was broken off for its form ejects its target at once. A failure that
    the request may have caused counts once for each request, unless another target has
    served that request. Calls that break off together count once, since a crash ends
    all of them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parameters : OutlierParameters
        Limits of outlier detection, trials and slow start.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> record = AnswerRecord(clock=clock, parameters=OutlierParameters())
    >>> [record.note(AnswerQuality.REFUSED) for _ in range(3)]
    [None, None, <RecordChange.EJECTED: 'ejected'>]
    >>> clock.advance_ms(60_000)
    >>> record.is_ejected
    True
    >>> [str(record.note(AnswerQuality.SERVED)) for _ in range(3)]
    ['tried', 'tried', 'returned']
    >>> record.is_ejected, record.weight_share
    (False, 0.25)
    >>> clock.advance_ms(1_500)
    >>> record.weight_share
    1.0
    """

    __slots__ = (
        "_aged_ms",
        "_answers",
        "_begun_trials",
        "_clock",
        "_ejected_ms",
        "_failed_requests",
        "_failures",
        "_interrupted_ms",
        "_is_ejected",
        "_last_trial_ms",
        "_next_trial_ms",
        "_parameters",
        "_run",
        "_run_began_ms",
        "_run_share",
        "_slow_start_from_ms",
        "_trial_successes",
    )

    def __init__(self, *, clock: Clock, parameters: OutlierParameters):
        self._clock = clock
        self._parameters = parameters
        self._failed_requests: deque[str] = deque(maxlen=FAILED_REQUEST_COUNT)
        self.reset()

    @property
    def is_ejected(self) -> bool:
        """Whether the target gets trial calls only."""
        return self._is_ejected

    @property
    def is_returning(self) -> bool:
        """Whether the target has been taken back and is in its slow start."""
        return not self._is_ejected and self._slow_start_share < 1.0

    @property
    def failure_run(self) -> float:
        """Weight of the failures since the last call that was served."""
        return self._run

    @property
    def trial_successes(self) -> int:
        """Number of trial calls in a row that were served."""
        return self._trial_successes

    @property
    def failure_share(self) -> float:
        """Share of failures among the answers of late; 0 without any."""
        self._age()
        return self._failures / self._answers if self._answers else 0.0

    @property
    def weight_share(self) -> float:
        """Fraction of its full weight that the target has now, at most 1.

        A single failure leaves it as it is. One answer more that was served is
        assumed, so that it is never 0.
        """
        if self._failures <= 1.0:
            return self._slow_start_share
        self._age()
        failures = max(0.0, self._failures - 1.0)
        served_share = 1.0 - failures / (self._answers + 1.0)
        return served_share * self._slow_start_share

    @property
    def _slow_start_share(self) -> float:
        if self._slow_start_from_ms is None:
            return 1.0
        elapsed_ms = self._clock.now_ms() - self._slow_start_from_ms
        initial_share = self._parameters.initial_share
        progress = elapsed_ms / self._parameters.slow_start_ms
        return min(1.0, initial_share + (1.0 - initial_share) * progress)

    def reset(self) -> None:
        """Forget all answers, as for a target that has formed anew."""
        self._aged_ms = self._clock.now_ms()
        self._answers = self._failures = 0.0
        self._run = 0.0
        # Time of the first failure of that run, and share of failures before it.
        self._run_began_ms = -math.inf
        self._run_share = 0.0
        self._is_ejected = False
        self._ejected_ms = -math.inf
        self._trial_successes = self._begun_trials = 0
        self._last_trial_ms = -math.inf
        self._next_trial_ms: float | None = None
        self._slow_start_from_ms: float | None = None
        self._interrupted_ms = -math.inf
        self._failed_requests.clear()

    def eject(self) -> None:
        """Eject the target until trial calls have been served."""
        self._is_ejected = True
        self._ejected_ms = self._clock.now_ms()
        self._trial_successes = self._begun_trials = 0
        self._next_trial_ms = None
        self._slow_start_from_ms = None

    def trial_due_ms(self, interval_ms: float, spread: float) -> float:
        """Return for how long a trial has been due; negative if it is not.

        Parameters
        ----------
        interval_ms : float
            Time between two trials of this gateway.
        spread : float
            Random number from 0 to 1. The first trials of several gateways are at
            different times.
        """
        if self._next_trial_ms is None:
            self._next_trial_ms = self._clock.now_ms() + spread * interval_ms
        return self._clock.now_ms() - self._next_trial_ms

    def begin_trial(self, interval_ms: float) -> None:
        """Note that a trial call is sent; the next is due after an interval."""
        self._last_trial_ms = self._clock.now_ms()
        self._next_trial_ms = self._last_trial_ms + interval_ms

    def note_trial_begun(self) -> None:
        """Note that the answer to a trial has begun; another trial may run beside it.

        Streams last for long, and each trial counts at its end.
        """
        self._begun_trials += 1
        if self._begun_trials < self._parameters.trial_successes:
            self.hasten_trial(0.0)

    def note_returned_elsewhere(self) -> None:
        """Note that another gateway has taken the target back; one trial is enough."""
        self._trial_successes = self._parameters.trial_successes - 1

    def hasten_trial(self, interval_ms: float) -> None:
        """Make a trial due within an interval after the last one."""
        due_ms = max(self._clock.now_ms(), self._last_trial_ms + interval_ms)
        if self._next_trial_ms is None or self._next_trial_ms > due_ms:
            self._next_trial_ms = due_ms

    def note_success(self) -> RecordChange | None:
        """Record a call that was served in time."""
        return self.note(AnswerQuality.SERVED)

    def note(
        self,
        quality: AnswerQuality,
        *,
        sent_ms: float = math.inf,
        request: str = "",
        is_sound_request: bool = False,
        is_ejected_elsewhere: bool = False,
    ) -> RecordChange | None:
        """Record how a call was answered, and return what changes.

        Parameters
        ----------
        quality : AnswerQuality
            How it was answered.
        sent_ms : float, default=inf
            Monotonic time at which the call was sent.
        request : str, default=""
            Fingerprint of the request; empty if it can't be the cause of a failure.
        is_sound_request : bool, default=False
            Whether another target has served that request.
        is_ejected_elsewhere : bool, default=False
            Whether another gateway has ejected the target; then one failure ejects it
            here.
        """
        if quality is AnswerQuality.INTERRUPTED:
            if sent_ms <= self._interrupted_ms:
                return None
            self._interrupted_ms = self._clock.now_ms()
        if quality in REQUEST_FAILURES and request and not is_sound_request:
            if request in self._failed_requests:
                return None
            self._failed_requests.append(request)
        weight = FAILURE_WEIGHTS[quality]
        is_served = weight < 1.0 and quality is not AnswerQuality.REFUSED_FULL
        if not is_served:
            if not self._run:
                self._run_began_ms = self._clock.now_ms()
                self._run_share = self.failure_share
            self._run += weight
        elif sent_ms >= self._run_began_ms:
            # Calls that run may end well while new ones are refused.
            self._run = 0.0
        self._add(weight)
        if self._is_ejected:
            if sent_ms < self._ejected_ms:
                return None
            return self._note_trial(is_served=is_served)
        # A costly answer slows all calls of a gateway, so the next one is a trial.
        is_ejecting = is_ejected_elsewhere or quality is AnswerQuality.EXCESSIVE
        if weight >= 1.0 and (is_ejecting or self._is_outlier()):
            self.eject()
            return RecordChange.EJECTED
        return None

    def _note_trial(self, *, is_served: bool) -> RecordChange:
        if not is_served:
            self._trial_successes = self._begun_trials = 0
            return RecordChange.TRIED
        self._trial_successes += 1
        # The next call may be a trial at once.
        self._next_trial_ms = self._clock.now_ms()
        if self._trial_successes < self._parameters.trial_successes:
            return RecordChange.TRIED
        self.reset()
        self._slow_start_from_ms = self._clock.now_ms()
        return RecordChange.RETURNED

    def _is_outlier(self) -> bool:
        """Whether the last failure ejects the target."""
        if self.is_returning:
            return True
        parameters = self._parameters
        if (
            self._answers >= parameters.min_answers
            and self.failure_share >= parameters.max_failure_share
        ):
            return True
        return self._run >= self._max_run

    @property
    def _max_run(self) -> float:
        """Number of failures in a row that eject the target."""
        parameters = self._parameters
        share = min(parameters.max_failure_share, self._run_share)
        if not share:
            return parameters.min_failure_run
        return max(
            parameters.min_failure_run,
            math.log(parameters.max_run_chance) / math.log(share),
        )

    def _add(self, weight: float) -> None:
        self._age()
        kept_share = 1.0 - 1.0 / self._parameters.window_answers
        self._answers = kept_share * self._answers + 1.0
        self._failures = kept_share * self._failures + weight

    def _age(self) -> None:
        now_ms = self._clock.now_ms()
        kept_share = 0.5 ** ((now_ms - self._aged_ms) / self._parameters.half_life_ms)
        self._answers *= kept_share
        self._failures *= kept_share
        self._aged_ms = now_ms
