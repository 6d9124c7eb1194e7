"""Load, step time and health of one target, as one entry sees them."""

import msgspec

from carobroute.domain import TargetState
from carobroute.health import HealthParameters, TargetHealth
from carobroute.links import LoadReport
from carobroute.requests._routing_types import TargetView
from carobroute.utils import Clock

FIRST_BYTE_SMOOTHING = 0.2
STEP_SMOOTHING = 0.3


class PendingCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call of this entry that has not received its first byte.

    Parameters
    ----------
    number : int
        Sequence number among this entry's calls to the target.
    blocks : list of int
        Block hashes of its prompt.
    uncached_tokens : int
        Prompt tokens that were not expected to be in the prefix cache.
    tokens_ahead : int
        Prompt tokens to prefill before the first answer token: those of the call and
        those that waited at the target before it.
    was_queued : bool
        Whether the target had no free slot when the call was sent.
    """

    number: int
    blocks: list[int]
    uncached_tokens: int
    tokens_ahead: int
    was_queued: bool


class TargetRecord:
    """Load, step time and health of one target.

    The load is corrected for the lag of reports: a report says how many of this
    entry's own calls it includes. The rest is the load from other entries, to which
    the entry adds its own calls in flight.

    Parameters
    ----------
    view : TargetView
        The target.
    clock : Clock
        Source of time.
    health : HealthParameters
        Parameters of ejection and slow start.
    """

    __slots__ = (
        "_clock",
        "_first_byte_ms",
        "_health",
        "_in_flight",
        "_is_leaving",
        "_leaving_ticket",
        "_others_load",
        "_pending",
        "_pending_tokens",
        "_report",
        "_report_at_ms",
        "_sent_count",
        "_step_ms",
        "_view",
    )

    def __init__(self, *, view: TargetView, clock: Clock, health: HealthParameters):
        self._view = view
        self._clock = clock
        self._health = TargetHealth(clock=clock, parameters=health)
        self._is_leaving = False
        self._leaving_ticket = 0
        self._in_flight = 0
        self._others_load = 0.0
        self._first_byte_ms = 0.0
        self._pending: dict[int, PendingCall] = {}
        self._pending_tokens = 0
        self._sent_count = 0
        self._report: LoadReport | None = None
        self._report_at_ms = clock.now_ms()
        self._step_ms = 0.0

    @property
    def name(self) -> str:
        """Name of the target."""
        return self._view.name

    @property
    def view(self) -> TargetView:
        """The target as described by the configuration and the instance list."""
        return self._view

    @property
    def health(self) -> TargetHealth:
        """Health derived from this entry's own calls."""
        return self._health

    @property
    def in_flight(self) -> int:
        """Number of this entry's calls in flight."""
        return self._in_flight

    @property
    def load(self) -> float:
        """Number of calls at the target, corrected for the lag of reports."""
        return self._others_load + self._in_flight

    @property
    def running(self) -> float:
        """Calls that hold a slot: those reported, and this entry's calls since then."""
        if self._report is None:
            return self._in_flight
        return max(0.0, self._report.running + self._in_flight - self._report.known)

    @property
    def reported_load(self) -> float:
        """Number of calls at the target in its last report, uncorrected."""
        if self._report is None:
            return 0.0
        return self._report.running + self._report.queued

    @property
    def tokens_ahead(self) -> int:
        """Prompt tokens that wait: those reported, or this entry's own if more."""
        reported = self._report.tokens_queued if self._report else 0
        return max(reported, self._pending_tokens)

    @property
    def step_ms(self) -> float:
        """Smoothed reported step time in milliseconds; 0 before the first report."""
        return self._step_ms

    @property
    def concurrency(self) -> int:
        """Number of calls that the target runs at the same time."""
        reported = self._report.concurrency if self._report else 0
        return max(1, reported or self._view.concurrency)

    @property
    def report_age_ms(self) -> float:
        """Time since the last report, or since the target became known."""
        return self._clock.now_ms() - self._report_at_ms

    @property
    def first_byte_ms(self) -> float:
        """Smoothed time to the first byte of this entry's calls; 0 before the first."""
        return self._first_byte_ms

    @property
    def is_available(self) -> bool:
        """Whether the target may take new calls."""
        return not self._is_leaving and self._view.state is TargetState.SERVING

    def update(self, view: TargetView) -> None:
        """Replace the view of the target.

        A target marked as leaving stays so until it has a new incarnation, or until a
        later ticket changes the target.
        """
        is_new_incarnation = (
            view.incarnation and view.incarnation != self._view.incarnation
        )
        if is_new_incarnation:
            is_first_incarnation = not self._view.incarnation
            self._reset_incarnation(is_first_incarnation)
        elif view.ticket > self._leaving_ticket:
            self._is_leaving = False
        self._view = view

    def note_leaving(self) -> None:
        """Mark the target as leaving; see `update` for when the mark ends."""
        if not self._is_leaving:
            self._is_leaving = True
            self._leaving_ticket = self._view.ticket

    def note_sent(self, blocks: list[int], uncached_tokens: int) -> PendingCall:
        """Count a call as in flight and pending, and return the call."""
        self._sent_count += 1
        call = PendingCall(
            number=self._sent_count,
            blocks=blocks,
            uncached_tokens=uncached_tokens,
            tokens_ahead=self.tokens_ahead + uncached_tokens,
            was_queued=self.load >= self.concurrency,
        )
        self._pending[call.number] = call
        self._pending_tokens += uncached_tokens
        self._in_flight += 1
        return call

    def note_first_byte(self, elapsed_ms: float, call: PendingCall) -> None:
        """Record the time to the first byte of a call."""
        self._remove_pending(call)
        if self._first_byte_ms:
            self._first_byte_ms += FIRST_BYTE_SMOOTHING * (
                elapsed_ms - self._first_byte_ms
            )
        else:
            self._first_byte_ms = elapsed_ms
        self._health.note_success()

    def note_end(self, ok: bool, call: PendingCall) -> None:
        """Remove a call from those in flight."""
        self._remove_pending(call)
        self._in_flight -= 1
        if ok:
            self._health.note_success()

    def note_report(self, report: LoadReport) -> bool:
        """Apply a load report; return False if it is not newer than the last one."""
        if report.leaving:
            self.note_leaving()
        if self._report is not None and report.sequence <= self._report.sequence:
            return False
        self._report = report
        self._report_at_ms = self._clock.now_ms()
        self._others_load = max(0.0, report.running + report.queued - report.known)
        if report.step_ms > 0:
            smoothed_ms = self._step_ms or report.step_ms
            self._step_ms = smoothed_ms + STEP_SMOOTHING * (
                report.step_ms - smoothed_ms
            )
        return True

    def _remove_pending(self, call: PendingCall) -> None:
        if self._pending.pop(call.number, None) is not None:
            self._pending_tokens -= call.uncached_tokens

    def _reset_incarnation(self, is_first_incarnation: bool) -> None:
        self._is_leaving = False
        self._others_load = 0.0
        self._report = None
        self._first_byte_ms = 0.0
        self._step_ms = 0.0
        if not is_first_incarnation:
            self._health.note_replaced()
