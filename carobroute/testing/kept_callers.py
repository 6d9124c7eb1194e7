"""Callers that keep their connections to gateways that are stopped.

Each caller sends one request after the other on a connection for as long as the
gateway keeps it, and opens the next one as long as the gateway takes it. The judges are
the callers, which read the bytes of their connections, and the targets, which note what
has reached them.
"""

import asyncio
import itertools
import random
from collections.abc import Sequence

import msgspec

from carobroute.platform import REQUEST_ID_HEADER, SEAL_HEADER
from carobroute.testing._gateway_run import GatewayRun
from carobroute.testing.raw_caller import READ_TIMEOUT_S, RawCaller, request_bytes
from carobroute.testing.scripted_target import TargetCall

EVENT = b"id: %d\ndata: some tokens\n\n"
DEADLINE_MS = 5_000
MS_PER_S = 1_000
# The users' platform counts a request on a connection that ends unanswered, and that
# reached no target, only if it was sent this long before.
CROSSING_MS = 200.0
# Framings of answers, by the name that callers ask for.
FRAMINGS = ("chunks", "none")
# Statuses that promise that the call has not run.
REFUSALS = frozenset({408, 421, 429, 503})


class KeptCall(msgspec.Struct, kw_only=True):
    """What a caller saw of one request.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    path : str
        Path that was asked for.
    version : str
        Version of HTTP.
    framing : str
        Framing of the target's answer.
    event_count : int
        Events of the target's whole answer, if it is a stream.
    gateway : str
        Where it was sent.
    number : int
        Number of the request on its connection, from 1.
    sent_ms, ended_ms : float
        Monotonic times of the request's last byte and of the end of its answer.
    status : int
        Status; 0 if no head came.
    says_close : bool
        Whether the answer is the last one of its connection.
    looks_complete : bool
        Whether the answer ended as a complete one does.
    is_whole : bool
        Whether nothing of the target's answer is missing.
    """

    request_id: str
    path: str
    version: str
    framing: str
    event_count: int
    gateway: str
    number: int
    sent_ms: float = 0.0
    ended_ms: float = 0.0
    status: int = 0
    says_close: bool = False
    looks_complete: bool = False
    is_whole: bool = False

    @property
    def took_ms(self) -> float:
        """Time from the request's last byte to the end of its answer."""
        return self.ended_ms - self.sent_ms


