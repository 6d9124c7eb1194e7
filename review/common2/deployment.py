"""A small deployment on loopback: the platform's store, gateways and requests."""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import time
from pathlib import Path

from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 30.0
MEMORY_MB = 300
ZONES = ("svea-a", "svea-b", "svea-c")
HEADER_BYTES = 16_384
# Bounds of `klang-hq` in SYSTEM.md.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
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
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "checksFence": False,
}


class Store:
    """Tables of rows, as PROTOCOL.md describes them."""

    def __init__(self):
        self._rows = {}
        self._changes = []
        self._changed = asyncio.Event()
        self._ver = 0

    def put(self, table, key, value):
        """Write a row as the operator or a runner does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._ver += 1
        self._write({"table": table, "part": "", "key": key, "value": data})

    def application(self):
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 21)
        application.add_routes(
            [
                web.post("/api/rows-tx", self._transact),
                web.get("/api/rows-get", self._read),
                web.get("/api/rows-feed", self._watch),
            ]
        )
        return application

    def _answer(self, status=200, **fields):
        fields |= {"ver": self._ver, "nowMs": time.monotonic() * 1000}
        return web.json_response(fields, status=status)

    def _write(self, row):
        row = {**row, "ver": self._ver}
        address = row["table"], row["part"], row["key"]
        if row.get("removed"):
            self._rows.pop(address, None)
        else:
            self._rows[address] = row
        self._changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _transact(self, request):
        body = json.loads(await request.read())
        await asyncio.sleep(0.008)
        stood = []
        for entry in body.get("expect", []):
            address = entry["table"], entry.get("part", ""), entry["key"]
            row = self._rows.get(address, {**entry, "ver": 0, "value": ""})
            if row["ver"] != entry["ver"]:
                stood.append(row)
        if stood:
            return self._answer(412, rows=stood)
        self._ver += 1
        for entry in body.get("puts", []):
            self._write({"part": "", **entry})
        for entry in body.get("remove", []):
            self._write({"part": "", "value": "", **entry, "removed": True})
        return self._answer()

    async def _read(self, request):
        await asyncio.sleep(0.004)
        query = request.query
        first, end = query.get("from", ""), query.get("to", "")
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= first
            and (not end or key < end)
        ]
        limit = int(query.get("limit", 500))
        return self._answer(rows=rows[:limit], hasMore=len(rows) > limit)

    async def _watch(self, request):
        query = request.query
        until_s = time.monotonic() + float(query.get("waitMs", 0)) / 1000
        while True:
            changed = self._changed
            rows = [
                row
                for row in self._changes
                if row["table"] == query["table"] and row["ver"] > int(query["after"])
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return self._answer(rows=rows)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Gateway:
    """A process that is started with the command of the deploy file."""

    def __init__(self, *, name, zone, store_address, directory):
        numbers = ".".join(str(random.randint(2, 250)) for _ in range(3))
        self._ip = f"127.{numbers}"
        self.front, self.ready = f"{self._ip}:8227", f"{self._ip}:8220"
        self._settings_file = Path(directory) / f"{name}.json"
        self._log_file = Path(directory) / f"{name}.log"
        self._process = None
        self._settings = {
            "node": name,
            "role": "gateway",
            "class": "front",
            "serves": ["front"],
            "ip": self._ip,
            "zone": zone,
            "region": "svealand",
            "zones": dict.fromkeys(ZONES, "svealand"),
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [7340, 7355],
            "seeds": [],
            "bootstrap": True,
            "limits": {"memoryMb": MEMORY_MB, "fds": 4200, "linkMbps": 1000.0},
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "table"},
        }

    async def start(self):
        """Start the process, and wait until it says that it is ready."""
        self._settings_file.write_text(json.dumps(self._settings))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "CAROBROUTE_NODE_FILE": str(self._settings_file),
            "SSL_CERT_FILE": "/dev/null",
            "PYTHONPATH": f"{ROOT}/target/deps:{ROOT}",
        }
        with self._log_file.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "carobroute.run_gateway",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        until_s = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > until_s or not self.is_running:
                raise RuntimeError("the gateway did not become ready")
            await asyncio.sleep(0.05)

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def is_ready(self, timeout_s=1.0):
        """Whether the process answers 200 to the platform's question in time."""
        try:
            async with asyncio.timeout(timeout_s):
                status, _, _ = await ask(self.ready, "GET", "/api/ready", {})
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    def memory_mb(self, field="VmRSS"):
        """Return the resident memory now, or its peak with `VmHWM`."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self._process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith(field):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def stop(self):
        """End the process."""
        if self.is_running:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


class Deployment:
    """A store with a configuration, listed runners, and gateways in several zones."""

    def __init__(self, *, directory, configuration, entries, gateway_count=1):
        self._directory = directory
        self._store = Store()
        self._store.put("op", "config", configuration)
        self._entries = entries
        self._beats = None
        self._runner = None
        self._gateway_count = gateway_count
        self.gateways = []

    async def start(self):
        """Start everything."""
        self._runner = web.AppRunner(self._store.application(), access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self._beat(1)
        self._beats = asyncio.create_task(self._beat_on())
        self.gateways = [
            Gateway(
                name=f"front-{zone}-1",
                zone=zone,
                store_address=f"{host}:{port}",
                directory=self._directory,
            )
            for zone in ZONES[: self._gateway_count]
        ]
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))

    async def stop(self):
        """End everything."""
        for gateway in self.gateways:
            await gateway.stop()
        if self._beats is not None:
            self._beats.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def _beat(self, seq):
        for ident, entry in self._entries.items():
            self._store.put("servers", ident, {**entry, "seq": seq})

    async def _beat_on(self):
        seq = 1
        while True:
            await asyncio.sleep(1.2)
            seq += 1
            self._beat(seq)


class RunnerProcess:
    """A stand-in of a runner as a process of its own."""

    def __init__(self, script, *arguments):
        self._command = [str(script), *map(str, arguments)]
        self._process = None
        self.address = ""

    async def start(self):
        """Start it, and wait for its address."""
        self._process = await asyncio.create_subprocess_exec(
            "python3",
            *self._command,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await self._process.stdout.readline()
        self.address = line.decode().split()[-1]
        return self

    async def tell(self, word):
        """Send a line to its standard input."""
        self._process.stdin.write(word.encode() + b"\n")
        await self._process.stdin.drain()

    async def stop(self):
        """End it, and return what it has written since."""
        if self._process is None or self._process.returncode is not None:
            return ""
        self._process.terminate()
        written, _ = await self._process.communicate()
        return written.decode()


def make_entry(*, service, address, zone, slots=6):
    """Return the entry of a ready runner in the store's list."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": int(time.time() * 1000),
    }


