"""Buffered answers and their delivery to entries."""

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec

from carobroute.errors import Fault
from carobroute.links import Chunk, End, Message, Start

Send = Callable[[Message], bool]


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an answer."""

    status: int
    headers: dict[str, str]


class Delivery:
    """One attempt to which an answer is delivered.

    Parameters
    ----------
    request_id : str
        The request.
    attempt : int
        The attempt.
    send : callable
        Queues a message for the entry; returns False if its queue is full.
    """

    __slots__ = (
        "acknowledged",
        "attempt",
        "ended",
        "finished",
        "next_index",
        "request_id",
        "send",
        "started",
    )

    def __init__(self, *, request_id: str, attempt: int, send: Send):
        self.request_id = request_id
        self.attempt = attempt
        self.send = send
        self.next_index = 0
        self.acknowledged = 0
        self.started = False
        self.ended = False
        self.finished = False

    def rewind(self, *, index: int, started: bool, send: Send) -> None:
        """Continue on another connection from chunk `index` on."""
        self.send = send
        self.next_index = index
        self.acknowledged = max(self.acknowledged, index)
        self.started = started
        self.ended = False


class Answer:
    """Chunks of one answer, kept until every entry that wants it holds them.

    Parameters
    ----------
    window_bytes : int
        Bytes that may be held unacknowledged before the producer has to wait.
    retain_bytes : int, default=0
        Size up to which acknowledged chunks are kept as well, so that a resend with
        the same idempotency key gets the whole answer.
    first_index : int, default=0
        Index of the first chunk; above 0 for a resumed answer.
    """

    __slots__ = (
        "_abandon",
        "_base",
        "_bytes",
        "_chunks",
        "_closed",
        "_crash",
        "_deliveries",
        "_fault",
        "_head",
        "_redirect",
        "_resume_state",
        "_retain_bytes",
        "_room",
        "_window_bytes",
        "kept",
    )

    def __init__(
        self, *, window_bytes: int, retain_bytes: int = 0, first_index: int = 0
    ):
        self._window_bytes = window_bytes
        self._retain_bytes = retain_bytes
        self._chunks: deque[bytes] = deque()
        self._base = first_index
        self._bytes = 0
        self._head: AnswerHead | None = None
        self._closed = False
        self._fault: Fault | None = None
        self._redirect = ""
        self._resume_state = b""
        self._crash = ""
        self._deliveries: list[Delivery] = []
        self.kept = False
        self._abandon: Callable[[], object] | None = None
        self._room = asyncio.Event()
        self._room.set()

    @property
    def head(self) -> AnswerHead | None:
        """Status and headers, once known."""
        return self._head

    @property
    def base(self) -> int:
        """Index of the first chunk still held."""
        return self._base

    @property
    def end(self) -> int:
        """Index behind the last chunk."""
        return self._base + len(self._chunks)

    @property
    def size_bytes(self) -> int:
        """Bytes held."""
        return self._bytes

    @property
    def closed(self) -> bool:
        """Whether the answer has ended."""
        return self._closed

    @property
    def whole(self) -> bool:
        """Whether a new delivery could still get the answer from its beginning."""
        return self._base == 0

    @property
    def fault(self) -> Fault | None:
        """Why the answer is not whole, or None."""
        return self._fault

    @property
    def deliveries(self) -> list[Delivery]:
        """Deliveries that have not finished."""
        return self._deliveries

    def attach(self, delivery: Delivery) -> None:
        """Deliver to `delivery` from its next index on."""
        if delivery not in self._deliveries:
            self._deliveries.append(delivery)
        self._pump(delivery)

    def detach(self, delivery: Delivery) -> None:
        """Stop delivering to `delivery`."""
        delivery.finished = True
        if delivery in self._deliveries:
            self._deliveries.remove(delivery)
        self._trim()

    def start(self, head: AnswerHead) -> None:
        """Set status and headers."""
        self._head = head
        self.pump()

    async def append(self, data: bytes) -> None:
        """Add a chunk, waiting while the window is full."""
        await self._room.wait()
        self._chunks.append(data)
        self._bytes += len(data)
        self._update_room()
        self.pump()

    def close(
        self,
        fault: Fault | None = None,
        *,
        redirect: str = "",
        resume_state: bytes = b"",
        crash: str = "",
    ) -> None:
        """End the answer; the first call decides."""
        if self._closed:
            return
        self._closed = True
        self._fault = fault
        self._redirect = redirect
        self._resume_state = resume_state
        self._crash = crash
        self._room.set()
        self.pump()

    def acknowledge(self, delivery: Delivery, index: int) -> None:
        """Note that the entry holds all chunks below `index`."""
        delivery.acknowledged = max(delivery.acknowledged, index)
        if self._closed and index > self.end:
            self.detach(delivery)
        else:
            self._trim()

    def forget_acknowledged(self) -> None:
        """Stop retaining chunks that every delivery holds."""
        self._retain_bytes = 0
        self._trim()

    def _trim(self) -> None:
        if self._bytes > self._retain_bytes:
            # Too large to keep whole: from here on only the window is held.
            self._retain_bytes = 0
            self._drop_below(self._lowest_acknowledged())
        self._update_room()

    def _lowest_acknowledged(self) -> int:
        if not self._deliveries:
            return self._base
        return min(entry.acknowledged for entry in self._deliveries)

    def _drop_below(self, index: int) -> None:
        while self._base < index and self._chunks:
            self._bytes -= len(self._chunks.popleft())
            self._base += 1

    def _update_room(self) -> None:
        limit = max(self._window_bytes, self._retain_bytes)
        if self._closed or self._bytes < limit:
            self._room.set()
        else:
            self._room.clear()

    def on_abandon(self, cancel: Callable[[], object]) -> None:
        """Have `cancel` called when nobody wants the answer any more."""
        self._abandon = cancel

    def abandon(self) -> None:
        """Stop the work behind an answer that nobody wants."""
        if not self._closed and self._abandon is not None:
            self._abandon()

    def pump(self) -> None:
        """Send each delivery what it lacks."""
        for delivery in self._deliveries:
            self._pump(delivery)

    def _pump(self, delivery: Delivery) -> None:
        """Send what the delivery lacks; a full queue leaves the rest for later."""
        if self._head is not None and not delivery.started:
            start = Start(
                request_id=delivery.request_id,
                attempt=delivery.attempt,
                status=self._head.status,
                headers=self._head.headers,
            )
            if not delivery.send(start):
                return
            delivery.started = True
        while delivery.next_index < self.end:
            if not delivery.send(self._chunk_message(delivery)):
                return
            delivery.next_index += 1
        if self._closed and not delivery.ended:
            delivery.ended = delivery.send(self._end_message(delivery))

    def _chunk_message(self, delivery: Delivery) -> Chunk:
        return Chunk(
            request_id=delivery.request_id,
            attempt=delivery.attempt,
            index=delivery.next_index,
            data=self._chunks[delivery.next_index - self._base],
        )

    def _end_message(self, delivery: Delivery) -> End:
        return End(
            request_id=delivery.request_id,
            attempt=delivery.attempt,
            chunks=self.end,
            fault=self._fault,
            redirect=self._redirect,
            resume_state=self._resume_state,
            crash=self._crash,
        )
