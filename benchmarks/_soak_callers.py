"""Callers of the gateway soak: kept connections, HTTP/1.0 and slow readers."""

import asyncio
import random as random_module
import time
from collections.abc import Callable

import aiohttp
import msgspec

from benchmarks._soak_targets import EVENTS, LARGE_PATH, event, plain_body
from carobroute.testing import GatewayRun
from carobroute.testing.raw_caller import RawCaller, request_bytes

DEADLINE_MS = 3_000
TIMEOUT_S = 2 * DEADLINE_MS / 1_000
# Calls of a caller on one session, most of them on a kept connection.
CALLS_PER_SESSION = 20
MAX_PAUSE_S = 0.05
CONNECT_RETRY_S = 0.1
SLOW_BUFFER_BYTES = 4_096
SLOW_PIECE_BYTES = 16_384
SLOW_BYTES_PER_S = 1_500_000
KINDS = ("orders", "stock", "drafts", "drafts")
# Calls of the only kind that is sent without a key.
ANONYMOUS_KIND = "stock"
WAYS = ("session", "kept", "session", "http10", "kept", "slow")


class CallerRecord(msgspec.Struct, kw_only=True):
    """What a caller has seen of one request.

    Parameters
    ----------
    request_id, kind : str
        The request, and the first part of its path.
    way : str
        How its caller calls.
    gateway : int
        Number of the gateway.
    sent_s, ended_s : float
        When it was sent, and when its answer or connection ended.
    status : int
        Status of the answer; 0 without a head.
    size : int
        Number of bytes of the body that have come.
    is_prefix, is_whole : bool
        Whether they are the beginning of the request's body, and all of it.
    is_complete : bool
        Whether the answer looks complete.
    is_large : bool
        Whether its answer is larger than the buffers.
    is_kept : bool
        Whether the connection had served a call before.
    is_reset : bool
        Whether the connection was reset, or refused.
    """

    request_id: str
    kind: str
    way: str
    gateway: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    size: int = 0
    is_prefix: bool = False
    is_whole: bool = False
    is_complete: bool = False
    is_large: bool = False
    is_kept: bool = False
    is_reset: bool = False

    @property
    def has_key(self) -> bool:
        """Whether it was sent with a key."""
        return self.kind != ANONYMOUS_KIND

    @property
    def whole_body(self) -> bytes:
        """Body of a whole answer."""
        if self.kind != "drafts":
            return plain_body(self.request_id, is_large=self.is_large)
        return b"".join(
            event(number, self.request_id, is_large=self.is_large)
            for number in range(EVENTS)
        )

    @property
    def is_short(self) -> bool:
        """Whether its answer is a success that looks complete and lacks a part."""
        is_success = self.status == 200 and self.is_complete
        return is_success and self.is_prefix and not self.is_whole

    def note_body(self, body: bytes) -> None:
        """Note what has come of the body, without keeping it."""
        whole = self.whole_body
        self.size = len(body)
        self.is_prefix = whole.startswith(body)
        self.is_whole = whole == body


