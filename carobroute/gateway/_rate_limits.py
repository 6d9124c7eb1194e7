"""Rate limits that targets name in their answers."""

from collections.abc import Callable, Mapping

import msgspec

from carobroute.utils import Clock, Duration, Number

# Time for which peers are told that a target no longer names a limit.
LIFTED_REPORT_MS = 5_000.0
# Age up to which a change is in each digest; the rest is in complete reports only.
NEWS_MS = 1_000.0
COMPLETE_REPORT_INTERVAL_MS = 2_000.0
# Age from which a limit no longer counts. A target that is still there has answered
# some calls meanwhile.
LIMIT_RETENTION_MS = 60_000.0
# A report that differs in age by less than this repeats what is known.
SAME_REPORT_MS = 1.0


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Latest statement of a target on its rate limit, as told to peers.

    Parameters
    ----------
    per_s : float or None
        Calls a second that it takes from all gateways together; None for no limit.
    age_ms : float
        Time since the answer in which the target said so.
    """

    per_s: Duration | None
    age_ms: Number


class _NamedLimit:
    """Limit of one target, and the boot times of its latest answer and of its change.

    The change is dated by when this gateway heard of it.
    """

    __slots__ = ("at_ms", "changed_ms", "per_s")

    def __init__(self, *, per_s: float | None, at_ms: float, changed_ms: float):
        self.per_s = per_s
        self.at_ms = at_ms
        self.changed_ms = changed_ms


LimitCallback = Callable[[str, float | None, float, str], None]


class RateLimits:
    """Latest rate limit of each target, from answers at this gateway and at peers.

    Targets are named by their incarnation and start, since one that has started again
    knows nothing of before. The latest answer counts, wherever it arrived.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_change : callable, optional
        Called with a target, its new limit, the age of the answer in milliseconds, and
        where it comes from.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> limits = RateLimits(clock=clock)
    >>> limits.note("i-1@7", 2.5), limits.limit("i-1@7")
    (True, 2.5)
    >>> clock.advance_ms(100)
    >>> limits.merge({"i-1@7": LimitReport(9.0, 200.0)})
    >>> limits.limit("i-1@7")
    2.5
    >>> limits.note("i-1@7", None), limits.limit("i-1@7")
    (True, None)
    """

    __slots__ = ("_clock", "_last_complete_ms", "_named", "_on_change")

    def __init__(
        self,
        *,
        clock: Clock,
        on_change: LimitCallback = lambda target, per_s, age_ms, source: None,
    ):
        self._clock = clock
        self._on_change = on_change
        self._named: dict[str, _NamedLimit] = {}
        self._last_complete_ms = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Whether no target has named a limit lately."""
        return not self._named

    def limit(self, target: str) -> float | None:
        """Return the calls a second that a target takes; None for no limit."""
        named = self._named.get(target)
        if named is None or self._age_ms(named) > LIMIT_RETENTION_MS:
            return None
        return named.per_s

    def note(self, target: str, per_s: float | None) -> bool:
        """Note what an answer says; return whether peers should hear at once."""
        if per_s is None and target not in self._named:
            return False
        return self._apply(target, per_s, self._clock.boot_time_ms(), "answer")

    def merge(self, reports: Mapping[str, LimitReport]) -> None:
        """Add what a peer knows."""
        now_ms = self._clock.boot_time_ms()
        for target, report in reports.items():
            at_ms = now_ms - max(0.0, report.age_ms)
            named = self._named.get(target)
            if named is None or at_ms > named.at_ms + SAME_REPORT_MS:
                self._apply(target, report.per_s, at_ms, "peer")

    def request_complete_report(self) -> None:
        """Make the next report a complete one, not only one with news."""
        self._last_complete_ms = float("-inf")

    def report(self) -> dict[str, LimitReport]:
        """Return what peers should know: changes, and from time to time all limits."""
        now_ms = self._clock.boot_time_ms()
        oldest_ms = now_ms - NEWS_MS
        if now_ms - self._last_complete_ms >= COMPLETE_REPORT_INTERVAL_MS:
            self._last_complete_ms = now_ms
            oldest_ms = float("-inf")
        reports = {}
        for target, named in list(self._named.items()):
            age_ms = self._age_ms(named)
            unchanged_ms = now_ms - named.changed_ms
            is_lifted = named.per_s is None and unchanged_ms > LIFTED_REPORT_MS
            if is_lifted or age_ms > LIMIT_RETENTION_MS:
                del self._named[target]
                continue
            if named.changed_ms >= oldest_ms:
                reports[target] = LimitReport(named.per_s, round(age_ms, 1))
        return reports

    def _age_ms(self, named: _NamedLimit) -> float:
        return self._clock.boot_time_ms() - named.at_ms

    def _apply(
        self, target: str, per_s: float | None, at_ms: float, source: str
    ) -> bool:
        named = self._named.get(target)
        is_change = per_s != (None if named is None else named.per_s)
        if named is not None and not is_change:
            named.at_ms = at_ms
            return False
        self._named[target] = _NamedLimit(
            per_s=per_s, at_ms=at_ms, changed_ms=self._clock.boot_time_ms()
        )
        if is_change:
            self._on_change(target, per_s, self._age_ms(self._named[target]), source)
        return is_change
