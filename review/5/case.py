"""Some runners end their streams with the connection."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
import stand_ins  # noqa: E402
from stand_ins import Connection, Gateway, HttpServer, Message, Record, Store  # noqa: E402

RUNNERS = 6
RUNNER_ID = "i-7f3a91c{}"
EVENTS = 12
PAUSE_S = 0.04
DEADLINE_MS = 8_050
CLIENTS = 10
CALLS = 12
# Streams that are cut on kept connections of one machine, before the rule is broken.
MAX_CUT = 3


class Runner:
    """Runner that streams events at an even pace."""

    def __init__(self, *, number: int, record: Record, is_framed: bool):
        self.is_framed = is_framed
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
            b"Server-Seal: 3e1b.07\r\nWeight-Versions: 1\r\n"
            b"Request-Id: "
            + request_id.encode()
            + b"\r\n"
            + (
                b"Transfer-Encoding: chunked"
                if self.is_framed
                else b"Connection: close"
            )
            + b"\r\n\r\n"
        )
        for event in range(first, EVENTS + 1):
            await asyncio.sleep(PAUSE_S)
            data = f"id: {event}\ndata: {request_id}\n\n".encode()
            writer.write(
                b"%x\r\n%s\r\n" % (len(data), data) if self.is_framed else data
            )
            await writer.drain()
        if self.is_framed:
            writer.write(b"0\r\n\r\n")
        else:
            await writer.drain()
            writer.close()
        self._record.note(f"{self.name} ends {request_id}")


async def use(record: Record, gateway: Gateway) -> int:
    """Send requests one after the other; return how many complete streams were cut."""
    connection = Connection(host=gateway.host, port=gateway.port)
    cut = 0
    for _ in range(CALLS):
        request_id = os.urandom(8).hex()
        received: list[bytes] = []
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
            outcome = "connection closed before the end"
            connection.close()
            cut += 1
        events = b"".join(received).count(b"id: ")
        record.note(f"client has {events} events of {request_id}: {outcome}")
        await asyncio.sleep(0.1)
    connection.close()
    return cut


async def main(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Send streams to sound runners."""
    store = Store(ip=stand_ins.free_ip())
    await store.start()
    gateway = Gateway(
        name="front-svea-a-1", zone="svea-a", store=store.address, folder=folder
    )
    store.write("op", "config", deployment.build_configuration())
    runners = [
        Runner(
            number=number,
            record=record,
            is_framed=not has_trouble or number % 2 == 0,
        )
        for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.server.start()
        entry = deployment.build_entry(deployment.MODEL_SERVICE, runner.server.address)
        store.write("servers", runner.name, entry)
    try:
        await gateway.start()
        await asyncio.sleep(3.5)
        used = await asyncio.gather(*(use(record, gateway) for _ in range(CLIENTS)))
        record.say(f"{sum(used)} of {CLIENTS * CALLS} streams were cut")
    finally:
        (FOLDER / "gateway.log").write_text(gateway.log())
        await gateway.stop()
        for runner in runners:
            runner.server.stop()
        store.stop()
    return sum(used) > MAX_CUT


stand_ins.run_case(main, FOLDER)
