"""Attempts that a local process knows, and those it has closed."""

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from carobroute.local._answers import Answer, Delivery
from carobroute.utils import Clock

MEMORY_MS = 600_000.0
MAX_CLOSED = 50_000


class AttemptKey(msgspec.Struct, frozen=True):
    """Identity of an attempt."""

    request_id: str
    attempt: int


class Attempt:
    """One attempt in progress: its delivery and the answer that it waits for.

    Parameters
    ----------
    key : AttemptKey
        Identity.
    entry : str
        Incarnation of the entry that submitted it.
    delivery : Delivery
        Where the answer goes.
    answer : Answer
        The answer, which several attempts with one idempotency key may share.
    since_ms : float
        Monotonic time of submission.
    """

    __slots__ = ("answer", "delivery", "entry", "key", "orphan_since_ms", "since_ms")

    def __init__(
        self,
        *,
        key: AttemptKey,
        entry: str,
        delivery: Delivery,
        answer: Answer,
        since_ms: float,
    ):
        self.key = key
        self.entry = entry
        self.delivery = delivery
        self.answer = answer
        self.since_ms = since_ms
        self.orphan_since_ms = 0.0


class AttemptTable:
    """Attempts in progress, and a bounded memory of closed ones.

    The memory is what makes "never arrived" a promise: an attempt that was closed
    is refused for good, and one that may have been forgotten is never called new.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_closed : int, default=50_000
        Closed attempts remembered at the most.
    """

    __slots__ = ("_clock", "_closed", "_max_closed", "_open", "_remembers_since_ms")

    def __init__(self, *, clock: Clock, max_closed: int = MAX_CLOSED):
        self._clock = clock
        self._max_closed = max_closed
        self._open: dict[AttemptKey, Attempt] = {}
        self._closed: OrderedDict[AttemptKey, float] = OrderedDict()
        self._remembers_since_ms = clock.now_ms()

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[Attempt]:
        return iter(list(self._open.values()))

    def find(self, key: AttemptKey) -> Attempt | None:
        """Return the attempt if it is in progress."""
        return self._open.get(key)

    def is_closed(self, key: AttemptKey) -> bool:
        """Whether the attempt is known to be closed."""
        return key in self._closed

    def add(self, attempt: Attempt) -> None:
        """Keep an attempt that is in progress."""
        self._open[attempt.key] = attempt

    def close(self, key: AttemptKey) -> None:
        """Remember an attempt as closed."""
        self._open.pop(key, None)
        now_ms = self._clock.now_ms()
        self._closed[key] = now_ms
        self._closed.move_to_end(key)
        self._expire(now_ms)

    def never_arrived(self, key: AttemptKey, *, age_ms: float) -> bool:
        """Whether the attempt certainly has not been seen by this process.

        Parameters
        ----------
        key : AttemptKey
            Identity of the attempt.
        age_ms : float
            Time since it was submitted, measured by the entry.
        """
        if key in self._open or key in self._closed:
            return False
        submitted_ms = self._clock.now_ms() - age_ms
        return submitted_ms >= self._remembers_since_ms

    def _expire(self, now_ms: float) -> None:
        while self._closed:
            oldest, closed_ms = next(iter(self._closed.items()))
            over = len(self._closed) > self._max_closed
            if not over and now_ms - closed_ms < MEMORY_MS:
                return
            del self._closed[oldest]
            self._remembers_since_ms = max(self._remembers_since_ms, closed_ms)
