"""Real processes under test: started, paused, killed by id and always cleaned up."""

import asyncio
import contextlib
import ctypes
import os
import signal
import sys
from collections import deque
from collections.abc import Sequence
from pathlib import Path

KEPT_LINES = 2_000
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
PR_SET_PDEATHSIG = 1


class Child:
    """One process under test.

    Parameters
    ----------
    name : str
        Name in messages.
    arguments : sequence of str
        Arguments of the Python interpreter, such as `-m carobroute.daemon`.
    directory : str or Path or None, default=None
        Working directory.
    environment : dict or None, default=None
        Variables added to this process's own.
    stderr : int, default=None
        File descriptor of the process's standard error; None for one that is read.
    """

    def __init__(
        self,
        *,
        name: str,
        arguments: Sequence[str],
        directory: str | Path | None = None,
        environment: dict[str, str] | None = None,
        stderr: int | None = None,
    ):
        self.name = name
        self._stderr = stderr
        self._arguments = list(arguments)
        self._directory = directory
        self._environment = environment or {}
        self._process: asyncio.subprocess.Process | None = None
        self._readers: list[asyncio.Task] = []
        self._ready = asyncio.Event()
        self.ready: dict[str, str] = {}
        self.errors: deque[str] = deque(maxlen=KEPT_LINES)
        self.output: deque[str] = deque(maxlen=KEPT_LINES)

    @property
    def address(self) -> str:
        """What the process said after `READY address=`."""
        return self.ready["address"]

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit status, None while the process runs."""
        return self._process.returncode if self._process else None

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self, *, timeout_s: float = START_TIMEOUT_S) -> "Child":
        """Start the process and wait for its `READY key=value ...` line."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE if self._stderr is None else self._stderr,
            cwd=self._directory,
            env={**os.environ, **self._environment},
            preexec_fn=_die_with_parent,
        )
        self._readers = [asyncio.create_task(self._read_output())]
        if self._stderr is None:
            self._readers.append(asyncio.create_task(self._read_errors()))
        ready = asyncio.create_task(self._ready.wait())
        ended = asyncio.create_task(self._process.wait())
        done, _ = await asyncio.wait(
            {ready, ended}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        ready.cancel()
        ended.cancel()
        if ready not in done:
            await self.kill()
            raise AssertionError(f"{self.name} did not become ready\n{self.tail()}")
        return self

    def tail(self, lines: int = 40) -> str:
        """Return the last lines of standard error, for messages."""
        return "\n".join(list(self.errors)[-lines:])

    def pause(self) -> None:
        """Stop the process with SIGSTOP, as a long pause would."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a graceful shutdown with SIGTERM."""
        os.kill(self.pid, signal.SIGTERM)

    async def kill(self) -> None:
        """End the process at once with SIGKILL."""
        if self.running:
            # The process may have ended by itself without having been waited for.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, signal.SIGKILL)
        await self.wait()

    async def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Shut down gracefully and return the exit status; kill if it hangs."""
        if self.running:
            self.resume()
            self.terminate()
        try:
            return await asyncio.wait_for(self.wait(), timeout_s)
        except TimeoutError:
            await self.kill()
            return self.returncode or 0

    async def wait(self) -> int:
        """Wait for the process to end and return its exit status."""
        if self._process is None:
            return 0
        status = await self._process.wait()
        await asyncio.gather(*self._readers, return_exceptions=True)
        return status

    async def _read_output(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        async for raw in self._process.stdout:
            line = raw.decode(errors="replace").rstrip()
            self.output.append(line)
            if line.startswith("READY") and not self._ready.is_set():
                pairs = [part.partition("=") for part in line.split()[1:]]
                self.ready = {key: value for key, _, value in pairs}
                self._ready.set()

    async def _read_errors(self) -> None:
        assert self._process is not None and self._process.stderr is not None
        async for raw in self._process.stderr:
            self.errors.append(raw.decode(errors="replace").rstrip())


class ProcessGroup:
    """Processes that end together with a test.

    Parameters
    ----------
    directory : str or Path or None, default=None
        Working directory of the processes.
    """

    def __init__(self, *, directory: str | Path | None = None):
        self._directory = directory
        self._children: list[Child] = []

    @property
    def children(self) -> list[Child]:
        """All processes started, in order."""
        return self._children

    async def __aenter__(self) -> "ProcessGroup":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def start(
        self,
        name: str,
        *arguments: str,
        environment: dict[str, str] | None = None,
        stderr: int | None = None,
    ) -> Child:
        """Start one process and wait until it is ready."""
        child = Child(
            name=name,
            arguments=arguments,
            directory=self._directory,
            environment=environment,
            stderr=stderr,
        )
        self._children.append(child)
        return await child.start()

    async def start_together(self, commands: dict[str, Sequence[str]]) -> list[Child]:
        """Start several processes at a time; the order of `commands` is kept."""
        starts = [self.start(name, *arguments) for name, arguments in commands.items()]
        return list(await asyncio.gather(*starts))

    async def close(self) -> None:
        """Kill what still runs, the latest first."""
        for child in reversed(self._children):
            await child.kill()


def _die_with_parent() -> None:
    """Have the kernel kill the new process when its parent ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
