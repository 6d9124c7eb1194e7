"""Passing a target's cache events on to entries, within a budget."""

from collections import deque

from returns.result import Failure

from carobroute.engines import CacheEvents, Engine
from carobroute.links import Endpoint, Message, message
from carobroute.utils import Clock

INTERVAL_MS = 1_000.0
RETRY_MS = 10_000.0
BLOCKS_PER_NEWS = 16
MAX_WAITING = 2_000
ENTRY_ROLE = "entry"


@message
class CacheNews(Message, tag="cache_news"):
    """Blocks that entered or left the prefix cache of a target.

    Parameters
    ----------
    target : str
        The target.
    run : str
        Run of the target that the sequence belongs to.
    sequence : int
        Grows by one with each message; a gap in the target's own events skips one.
    stored, removed : list of int
        Block hashes.
    """

    target: str
    run: str
    sequence: int
    stored: list[int] = []
    removed: list[int] = []


class CacheReporter:
    """Reads a target's cache events and tells them to the entries.

    Parameters
    ----------
    target : str
        The target.
    engine : Engine
        Its adapter.
    endpoint : Endpoint
        Links of this process.
    clock : Clock
        Source of time.

    Notes
    -----
    An entry learns of its own sends by itself, so news is only a correction and may
    be short: at most `BLOCKS_PER_NEWS` hashes of 9 bytes a second for each link,
    removals first. What waits too long is dropped, the oldest first.
    """

    __slots__ = (
        "_clock",
        "_endpoint",
        "_engine",
        "_position",
        "_removed",
        "_run",
        "_sequence",
        "_stored",
        "_target",
    )

    def __init__(
        self, *, target: str, engine: Engine, endpoint: Endpoint, clock: Clock
    ):
        self._target = target
        self._engine = engine
        self._endpoint = endpoint
        self._clock = clock
        self._position = 0
        self._run = ""
        self._sequence = 0
        self._stored: deque[int] = deque(maxlen=MAX_WAITING)
        self._removed: deque[int] = deque(maxlen=MAX_WAITING)

    async def run(self) -> None:
        """Read and tell until cancelled."""
        while True:
            read = await self._engine.cache_events(self._position)
            if isinstance(read, Failure):
                await self._clock.sleep_ms(RETRY_MS)
                continue
            self.take(read.unwrap())
            self._tell()
            await self._clock.sleep_ms(INTERVAL_MS)

    def take(self, events: CacheEvents) -> None:
        """Note events, and a skipped number for each gap between them."""
        if events.incarnation != self._run:
            self._run = events.incarnation
            self._position = 0
            self._sequence = 0
            self._stored.clear()
            self._removed.clear()
        for event in events.events:
            if self._position and event.seq > self._position + 1:
                self._sequence += 1
            self._position = event.seq
            self._stored.extend(event.stored)
            self._removed.extend(event.removed)

    def _tell(self) -> None:
        news = self.next_news()
        if news is None:
            return
        for peer in self._endpoint.peers:
            if peer.role == ENTRY_ROLE and peer.up:
                peer.send(news)

    def next_news(self) -> CacheNews | None:
        """Return what fits into one message, or None when there is nothing to tell."""
        if not self._stored and not self._removed:
            return None
        self._sequence += 1
        removed = _take(self._removed, BLOCKS_PER_NEWS)
        stored = _take(self._stored, BLOCKS_PER_NEWS - len(removed))
        return CacheNews(
            target=self._target,
            run=self._run,
            sequence=self._sequence,
            stored=stored,
            removed=removed,
        )


def _take(waiting: deque[int], most: int) -> list[int]:
    return [waiting.popleft() for _ in range(min(most, len(waiting)))]
