"""Exchanges: one attempt of a call at one local process."""

import asyncio
from collections import Counter, deque

import msgspec

from carobroute.entry._call import Call
from carobroute.errors import ErrorKind, Fault
from carobroute.links import (
    Ack,
    Attach,
    Cancel,
    Chunk,
    End,
    Endpoint,
    Peer,
    Start,
    Submit,
)
from carobroute.utils import Clock, TaskSet

AnswerMessage = Start | Chunk | End

WATCH_INTERVAL_MS = 200.0
ACK_EVERY_CHUNKS = 16
ACK_EVERY_BYTES = 32 * 1024


class ExchangeParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times of an exchange.

    Parameters
    ----------
    connect_ms : float
        Longest wait for a link that has not been heard yet.
    lost_ms : float
        Silence of a peer, over all its connections, after which it is given up.
    lost_repeatable_ms : float
        The same for a call that may be repeated, which another target then takes on.
    grace_ms : float
        Time past the call's deadline that the local process has to say so itself.
    """

    connect_ms: float = 2_000.0
    lost_ms: float = 12_000.0
    lost_repeatable_ms: float = 4_000.0
    grace_ms: float = 2_000.0


class Exchange:
    """One attempt of a call at one target.

    Messages are taken in order of their chunk index. What comes twice is dropped, and
    a gap is closed by attaching again at the first chunk that is missing.

    Parameters
    ----------
    call : Call
        The call.
    attempt : int
        Number of the attempt, from 1.
    target : str
        Target that was chosen.
    peer : Peer
        Its local process.
    clock : Clock
        Source of time.
    parameters : ExchangeParameters
        Times.
    first_index : int, default=0
        First chunk wanted; above 0 when an answer is resumed.
    """

    __slots__ = (
        "_acknowledged",
        "_arrived",
        "_bytes_since_ack",
        "_clock",
        "_expected",
        "_gave_up",
        "_incarnation",
        "_messages",
        "_opened_ms",
        "_parameters",
        "_submit",
        "_taken",
        "attempt",
        "call",
        "peer",
        "started",
        "target",
    )

    def __init__(
        self,
        *,
        call: Call,
        attempt: int,
        target: str,
        peer: Peer,
        clock: Clock,
        parameters: ExchangeParameters,
        first_index: int = 0,
    ):
        self.call = call
        self.attempt = attempt
        self.target = target
        self.peer = peer
        self.started = False
        self._clock = clock
        self._parameters = parameters
        self._expected = first_index
        self._taken = first_index
        self._acknowledged = first_index
        self._bytes_since_ack = 0
        self._gave_up = False
        self._incarnation = ""
        self._messages: deque[AnswerMessage] = deque()
        self._arrived = asyncio.Event()
        self._opened_ms = 0.0
        self._submit: Submit | None = None

    @property
    def taken(self) -> int:
        """Index of the first chunk that has not been passed on."""
        return self._taken

    @property
    def incarnation(self) -> str:
        """Run of the local process that the attempt was submitted to."""
        return self._incarnation

    def dump(self) -> dict[str, object]:
        """Return the state for a dump, in plain data."""
        return {
            "request_id": self.call.request_id,
            "attempt": self.attempt,
            "team": self.call.team,
            "service": self.call.service,
            "target": self.target,
            "peer": str(self.peer),
            "incarnation": self._incarnation,
            "age_ms": round(self._clock.now_ms() - self._opened_ms),
            "started": self.started,
            "expected": self._expected,
            "taken": self._taken,
            "acknowledged": self._acknowledged,
        }

    def submit(self, *, alone: bool, resume_state: bytes) -> None:
        """Send the call to the local process."""
        call = self.call
        self._opened_ms = self._clock.now_ms()
        if self.peer.up:
            self._incarnation = self.peer.incarnation
        self._submit = Submit(
            request_id=call.request_id,
            attempt=self.attempt,
            team=call.team,
            service=call.service,
            target=self.target,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            call_class=call.call_class,
            idempotency_key=call.idempotency_key,
            priority=call.priority,
            deadline_ms=max(1.0, call.deadline_ms - self._opened_ms),
            fingerprint=call.fingerprint,
            suspect_id=call.suspect_id,
            prompt_blocks=call.prompt_blocks,
            alone=alone,
            resume_from=self._expected,
            resume_state=resume_state,
            incarnation=self._incarnation,
        )
        if not self.peer.send(self._submit):
            self._submit = None
            self._fail(ErrorKind.OVERLOADED, f"queue to {self.peer} is full")

    def push(self, entry: AnswerMessage) -> bool:
        """Take a message from the link.

        Returns
        -------
        taken : bool
            False if it was a duplicate or out of order.
        """
        if isinstance(entry, Start):
            if self.started:
                return False
            self.started = True
        elif isinstance(entry, Chunk):
            if entry.index < self._expected:
                return False
            # The start may have been lost with a silent connection.
            if entry.index > self._expected or not self.started:
                self.attach()
                return False
            self._expected += 1
        elif entry.fault is None and not self._is_whole(entry):
            self.attach()
            return False
        self._messages.append(entry)
        self._arrived.set()
        return True

    def _is_whole(self, end: End) -> bool:
        return self.started and end.chunks == self._expected

    def attach(self) -> None:
        """Ask for the answer from the first missing chunk on."""
        self.peer.send(
            Attach(
                request_id=self.call.request_id,
                attempt=self.attempt,
                index=self._expected,
                incarnation=self._incarnation,
                started=self.started,
                age_ms=self._clock.now_ms() - self._opened_ms,
            )
        )

    def link_reopened(self) -> None:
        """Continue on a new connection to the same run of the local process."""
        if not self._incarnation:
            self._incarnation = self.peer.incarnation
        elif self._incarnation != self.peer.incarnation:
            self._fail(ErrorKind.PEER_LOST, f"{self.peer} was replaced")
        else:
            self.attach()

    def join_ready(self, chunk: Chunk) -> bytes:
        """Return the data of `chunk` and of the chunks that wait behind it."""
        self._taken += 1
        if not self._messages or not isinstance(self._messages[0], Chunk):
            return chunk.data
        parts = [chunk.data]
        while self._messages and isinstance(self._messages[0], Chunk):
            parts.append(self._messages[0].data)
            self._messages.popleft()
            self._taken += 1
        return b"".join(parts)

    def acknowledge(self, size: int) -> None:
        """Note that the caller has been sent `size` more bytes."""
        self._bytes_since_ack += size
        unacknowledged = self._taken - self._acknowledged
        if (
            unacknowledged >= ACK_EVERY_CHUNKS
            or self._bytes_since_ack >= ACK_EVERY_BYTES
        ):
            self._send_ack(self._taken)

    def finish(self, end: End) -> None:
        """Tell the local process that its end has arrived, or that we gave up."""
        if self._gave_up:
            self.cancel()
        else:
            self._send_ack(end.chunks + 1)

    def cancel(self) -> None:
        """Tell the local process that the answer is not wanted any more."""
        if self._submit is not None and self.peer.withdraw(self._submit):
            return
        self.peer.send(Cancel(request_id=self.call.request_id, attempt=self.attempt))

    async def next(self) -> AnswerMessage:
        """Return the next message of the answer.

        When the peer is lost or the deadline passes, the table's watch ends the
        exchange with an `End` made up here; its kind says "not run" only if the call
        was never sent.
        """
        while not self._messages:
            self._arrived.clear()
            await self._arrived.wait()
        return self._messages.popleft()

    def stop(self, detail: str) -> None:
        """End the exchange because this process ends; the call may have run."""
        if not self._gave_up:
            self._fail(ErrorKind.TIMEOUT, detail)

    def check(self, now_ms: float) -> None:
        """End the exchange if its peer is lost, or it or its caller is too slow."""
        if self._gave_up:
            return
        waited_ms = now_ms - self._opened_ms
        if self._never_connected(waited_ms):
            self._fail(ErrorKind.NO_TARGET, f"no link to {self.peer}, never sent")
        elif min(self.peer.silent_ms, waited_ms) >= self._lost_ms:
            self._fail(ErrorKind.PEER_LOST, f"{self.peer} is silent")
        elif not self.started and now_ms >= self._limit_ms:
            self._fail(ErrorKind.TIMEOUT, "no answer before the deadline")

    @property
    def _lost_ms(self) -> float:
        if self.call.is_repeatable:
            return self._parameters.lost_repeatable_ms
        return self._parameters.lost_ms

    @property
    def _limit_ms(self) -> float:
        return self.call.deadline_ms + self._parameters.grace_ms

    def _never_connected(self, waited_ms: float) -> bool:
        if self.peer.up or waited_ms < self._parameters.connect_ms:
            return False
        return self._submit is not None and self.peer.withdraw(self._submit)

    def _fail(self, kind: ErrorKind, detail: str) -> None:
        end = End(
            request_id=self.call.request_id,
            attempt=self.attempt,
            chunks=self._expected,
            fault=Fault(kind=kind, detail=detail),
        )
        self._gave_up = True
        self._messages.append(end)
        self._arrived.set()

    def _send_ack(self, index: int) -> None:
        self._bytes_since_ack = 0
        self._acknowledged = index
        ack = Ack(request_id=self.call.request_id, attempt=self.attempt, index=index)
        self.peer.send(ack)


class ExchangeTable:
    """Exchanges in progress of one entry, and the dispatch of answers to them.

    Parameters
    ----------
    endpoint : Endpoint
        Links of this process.
    clock : Clock
        Source of time.
    tasks : TaskSet
        Runs the watch over the exchanges.

    Notes
    -----
    One task looks at all exchanges in turn. A timer for each wait would cost more
    than the rest of what is done for a chunk.
    """

    __slots__ = ("_clock", "_endpoint", "_exchanges", "_tasks", "counts", "has_ended")

    def __init__(self, *, endpoint: Endpoint, clock: Clock, tasks: TaskSet):
        self._endpoint = endpoint
        self._clock = clock
        self._tasks = tasks
        self._exchanges: dict[tuple[str, int], Exchange] = {}
        self.counts: Counter[str] = Counter()
        # Whether all exchanges have been ended, and none may begin.
        self.has_ended = False

    def __len__(self) -> int:
        return len(self._exchanges)

    def __iter__(self):
        return iter(list(self._exchanges.values()))

    def start(self) -> None:
        """Register the handlers for answers."""
        self._endpoint.handle(Start, self._on_answer)
        self._endpoint.handle(Chunk, self._on_answer)
        self._endpoint.handle(End, self._on_answer)
        self._endpoint.on_reopen(self._on_reopen)
        self._tasks.spawn(self._watch(), name="exchange-watch")

    def add(self, exchange: Exchange) -> None:
        """Dispatch answers to `exchange` from now on."""
        self._exchanges[(exchange.call.request_id, exchange.attempt)] = exchange
        exchange.peer.hold()

    def remove(self, exchange: Exchange) -> None:
        """Drop later answers to `exchange`."""
        key = (exchange.call.request_id, exchange.attempt)
        if self._exchanges.pop(key, None) is not None:
            exchange.peer.release()

    def end_all(self, detail: str) -> int:
        """End all exchanges because this process ends; return their number."""
        self.has_ended = True
        for exchange in self:
            exchange.stop(detail)
        return len(self)

    async def _watch(self) -> None:
        while True:
            await self._clock.sleep_ms(WATCH_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for exchange in list(self._exchanges.values()):
                exchange.check(now_ms)

    def _on_answer(self, peer: Peer, entry: AnswerMessage) -> None:
        exchange = self._exchanges.get((entry.request_id, entry.attempt))
        if exchange is None or exchange.peer is not peer:
            self.counts["late"] += 1
            if isinstance(entry, End):
                self._release_late(peer, entry)
            return
        if not exchange.push(entry):
            self.counts["out_of_order"] += 1

    def _release_late(self, peer: Peer, entry: End) -> None:
        peer.send(
            Ack(
                request_id=entry.request_id,
                attempt=entry.attempt,
                index=entry.chunks + 1,
            )
        )

    def _on_reopen(self, peer: Peer) -> None:
        for exchange in list(self._exchanges.values()):
            if exchange.peer is peer:
                exchange.link_reopened()
