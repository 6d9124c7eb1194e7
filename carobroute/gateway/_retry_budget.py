"""The gateway's part of the repeats that all gateways may make together."""

from collections import deque

from carobroute.utils import Clock


class RetryWindow:
    """Bounds repeats to a share of the calls of a sliding window.

    Each gateway uses its part of the fixed allowance and the share of its own calls,
    so that together they stay within the bound without a shared counter.

    Parameters
    ----------
    clock : Clock
        Source of time.
    window_ms : float
        Length of the window.
    share : float
        Repeats allowed for each call.
    slack : float
        Further repeats that all gateways together may make.
    margin : float, default=0.7
        Part of the bound that is used; the rest is for gateways that count
        differently at the window's edges.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> window = RetryWindow(
    ...     clock=clock, window_ms=1_000, share=0.5, slack=2.0, margin=1.0)
    >>> window.set_gateways(2)
    >>> window.note_call("orders")
    >>> window.take("orders"), window.take("orders")
    (True, False)
    >>> clock.advance_ms(1_001)
    >>> window.take("orders")
    True
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_gateways",
        "_margin",
        "_repeats",
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
        self._gateways = 1
        self._calls: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def set_gateways(self, count: int) -> None:
        """Take the number of gateways that share the allowance."""
        self._gateways = max(1, count)

    def note_call(self, service: str) -> None:
        """Count a caller's call of `service`."""
        self._calls.setdefault(service, deque()).append(self._clock.now_ms())
        # Drops those that have left the window, also while nothing is repeated.
        self._recent(self._calls, service)

    def allowed(self, service: str) -> float:
        """Return how many more repeats of `service` this gateway may make now."""
        calls = self._recent(self._calls, service)
        repeats = self._recent(self._repeats, service)
        bound = self._share * calls + self._slack / self._gateways
        return self._margin * bound - repeats

    def take(self, service: str) -> bool:
        """Count a repeat if there is room for it, and return whether there was."""
        if self.allowed(service) < 1.0:
            return False
        self._repeats.setdefault(service, deque()).append(self._clock.now_ms())
        return True

    def _recent(self, times: dict[str, deque[float]], service: str) -> int:
        noted = times.get(service)
        if noted is None:
            return 0
        oldest_ms = self._clock.now_ms() - self._window_ms
        while noted and noted[0] < oldest_ms:
            noted.popleft()
        return len(noted)
