"""A target on loopback that crashes when it begins an answer on a bad prompt part."""

import asyncio
import itertools
import json
import socket
from collections.abc import Callable

from multidict import CIMultiDict

from carobroute.domain import ListedTargetState, TargetEntry
from carobroute.platform import CallHeaders, decode_call_headers
from carobroute.standins._reserved_ports import LOOPBACK, reserve_port

READ_S = 0.05
EVENT_GAP_S = 0.03
EVENTS = 8
SLOTS = 6


class CrashingTarget:
    """Target whose process ends at a bad part, and comes back after some seconds.

    A crash closes the listener and resets all connections. After the restart, the
    target has the same address and another start time.

    Parameters
    ----------
    incarnation : str
        Identifier of the target.
    bad_part : str
        Part of a prompt at which it crashes.
    restart_s : float
        Time from a crash to the restart.
    on_entry : callable
        Called with the target's entry for the list when it has changed.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        bad_part: str,
        restart_s: float,
        on_entry: Callable[[TargetEntry], None] = lambda entry: None,
    ):
        self._incarnation = incarnation
        self.bad_part = bad_part
        self._restart_s = restart_s
        self._on_entry = on_entry
        self._starts = itertools.count(1)
        self._started_ms = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None
        # Holds the port while the target does not listen.
        self._reserved: socket.socket | None = None
        self._port = 0
        # Monotonic times of the loop.
        self.crash_times: list[float] = []
        self.bad_call_times: list[float] = []

    @property
    def entry(self) -> TargetEntry:
        """Entry of the target for the list."""
        return TargetEntry(
            incarnation=self._incarnation,
            started_ms=self._started_ms,
            service="model",
            address=f"{LOOPBACK}:{self._port}",
            data_centre="a",
            slots=SLOTS,
            condition=ListedTargetState.READY,
            slow_start_ms=0.0,
        )

    async def start(self) -> None:
        """Listen, and renew the entry."""
        if self._reserved is None:
            self._reserved = reserve_port()
            self._port = self._reserved.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self._port)
        self._started_ms = next(self._starts)
        self._on_entry(self.entry)

    async def stop(self) -> None:
        """Stop listening, for good."""
        if self._restart is not None:
            self._restart.cancel()
        self._end_process()
        # The event loop closes the sockets in its next turn.
        await asyncio.sleep(0)
        if self._reserved is not None:
            self._reserved.close()

    def reset_connections(self) -> bool:
        """Reset all connections; return whether there were any."""
        for writer in list(self._writers):
            writer.transport.abort()
        return bool(self._writers)

    def _end_process(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def _crash(self) -> None:
        self.crash_times.append(asyncio.get_running_loop().time())
        self._end_process()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(self._restart_s)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = CIMultiDict(
                    (name, value.strip())
                    for name, _, value in (
                        line.partition(":") for line in head.split("\r\n")[1:]
                    )
                )
                await reader.readexactly(int(fields.get("Content-Length", "0")))
                if head.startswith("GET /api/report"):
                    self._send_report(writer)
                else:
                    await self._run(decode_call_headers(fields), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _send_report(self, writer: asyncio.StreamWriter) -> None:
        body = json.dumps({"group": {}, "seq": 0, "born": self._started_ms}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        writer.write(body)

    async def _run(self, call: CallHeaders, writer: asyncio.StreamWriter) -> None:
        is_bad = self.bad_part in call.shared_parts
        if is_bad:
            self.bad_call_times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(READ_S)
        if is_bad and not writer.is_closing():
            self._crash()
            return
        writer.write(
            "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nTransfer-Encoding: chunked\r\n"
            "Content-Type: text/event-stream\r\n"
            f"Request-Id: {call.request_id}\r\n\r\n".encode()
        )
        for number in range(EVENTS):
            event = b"id: %d\ndata: some tokens\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
