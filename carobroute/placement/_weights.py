"""Weight traffic: the cheapest source first, resumable, checked and within a budget."""

import abc
import asyncio
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Endpoint, Message, Nack, Peer, message
from carobroute.utils import Clock, content_hash

PIECE_BYTES = 1 << 20
MAX_PARTIAL_OBJECTS = 64
PARTIAL_STATUS = 206


class WeightObject(msgspec.Struct, frozen=True, kw_only=True):
    """Weights of one expert in one layer.

    Parameters
    ----------
    key : str
        Name in the weight store.
    size_bytes : int
        Size.
    digest : str
        Content hash, see `carobroute.utils.content_hash`.
    """

    key: str
    size_bytes: int
    digest: str


class WeightSource(abc.ABC):
    """Where weights can be read.

    Parameters
    ----------
    name : str
        Name in events.
    cost : float
        Relative cost of a byte; the cheapest source is tried first.
    """

    __slots__ = ("cost", "name")

    def __init__(self, *, name: str, cost: float):
        self.name = name
        self.cost = cost

    @abc.abstractmethod
    async def read(self, key: str, offset: int, length: int) -> Result[bytes, Fault]:
        """Return up to `length` bytes at `offset` of the object called `key`."""


class HttpWeightSource(WeightSource):
    """Reads weights over HTTP with ranges: the weight store, or the own engine.

    Parameters
    ----------
    address : str
        Base URL.
    session : callable
        Returns the client session to use.
    timeout_ms : float
        Longest wait for one piece.
    name, cost
        As for every `WeightSource`.
    """

    __slots__ = ("_address", "_session", "_timeout_ms")

    def __init__(
        self,
        *,
        address: str,
        session: Callable[[], aiohttp.ClientSession],
        timeout_ms: float = 30_000.0,
        name: str = "weight store",
        cost: float = 10.0,
    ):
        super().__init__(name=name, cost=cost)
        self._address = address.rstrip("/")
        self._session = session
        self._timeout_ms = timeout_ms

    async def read(self, key: str, offset: int, length: int) -> Result[bytes, Fault]:
        """Return up to `length` bytes at `offset` of the object called `key`."""
        url = f"{self._address}/weights/{key}"
        headers = {"Range": f"bytes={offset}-{offset + length - 1}"}
        try:
            async with (
                asyncio.timeout(self._timeout_ms / 1_000),
                self._session().get(url, headers=headers) as response,
            ):
                data = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return fail(ErrorKind.STORE_UNAVAILABLE, f"{url}: {error!r}")
        if status == PARTIAL_STATUS or (status == 200 and len(data) <= length):
            return Success(data)
        return fail(ErrorKind.STORE_UNAVAILABLE, f"{url}: status {status}")


@message
class ReadWeight(Message, tag="read_weight"):
    """Asks a local process for a piece of weights that its engine holds."""

    key: str
    offset: int
    length: int


@message
class WeightPiece(Message, tag="weight_piece"):
    """A piece of weights."""

    data: bytes


class PeerWeightSource(WeightSource):
    """Reads weights from the engine beside another local process.

    Parameters
    ----------
    peer : callable
        Returns the link to that process.
    timeout_ms : float
        Longest wait for one piece.
    name, cost
        As for every `WeightSource`.
    """

    __slots__ = ("_peer", "_timeout_ms")

    def __init__(
        self,
        *,
        peer: Callable[[], Peer],
        timeout_ms: float = 10_000.0,
        name: str,
        cost: float = 1.0,
    ):
        super().__init__(name=name, cost=cost)
        self._peer = peer
        self._timeout_ms = timeout_ms

    async def read(self, key: str, offset: int, length: int) -> Result[bytes, Fault]:
        """Return up to `length` bytes at `offset` of the object called `key`."""
        question = ReadWeight(key=key, offset=offset, length=length)
        reply = await self._peer().call(question, timeout_ms=self._timeout_ms)
        return reply.map(lambda piece: piece.data)


async def answer_read(source: WeightSource, entry: ReadWeight) -> Message:
    """Return the reply to a peer's `ReadWeight` from the own engine's weights."""
    length = min(entry.length, PIECE_BYTES)
    data = await source.read(entry.key, entry.offset, length)
    if isinstance(data, Failure):
        return Nack(fault=data.failure())
    return WeightPiece(data=data.unwrap())


def serve_weights(endpoint: Endpoint, source: WeightSource) -> None:
    """Answer peers' reads from `source`, the weights of the own engine."""
    endpoint.handle(ReadWeight, lambda peer, entry: answer_read(source, entry))


