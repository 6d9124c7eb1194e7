"""Estimated contents of the prefix cache of each target."""

from collections import OrderedDict

from carobroute.engines import CacheEvents
from carobroute.utils import Clock

MAX_BLOCKS_PER_TARGET = 2_000
MAX_AGE_AFTER_GAP_MS = 30_000.0


class PrefixIndex:
    """Prompt blocks that are probably in the prefix caches of targets.

    The index is updated by cache events, which arrive late and with gaps, and by the
    entry's own calls, which are known at once. After a gap, blocks that were not seen
    recently are dropped, because a lost event may have removed them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_blocks : int, default=2000
        Maximum number of blocks kept for one target; the least recently seen are
        dropped first.
    max_age_after_gap_ms : float, default=30000
        Maximum age of the blocks that are kept after a gap, in milliseconds.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> index = PrefixIndex(clock=ManualClock())
    >>> index.note_sent("runner-1", [11, 12, 13])
    >>> index.count_cached("runner-1", [11, 12, 99])
    2
    >>> index.count_cached("runner-2", [11])
    0
    """

    __slots__ = (
        "_blocks",
        "_clock",
        "_gaps",
        "_max_age_after_gap_ms",
        "_max_blocks",
        "_positions",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        max_blocks: int = MAX_BLOCKS_PER_TARGET,
        max_age_after_gap_ms: float = MAX_AGE_AFTER_GAP_MS,
    ):
        self._clock = clock
        self._max_blocks = max_blocks
        self._max_age_after_gap_ms = max_age_after_gap_ms
        self._blocks: dict[str, OrderedDict[int, float]] = {}
        self._positions: dict[str, tuple[str, int]] = {}
        self._gaps = 0

    @property
    def gaps(self) -> int:
        """Number of gaps found in the cache events so far."""
        return self._gaps

    def count_cached(self, target: str, blocks: list[int]) -> int:
        """Return how many leading blocks of `blocks` the target probably has cached."""
        cached = self._blocks.get(target)
        if not cached:
            return 0
        count = 0
        for block in blocks:
            if block not in cached:
                break
            count += 1
        return count

    def position(self, target: str) -> int:
        """Return the sequence number of the last cache event taken from the target."""
        return self._positions.get(target, ("", 0))[1]

    def note_sent(self, target: str, blocks: list[int]) -> None:
        """Add the blocks of a prompt that was sent to a target."""
        self._store(target, blocks)

    def note_events(self, target: str, events: CacheEvents) -> None:
        """Apply cache events of a target, which may be late, repeated or have gaps."""
        incarnation, last = self._positions.get(target, ("", 0))
        if events.incarnation != incarnation:
            if incarnation:
                self.forget(target)
            last = 0
        for event in events.events:
            if event.seq <= last:
                continue
            if last and event.seq > last + 1:
                self._drop_old_blocks(target)
            last = event.seq
            self._store(target, event.stored)
            cached = self._blocks.setdefault(target, OrderedDict())
            for block in event.removed:
                cached.pop(block, None)
        self._positions[target] = (events.incarnation, last)

    def forget(self, target: str) -> None:
        """Drop all blocks of a target and its position in the events."""
        self._blocks.pop(target, None)
        self._positions.pop(target, None)

    def _store(self, target: str, blocks: list[int]) -> None:
        if not blocks:
            return
        cached = self._blocks.setdefault(target, OrderedDict())
        now_ms = self._clock.now_ms()
        for block in blocks:
            cached[block] = now_ms
            cached.move_to_end(block)
        while len(cached) > self._max_blocks:
            cached.popitem(last=False)

    def _drop_old_blocks(self, target: str) -> None:
        self._gaps += 1
        cached = self._blocks.get(target)
        min_seen_ms = self._clock.now_ms() - self._max_age_after_gap_ms
        while cached:
            block, seen_ms = next(iter(cached.items()))
            if seen_ms >= min_seen_ms:
                return
            del cached[block]
