"""Targets of the gateway soak as processes of their own, to be killed and suspended."""

import asyncio
import os
import signal
import sys

import msgspec

from benchmarks._soak_targets import (
    SPOILED_ANSWERS,
    Framings,
    SoakTarget,
    TargetRecord,
    make_soak_entry,
)
from carobroute.domain import TargetEntry

# Line that closes the listener; other lines name the spoiled answer, if any.
STOP_LINE = "stop listening"


class TargetParameters(msgspec.Struct, frozen=True, kw_only=True):
    """What a process is told of its target."""

    name: str
    service: str
    framings: Framings


class ToldRecord(TargetRecord):
    """Record that is told line by line, which a kill does not take away."""

    def note(self, what: str, request_id: str) -> None:
        """Tell that something has happened to a request."""
        os.write(sys.stdout.fileno(), f"{what} {request_id}\n".encode())


class TargetProcess:
    """Target in a process of its own, with a new process for each incarnation.

    Parameters
    ----------
    name, service : str
        Name of the target, which its incarnations begin with, and its service.
    record : TargetRecord
        What all targets have seen.
    framings : Framings
        Framings of its whole answers.
    """

    def __init__(
        self, *, name: str, service: str, record: TargetRecord, framings: Framings
    ):
        self.service = service
        self._name = name
        self._record = record
        self._framings = framings
        self._incarnations = 0
        self._address = ""
        self._processes: list[asyncio.subprocess.Process] = []
        self._readers: list[asyncio.Task[None]] = []

    @property
    def incarnation(self) -> str:
        """Name of the running incarnation."""
        return f"{self._name}-{self._incarnations}"

    async def start(self) -> None:
        """Start a process that listens at a new address, as a new incarnation."""
        self._incarnations += 1
        parameters = TargetParameters(
            name=self._name, service=self.service, framings=self._framings
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks._soak_target_process",
            msgspec.json.encode(parameters).decode(),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        self._address = (await process.stdout.readline()).decode().strip()
        self._processes.append(process)
        self._readers.append(asyncio.create_task(self._read_record(process.stdout)))

    async def stop(self) -> None:
        """Stop listening; calls in hand go on."""
        self.spoil(STOP_LINE)

    def spoil(self, how: str) -> None:
        """Spoil its answers in a way; none if empty."""
        process = self._processes[-1]
        assert process.stdin is not None
        if process.returncode is None:
            process.stdin.write(f"{how}\n".encode())

    def signal(self, number: int) -> None:
        """Send a signal to the process that runs now."""
        if self._processes[-1].returncode is None:
            self._processes[-1].send_signal(number)

    async def close(self) -> None:
        """End all its processes, and read what they have told."""
        for process in self._processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
        await asyncio.gather(*self._readers)

    def entry(self, *, is_leaving: bool = False) -> TargetEntry:
        """Return the entry of the list."""
        return make_soak_entry(
            self, self._incarnations, self._address, is_leaving=is_leaving
        )

    async def _read_record(self, output: asyncio.StreamReader) -> None:
        """Note what a process tells; what it has in hand at its end is broken off."""
        in_hand: set[str] = set()
        async for line in output:
            what, request_id = line.decode().split()
            self._record.note(what, request_id)
            if what == "arrived":
                in_hand.add(request_id)
            elif what == "ended":
                in_hand.discard(request_id)
        for request_id in in_hand:
            self._record.note("broken", request_id)
            self._record.note("ended", request_id)


async def _serve(parameters: TargetParameters) -> None:
    target = SoakTarget(
        name=parameters.name,
        service=parameters.service,
        record=ToldRecord(),
        framings=parameters.framings,
    )
    await target.start()
    os.write(sys.stdout.fileno(), f"{target.address}\n".encode())
    lines = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(lines), sys.stdin
    )
    async for line in lines:
        how = line.decode().strip()
        if how == STOP_LINE:
            await target.stop()
        else:
            target.spoil(how if how in SPOILED_ANSWERS else "")


if __name__ == "__main__":
    asyncio.run(
        _serve(msgspec.json.decode(sys.argv[1].encode(), type=TargetParameters))
    )
