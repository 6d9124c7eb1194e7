"""Stand-in of a rank group: ranks that make passes together on an expert map."""

import asyncio
import contextlib
import json
import random
from collections import deque

import deployment
import stand_ins
from stand_ins import HttpServer, Message, Record

RANKS = 12
SETS = deployment.ENGINE["sets"]
EXPERTS = deployment.ENGINE["experts"]
SLOTS = deployment.ENGINE["slots"]
SPARE = deployment.ENGINE["spare"]
COPY_S = deployment.ENGINE["expertMb"] * 8 / deployment.ENGINE["linkMbps"]
REPORT_LAG_S = deployment.ENGINE["report_lag_ms"] / 1_000
EPOCH = 1
GROUP = "g-1"
BASE_PASS_S = 0.03
# Time of a set of layers in a pass, if one rank had all of its work.
SET_PASS_S = 0.036
PICKS = 40


def draw_demand(rng: random.Random) -> list[list[float]]:
    """Return how much each expert is in demand, by set."""
    demand = []
    for _ in range(SETS):
        weights = [1.0 / (1 + number) ** 1.1 for number in range(EXPERTS)]
        rng.shuffle(weights)
        demand.append([weight / sum(weights) for weight in weights])
    return demand


class Stream:
    """Request that runs, or waits to run, at a rank."""

    def __init__(self, *, request_id: str, first: int, events: int):
        self.request_id = request_id
        self.next_event = first
        self.events = events
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()


class Kept:
    """Connection to a rank, with the last complete stream that it has carried."""

    def __init__(self) -> None:
        self.is_busy = False
        self.last_answer = b""
        self.last_id = ""


