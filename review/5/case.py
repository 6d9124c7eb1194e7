"""A gateway gets SIGTERM while clients send requests on kept connections."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
import stand_ins  # noqa: E402
from stand_ins import Connection, Gateway, HttpServer, Message, Record, Store  # noqa: E402

RUNNERS = 3
RUNNER_ID = "i-7f3a91c{}"
# A long answer: pauses of 90 ms where 120 ms are on time, 5 s of a deadline of 8 s.
EVENTS = 55
PAUSE_S = 0.09
DEADLINE_MS = 8_050
GRACE_S = 8.0
# Requests that are sent later than this after SIGTERM are not excused.
EXCUSED_S = 3.0
# When clients send their requests, in seconds from SIGTERM.
SENT_S = [round(-0.95 + 0.1 * number, 2) for number in range(46)]
# Body of the short request with which each connection is used before it is idle.
SHORT = b"short"
SHORT_EVENTS = 2


class Runner:
    """Runner that streams events at an even pace."""

    def __init__(self, *, number: int, record: Record):
        self.name = RUNNER_ID.format(number)
        self._record = record
        self.server = HttpServer(ip=stand_ins.free_ip(), handle=self._handle)

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.method == "GET":
            writer.write(stand_ins.encode(200, b"", {"Instance-Id": self.name}))
            return
        request_id = message.headers["request-id"]
        first = int(message.headers.get("last-event-id", "0")) + 1
        self._record.note(f"{self.name} runs {request_id} from event {first}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nServer-Seal: 3e1b.07\r\n"
            b"Weight-Versions: 1\r\nRequest-Id: " + request_id.encode() + b"\r\n\r\n"
        )
        events = SHORT_EVENTS if message.body == SHORT else EVENTS
        for event in range(first, events + 1):
            await asyncio.sleep(PAUSE_S)
            data = f"id: {event}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self._record.note(f"{self.name} ends {request_id}")


async def call(
    record: Record, connection: Connection, sent_s: float, term_ms: float
) -> bool:
    """Send a request at its time; return whether it was cut against the rule."""
    await asyncio.sleep(max(0.0, term_ms / 1_000 + sent_s - stand_ins.now_ms() / 1_000))
    if not connection.is_open:
        record.note(f"at {sent_s:.2f} s: the kept connection was closed before")
        return False
    request_id = os.urandom(8).hex()
    received: list[bytes] = []
    record.note(f"at {sent_s:.2f} s: client sends {request_id}")
    outcome = ""
    try:
        answer = await connection.send(
            "POST",
            deployment.STREAM_PATH,
            headers=deployment.build_call_headers(request_id, DEADLINE_MS),
            body=b"draft",
            on_data=received.append,
        )
        outcome = f"complete answer, status {answer.status}"
    except (asyncio.IncompleteReadError, ConnectionError):
        outcome = "connection ended without a complete answer"
    at_s = (stand_ins.now_ms() - term_ms) / 1_000
    events = b"".join(received).count(b"id: ")
    record.note(f"sent at {sent_s:.2f} s, ended at {at_s:.2f} s: {outcome}, {events}")
    was_passed_on = events > 0
    is_cut = outcome.startswith("connection") and was_passed_on
    is_excused = sent_s <= EXCUSED_S and at_s >= GRACE_S * 5 / 6
    return is_cut and not is_excused


async def use(connection: Connection) -> None:
    """Send a short request, after which the connection is kept."""
    answer = await connection.send(
        "POST",
        deployment.STREAM_PATH,
        headers=deployment.build_call_headers(os.urandom(8).hex(), DEADLINE_MS),
        body=SHORT,
    )
    if answer.status != 200 or not connection.is_open:
        raise RuntimeError(f"the first request got {answer.status}")


async def main(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Stop the gateway while clients use it."""
    store = Store(ip=stand_ins.free_ip())
    await store.start()
    gateway = Gateway(
        name="front-svea-a-1", zone="svea-a", store=store.address, folder=folder
    )
    store.write("op", "config", deployment.build_configuration())
    runners = [Runner(number=number, record=record) for number in range(RUNNERS)]
    for runner in runners:
        await runner.server.start()
        entry = deployment.build_entry(
            deployment.MODEL_SERVICE, runner.server.address, slots=16
        )
        store.write("servers", runner.name, entry)
    connections = [Connection(host=gateway.host, port=gateway.port) for _ in SENT_S]
    try:
        await gateway.start()
        await asyncio.sleep(3.5)
        await asyncio.gather(*(use(connection) for connection in connections))
        record.note("each connection has carried a request and is kept")
        term_ms = stand_ins.now_ms() + 2_000
        calls = [
            asyncio.create_task(call(record, connection, sent_s, term_ms))
            for connection, sent_s in zip(connections, SENT_S, strict=True)
        ]
        await asyncio.sleep(2.0)
        if has_trouble:
            record.note("SIGTERM")
            gateway.signal(signal.SIGTERM)
            with_grace = asyncio.wait_for(gateway.wait_ended(), GRACE_S)
            try:
                await with_grace
                record.note("the process has ended")
            except TimeoutError:
                record.note("SIGKILL")
                gateway.signal(signal.SIGKILL)
        cut = sum(await asyncio.gather(*calls))
        record.say(f"{cut} requests were passed on and cut without an excuse")
    finally:
        await gateway.stop()
        for connection in connections:
            connection.close()
        for runner in runners:
            runner.server.stop()
        store.stop()
    return cut > 0


stand_ins.run_case(main, FOLDER)
