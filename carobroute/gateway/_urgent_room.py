"""Room in limited rank groups, divided by urgency over the calls of all gateways."""

import math
from collections.abc import Callable, Iterable, Mapping

from carobroute.gateway._dispatch_types import DispatchRequest
from carobroute.gateway._event_rates import EventRates
from carobroute.gateway._group_limits import GroupLimits
from carobroute.gateway._targets import Target
from carobroute.utils import Clock

MS_PER_S = 1_000.0
# Part of the completions that calls may count on at least, however many more urgent
# ones arrive.
MIN_LEFT_SHARE = 0.1


class UrgentRoom:
    """Decides which calls the room of limited rank groups is for.

    Gateways hear of each other's calls with a delay. Room is kept from a call for the
    more urgent ones that wait at other gateways, for those that probably arrive until
    the next pass ends, and for calls that other gateways have placed unseen.

    Parameters
    ----------
    clock : Clock
        Source of time.
    window_ms : float
        Window over which rates of arrivals are measured.
    limits : GroupLimits or None
        Limits of the groups; None if there are none.
    peer_waiting : callable
        Returns the calls that wait at each other gateway, by priority.
    total_calls_per_s : callable or None
        Returns the recent rate of calls to rank groups of all gateways; None if there
        is only this one.
    unseen_calls : callable
        Returns the calls of a service that other gateways have probably placed since
        their last digests.
    """

    __slots__ = (
        "_arrivals",
        "_limits",
        "_peer_waiting",
        "_total_calls_per_s",
        "_unseen_calls",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        window_ms: float,
        limits: GroupLimits | None,
        peer_waiting: Callable[[], list[dict[int, int]]],
        total_calls_per_s: Callable[[], float] | None,
        unseen_calls: Callable[[str], float],
    ):
        self._arrivals: EventRates[int] = EventRates(clock=clock, window_ms=window_ms)
        self._limits = limits
        self._peer_waiting = peer_waiting
        self._total_calls_per_s = total_calls_per_s or (lambda: self.calls_per_s)
        self._unseen_calls = unseen_calls

    @property
    def calls_per_s(self) -> float:
        """Recent rate of arrivals at this gateway."""
        return self._arrivals_per_ms() * MS_PER_S

    def note_arrival(self, priority: int) -> None:
        """Count a call for a service with engines."""
        self._arrivals.note(priority)

    def in_time_ms(self, request: DispatchRequest) -> float:
        """Return the wait with which a call has its first event in time.

        It is infinite if no limit of a group holds it back.
        """
        limits = self._limits_for(request)
        first_ms = limits.first_event_ms(request.service) if limits else None
        if first_ms is None:
            return math.inf
        return request.latency_target_ms - first_ms

    def select(
        self, request: DispatchRequest, targets: list[Target], listed: Iterable[Target]
    ) -> list[Target]:
        """Return the targets whose groups may run one more stream of this urgency.

        A call that may have run, such as the rest of a stream, is not held back.

        Parameters
        ----------
        request : DispatchRequest
            The call.
        targets : list of Target
            Targets that it may be sent to.
        listed : iterable of Target
            All targets of the service, whose streams count as well.
        """
        limits = self._limits_for(request)
        if limits is None:
            return targets
        kept = self._kept_for_urgent(limits, request)
        groups = limits.find_groups_with_room(listed, kept=kept)
        if groups is None:
            return targets
        return [target for target in targets if target.group in groups]

    def expected_wait_ms(self, request: DispatchRequest, *, ahead: int) -> float | None:
        """Return the expected wait of a call; None if no limit binds.

        Room that any gateway frees is room for all, and more urgent calls that arrive
        meanwhile come first.

        Parameters
        ----------
        request : DispatchRequest
            The call.
        ahead : int
            Calls that come before it at this gateway.
        """
        service = request.service.name
        rate_per_ms = self._limits.completions_per_ms(service) if self._limits else 0.0
        if not rate_per_ms:
            return None
        ahead += count_more_urgent(self._peer_waiting(), request.priority + 1)
        left_per_ms = rate_per_ms - self._more_urgent_per_ms(request.priority)
        return (ahead + 1) / max(MIN_LEFT_SHARE * rate_per_ms, left_per_ms)

    def _limits_for(self, request: DispatchRequest) -> GroupLimits | None:
        """Return the limits that may hold a call back."""
        if request.service.engine is None or request.may_have_run:
            return None
        return self._limits

    def _kept_for_urgent(self, limits: GroupLimits, request: DispatchRequest) -> float:
        """Return the streams for which room is kept from a call."""
        service, priority = request.service.name, request.priority
        kept: float = count_more_urgent(self._peer_waiting(), priority)
        urgent_per_ms = self._more_urgent_per_ms(priority)
        if urgent_per_ms:
            kept += urgent_per_ms * limits.pass_ms(service)
            kept += self._unseen_calls(service)
        return min(kept, limits.max_kept(service))

    def _more_urgent_per_ms(self, priority: int) -> float:
        """Return the rate of more urgent calls at all gateways.

        Those of others are taken to be as urgent as those that arrive here.
        """
        own_per_ms = self._arrivals_per_ms()
        if not own_per_ms:
            return 0.0
        share = self._arrivals_per_ms(before=priority) / own_per_ms
        return share * self._total_calls_per_s() / MS_PER_S

    def _arrivals_per_ms(self, before: int | None = None) -> float:
        """Return the rate of arrivals, or of those with a priority before that one."""
        return sum(
            self._arrivals.per_ms(priority)
            for priority in self._arrivals.keys
            if before is None or priority < before
        )


def count_more_urgent(waiting: Iterable[Mapping[int, int]], priority: int) -> int:
    """Return the number of waiting calls that come before those of a priority.

    Parameters
    ----------
    waiting : iterable of mapping from int to int
        Waiting calls by priority, of each gateway.
    priority : int
        Priority of a call; 0 comes first.

    Examples
    --------
    >>> count_more_urgent([{0: 2, 1: 5}, {2: 7}], 1)
    2
    """
    return sum(
        count for queue in waiting for other, count in queue.items() if other < priority
    )