class Rank:
    """One rank of the group."""

    def __init__(self, *, number: int, group: "Group", record: Record):
        self.number = number
        self.name = f"i-7f3a91{number:02x}"
        self.group = group
        self.record = record
        self.server = HttpServer(ip=stand_ins.free_ip(), handle=self._handle)
        self.version = 0
        self.experts = [list(range(number, EXPERTS, RANKS)) for _ in range(SETS)]
        self.highest = 0
        self.prepared: tuple[int, list[list[int]], float] | None = None
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None
        self.sequence = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.running: list[Stream] = []
        self.waiting: deque[Stream] = deque()
        self.kept: dict[asyncio.StreamWriter, Kept] = {}
        self.answers = 0
        self._reports: deque[tuple[float, dict]] = deque()

    def report(self) -> dict:
        """Return the state of now."""
        loop_s = asyncio.get_running_loop().time()
        ready = self.prepared is not None and self.prepared[2] <= loop_s
        armed = self.armed
        return {
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": self.sequence,
            "queued": len(self.waiting),
            "running": len(self.running),
            "kvUsed": 0,
            "kvTotal": 186000,
            "handles": 0,
            "group": {
                "name": GROUP,
                "epoch": EPOCH,
                "rank": self.number,
                "state": "open",
            },
            "size": RANKS,
            "pace": 1.0,
            "born": deployment.BORN_MS,
            "step": self.group.step,
            "map": self.version,
            "prepared": self.prepared[0] if self.prepared and ready else None,
            "armed": {"version": armed[0], "step": armed[1]} if armed else None,
            "held": self.held,
        }

    def note_report(self) -> None:
        """Keep the state of now, for a report that lags."""
        loop_s = asyncio.get_running_loop().time()
        self._reports.append((loop_s, self.report()))
        while len(self._reports) > 1 and self._reports[1][0] < loop_s - REPORT_LAG_S:
            self._reports.popleft()

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        kept = self.kept.setdefault(writer, Kept())
        kept.is_busy = True
        try:
            await self._answer(message, writer, kept)
        finally:
            kept.is_busy = False

    async def _answer(
        self, message: Message, writer: asyncio.StreamWriter, kept: Kept
    ) -> None:
        path = message.path
        if path == "/api/report":
            writer.write(_json(200, self._reports[0][1]))
        elif path.startswith("/api/picked"):
            writer.write(_json(200, self._picked("lists" in path)))
        elif path == "/api/order":
            if message.headers.get("expect-instance") != self.name:
                writer.write(stand_ins.encode(421, b""))
                return
            order = json.loads(message.body)
            status = self._carry_out(order)
            shown = {name: value for name, value in order.items() if name != "map"}
            self.record.note(f"{self.name} answers {status} to {shown}")
            writer.write(stand_ins.encode(status, b""))
            if order["op"] == "prepare":
                self.group.on_prepared(self, writer, kept)
        elif path == "/health":
            writer.write(stand_ins.encode(200, b"", {"Instance-Id": self.name}))
        else:
            await self._stream(message, writer, kept)

    def _picked(self, lists: bool) -> dict:
        head = {"step": self.group.step, "epoch": EPOCH}
        if not lists:
            return {**head, "counts": self.counts}
        return {**head, "map": {"version": self.version, "experts": self.experts}}

    def _carry_out(self, order: dict) -> int:
        """Carry out an order, and return the status of its answer."""
        if order.get("epoch", EPOCH) != EPOCH:
            return 409
        return getattr(self, f"_{order['op']}", lambda order: 400)(order)

    def _prepare(self, order: dict) -> int:
        version, layout = order["version"], order["map"]
        if self.prepared is not None and self.prepared[0] == version:
            return 200
        experts = [layout[index][self.number] for index in range(SETS)]
        new = [
            len(set(wanted) - set(held))
            for wanted, held in zip(experts, self.experts, strict=True)
        ]
        if version <= self.highest or self.armed or max(new) > SPARE:
            return 409
        loop_s = asyncio.get_running_loop().time()
        self.highest = version
        self.prepared = (version, experts, loop_s + COPY_S * sum(new))
        self.sequence += 1
        return 202

    def _arm(self, order: dict) -> int:
        wanted = (order["version"], order["step"])
        if self.armed == wanted:
            return 200
        loop_s = asyncio.get_running_loop().time()
        prepared = self.prepared
        if prepared is None or prepared[0] != wanted[0] or prepared[2] > loop_s:
            return 409
        if wanted[1] <= self.group.step or self.armed:
            return 409
        self.armed = wanted
        self.sequence += 1
        return 200

    def _disarm(self, order: dict) -> int:
        if self.version == order["version"]:
            return 409
        if self.armed and self.armed[0] == order["version"]:
            self.armed = None
            self.sequence += 1
        return 200

    def _hold(self, order: dict) -> int:
        if self.held == order["step"]:
            return 200
        if self.held is not None or order["step"] <= self.group.step:
            return 409
        self.held = order["step"]
        self.sequence += 1
        return 200

    def _go(self, order: dict) -> int:
        if self.held == order["step"]:
            self.held = None
            self.sequence += 1
            self.group.wake.set()
        return 200

    async def _stream(
        self, message: Message, writer: asyncio.StreamWriter, kept: Kept
    ) -> None:
        request_id = message.headers.get("request-id", "")
        if not request_id or message.headers.get("expect-instance") != self.name:
            writer.write(stand_ins.encode(421, b"", {"Instance-Id": "i-0"}))
            return
        if len(self.waiting) >= 2 * SLOTS:
            writer.write(stand_ins.encode(503, b"", {"Not-Run": "1"}))
            return
        first = int(message.headers.get("last-event-id", "0")) + 1
        events = int(message.headers["token-counts"].split(",")[1]) // 5
        stream = Stream(request_id=request_id, first=first, events=events)
        self.waiting.append(stream)
        self.group.wake.set()
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nServer-Seal: 3e1b.07\r\n"
            b"Weight-Versions: 1\r\nRequest-Id: " + request_id.encode() + b"\r\n\r\n"
        )
        parts = [answer]
        try:
            while (data := await stream.queue.get()) is not None:
                parts.append(b"%x\r\n%s\r\n" % (len(data), data))
                writer.write(b"".join(parts[-2:]) if len(parts) == 2 else parts[-1])
                await writer.drain()
                if writer.is_closing():
                    raise ConnectionResetError
        finally:
            if stream in self.running:
                self.running.remove(stream)
            if stream in self.waiting:
                self.waiting.remove(stream)
        writer.write(b"0\r\n\r\n")
        self.answers += 1
        kept.last_answer = b"".join(parts) + b"0\r\n\r\n"
        kept.last_id = request_id