class TrafficBudget:
    """This process's share of a data centre's weight traffic.

    Parameters
    ----------
    clock : Clock
        Source of time.
    bytes_per_s : float
        Budget of the whole data centre.
    sharers : callable
        Returns the number of processes that share it, from the instance list.
        Processes that see different numbers for a while may pass the budget by the
        ratio of these numbers, so long as they differ.
    """

    __slots__ = ("_bytes_per_s", "_clock", "_free_ms", "_sharers")

    def __init__(self, *, clock: Clock, bytes_per_s: float, sharers: Callable[[], int]):
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._sharers = sharers
        self._free_ms = 0.0

    @property
    def share_bytes_per_s(self) -> float:
        """Bytes a second that this process may move."""
        return self._bytes_per_s / max(1, self._sharers())

    async def take(self, size_bytes: int) -> None:
        """Wait until `size_bytes` may be moved."""
        now_ms = self._clock.now_ms()
        start_ms = max(now_ms, self._free_ms)
        self._free_ms = start_ms + 1_000 * size_bytes / self.share_bytes_per_s
        if start_ms > now_ms:
            await self._clock.sleep_ms(start_ms - now_ms)


class WeightMover:
    """Fetches the weights of experts for the engine beside this process.

    Parameters
    ----------
    catalogue : callable
        Returns the weight object of a (layer, expert) pair.
    sources : callable
        Returns the sources known now.
    budget : TrafficBudget
        This process's share of the traffic.
    has : callable
        Coroutine function that tells whether the engine holds an object.
    store : callable
        Coroutine function that hands a checked object to the engine.
    on_event : callable, default=None
        Called with an event name and fields, for the log.

    Notes
    -----
    Cancelling `fetch` stops it at once. What had been read stays, for a bounded number
    of objects, and a later fetch goes on from there.
    """

    def __init__(
        self,
        *,
        catalogue: Callable[[int, int], WeightObject],
        sources: Callable[[], Sequence[WeightSource]],
        budget: TrafficBudget,
        has: Callable[[str], Awaitable[bool]],
        store: Callable[[str, bytes], Awaitable[Result[None, Fault]]],
        on_event: Callable[..., None] | None = None,
    ):
        self._catalogue = catalogue
        self._sources = sources
        self._budget = budget
        self._has = has
        self._store = store
        self._on_event = on_event or (lambda *args, **fields: None)
        self._partial: dict[str, bytearray] = {}
        self.moved_bytes = 0

    async def fetch(self, pairs: Sequence[tuple[int, int]]) -> Result[None, Fault]:
        """Bring the weights of all (layer, expert) `pairs` to the engine."""
        for layer, expert in pairs:
            weight = self._catalogue(layer, expert)
            if await self._has(weight.key):
                continue
            fetched = await self._fetch_one(weight)
            if isinstance(fetched, Failure):
                return fetched
        return Success(None)

    async def _fetch_one(self, weight: WeightObject) -> Result[None, Fault]:
        last = Fault(kind=ErrorKind.NOT_FOUND, detail=f"no source of {weight.key}")
        for source in sorted(self._sources(), key=lambda s: (s.cost, s.name)):
            data = await self._read_rest(source, weight)
            if isinstance(data, Failure):
                last = data.failure()
                continue
            whole = data.unwrap()
            self._partial.pop(weight.key, None)
            if content_hash(whole) == weight.digest:
                return await self._store(weight.key, whole)
            # Any source may have sent the damaged piece, so all is read again.
            last = Fault(
                kind=ErrorKind.INTERNAL,
                detail=f"{weight.key} from {source.name} fails its hash",
            )
            self._on_event("weight_damaged", level="warning", source=source.name)
        return Failure(last)

    async def _read_rest(
        self, source: WeightSource, weight: WeightObject
    ) -> Result[bytes, Fault]:
        held = self._held(weight.key)
        while len(held) < weight.size_bytes:
            length = min(PIECE_BYTES, weight.size_bytes - len(held))
            await self._budget.take(length)
            piece = await source.read(weight.key, len(held), length)
            if isinstance(piece, Failure):
                return piece
            data = piece.unwrap()
            if not 0 < len(data) <= length:
                detail = f"{source.name} sent {len(data)} bytes, expected {length}"
                return fail(ErrorKind.STORE_UNAVAILABLE, detail)
            held += data
            self.moved_bytes += len(data)
        return Success(bytes(held))

    def _held(self, key: str) -> bytearray:
        held = self._partial.pop(key, None)
        if held is None:
            held = bytearray()
        while len(self._partial) >= MAX_PARTIAL_OBJECTS:
            self._partial.pop(next(iter(self._partial)))
        self._partial[key] = held
        return held
