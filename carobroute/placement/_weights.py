"""Fetching of expert weights: by source cost, resumable, verified, rate-limited."""

import abc
import asyncio
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from carobroute.engines import describe_error
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Endpoint, Message, Nack, Peer, message
from carobroute.utils import Clock, content_hash

PIECE_BYTES = 1 << 20
MAX_PARTIAL_OBJECTS = 64
HTTP_PARTIAL_CONTENT = 206


class WeightObject(msgspec.Struct, frozen=True, kw_only=True):
    """Weights of one expert in one layer.

    Parameters
    ----------
    key : str
        Key in the weight store.
    size_bytes : int
        Size of the content.
    digest : str
        Hash of the content, see `carobroute.utils.content_hash`.
    """

    key: str
    size_bytes: int
    digest: str


class WeightSource(abc.ABC):
    """Source from which weights can be read.

    Parameters
    ----------
    name : str
        Name of the source in events.
    cost : float
        Relative cost for each byte; the cheapest source is tried first.
    """

    __slots__ = ("cost", "name")

    def __init__(self, *, name: str, cost: float):
        self.name = name
        self.cost = cost

    @abc.abstractmethod
    async def read(self, key: str, offset: int, length: int) -> Result[bytes, Fault]:
        """Return up to `length` bytes at `offset` of the object with `key`."""


class HttpWeightSource(WeightSource):
    """Reads weights over HTTP range requests, from the weight store or an engine.

    Parameters
    ----------
    address : str
        Base URL.
    session : callable
        Returns the client session to use, which `open_session` has opened.
    timeout_ms : float
        Timeout of one read.
    name, cost
        See `WeightSource`.
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
        """Return up to `length` bytes at `offset` of the object with `key`."""
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
            return fail(ErrorKind.STORE_UNAVAILABLE, f"{url}: {describe_error(error)}")
        if status == HTTP_PARTIAL_CONTENT or (status == 200 and len(data) <= length):
            return Success(data)
        return fail(ErrorKind.STORE_UNAVAILABLE, f"{url}: status {status}")


@message
class ReadWeight(Message, tag="read_weight"):
    """Request for a piece of a weight object that the receiver's engine holds."""

    key: str
    offset: int
    length: int


@message
class WeightPiece(Message, tag="weight_piece"):
    """Piece of a weight object."""

    data: bytes


class PeerWeightSource(WeightSource):
    """Reads weights from the engine of another local process, over a link.

    Parameters
    ----------
    peer : callable
        Returns the peer of that process.
    timeout_ms : float
        Timeout of one read.
    name, cost
        See `WeightSource`.
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
        """Return up to `length` bytes at `offset` of the object with `key`."""
        request = ReadWeight(key=key, offset=offset, length=length)
        reply = await self._peer().call(request, timeout_ms=self._timeout_ms)
        return reply.map(lambda piece: piece.data)


async def reply_to_read(source: WeightSource, request: ReadWeight) -> Message:
    """Return the reply to a peer's `ReadWeight`, read from `source`."""
    length = min(request.length, PIECE_BYTES)
    data = await source.read(request.key, request.offset, length)
    if isinstance(data, Failure):
        return Nack(fault=data.failure())
    return WeightPiece(data=data.unwrap())


def serve_weights(endpoint: Endpoint, source: WeightSource) -> None:
    """Serve peers' `ReadWeight` requests from `source`, the weights of this engine."""
    endpoint.handle(ReadWeight, lambda peer, request: reply_to_read(source, request))


class TrafficBudget:
    """Limits this process to its share of a data centre's rate limit for weights.

    Parameters
    ----------
    clock : Clock
        Source of time.
    bytes_per_s : float
        Rate limit of the whole data centre.
    process_count : callable
        Returns the number of processes that share the limit, from the instance list.
        While processes see different numbers, they may exceed the limit by the ratio of
        these numbers.
    """

    __slots__ = ("_available_ms", "_bytes_per_s", "_clock", "_process_count")

    def __init__(
        self, *, clock: Clock, bytes_per_s: float, process_count: Callable[[], int]
    ):
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._process_count = process_count
        self._available_ms = 0.0

    @property
    def share_bytes_per_s(self) -> float:
        """Rate limit of this process, in bytes a second."""
        return self._bytes_per_s / max(1, self._process_count())

    async def acquire(self, size_bytes: int) -> None:
        """Wait until the rate limit allows `size_bytes` more bytes."""
        now_ms = self._clock.now_ms()
        start_ms = max(now_ms, self._available_ms)
        self._available_ms = start_ms + 1_000 * size_bytes / self.share_bytes_per_s
        if start_ms > now_ms:
            await self._clock.sleep_ms(start_ms - now_ms)


