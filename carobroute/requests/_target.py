"""What one entry knows of one target, from reports and its own traffic."""

import msgspec

from carobroute.health import Health, HealthParameters
from carobroute.links import LoadReport
from carobroute.requests._views import TargetView
from carobroute.utils import Clock
from carobroute.world import TargetState

SMOOTHING = 0.2
STEP_SMOOTHING = 0.3


class Sent(msgspec.Struct, frozen=True, kw_only=True):
    """One own call that has not had its first byte.

    Parameters
    ----------
    number : int
        Which call of the target it is.
    blocks : list of int
        Block hashes of its prompt.
    tokens : int
        Prompt tokens that were expected not to be cached.
    tokens_ahead : int
        Those and the ones that waited at the target before it.
    waited : bool
        Whether the target had no free slot.
    """

    number: int
    blocks: list[int]
    tokens: int
    tokens_ahead: int
    waited: bool


class TargetRecord:
    """Load, pace and health of one target.

    The load is corrected for the lag of reports: a report says how many of this
    entry's own calls it counts, so what remains is the others' load, and the entry
    adds the calls that it has in flight itself.

    Parameters
    ----------
    view : TargetView
        The target.
    clock : Clock
        Source of time.
    health : HealthParameters
        Times and bounds of ejection and slow start.
    """

    __slots__ = (
        "_clock",
        "_first_ms",
        "_health",
        "_in_flight",
        "_leaving",
        "_leaving_ticket",
        "_others",
        "_pending",
        "_pending_tokens",
        "_report",
        "_report_at_ms",
        "_sent",
        "_step_ms",
        "_view",
    )

    def __init__(self, *, view: TargetView, clock: Clock, health: HealthParameters):
        self._view = view
        self._clock = clock
        self._health = Health(clock=clock, parameters=health)
        self._leaving = False
        self._leaving_ticket = 0
        self._in_flight = 0
        self._others = 0.0
        self._first_ms = 0.0
        self._pending: dict[int, Sent] = {}
        self._pending_tokens = 0
        self._sent = 0
        self._report: LoadReport | None = None
        self._report_at_ms = clock.now_ms()
        self._step_ms = 0.0

    @property
    def name(self) -> str:
        """Name of the target."""
        return self._view.name

    @property
    def view(self) -> TargetView:
        """The target as configuration and the instance list show it."""
        return self._view

    @property
    def health(self) -> Health:
        """Health as seen in this entry's own traffic."""
        return self._health

    @property
    def in_flight(self) -> int:
        """Own calls in flight."""
        return self._in_flight

    @property
    def load(self) -> float:
        """Calls at the target, corrected for the lag of reports."""
        return self._others + self._in_flight

    @property
    def running(self) -> float:
        """Calls that hold a slot there, with own sends since the last report."""
        if self._report is None:
            return self._in_flight
        return max(0.0, self._report.running + self._in_flight - self._report.known)

    @property
    def reported_load(self) -> float:
        """Calls at the target as it last reported them, uncorrected."""
        if self._report is None:
            return 0.0
        return self._report.running + self._report.queued

    @property
    def tokens_ahead(self) -> int:
        """Prompt tokens that wait there, the greater of the report and own sends."""
        reported = self._report.tokens_queued if self._report else 0
        return max(reported, self._pending_tokens)

    @property
    def step_ms(self) -> float:
        """Smoothed step time in reports; 0 before there is one."""
        return self._step_ms

    @property
    def concurrency(self) -> int:
        """Calls that the target runs at a time."""
        reported = self._report.concurrency if self._report else 0
        return max(1, reported or self._view.concurrency)

    @property
    def report_age_ms(self) -> float:
        """Time since the last report, or since the target became known."""
        return self._clock.now_ms() - self._report_at_ms

    @property
    def first_ms(self) -> float:
        """Smoothed time to the first byte of own calls."""
        return self._first_ms

    @property
    def available(self) -> bool:
        """Whether the target may be given new work at all."""
        return not self._leaving and self._view.state is TargetState.SERVING

    def update(self, view: TargetView) -> None:
        """Take a newer view of the target.

        A mark as leaving ends only with a new incarnation or a later ticket that has
        the target serving.
        """
        replaced = view.incarnation and view.incarnation != self._view.incarnation
        if replaced:
            first_sight = not self._view.incarnation
            self._forget_run(first_sight)
        elif view.ticket > self._leaving_ticket:
            self._leaving = False
        self._view = view

    def note_leaving(self) -> None:
        """Give the target no more work while this incarnation lasts."""
        if not self._leaving:
            self._leaving = True
            self._leaving_ticket = self._view.ticket

    def note_sent(self, blocks: list[int], uncached_tokens: int) -> Sent:
        """Count one more own call in flight, and return what was noted of it."""
        self._sent += 1
        sent = Sent(
            number=self._sent,
            blocks=blocks,
            tokens=uncached_tokens,
            tokens_ahead=self.tokens_ahead + uncached_tokens,
            waited=self.load >= self.concurrency,
        )
        self._pending[sent.number] = sent
        self._pending_tokens += uncached_tokens
        self._in_flight += 1
        return sent

    def note_first_byte(self, elapsed_ms: float, sent: Sent) -> None:
        """Take the time to the first byte of an own call."""
        self._settle(sent)
        if self._first_ms:
            self._first_ms += SMOOTHING * (elapsed_ms - self._first_ms)
        else:
            self._first_ms = elapsed_ms
        self._health.note_ok()

    def note_end(self, ok: bool, sent: Sent) -> None:
        """Count one own call less in flight."""
        self._settle(sent)
        self._in_flight -= 1
        if ok:
            self._health.note_ok()

    def note_report(self, report: LoadReport) -> bool:
        """Take a report; return False if a newer one has been taken already."""
        if report.leaving:
            self.note_leaving()
        if self._report is not None and report.sequence <= self._report.sequence:
            return False
        self._report = report
        self._report_at_ms = self._clock.now_ms()
        self._others = max(0.0, report.running + report.queued - report.known)
        if report.step_ms > 0:
            known_ms = self._step_ms or report.step_ms
            self._step_ms = known_ms + STEP_SMOOTHING * (report.step_ms - known_ms)
        return True

    def _settle(self, sent: Sent) -> None:
        if self._pending.pop(sent.number, None) is not None:
            self._pending_tokens -= sent.tokens

    def _forget_run(self, first_sight: bool) -> None:
        self._leaving = False
        self._others = 0.0
        self._report = None
        self._first_ms = 0.0
        self._step_ms = 0.0
        if not first_sight:
            self._health.note_returned()
