"""Another writer's entry stands in the list while the runners of a service change."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
import stand_ins  # noqa: E402
from stand_ins import Connection, Gateway, HttpServer, Message, Record, Store  # noqa: E402

ZONES = ("svea-a", "svea-b", "svea-c")
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
# A leaving runner goes on for longer than `drainMs`, at times for many seconds.
LINGER_S = 5.0
CALLS_PER_S = 20.0
WORK_S = 0.03
# Entry of another writer: bytes that can't be read, as JSON that is not even closed.
STRANGE_KEY = "x-1"
STRANGE_VALUE = b'{"models":' + b"[" * 4_000


class Runner:
    """Runner of the orders' service."""

    def __init__(self, *, name: str, zone: str, store: Store, record: Record):
        self.name = name
        self._zone = zone
        self._store = store
        self._record = record
        self._server = HttpServer(ip=stand_ins.free_ip(), handle=self._handle)
        self._sequence = 0
        self._state = "ready"
        # Time at which the store has accepted that the runner drains.
        self._drained_ms = float("inf")
        self._beats: asyncio.Task | None = None
        self.late: list[str] = []

    async def start(self) -> None:
        """Serve, and write the entry with each heartbeat."""
        await self._server.start()
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self._write()
            await asyncio.sleep(HEARTBEAT_S)

    def _write(self) -> None:
        self._sequence += 1
        entry = deployment.build_entry(
            deployment.ORDERS_SERVICE,
            self._server.address,
            zone=self._zone,
            state=self._state,
            seq=self._sequence,
        )
        self._store.write("servers", self.name, entry)

    async def leave(self) -> None:
        """Drain, go on for a while, and end."""
        self._state = "draining"
        self._write()
        self._drained_ms = stand_ins.now_ms()
        self._record.note(f"{self.name} drains, accepted by the store")
        await asyncio.sleep(LINGER_S)
        self.stop()
        self._store.write("servers", self.name, None)
        self._record.note(f"{self.name} has ended")

    def stop(self) -> None:
        """End."""
        if self._beats is not None:
            self._beats.cancel()
        self._server.stop()

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        request_id = message.headers.get("request-id", "")
        if message.headers.get("expect-instance") != self.name:
            writer.write(stand_ins.encode(421, b""))
            return
        sent_ms = float(message.body)
        if sent_ms > self._drained_ms + DRAIN_S * 1_000:
            late_ms = sent_ms - self._drained_ms
            self.late.append(request_id)
            self._record.note(
                f"{self.name} gets {request_id}, sent {late_ms:.0f} ms after it drains"
            )
        await asyncio.sleep(WORK_S)
        head = {"Request-Id": request_id, "Server-Seal": "3e1b.07"}
        writer.write(stand_ins.encode(200, b"done " + request_id.encode(), head))


async def call(record: Record, gateway: Gateway) -> int:
    """Send an order, and return the status of its answer; 0 for none."""
    connection = Connection(host=gateway.host, port=gateway.port)
    request_id = os.urandom(8).hex()
    try:
        answer = await connection.send(
            "POST",
            deployment.UNSAFE_PATH,
            headers=deployment.build_call_headers(request_id, 1_013),
            body=f"{stand_ins.now_ms():.1f}".encode(),
        )
    except (OSError, asyncio.IncompleteReadError) as error:
        record.note(f"client has no answer for {request_id}: {error!r}")
        return 0
    finally:
        connection.close()
    if answer.status != 200:
        record.note(f"client gets {answer.status} for {request_id}")
    return answer.status


async def release(runners: list[Runner], start: list[Runner]) -> None:
    """Replace the runners one after the other; the new one starts first."""
    for old, new in zip(list(runners), start, strict=True):
        await new.start()
        await asyncio.sleep(1.5)
        await old.leave()


async def main(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Send orders while the runners of the service are replaced."""
    rng = random.Random(3)
    store = Store(ip=stand_ins.free_ip())
    await store.start()
    store.write("op", "config", deployment.build_configuration())
    old, new = (
        [
            Runner(name=f"i-{letter}{zone[-1]}", zone=zone, store=store, record=record)
            for zone in ZONES
        ]
        for letter in ("1", "2")
    )
    for runner in old:
        await runner.start()
    gateways = [
        Gateway(name=f"front-{zone}-1", zone=zone, store=store.address, folder=folder)
        for zone in ZONES
    ]
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        await asyncio.sleep(4.0)
        if has_trouble:
            store.write_bytes("servers", STRANGE_KEY, STRANGE_VALUE)
            record.note("another writer's entry is in the list")
        await asyncio.sleep(4.0)
        releasing = asyncio.create_task(release(old, new))
        calls: list[asyncio.Task] = []
        while not releasing.done():
            calls.append(asyncio.create_task(call(record, rng.choice(gateways))))
            await asyncio.sleep(rng.expovariate(CALLS_PER_S))
        statuses = list(await asyncio.gather(*calls))
        last = [await call(record, gateway) for gateway in gateways for _ in range(5)]
        late = sum(len(runner.late) for runner in (*old, *new))
        record.say(
            f"{statuses.count(200)} of {len(statuses)} orders done during the release,"
            f" {last.count(200)} of {len(last)} after it"
        )
        record.say(f"{late} orders reached runners too late after they drained")
    finally:
        for gateway in gateways:
            (FOLDER / f"{gateway.name}.log").write_text(gateway.log())
            await gateway.stop()
        for runner in (*old, *new):
            runner.stop()
        store.stop()
    return late > 0


stand_ins.run_case(main, FOLDER)