class SoakCaller:
    """One caller, which sends a call after the other.

    Parameters
    ----------
    number : int
        Number of the caller.
    runs : list of GatewayRun
        Gateways.
    random : random.Random
        Source of its choices.
    on_call : callable
        Called with the record of each call that has ended.
    way : str, default=""
        How it calls; drawn by its number if empty.
    """

    def __init__(
        self,
        *,
        number: int,
        runs: list[GatewayRun],
        random: random_module.Random,
        on_call: Callable[[CallerRecord], None],
        way: str = "",
    ):
        self._number = number
        self._runs = runs
        self._random = random
        self._on_call = on_call
        self._way = way or WAYS[number % len(WAYS)]
        self._count = 0

    async def run(self) -> None:
        """Send calls until cancelled."""
        use = {
            "session": self._use_session,
            "kept": self._use_connection,
            "slow": self._use_connection,
            "http10": self._use_connection,
        }[self._way]
        while True:
            await use(self._random.randrange(len(self._runs)))

    def _draw(self, gateway: int) -> CallerRecord:
        kind = self._random.choice(KINDS)
        self._count += 1
        return CallerRecord(
            request_id=f"r-{self._number}-{self._count}",
            kind=kind,
            way=self._way,
            gateway=gateway,
            is_large=self._way == "slow" and kind != "orders",
            sent_s=time.monotonic(),
        )

    async def _end(self, call: CallerRecord, body: bytearray) -> None:
        call.ended_s = time.monotonic()
        call.note_body(bytes(body))
        self._on_call(call)
        await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    # An HTTP client with a pool of connections.

    async def _use_session(self, gateway: int) -> None:
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(_note_kept)
        async with aiohttp.ClientSession(
            auto_decompress=False, trace_configs=[trace]
        ) as session:
            for _ in range(CALLS_PER_SESSION):
                call = self._draw(self._random.randrange(len(self._runs)))
                body = bytearray()
                await self._send(session, call, body)
                await self._end(call, body)

    async def _send(
        self, session: aiohttp.ClientSession, call: CallerRecord, body: bytearray
    ) -> None:
        url = f"{self._runs[call.gateway].url}{_path(call)}"
        headers = {
            "Host": "shop.example",
            "Request-Id": call.request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if call.has_key:
            headers["X-Api-Key"] = "key-1"
        try:
            # The client would send a GET again by itself.
            async with session.post(
                url,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
                trace_request_ctx=call,
            ) as answer:
                call.status = answer.status
                async for piece in answer.content.iter_any():
                    body += piece
                call.is_complete = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            call.is_reset = isinstance(error, OSError)

    # Connections that are used until the gateway closes them.

    async def _use_connection(self, gateway: int) -> None:
        size = SLOW_BUFFER_BYTES if self._way == "slow" else 0
        caller = RawCaller(self._runs[gateway].url, receive_buffer_bytes=size)
        try:
            async with caller as connection:
                can_go_on, is_kept = True, False
                while can_go_on:
                    call = self._draw(gateway)
                    call.is_kept = is_kept
                    body = bytearray()
                    can_go_on = await self._ask(connection, call, body)
                    await self._end(call, body)
                    is_kept = True
        except OSError:
            await asyncio.sleep(CONNECT_RETRY_S)

    async def _ask(
        self, connection: RawCaller, call: CallerRecord, body: bytearray
    ) -> bool:
        """Send a request; return whether the connection can be used again."""
        headers: dict[str, str] = {}
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await connection.write(self._request(call))
                status, fields = await connection.read_head()
                while status < 200:
                    status, fields = await connection.read_head()
                call.status, headers = status, dict(fields)
                await self._read_body(connection, headers, body)
                call.is_complete = True
        except (EOFError, TimeoutError, OSError) as error:
            call.is_reset = isinstance(error, ConnectionError)
            return False
        return (
            self._way != "http10" and headers.get("connection", "").lower() != "close"
        )

    def _request(self, call: CallerRecord) -> bytes:
        data = request_bytes(
            call.request_id,
            _path(call),
            method="POST",
            version="1.0" if self._way == "http10" else "1.1",
            deadline_ms=DEADLINE_MS,
            Content_Length="0",
        )
        return data if call.has_key else data.replace(b"X-Api-Key: key-1\r\n", b"")

    async def _read_body(
        self, connection: RawCaller, headers: dict[str, str], body: bytearray
    ) -> None:
        if "chunked" in headers.get("transfer-encoding", ""):
            async for chunk in connection.chunks():
                body += chunk
                await self._pause(chunk)
            return
        left = int(headers["content-length"]) if "content-length" in headers else None
        while left != 0:
            size = SLOW_PIECE_BYTES if left is None else min(left, SLOW_PIECE_BYTES)
            piece = await connection.read_some(size)
            if not piece and left is None:
                return
            if not piece:
                raise EOFError("the answer is shorter than its length")
            body += piece
            if left is not None:
                left -= len(piece)
            await self._pause(piece)

    async def _pause(self, read: bytes) -> None:
        if self._way == "slow":
            await asyncio.sleep(len(read) / SLOW_BYTES_PER_S)


def _path(call: CallerRecord) -> str:
    return f"/{call.kind}/{LARGE_PATH if call.is_large else 1}"


async def _note_kept(session, context, parameters) -> None:
    context.trace_request_ctx.is_kept = True
