"""What the local process asks of its target, whatever the target is."""

import abc
import enum
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
from returns.result import Result

from carobroute.domain import CallClass
from carobroute.engines._once import Guard
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.utils import Clock, Registry


class EngineParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of the calls to a target.

    Parameters
    ----------
    connect_ms : float
        Longest time to open a connection.
    first_byte_ms : float
        Longest wait for an answer's first byte where the call gives none.
    silence_steps : int
        Steps without a byte after which a streaming connection counts as silent.
    silence_least_ms : float
        Lower bound of that time.
    resumes : int
        New connections that one answer may use.
    side_call_ms : float
        Longest time of a load, event, order or KV call.
    max_connections : int
        Connections open to the target at a time.
    max_event_bytes : int
        Largest single event of a stream.
    keep_alive_ms : float
        Longest time that an unused connection is kept.
    """

    connect_ms: float = 1_000.0
    first_byte_ms: float = 60_000.0
    silence_steps: int = 20
    silence_least_ms: float = 1_500.0
    resumes: int = 3
    side_call_ms: float = 2_000.0
    max_connections: int = 512
    max_event_bytes: int = 1 << 20
    keep_alive_ms: float = 15_000.0


class EngineCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call to a target.

    Parameters
    ----------
    request_id : str
        Identifier by which the call can be cancelled and resumed.
    method, path : str
        HTTP method and path below the service.
    headers : dict of str to str
        Headers that are passed on.
    body : bytes
        Request body.
    call_class : CallClass
        Whether the call may be repeated.
    priority : int
        0 (lowest) to 9.
    deadline_ms : float
        Time left to the first byte, in milliseconds; 0 for none.
    resume_from : int
        Chunks that the caller already has.
    resume_state : bytes
        Exported KV handle for a resumed call, or empty.
    fence : int
        Fencing number of an order; 0 for none.
    guard : callable or None
        Asked right before the first byte leaves; a fault keeps the call back.
    """

    request_id: str
    method: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    call_class: CallClass = CallClass.NON_IDEMPOTENT
    priority: int = 5
    deadline_ms: float = 0.0
    resume_from: int = 0
    resume_state: bytes = b""
    fence: int = 0
    guard: Guard | None = None


class EngineAnswer:
    """An answer that has begun.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        End-to-end headers of the answer.
    chunks : AsyncIterator of bytes
        The body: one whole event a chunk for an event stream, so that the number of
        chunks is an offset that holds across connections and engines; raw pieces
        otherwise. Raises `FaultError` if the body cannot be completed.
    streaming : bool
        Whether the body is an event stream.
    close : callable
        Ends the answer early, which cancels the target's work.
    shows_end : bool, default=True
        Whether the body itself shows where it ends, by a length, chunks or a last
        event. Where only the end of the connection does, a target that crashes leaves
        a body that seems whole.
    """

    __slots__ = ("_close", "chunks", "headers", "shows_end", "status", "streaming")

    def __init__(
        self,
        *,
        status: int,
        headers: dict[str, str],
        chunks: AsyncIterator[bytes],
        streaming: bool,
        close: Callable[[], Awaitable[None]],
        shows_end: bool = True,
    ):
        self.shows_end = shows_end
        self.status = status
        self.headers = headers
        self.chunks = chunks
        self.streaming = streaming
        self._close = close

    async def close(self) -> None:
        """Release the connection; what still runs at the target is cancelled."""
        await self._close()


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A target's own report of its load, as of `age_ms` ago."""

    running: int = 0
    queued: int = 0
    tokens_queued: int = 0
    step_ms: float = 0.0
    age_ms: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Blocks that entered or left the prefix cache of a target.

    Parameters
    ----------
    seq : int
        Grows by one with each event of one incarnation of the target.
    stored, removed : list of int
        Block hashes, see `block_hashes`.
    """

    seq: int
    stored: list[int] = []
    removed: list[int] = []


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Cache events after a sequence number.

    Parameters
    ----------
    incarnation : str
        Run of the target that the events belong to.
    events : list of CacheEvent
        In order, but possibly with gaps.
    """

    incarnation: str = ""
    events: list[CacheEvent] = []


class KvHandle(msgspec.Struct, frozen=True, kw_only=True):
    """Exported state of one stream, opaque to the system."""

    data: bytes
    chunks: int


class OrderAction(enum.StrEnum):
    """What an engine can be ordered to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine, under a fencing number."""

    action: OrderAction
    value: str
    fence: int


class Engine(abc.ABC):
    """A target as its local process sees it."""

    __slots__ = ()

    @abc.abstractmethod
    async def start(self) -> None:
        """Open what the adapter needs."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Release what the adapter holds."""

    @abc.abstractmethod
    async def open(self, call: EngineCall) -> Result[EngineAnswer, Fault]:
        """Send `call` and return the answer once it has begun.

        A fault with `not_run` promises that the target never saw the call.
        """

    @abc.abstractmethod
    async def probe(self) -> Result[None, Fault]:
        """Tell on a new connection whether the target answers."""

    @property
    def can_resume(self) -> bool:
        """Whether an interrupted stream can be continued."""
        return False

    async def refuses_connections(self) -> bool:
        """Return whether no process listens at the target's address.

        It is not known of a target that does not answer at all.
        """
        return False

    async def resume(
        self, call: EngineCall, chunks_sent: int
    ) -> Result[EngineAnswer, Fault]:
        """Continue the answer to `call` after the first `chunks_sent` chunks."""
        return _unsupported("resume a stream")

    async def cancel(self, request_id: str) -> Result[None, Fault]:
        """Stop the call's work, even where its connection is lost."""
        return _unsupported("cancel a call")

    async def load(self) -> Result[EngineLoad, Fault]:
        """Return the target's latest load report."""
        return _unsupported("report load")

    async def cache_events(self, after: int) -> Result[CacheEvents, Fault]:
        """Return the cache events after sequence number `after`."""
        return _unsupported("publish cache events")

    async def export_kv(self, request_id: str) -> Result[KvHandle, Fault]:
        """Stop a running stream and return its state."""
        return _unsupported("export KV cache")

    async def import_kv(self, handle: KvHandle) -> Result[None, Fault]:
        """Take over the state of a stream that another engine exported."""
        return _unsupported("import KV cache")

    async def order(self, order: EngineOrder) -> Result[None, Fault]:
        """Have the engine carry out a fenced order."""
        return _unsupported("take orders")


EngineFactory = Callable[..., Engine]

engine_adapters: Registry[EngineFactory] = Registry(kind="engine adapter")
"""Adapters by name; each is called with `address`, `clock` and `parameters`."""


def default_clock(clock: Clock | None) -> Clock:
    """Return `clock`, or a new one."""
    return clock or Clock()


def _unsupported(what: str) -> Result:
    return fail(ErrorKind.NOT_FOUND, f"this target cannot {what}")
