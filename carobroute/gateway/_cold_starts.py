"""Targets that are cold: slow for some time, and able to stand fewer calls a second."""

from collections.abc import Callable, Mapping

import msgspec

from carobroute.gateway._rate_limits import RateLimits
from carobroute.utils import Clock, Number

# Age up to which a change is in each digest; the rest is in complete reports only.
NEWS_MS = 600.0
COMPLETE_REPORT_INTERVAL_MS = 1_000.0
# A longer remaining time in a foreign message or entry is cut to this.
MAX_COLD_MS = 120_000.0
# Statements that differ by less tell the same.
SAME_END_MS = 100.0
# Time for which an unused token of a cold target is valid. The calls of any second are
# of tokens that were issued in little more than that second.
COLD_TOKEN_LIFE_MS = 300.0
# Weight of a target that is as cold as after its start.
MIN_COLD_WEIGHT = 0.3


class ColdStart(msgspec.Struct):
    """Cold time of one run of a target.

    Parameters
    ----------
    until_ms : float
        Boot time at which it ends.
    changed_ms : float
        Boot time at which this gateway heard of it.
    source : str
        The `list`, an `answer`, a `peer`, or the end of an `evacuation`.
    """

    until_ms: float
    changed_ms: float
    source: str


class ColdProfile(msgspec.Struct, frozen=True):
    """What a service publishes of its cold targets.

    Parameters
    ----------
    duration_ms : float
        Time for which a target is cold after its start.
    calls_per_s : float
        Calls a second that a cold target stands from all gateways; 0 for no limit.
    """

    duration_ms: float = 0.0
    calls_per_s: float = 0.0


ColdCallback = Callable[[str, float, str], None]


class ColdStarts:
    """Targets that are cold, as the list, answers and peers tell.

    The latest end that any source names counts, so what is known is never shorter than
    the truth but for the time that news takes. It ends by itself.

    Parameters
    ----------
    clock : Clock
        Source of time.
    find_profile : callable
        Returns the profile of a run's service; None for an unknown run.
    heard_share : callable, optional
        Returns the share of all gateways that this one is in touch with, itself
        included. A gateway without news lets through so much of a limit only.
    on_change : callable, optional
        Called with a run that has become cold, the remaining time, and the source.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> cold = ColdStarts(
    ...     clock=clock, find_profile=lambda run: ColdProfile(3_000.0, 20.0))
    >>> cold.note("i-1@7", 3_000.0, "list")
    >>> clock.advance_ms(1_500)
    >>> cold.limit("i-1@7"), cold.weight("i-1@7")
    (20.0, 0.65)
    >>> clock.advance_ms(1_500)
    >>> cold.limit("i-1@7") is None, cold.weight("i-1@7")
    (True, 1.0)
    """

    __slots__ = (
        "_clock",
        "_find_profile",
        "_heard_share",
        "_known",
        "_last_complete_ms",
        "_on_change",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        find_profile: Callable[[str], ColdProfile | None],
        heard_share: Callable[[], float] = lambda: 1.0,
        on_change: ColdCallback = lambda run_id, remaining_ms, source: None,
    ):
        self._clock = clock
        self._find_profile = find_profile
        self._heard_share = heard_share
        self._on_change = on_change
        self._known: dict[str, ColdStart] = {}
        self._last_complete_ms = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Whether no target is known to be cold."""
        if self._known:
            self._drop_ended()
        return not self._known

    def remaining_ms(self, run_id: str) -> float:
        """Return how much longer a run is cold; 0 if it is not."""
        known = self._known.get(run_id)
        if known is None:
            return 0.0
        return max(0.0, known.until_ms - self._clock.boot_time_ms())

    def source(self, run_id: str) -> str:
        """Return where the end of a run's cold time comes from; empty for none."""
        known = self._known.get(run_id)
        return known.source if known is not None else ""

    def limit(self, run_id: str) -> float | None:
        """Return the calls a second to a cold run; None for no limit."""
        if not self.remaining_ms(run_id):
            return None
        profile = self._find_profile(run_id)
        if profile is None or not profile.calls_per_s:
            return None
        return profile.calls_per_s * self._heard_share()

    def weight(self, run_id: str) -> float:
        """Return the weight of a run when loads are compared; 1 if it is not cold."""
        remaining_ms = self.remaining_ms(run_id)
        profile = self._find_profile(run_id) if remaining_ms else None
        if profile is None or not profile.duration_ms:
            return 1.0
        share = min(1.0, remaining_ms / profile.duration_ms)
        return 1.0 - (1.0 - MIN_COLD_WEIGHT) * share

    def note(self, run_id: str, remaining_ms: float, source: str) -> None:
        """Note how much longer a run is cold, by a source."""
        remaining_ms = min(remaining_ms, MAX_COLD_MS)
        if remaining_ms <= 0.0:
            return
        now_ms = self._clock.boot_time_ms()
        until_ms = now_ms + remaining_ms
        known = self._known.get(run_id)
        if known is not None and until_ms <= known.until_ms + SAME_END_MS:
            return
        is_new = not self.remaining_ms(run_id)
        self._known[run_id] = ColdStart(until_ms, now_ms, source)
        if is_new:
            self._on_change(run_id, remaining_ms, source)

    def merge(self, reports: Mapping[str, Number]) -> None:
        """Add what a peer knows: the remaining times of runs, in milliseconds."""
        for run_id, remaining_ms in reports.items():
            self.note(run_id, remaining_ms, "peer")

    def request_complete_report(self) -> None:
        """Make the next report a complete one, not only one with news."""
        self._last_complete_ms = float("-inf")

    def report(self) -> dict[str, Number]:
        """Return what peers should know: news, and from time to time all."""
        if not self._known:
            return {}
        self._drop_ended()
        now_ms = self._clock.boot_time_ms()
        oldest_ms = now_ms - NEWS_MS
        if now_ms - self._last_complete_ms >= COMPLETE_REPORT_INTERVAL_MS:
            self._last_complete_ms = now_ms
            oldest_ms = float("-inf")
        return {
            run_id: round(known.until_ms - now_ms, 1)
            for run_id, known in self._known.items()
            if known.changed_ms >= oldest_ms
        }

    def _drop_ended(self) -> None:
        now_ms = self._clock.boot_time_ms()
        for run_id, known in list(self._known.items()):
            if known.until_ms <= now_ms:
                del self._known[run_id]


class TargetRates:
    """Calls a second that each target takes: what it names, and what it stands cold.

    Parameters
    ----------
    named : RateLimits
        Limits that targets name in their answers.
    cold : ColdStarts
        Targets that are cold.
    """

    __slots__ = ("_cold", "_named")

    def __init__(self, *, named: RateLimits, cold: ColdStarts):
        self._named = named
        self._cold = cold

    @property
    def is_empty(self) -> bool:
        """Whether no target is limited."""
        return self._named.is_empty and self._cold.is_empty

    def limit(self, run_id: str) -> float | None:
        """Return the calls a second that a run takes; None for no limit."""
        limits = (self._named.limit(run_id), self._cold.limit(run_id))
        return min((limit for limit in limits if limit is not None), default=None)

    def is_named(self, run_id: str) -> bool:
        """Whether the run itself has named a limit."""
        return self._named.limit(run_id) is not None

    def token_life_ms(self, run_id: str) -> float | None:
        """Return the time for which a token of a cold run is valid; None otherwise."""
        is_cold = self._cold.remaining_ms(run_id) > 0
        return COLD_TOKEN_LIFE_MS if is_cold else None
