"""Belief about which prompt blocks each target's prefix cache holds."""

from collections import OrderedDict

from carobroute.engines import CacheEvents
from carobroute.utils import Clock

MAX_BLOCKS_PER_TARGET = 2_000
TRUST_MS = 30_000.0


class PrefixIndex:
    """Blocks believed to be in the prefix caches of targets.

    Blocks are learned from cache events, which come late and with gaps, and from the
    entry's own sends, which come at once. After a gap, what was not seen lately is
    forgotten, because it may have been removed unheard.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_blocks : int, default=2000
        Blocks kept for one target; the least recently seen go first.
    trust_ms : float, default=30000
        Age up to which a block is still believed after a gap, in milliseconds.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> index = PrefixIndex(clock=ManualClock())
    >>> index.note_sent("runner-1", [11, 12, 13])
    >>> index.cached("runner-1", [11, 12, 99]), index.cached("runner-2", [11])
    (2, 0)
    """

    __slots__ = ("_blocks", "_clock", "_gaps", "_max_blocks", "_positions", "_trust_ms")

    def __init__(
        self,
        *,
        clock: Clock,
        max_blocks: int = MAX_BLOCKS_PER_TARGET,
        trust_ms: float = TRUST_MS,
    ):
        self._clock = clock
        self._max_blocks = max_blocks
        self._trust_ms = trust_ms
        self._blocks: dict[str, OrderedDict[int, float]] = {}
        self._positions: dict[str, tuple[str, int]] = {}
        self._gaps = 0

    @property
    def gaps(self) -> int:
        """Number of gaps met in the events so far."""
        return self._gaps

    def cached(self, target: str, blocks: list[int]) -> int:
        """Return how many of the first `blocks` the target is believed to hold."""
        held = self._blocks.get(target)
        if not held:
            return 0
        count = 0
        for block in blocks:
            if block not in held:
                break
            count += 1
        return count

    def position(self, target: str) -> int:
        """Return the sequence number after which events are wanted."""
        return self._positions.get(target, ("", 0))[1]

    def note_sent(self, target: str, blocks: list[int]) -> None:
        """Assume that the blocks of a prompt sent to a target will be cached."""
        self._store(target, blocks)

    def note_events(self, target: str, events: CacheEvents) -> None:
        """Take cache events of a target, late, repeated or with gaps."""
        incarnation, last = self._positions.get(target, ("", 0))
        if events.incarnation != incarnation:
            if incarnation:
                self.forget(target)
            last = 0
        for event in events.events:
            if event.seq <= last:
                continue
            if last and event.seq > last + 1:
                self._drop_untrusted(target)
            last = event.seq
            self._store(target, event.stored)
            held = self._blocks.setdefault(target, OrderedDict())
            for block in event.removed:
                held.pop(block, None)
        self._positions[target] = (events.incarnation, last)

    def forget(self, target: str) -> None:
        """Forget all about a target's cache."""
        self._blocks.pop(target, None)
        self._positions.pop(target, None)

    def _store(self, target: str, blocks: list[int]) -> None:
        if not blocks:
            return
        held = self._blocks.setdefault(target, OrderedDict())
        now_ms = self._clock.now_ms()
        for block in blocks:
            held[block] = now_ms
            held.move_to_end(block)
        while len(held) > self._max_blocks:
            held.popitem(last=False)

    def _drop_untrusted(self, target: str) -> None:
        self._gaps += 1
        held = self._blocks.get(target)
        limit_ms = self._clock.now_ms() - self._trust_ms
        while held:
            block, seen_ms = next(iter(held.items()))
            if seen_ms >= limit_ms:
                return
            del held[block]
