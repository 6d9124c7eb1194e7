"""This gateway's part of the retry budget that all gateways share."""

import enum
from collections import deque

from carobroute.utils import Clock


class RetryPurpose(enum.Enum):
    """What a retry is for.

    Attributes
    ----------
    FAILURE
        To serve a call that has failed.
    CONFIRMATION
        To confirm an end with nothing against it.
    """

    FAILURE = enum.auto()
    CONFIRMATION = enum.auto()


class RetryBudget:
    """Limits retries to a share of the calls in a sliding window.

    Each gateway may spend the share of its own calls and an equal part of the fixed
    allowance, so that all of them stay within the limit without a shared counter.

    Parameters
    ----------
    clock : Clock
        Source of time.
    window_ms : float
        Length of the window.
    share : float
        Retries allowed for each call.
    slack : float
        Fixed number of further retries that all gateways together may make.
    margin : float, default=0.7
        Part of the limit that is used. The rest allows for windows of other gateways
        that begin and end at other times.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> budget = RetryBudget(
    ...     clock=clock, window_ms=1_000, share=0.5, slack=2.0, margin=1.0)
    >>> budget.set_gateway_count(2)
    >>> budget.note_call("orders")
    >>> budget.try_spend("orders"), budget.try_spend("orders")
    (True, False)
    >>> clock.advance_ms(1_001)
    >>> budget.try_spend("orders")
    True
    """

    __slots__ = (
        "_call_times_ms",
        "_clock",
        "_confirmation_times_ms",
        "_gateway_count",
        "_margin",
        "_retry_times_ms",
        "_share",
        "_slack",
        "_window_ms",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        window_ms: float,
        share: float,
        slack: float,
        margin: float = 0.7,
    ):
        self._clock = clock
        self._window_ms = window_ms
        self._share = share
        self._slack = slack
        self._margin = margin
        self._gateway_count = 1
        self._call_times_ms: dict[str, deque[float]] = {}
        self._retry_times_ms: dict[str, deque[float]] = {}
        # Those of the retries that only confirm ends with nothing against them.
        self._confirmation_times_ms: dict[str, deque[float]] = {}

    def set_gateway_count(self, count: int) -> None:
        """Set the number of gateways that share the fixed allowance."""
        self._gateway_count = max(1, count)

    def note_call(self, service: str) -> None:
        """Count a call of `service`."""
        self._call_times_ms.setdefault(service, deque()).append(self._clock.now_ms())
        # Also drops calls older than the window, since nothing else does without
        # retries.
        self._count_recent(self._call_times_ms, service)

    def remaining(self, service: str) -> float:
        """Return the number of retries of `service` that this gateway may make now."""
        retries = self._count_recent(self._retry_times_ms, service)
        return self.limit(service) - retries

    def limit(self, service: str) -> float:
        """Return the number of retries of `service` for each window."""
        return self._margin * self._limit(service)

    def call_count(self, service: str) -> int:
        """Return the number of calls of `service` in the window."""
        return self._count_recent(self._call_times_ms, service)

    def failure_count(self, service: str) -> int:
        """Return the number of retries in the window that were no confirmations."""
        retries = self._count_recent(self._retry_times_ms, service)
        return retries - self._count_recent(self._confirmation_times_ms, service)

    def has_spare(self, service: str, *, reserve: float) -> bool:
        """Whether a retry of `service` would leave a number of others.

        Parameters
        ----------
        service : str
            Service that is called.
        reserve : float
            Retries that are left.
        """
        return self.remaining(service) - reserve >= 1.0

    def try_spend(self, service: str, *, is_confirmation: bool = False) -> bool:
        """Count a retry and return True, or return False if the budget is used up.

        Parameters
        ----------
        service : str
            Service that is called.
        is_confirmation : bool, default=False
            Whether it only confirms an end with nothing against it.
        """
        if self.remaining(service) < 1.0:
            return False
        now_ms = self._clock.now_ms()
        self._retry_times_ms.setdefault(service, deque()).append(now_ms)
        if is_confirmation:
            self._confirmation_times_ms.setdefault(service, deque()).append(now_ms)
        return True

    def give_back(self, service: str, *, is_confirmation: bool = False) -> None:
        """Take back the last retry that was counted, since nothing was sent.

        Parameters
        ----------
        service : str
            Service that is called.
        is_confirmation : bool, default=False
            Whether it was to confirm an end with nothing against it.
        """
        spent = [self._retry_times_ms]
        if is_confirmation:
            spent.append(self._confirmation_times_ms)
        for times_ms_by_service in spent:
            if times_ms_by_service.get(service):
                times_ms_by_service[service].pop()

    def _limit(self, service: str) -> float:
        calls = self._count_recent(self._call_times_ms, service)
        return self._share * calls + self._slack / self._gateway_count

    def _count_recent(
        self, times_ms_by_service: dict[str, deque[float]], service: str
    ) -> int:
        times_ms = times_ms_by_service.get(service)
        if times_ms is None:
            return 0
        oldest_ms = self._clock.now_ms() - self._window_ms
        while times_ms and times_ms[0] < oldest_ms:
            times_ms.popleft()
        return len(times_ms)
