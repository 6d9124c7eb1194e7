"""How often prompt parts arrive, and when they last began an answer."""

import math
from collections import OrderedDict
from collections.abc import Iterable

MAX_HISTORIES = 4_096
# Arrivals are halved at this total, so that shares follow the traffic.
MAX_ARRIVALS = 2_000.0
# Share of all calls from which a part counts as established without an answer, and the
# standard deviations by which its count must exceed that share.
ESTABLISHED_SHARE = 0.25
SHARE_CONFIDENCE = 3.0
NEVER_MS = float("-inf")


class _PartHistory:
    """Arrivals of one part, and the boot time at which it last began an answer."""

    __slots__ = ("arrivals", "begun_ms")

    def __init__(self) -> None:
        self.arrivals = 0.0
        self.begun_ms = NEVER_MS


class PartHistories:
    """Histories of the parts that were seen last, in bounded memory.

    Examples
    --------
    >>> histories = PartHistories()
    >>> histories.note_arrival(["a", "b"])
    >>> histories.note_begun("a", 5.0)
    >>> histories.begun_ms("a"), histories.begun_ms("b")
    (5.0, -inf)
    >>> histories.is_established("a"), histories.is_established("b")
    (True, False)
    """

    __slots__ = ("_histories", "_total_arrivals")

    def __init__(self) -> None:
        self._histories: OrderedDict[str, _PartHistory] = OrderedDict()
        self._total_arrivals = 0.0

    def __len__(self) -> int:
        return len(self._histories)

    def note_arrival(self, parts: Iterable[str]) -> None:
        """Count the parts of a call that has arrived."""
        self._total_arrivals += 1.0
        for part in parts:
            self._history(part).arrivals += 1.0
        if self._total_arrivals >= MAX_ARRIVALS:
            self._total_arrivals /= 2.0
            for history in self._histories.values():
                history.arrivals /= 2.0

    def note_begun(self, part: str, begun_ms: float) -> None:
        """Note that an answer began on a part at a boot time."""
        history = self._history(part)
        history.begun_ms = max(history.begun_ms, begun_ms)

    def begun_ms(self, part: str) -> float:
        """Return the boot time at which a part last began an answer."""
        history = self._histories.get(part)
        return history.begun_ms if history is not None else NEVER_MS

    def arrivals(self, part: str) -> float:
        """Return the recent number of calls with a part."""
        history = self._histories.get(part)
        return history.arrivals if history is not None else 0.0

    def is_established(self, part: str) -> bool:
        """Return whether a part has begun an answer before, or many calls have it."""
        if self.begun_ms(part) > NEVER_MS:
            return True
        expected = ESTABLISHED_SHARE * self._total_arrivals
        deviation = math.sqrt(expected * (1.0 - ESTABLISHED_SHARE))
        limit = expected + SHARE_CONFIDENCE * max(1.0, deviation)
        return self.arrivals(part) > limit

    def _history(self, part: str) -> _PartHistory:
        history = self._histories.get(part)
        if history is None:
            history = self._histories[part] = _PartHistory()
            while len(self._histories) > MAX_HISTORIES:
                self._histories.popitem(last=False)
        self._histories.move_to_end(part)
        return history