class Group:
    """Ranks in lock-step, with a record of passes on different maps."""

    def __init__(self, *, record: Record, rng: random.Random):
        self.record = record
        self.step = 0
        self.wake = asyncio.Event()
        self.demand = draw_demand(rng)
        self.ranks = [
            Rank(number=number, group=self, record=record) for number in range(RANKS)
        ]
        self.mixed_passes: list[str] = []
        self.switches = 0
        self.on_prepared = lambda rank, writer, kept: None

    @property
    def answers(self) -> int:
        """Number of complete streams."""
        return sum(rank.answers for rank in self.ranks)

    async def start(self) -> None:
        """Start to serve."""
        for rank in self.ranks:
            await rank.server.start()
            rank.note_report()

    def stop(self) -> None:
        """Stop to serve."""
        for rank in self.ranks:
            rank.server.stop()

    async def run(self) -> None:
        """Make passes while there is work."""
        while True:
            for rank in self.ranks:
                rank.note_report()
                while rank.waiting and len(rank.running) < SLOTS:
                    rank.running.append(rank.waiting.popleft())
            is_held = any(rank.held == self.step + 1 for rank in self.ranks)
            if is_held or not any(rank.running for rank in self.ranks):
                self.wake.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.wake.wait(), 0.05)
                continue
            self._begin_pass()
            await asyncio.sleep(self._pass_s())
            self._end_pass()

    def _begin_pass(self) -> None:
        self.step += 1
        before = {rank.version for rank in self.ranks}
        for rank in self.ranks:
            if rank.armed and rank.armed[1] <= self.step:
                assert rank.prepared is not None
                rank.version, rank.experts = rank.armed[0], rank.prepared[1]
                rank.armed = rank.prepared = None
        versions = {rank.version for rank in self.ranks}
        if versions != before:
            self.switches += len(versions) == 1
            self.record.note(f"pass {self.step} begins on map {sorted(versions)}")
        if len(versions) > 1:
            maps = {rank.name: rank.version for rank in self.ranks}
            self.mixed_passes.append(f"pass {self.step}: {maps}")
            self.record.note(f"MIXED pass {self.step}: {maps}")

    def _pass_s(self) -> float:
        total_s = BASE_PASS_S
        for index in range(SETS):
            holders = [0] * EXPERTS
            for rank in self.ranks:
                for expert in rank.experts[index]:
                    holders[expert] += 1
            demand = self.demand[index]
            total_s += SET_PASS_S * max(
                sum(demand[e] / holders[e] for e in rank.experts[index])
                for rank in self.ranks
            )
        return total_s

    def _end_pass(self) -> None:
        for rank in self.ranks:
            for index in range(SETS):
                for expert, share in enumerate(self.demand[index]):
                    picks = round(PICKS * share * len(rank.running))
                    rank.counts[index * EXPERTS + expert] += picks
            for stream in list(rank.running):
                event = f"id: {stream.next_event}\ndata: {stream.request_id}\n\n"
                stream.queue.put_nowait(event.encode())
                if stream.next_event >= stream.events:
                    stream.queue.put_nowait(None)
                    rank.running.remove(stream)
                stream.next_event += 1


def _json(status: int, value: dict) -> bytes:
    body = json.dumps(value).encode()
    return stand_ins.encode(status, body, {"Content-Type": "application/json"})
