"""Stand-ins for the platform's store, and helpers to speak HTTP/1.1, for the cases.

Everything uses the standard library alone and listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
TENANT_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
# Longest run of a case; its processes are ended after it.
MAX_RUN_S = 110.0


def now_ms() -> float:
    """Return the steady clock in milliseconds."""
    return time.monotonic() * 1_000


def free_ip() -> str:
    """Return a loopback address that hardly any other process uses."""
    numbers = random.SystemRandom()
    return "127." + ".".join(str(numbers.randint(2, 250)) for _ in range(3))


class Record:
    """Lines of `record.txt`, with the time since the start of the case."""

    def __init__(self, *, path: Path):
        self._file = path.open("w")
        self._began_ms = now_ms()

    def note(self, text: str) -> None:
        """Write a line."""
        at_s = (now_ms() - self._began_ms) / 1_000
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.note(text)
        print(text, flush=True)


class Message:
    """Request or answer: first line, headers in lower case, body."""

    def __init__(self, *, first: str, headers: list[tuple[str, str]]):
        self.first = first
        self.fields = headers
        self.headers = {name.lower(): value for name, value in headers}
        self.body = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def path(self) -> str:
        """Path and query of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    headers = [(name, value.strip()) for name, _, value in pairs]
    return Message(first=lines[0], headers=headers)


async def read_body(
    reader: asyncio.StreamReader,
    message: Message,
    on_data: Callable[[bytes], None] = lambda data: None,
) -> None:
    """Read a body by its length or its chunks; raise if it is not complete."""
    if "chunked" in message.headers.get("transfer-encoding", "").lower():
        while size := await _read_chunk_size(reader):
            data = await reader.readexactly(size)
            message.body += data
            on_data(data)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return
    size = int(message.headers.get("content-length", "0"))
    message.body = await reader.readexactly(size)
    on_data(message.body)


async def _read_chunk_size(reader: asyncio.StreamReader) -> int:
    line = await reader.readuntil(b"\r\n")
    return int(line.split(b";")[0], 16)


