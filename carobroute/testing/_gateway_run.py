"""A gateway as a process of its own, on a platform stand-in in this process."""

import asyncio
import contextlib
import os
import sys
from pathlib import Path

import aiohttp
from aiohttp import web

from carobroute.domain import RoutingConfiguration, TargetEntry
from carobroute.gateway._process import METRICS_PORT
from carobroute.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    SETTINGS_VARIABLE,
    TARGET_TABLE,
)
from carobroute.standins._operator import (
    encode_configuration,
    encode_settings,
    encode_target,
)
from carobroute.standins._platform import PlatformStandIn
from carobroute.standins._reserved_ports import ReservedAddress
from carobroute.testing._waiting import wait_until
from carobroute.utils import Clock
from carobroute.web import WebSite

STOP_TIMEOUT_S = 20.0
# Ports of each process, on an address of its own. They are below those that the kernel
# gives to whoever asks for any free one.
GUARD_PORT = 9_000
CALLERS_PORT = 9_001
READY_PORT = 9_002
# Peers use the next one as well.
PEERS_PORT = 9_003
# The users' platform kills a process 8 s after the signal to stop.
STOP_MS = 8_000.0
RUN_GATEWAY = (
    'import runpy; runpy.run_module("carobroute.run_gateway", run_name="__main__")'
)


class GatewayRun:
    """A gateway process, the store that it reads, and a session of callers.

    Parameters
    ----------
    directory : Path
        Where the settings file is written.
    configuration : RoutingConfiguration
        What is in force at first.
    revoke_ms : float, default=5000.0
        Time after which a key that was taken away opens nothing.
    name : str, default="gateway-1"
        Name of the process's instance.
    platform : PlatformStandIn, default=None
        Store that it shares with other gateways; None for one of its own.
    stop_ms : float, default=8000.0
        Time from the stop signal to the kill that the process is told, in
        milliseconds.
    retry_share : float, default=0.1
        Retries allowed in 10 s, for each call.
    retry_slack : float, default=10.0
        Further retries allowed in 10 s.
    patch : str, default=""
        Code that the process runs before it starts, to seed a mistake.
    stderr : int, default=None
        File descriptor of the process's standard error; None for that of this process.
    """

    def __init__(
        self,
        *,
        directory: Path,
        configuration: RoutingConfiguration,
        revoke_ms: float = 5_000.0,
        name: str = "gateway-1",
        platform: PlatformStandIn | None = None,
        stop_ms: float = STOP_MS,
        retry_share: float = 0.1,
        retry_slack: float = 10.0,
        patch: str = "",
        stderr: int | None = None,
    ):
        self.platform = platform or PlatformStandIn(clock=Clock())
        self._name = name
        self._patch = patch
        self._stderr = stderr
        self._stop_ms = stop_ms
        self._retry_share, self._retry_slack = retry_share, retry_slack
        self.configure(configuration)
        self._revoke_ms = revoke_ms
        self._settings_file = directory / f"{name}.json"
        # The metrics port is fixed, so each process has a loopback address of its own.
        self._reserved = ReservedAddress(
            guard_port=GUARD_PORT,
            ports=(CALLERS_PORT, READY_PORT, METRICS_PORT),
            datagram_ports=(PEERS_PORT, PEERS_PORT + 1),
        )
        self._site: WebSite | None = None
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task | None = None
        self.lines: list[str] = []
        self.session: aiohttp.ClientSession

    @property
    def url(self) -> str:
        """Where callers connect."""
        return f"http://{self._reserved.ip}:{CALLERS_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port where callers connect."""
        return self._reserved.ip, CALLERS_PORT

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def metrics_url(self) -> str:
        """Where the process tells its metrics."""
        return f"http://{self._reserved.ip}:{METRICS_PORT}/metrics"

    @property
    def operators_address(self) -> str:
        """Address of the operators' interface."""
        return f"{self._reserved.ip}:{METRICS_PORT}"

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Put a configuration in force, as an operator does."""
        data = encode_configuration(configuration)
        self.platform.write(CONFIGURATION_TABLE, CONFIGURATION_KEY, data)

    def evacuate(self, data_centre: str, *, is_over: bool = False) -> None:
        """Ask that a data centre gets nothing new, or take that back."""
        value = None if is_over else b"{}"
        self.platform.write(CONFIGURATION_TABLE, f"evacuate/{data_centre}", value)

    def list_target(self, entry: TargetEntry) -> None:
        """Enter a target, or its new state."""
        self.platform.write(TARGET_TABLE, entry.incarnation, encode_target(entry))

    def list_stranger(self, key: str, data: bytes) -> None:
        """Enter something that names no target."""
        self.platform.write(TARGET_TABLE, key, data)

    async def start(self) -> "GatewayRun":
        """Start the store and the process, and wait until it is ready."""
        ip = self._reserved.reserve()
        self._site = WebSite(application=self.platform.application(), bind=f"{ip}:0")
        address = await self._site.start()
        data = encode_settings(
            name=self._name,
            data_centre="a",
            ip=ip,
            ports=(CALLERS_PORT, READY_PORT, PEERS_PORT),
            store_address=address,
            revoke_ms=self._revoke_ms,
            stop_ms=self._stop_ms,
            retry_share=self._retry_share,
            retry_slack=self._retry_slack,
        )
        self._settings_file.write_bytes(data)
        self.session = aiohttp.ClientSession(auto_decompress=False)
        return await self.restart()

    async def restart(self) -> "GatewayRun":
        """Start the process, once more if it has ended, and wait until it is ready."""
        if self._reader is not None:
            await self._reader
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            f"{self._patch}\n{RUN_GATEWAY}",
            stdout=asyncio.subprocess.PIPE,
            stderr=self._stderr,
            env={**os.environ, SETTINGS_VARIABLE: str(self._settings_file)},
        )
        self._reader = asyncio.create_task(self._read_lines())
        await wait_until(self.is_ready, what="the gateway is ready")
        return self

    async def is_ready(self) -> bool:
        """Ask the process whether it wants new connections."""
        url = f"http://{self._reserved.ip}:{READY_PORT}/api/ready"
        try:
            async with self.session.get(url) as answer:
                return answer.status == web.HTTPOk.status_code
        except aiohttp.ClientConnectionError:
            return False

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it has not ended."""
        # The process may have been reaped, and the event loop not know it yet.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)

    async def wait_ended(self) -> int:
        """Return the exit status once the process has ended."""
        assert self._process is not None
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._process.wait()

    async def stop(self) -> None:
        """End whatever still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._reader is not None:
            await self._reader
        await self.session.close()
        if self._site is not None:
            await self._site.stop()
        self._reserved.release()

    async def _read_lines(self) -> None:
        assert self._process is not None
        assert self._process.stdout is not None
        async for line in self._process.stdout:
            self.lines.append(line.decode(errors="replace").rstrip())