class WeightFetcher:
    """Fetches the weights of experts to the engine of this process.

    Parameters
    ----------
    catalogue : callable
        Returns the weight object of a (layer, expert) pair.
    sources : callable
        Returns the sources that are available now.
    budget : TrafficBudget
        Rate limit of this process.
    has_weight : callable
        Coroutine function that returns whether the engine holds the object with a key.
    store_weight : callable
        Coroutine function that stores a verified object in the engine.
    on_event : callable, default=None
        Called with an event name and fields, for the log.

    Notes
    -----
    A cancelled `fetch` stops at once. Partially read content is kept for at most
    `MAX_PARTIAL_OBJECTS` objects, and a later fetch resumes from it.
    """

    def __init__(
        self,
        *,
        catalogue: Callable[[int, int], WeightObject],
        sources: Callable[[], Sequence[WeightSource]],
        budget: TrafficBudget,
        has_weight: Callable[[str], Awaitable[bool]],
        store_weight: Callable[[str, bytes], Awaitable[Result[None, Fault]]],
        on_event: Callable[..., None] | None = None,
    ):
        self._catalogue = catalogue
        self._sources = sources
        self._budget = budget
        self._has_weight = has_weight
        self._store_weight = store_weight
        self._on_event = on_event or (lambda *args, **fields: None)
        self._partial: dict[str, bytearray] = {}
        self.fetched_bytes = 0

    async def fetch(self, pairs: Sequence[tuple[int, int]]) -> Result[None, Fault]:
        """Fetch the weights of all (layer, expert) `pairs` that the engine lacks."""
        for layer, expert in pairs:
            weight = self._catalogue(layer, expert)
            if await self._has_weight(weight.key):
                continue
            fetched = await self._fetch_one(weight)
            if isinstance(fetched, Failure):
                return fetched
        return Success(None)

    async def _fetch_one(self, weight: WeightObject) -> Result[None, Fault]:
        fault = Fault(
            kind=ErrorKind.NOT_FOUND, detail=f"no source for weights {weight.key}"
        )
        for source in sorted(self._sources(), key=lambda s: (s.cost, s.name)):
            data = await self._read_remaining(source, weight)
            if isinstance(data, Failure):
                fault = data.failure()
                continue
            content = data.unwrap()
            self._partial.pop(weight.key, None)
            if content_hash(content) == weight.digest:
                return await self._store_weight(weight.key, content)
            # Any source may have sent the damaged piece, so all pieces are read again.
            fault = Fault(
                kind=ErrorKind.INTERNAL,
                detail=f"{weight.key} from {source.name} does not match its hash",
            )
            self._on_event("weight_damaged", level="warning", source=source.name)
        return Failure(fault)

    async def _read_remaining(
        self, source: WeightSource, weight: WeightObject
    ) -> Result[bytes, Fault]:
        partial = self._partial_content(weight.key)
        while len(partial) < weight.size_bytes:
            length = min(PIECE_BYTES, weight.size_bytes - len(partial))
            await self._budget.acquire(length)
            piece = await source.read(weight.key, len(partial), length)
            if isinstance(piece, Failure):
                return piece
            data = piece.unwrap()
            if not 0 < len(data) <= length:
                detail = f"{source.name} sent {len(data)} bytes, expected 1 to {length}"
                return fail(ErrorKind.STORE_UNAVAILABLE, detail)
            partial += data
            self.fetched_bytes += len(data)
        return Success(bytes(partial))

    def _partial_content(self, key: str) -> bytearray:
        """Return the content read so far, and drop the least recently used objects."""
        partial = self._partial.pop(key, None)
        if partial is None:
            partial = bytearray()
        while len(self._partial) >= MAX_PARTIAL_OBJECTS:
            self._partial.pop(next(iter(self._partial)))
        self._partial[key] = partial
        return partial