def encode(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    """Return an answer with a length."""
    fields = {**(headers or {}), "Content-Length": str(len(body))}
    head = f"HTTP/1.1 {status} X\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return head.encode() + b"\r\n" + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


class HttpServer:
    """Serves requests of kept connections one after the other."""

    def __init__(self, *, ip: str, handle: Handler):
        self._ip = ip
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                await read_body(reader, message)
                await self._handle(message, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store:
    """The platform's store, with rows in one part, and no limits on calls."""

    def __init__(self, *, ip: str):
        self._server = HttpServer(ip=ip, handle=self._handle)
        self._rows: dict[tuple[str, str], dict] = {}
        self._version = 1
        self._changed = asyncio.Event()

    @property
    def address(self) -> str:
        """Address of the store."""
        return self._server.address

    async def start(self) -> None:
        """Start to serve."""
        await self._server.start()

    def stop(self) -> None:
        """Stop to serve."""
        self._server.stop()

    def write(self, table: str, key: str, value: dict | None) -> None:
        """Write a row as the operator or a runner does; None removes it."""
        encoded = None if value is None else json.dumps(value).encode()
        self.write_bytes(table, key, encoded)

    def write_bytes(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row with any content."""
        self._version += 1
        self._put(table, key, value)
        self._wake()

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        row = {"table": table, "part": "", "key": key, "ver": self._version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        self._rows[table, key] = row

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, rows: list[dict], **more: object) -> dict:
        return {"rows": rows, "ver": self._version, "nowMs": now_ms(), **more}

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        url = urlsplit(message.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        status, answer = 200, {}
        if url.path == "/api/rows-get":
            answer = self._read(query)
        elif url.path == "/api/rows-feed":
            answer = await self._watch(query)
        elif url.path == "/api/rows-tx":
            status, answer = self._transact(json.loads(message.body))
        elif url.path == "/api/rows-parts":
            answer = {"parts": [""], "hasMore": False}
        elif url.path == "/api/blob-list":
            answer = {"names": [], "hasMore": False}
        else:
            status = 404
        body = json.dumps(answer).encode()
        writer.write(encode(status, body, {"Content-Type": "application/json"}))

    def _read(self, query: dict[str, str]) -> dict:
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"]
            and "value" in row
            and key >= query.get("from", "")
            and (not query.get("to") or key < query["to"])
        ]
        limit = int(query.get("limit", 500))
        return self._answer(rows[:limit], hasMore=len(rows) > limit)

    async def _watch(self, query: dict[str, str]) -> dict:
        end_ms = now_ms() + float(query.get("waitMs", 0))
        while True:
            changed = self._changed
            rows = [
                row
                for (table, _), row in self._rows.items()
                if table == query["table"] and row["ver"] > int(query["after"])
            ]
            left_s = (end_ms - now_ms()) / 1_000
            if rows or left_s <= 0:
                return self._answer(sorted(rows, key=lambda row: row["ver"]))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _transact(self, body: dict) -> tuple[int, dict]:
        def current(entry: dict) -> dict | None:
            row = self._rows.get((entry["table"], entry["key"]))
            return row if row is not None and "value" in row else None

        expected = body.get("expect", [])
        for entry in expected:
            row = current(entry)
            if (row["ver"] if row else 0) != entry.get("ver", 0):
                rows = [row for row in map(current, expected) if row]
                return 412, self._answer(rows)
        self._version += 1
        for entry in body.get("puts", []):
            value = base64.b64decode(entry["value"])
            self._put(entry["table"], entry["key"], value)
        for entry in body.get("remove", []):
            self._put(entry["table"], entry["key"], None)
        self._wake()
        return 200, self._answer([])


class Gateway:
    """A gateway, started with the command of the deploy file."""

    def __init__(self, *, name: str, zone: str, store: str, folder: Path):
        self.name = name
        self._folder = folder
        ip = free_ip()
        port = random.SystemRandom().randint(20_000, 50_000)
        self.host, self.port = ip, port
        zones = {zone: "svealand" for zone in ("svea-a", "svea-b", "svea-c")}
        self._settings = {
            "node": name,
            "role": "gateway",
            "class": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": zone,
            "region": "svealand",
            "zones": zones,
            "listen": {"front": f"{ip}:{port}", "ready": f"{ip}:{port + 1}"},
            "portRange": [port + 2, port + 17],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 300,
                "fds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeatMs": 1200,
            "bounds": {
                "reuseAfterS": 2,
                "contactMs": 3000,
                "ackMs": 4000,
                "drainMs": 2000,
                "graceS": 8,
                "lossSlackMs": 200,
                "configApplyMs": 2000,
                "backMs": 250,
                "maxStretchMs": 5000,
                "strictRevoke": True,
                "revokeMs": 5000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "retryBudgetSlack": 88,
                "passMs": 120,
                "stall_ms": 1500,
                "checksFence": False,
            },
            "platform": {
                "address": store,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "txMs": 8.0,
                "rowBytes": 65536,
                "historyS": 20,
            },
        }
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "CAROBROUTE_NODE_FILE": str(path),
            "SSL_CERT_FILE": "/dev/null",
            "PYTHONPATH": f"{REPOSITORY / 'target' / 'deps'}:.",
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "carobroute.gateway",
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )
        for _ in range(200):
            await asyncio.sleep(0.1)
            if self._process.returncode is not None:
                raise RuntimeError(f"{self.name} ended: {self.log()[-2000:]}")
            if await self._is_ready():
                return
        raise RuntimeError(f"{self.name} is not ready: {self.log()[-2000:]}")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port + 1)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await read_head(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def wait_ended(self) -> None:
        """Wait until the process has ended."""
        assert self._process is not None
        await self._process.wait()

    async def stop(self) -> None:
        """End the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class Connection:
    """Kept connection of a client."""

    def __init__(self, *, host: str, port: int):
        self._host, self._port = host, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent."""
        reader, writer = self._reader, self._writer
        return (
            reader is not None
            and writer is not None
            and not reader.at_eof()
            and not writer.is_closing()
        )

    async def open(self) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(
            self._host, self._port
        )

    async def send(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str],
        body: bytes = b"",
        on_data: Callable[[bytes], None] = lambda data: None,
        on_head: Callable[[Message], None] = lambda head: None,
    ) -> Message:
        """Send a request, and return its complete answer, or raise."""
        if not self.is_open:
            await self.open()
        assert self._reader is not None and self._writer is not None
        fields = {"Host": HOST, "Content-Length": str(len(body)), **headers}
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self._writer.write(head.encode() + b"\r\n" + body)
        answer = await read_head(self._reader)
        on_head(answer)
        await read_body(self._reader, answer, on_data)
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def _run_within_time(
    main: Callable[[Record, Path, bool], Awaitable[bool]],
    record: Record,
    folder: Path,
    has_trouble: bool,
) -> bool:
    """Run a case; SIGTERM cancels it, so that it ends its processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(MAX_RUN_S):
        return await main(record, folder, has_trouble)


def run_case(
    main: Callable[[Record, Path, bool], Awaitable[bool]], folder: Path
) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path=folder / "record.txt")
    record.note(f"trouble: {'yes' if has_trouble else 'no'}")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(
                _run_within_time(main, record, Path(temporary), has_trouble)
            )
        except (Exception, asyncio.CancelledError) as error:
            record.say(f"the case could not run: {error!r}")
            sys.exit(2)
    record.say("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
