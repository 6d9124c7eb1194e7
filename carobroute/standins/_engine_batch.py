"""Continuous batching, prefix cache and fault controls of the stand-in engine."""

import asyncio
import random
from collections import OrderedDict, deque

import msgspec
import xxhash

from carobroute.engines import CacheEvent, block_hashes, count_tokens

MS_PER_S = 1_000
KEPT_EVENTS = 2_000
STREAM_QUEUE = 64
STALL_CHECK_S = 0.01


def answer_token(prompt: str, index: int) -> str:
    """Return token `index` of the answer to `prompt`, the same on every engine."""
    digest = xxhash.xxh3_64_intdigest(f"{index}\0{prompt}".encode())
    return f"{digest & 0xFFFF:04x} "


class Settings(msgspec.Struct, kw_only=True):
    """Speed, bounds and faults, changed at run time by the admin path."""

    concurrency: int = 8
    prefill_ms_per_token: float = 0.05
    step_ms: float = 5.0
    step_ms_per_stream: float = 0.2
    cache_blocks: int = 2_000
    event_loss: float = 0.0
    event_lag_ms: float = 200.0
    load_lag_ms: float = 200.0
    crash_on: str = ""
    resume: bool = True
    honours_fencing: bool = False
    slow_factor: float = 1.0
    stalled: bool = False
    drop_after: int = 0
    silent_after: int = 0


class Stream(msgspec.Struct, kw_only=True, eq=False):
    """One call that waits or runs."""

    request_id: str
    prompt: str
    tokens: int
    position: int = 0
    priority: int = 5
    prefilled: bool = False
    cancelled: bool = False
    queue: asyncio.Queue = msgspec.field(
        default_factory=lambda: asyncio.Queue(STREAM_QUEUE)
    )


class PrefixCache:
    """Blocks of prompts seen lately, and the events that tell of them.

    Parameters
    ----------
    settings : Settings
        Size and event loss.
    random : random.Random
        Chooses the events that are lost.
    """

    __slots__ = ("_blocks", "_events", "_random", "_seq", "_settings")

    def __init__(self, *, settings: Settings, random: random.Random):
        self._settings = settings
        self._random = random
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=KEPT_EVENTS)
        self._seq = 0

    def use(self, blocks: list[int], now_ms: float) -> int:
        """Store `blocks` and return how many of the first were there already."""
        hits = 0
        while hits < len(blocks) and blocks[hits] in self._blocks:
            hits += 1
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._settings.cache_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        stored = blocks[hits:]
        if stored or removed:
            self._seq += 1
            event = CacheEvent(seq=self._seq, stored=stored, removed=removed)
            if self._random.random() >= self._settings.event_loss:
                self._events.append((now_ms, event))
        return hits

    def events(self, after: int, now_ms: float) -> list[CacheEvent]:
        """Return the events above `after` that are old enough to be published."""
        limit_ms = now_ms - self._settings.event_lag_ms
        return [e for at, e in self._events if e.seq > after and at <= limit_ms]


class Batch:
    """Runs streams in steps: each running stream gets one token a step.

    Parameters
    ----------
    settings : Settings
        Speed and bounds.
    random : random.Random
        Source of chance.
    """

    def __init__(self, *, settings: Settings, random: random.Random):
        self.settings = settings
        self.cache = PrefixCache(settings=settings, random=random)
        self.waiting: list[Stream] = []
        self.running: list[Stream] = []
        self.step_ms = settings.step_ms
        self.steps = 0
        self._wake = asyncio.Event()

    def add(self, stream: Stream) -> None:
        """Queue `stream`; a stream of the same request is replaced."""
        self.cancel(stream.request_id)
        if stream.position >= stream.tokens:
            return
        self.waiting.append(stream)
        self._wake.set()

    def find(self, request_id: str) -> Stream | None:
        """Return the waiting or running stream of a request, or None."""
        for stream in [*self.running, *self.waiting]:
            if stream.request_id == request_id and not stream.cancelled:
                return stream
        return None

    def cancel(self, request_id: str) -> Stream | None:
        """Stop the stream of a request, and return it if there was one."""
        stream = self.find(request_id)
        if stream is not None:
            stream.cancelled = True
        return stream

    async def run(self) -> None:
        """Make steps for ever."""
        while True:
            if not self.waiting and not self.running:
                self._wake.clear()
                await self._wake.wait()
            await self._step()

    async def _step(self) -> None:
        settings = self.settings
        started = asyncio.get_running_loop().time()
        prefill_ms = self._admit(started * MS_PER_S)
        duration_ms = settings.step_ms + settings.step_ms_per_stream * len(self.running)
        self.step_ms = (duration_ms + prefill_ms) * settings.slow_factor
        await asyncio.sleep(self.step_ms / MS_PER_S)
        while settings.stalled:  # noqa: ASYNC110
            await asyncio.sleep(STALL_CHECK_S)
        self.steps += 1
        for stream in self.running:
            # A reader that is slow holds its own stream back, and no other.
            if not stream.cancelled and not stream.queue.full():
                stream.queue.put_nowait(answer_token(stream.prompt, stream.position))
                stream.position += 1
        self.running = [
            s for s in self.running if not s.cancelled and s.position < s.tokens
        ]

    def _admit(self, now_ms: float) -> float:
        """Move waiting streams into the batch and return the prefill time."""
        self.waiting = [s for s in self.waiting if not s.cancelled]
        self.waiting.sort(key=lambda s: -s.priority)
        prefill_ms = 0.0
        while self.waiting and len(self.running) < self.settings.concurrency:
            stream = self.waiting.pop(0)
            self.running.append(stream)
            if stream.prefilled:
                continue
            blocks = block_hashes(stream.prompt)
            hits = self.cache.use(blocks, now_ms)
            share = 1.0 - hits / len(blocks) if blocks else 1.0
            tokens = count_tokens(stream.prompt) * share
            prefill_ms += tokens * self.settings.prefill_ms_per_token
        return prefill_ms
