"""A plain runner as a process; on request, it sends bytes that are no answer.

Usage: runner.py IDENT WORK_MS PIECE BYTES_PER_S

`bad` on its standard input turns it bad, `good` turns it good again. While it is bad,
it answers a request with copies of the named piece, until the caller closes, and sends
no more than the given bytes a second on all connections together.
"""

import asyncio
import contextlib
import sys
import time

PIECES = {
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
    "chunks": b"1\r\nx\r\n",
}
BATCH_BYTES = 16_384
WEIGHT_VERSION = "1"
# Streams of `klang-hq` have 28 events.
EVENT_COUNT, EVENT_GAP_MS = 28, 20


class Runner:
    """Answers requests one after the other on each connection."""

    def __init__(self, *, ident, work_ms, piece, bytes_per_s):
        self._ident = ident
        self._work_ms = work_ms
        self._batch = PIECES[piece] * (BATCH_BYTES // len(PIECES[piece]))
        self._bytes_per_s = bytes_per_s
        self._has_head = piece == "chunks"
        self._free_s = 0.0
        self._is_bad = False
        self.sent_bytes = 0

    def obey(self, word):
        """Turn bad or good."""
        self._is_bad = word == "bad"

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                await reader.readexactly(int(fields.get("content-length", 0)))
                request_id = fields.get("request-id", "")
                print("asked", request_id, "bad" if self._is_bad else "good")
                if fields.get("expect-version", WEIGHT_VERSION) != WEIGHT_VERSION:
                    writer.write(
                        "HTTP/1.1 421 Misdirected Request\r\n"
                        f"Request-Id: {request_id}\r\nInstance-Id: {self._ident}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                if self._is_bad:
                    await self._send_on(writer, request_id)
                await asyncio.sleep(self._work_ms / 1000)
                print("ran", request_id, flush=True)
                await self._answer(writer, request_id, is_stream=" /draft/" in head)
        writer.close()

    async def _answer(self, writer, request_id, *, is_stream):
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Server-Seal: {self._ident}.{request_id}\r\n"
        )
        if not is_stream:
            writer.write(f"{head}Content-Length: 2\r\n\r\nok".encode())
            return await writer.drain()
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(f"{head}\r\n".encode())
        for number in range(1, EVENT_COUNT + 1):
            event = f"id: {number}\ndata: bell {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_MS / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _send_on(self, writer, request_id):
        if self._has_head:
            writer.write(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Server-Seal: {self._ident}.{request_id}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
        while True:
            now_s = time.monotonic()
            start_s = max(now_s, self._free_s)
            self._free_s = start_s + len(self._batch) / self._bytes_per_s
            await asyncio.sleep(max(0.0, start_s - now_s))
            writer.write(self._batch)
            self.sent_bytes += len(self._batch)
            await writer.drain()


async def main(ident, work_ms, piece, bytes_per_s):
    """Serve until the process is ended."""
    runner = Runner(
        ident=ident,
        work_ms=float(work_ms),
        piece=piece,
        bytes_per_s=float(bytes_per_s),
    )
    server = await asyncio.start_server(runner.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    print(f"READY {host}:{port}", flush=True)
    loop = asyncio.get_running_loop()
    while word := await loop.run_in_executor(None, sys.stdin.readline):
        runner.obey(word.strip())


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