class KeptCallers:
    """Load of kept connections, and a record of what became of each request.

    Parameters
    ----------
    seed : int
        Seed of the requests' kinds.
    paths : sequence of str
        Paths that are drawn from; those of `/orders/` have plain answers.
    framings : sequence of str, default=FRAMINGS
        Framings that are drawn from for each stream.
    versions : sequence of str, default=("1.1",)
        Versions of HTTP that are drawn from for each connection.
    max_events : int, default=20
        Most events of a stream.
    gap_ms : float, default=60.0
        Time between two events.
    pipelined : int, default=1
        Requests that are sent at once on a connection.
    """

    def __init__(
        self,
        *,
        seed: int,
        paths: Sequence[str],
        framings: Sequence[str] = FRAMINGS,
        versions: Sequence[str] = ("1.1",),
        max_events: int = 20,
        gap_ms: float = 60.0,
        pipelined: int = 1,
    ):
        self._random = random.Random(seed)
        self._paths, self._framings, self._versions = paths, framings, versions
        self._max_events, self._gap_ms = max_events, gap_ms
        self._pipelined = pipelined
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        self._is_over = False
        self.calls: list[KeptCall] = []
        # Requests that reached a target.
        self.arrived: set[str] = set()

    @property
    def lost(self) -> list[KeptCall]:
        """Requests whose connections ended without a complete answer.

        Without those that crossed the end of their connection, and reached no target.
        """
        return [
            call
            for call in self.calls
            if not call.looks_complete
            and call.took_ms < DEADLINE_MS
            and (call.request_id in self.arrived or call.took_ms > CROSSING_MS)
        ]

    @property
    def crossed(self) -> list[KeptCall]:
        """Requests that crossed the end of their connection, and reached no target."""
        return [
            call
            for call in self.calls
            if not call.looks_complete
            and call.took_ms <= CROSSING_MS
            and call.request_id not in self.arrived
        ]

    @property
    def silent(self) -> list[KeptCall]:
        """Requests that reached a target, and ended without a head of an answer."""
        return [
            call
            for call in self.calls
            if not call.status and call.request_id in self.arrived
        ]

    @property
    def torn(self) -> list[KeptCall]:
        """Successes that look complete, of which something is missing."""
        return [
            call
            for call in self.calls
            if call.looks_complete and call.status == 200 and not call.is_whole
        ]

    @property
    def untrue_refusals(self) -> list[KeptCall]:
        """Requests that are said not to have run, and that have reached a target."""
        return [
            call
            for call in self.calls
            if call.status in REFUSALS and call.request_id in self.arrived
        ]

    async def serve(self, call: TargetCall) -> None:
        """Answer a request at a target as its caller has asked."""
        if "framing" not in call.headers:
            await call.answer(404)
            return
        request_id = call.headers["request-id"]
        self.arrived.add(request_id)
        count = int(call.headers["events"])
        gap_s = float(call.headers["gap-ms"]) / MS_PER_S
        begin = int(call.headers.get("last-event-id", "0"))
        if "/orders/" in call.line or "/order/" in call.line:
            await self.pause(call, count * gap_s)
            await call.answer(body=request_id.encode())
            return
        is_chunked = call.headers["framing"] == "chunks"
        if is_chunked:
            await call.begin_stream()
        else:
            fields = {REQUEST_ID_HEADER: request_id, SEAL_HEADER: "seal"}
            await call.begin(200, {**fields, "Content-Type": "text/event-stream"})
        for number in range(begin + 1, count + 1):
            await self.pause(call, gap_s)
            if is_chunked:
                await call.send(EVENT % number)
            else:
                call.writer.write(EVENT % number)
                await call.writer.drain()
        if is_chunked:
            await call.end_stream()
        else:
            call.disconnect()

    async def pause(self, call: TargetCall, duration_s: float) -> None:
        """Wait as a target that works on a request."""
        await asyncio.sleep(duration_s)

    def begin(self, run: GatewayRun, count: int) -> None:
        """Begin callers of a gateway, which end with its process."""
        self._tasks += [
            asyncio.create_task(self._keep_calling(run)) for _ in range(count)
        ]

    async def finish(self) -> None:
        """Begin no more requests, and wait for the answers to those that were sent."""
        self._is_over = True
        await asyncio.gather(*self._tasks)
        self._tasks.clear()
        self._is_over = False

    async def wait_ended(self) -> None:
        """Wait until all callers have ended, since no gateway takes connections."""
        await asyncio.gather(*self._tasks)
        self._tasks.clear()

    async def _keep_calling(self, run: GatewayRun) -> None:
        while not self._is_over:
            try:
                async with RawCaller(run.url) as caller:
                    await self._use(caller, run)
            except ConnectionRefusedError:
                return
            except ConnectionError:
                # Reset while it was opened: nothing was sent.
                continue

    async def _use(self, caller: RawCaller, run: GatewayRun) -> None:
        """Send requests on a connection until it ends, or the gateway closes it."""
        version, number = self._random.choice(self._versions), 0
        while not self._is_over:
            calls = []
            data = b""
            for _ in range(self._pipelined if version == "1.1" else 1):
                number += 1
                call, piece = self._draw(run, version, number)
                calls.append(call)
                data += piece
            sent_ms = _now_ms()
            try:
                await caller.write(data)
            except ConnectionError:
                return
            for call in calls:
                call.sent_ms = sent_ms
                self.calls.append(call)
            is_open = True
            for call in calls:
                if is_open:
                    is_open = await self._read(caller, call)
                call.ended_ms = _now_ms()
                is_open = is_open and not call.says_close
            if not is_open or version == "1.0":
                return

    def _draw(
        self, run: GatewayRun, version: str, number: int
    ) -> tuple[KeptCall, bytes]:
        call = KeptCall(
            request_id=f"r-{next(self._numbers)}",
            path=self._random.choice(self._paths),
            version=version,
            framing=self._random.choice(self._framings),
            event_count=self._random.randint(1, self._max_events),
            gateway=run.url,
            number=number,
        )
        data = request_bytes(
            call.request_id,
            call.path,
            method="POST",
            version=version,
            body=b"{}",
            deadline_ms=DEADLINE_MS,
            Framing=call.framing,
            Events=str(call.event_count),
            Gap_Ms=str(self._gap_ms),
        )
        return call, data

    async def _read(self, caller: RawCaller, call: KeptCall) -> bool:
        """Read an answer; return whether its connection goes on."""
        try:
            call.status, headers = await caller.read_head()
            async with asyncio.timeout(READ_TIMEOUT_S):
                answer = await caller.read_body("POST", call.status, headers)
        except (EOFError, ConnectionError):
            return False
        call.looks_complete = True
        connection = answer.header("connection").lower()
        has_end = answer.header("content-length") or answer.header("transfer-encoding")
        call.says_close = connection == "close" or not has_end
        is_stream = answer.header("content-type").startswith("text/event-stream")
        call.is_whole = (
            answer.body == b"".join(EVENT % n for n in range(1, call.event_count + 1))
            if is_stream
            else answer.body == call.request_id.encode()
        )
        return True


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * MS_PER_S