def make_route(*, name, prefix, kind, service, **fields):
    """Return a route of the host `shop.example`."""
    return {
        "name": name,
        "host": "shop.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 202,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "allowAnonymous": False,
        **fields,
    }


def make_desk_routes():
    """Return routes to a service of plain requests, and to one of streams."""
    return [
        make_route(name="r-1", prefix="/order/", kind="unsafe", service="orders"),
        make_route(name="r-2", prefix="/stock/", kind="safe", service="orders"),
        make_route(
            name="r-3",
            prefix="/draft/",
            kind="stream",
            service="model",
            timeoutMs=8000,
            targetLatencyMs=402,
            gapTargetMs=120,
            resumeStreams=True,
        ),
    ]


def make_configuration(*, routes, services):
    """Return a configuration with one tenant and the limits of `fleetbench wire`."""
    return {
        "version": 1,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 96} for name in services
        ],
        "tenants": [{"name": "lund", "apiKeys": ["key-1"], "priority": 1}],
        "limits": {
            "maxHeaderBytes": HEADER_BYTES,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def make_headers(*, deadline_ms=1010):
    """Return the headers of a client's request with an id of its own."""
    return {
        "Host": "shop.example",
        "Request-Id": os.urandom(8).hex(),
        "Deadline-Ms": str(deadline_ms),
        "X-Api-Key": "key-1",
    }


def encode_head(method, path, headers):
    """Return a request's line and headers, without the empty line behind them."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "".join(f"{line}\r\n" for line in lines).encode()


async def connect(address):
    """Open a connection to a `host:port`."""
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def ask(address, method, path, headers):
    """Send one request on a connection of its own; return status, headers, body."""
    reader, writer = await connect(address)
    try:
        head = encode_head(method, path, {"Host": "shop.example", **headers})
        writer.write(head + b"\r\n")
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    """Read an answer that has a length or comes in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    while headers.get("transfer-encoding") == "chunked":
        size = int(await reader.readuntil(b"\r\n"), 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            break
    return int(first.split()[1]), headers, body
