"""Real control processes beside one platform stand-in, and what they print."""

import asyncio
import json
import signal
import time

import aiohttp

from carobroute.testing import Child, FaultProxy, ProcessGroup, ProxiedPort

DATA_CENTRES = ("suva", "lautoka", "nadi")
START_BATCH = 16
COUNTS_TIMEOUT_S = 20.0


class Sight:
    """One configuration that a process put in force."""

    __slots__ = ("chain", "number", "wall_ms")

    def __init__(self, number: int, chain: str, wall_ms: float):
        self.number = number
        self.chain = chain
        self.wall_ms = wall_ms


class ControlProcess:
    """One run of a control process under test.

    Parameters
    ----------
    name, data_centre : str
        Who it is.
    child : Child
        The process.
    proxy : ProxiedPort or None
        Port in front of its links.
    operator : bool
        Whether it serves operators.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        child: Child,
        proxy: ProxiedPort | None,
        operator: bool,
    ):
        self.name = name
        self.data_centre = data_centre
        self.child = child
        self.proxy = proxy
        self.operator = operator
        self.ready_ms = 0.0
        self.ready_number = 0
        self.ended_ms = float("inf")
        # Times during which it was paused or could not be reached.
        self.away: list[tuple[float, float]] = []

    @property
    def sights(self) -> list[Sight]:
        """What it put in force, in order."""
        found = []
        for line in self.child.output:
            if line.startswith("IN_FORCE "):
                _, number, chain, wall_ms = line.split()
                found.append(Sight(int(number), chain, float(wall_ms)))
        return found

    @property
    def errors(self) -> list[str]:
        """Error events that it printed."""
        return [line for line in self.child.output if line.startswith("EVENT ")]

    def was_here(self, start_ms: float, end_ms: float) -> bool:
        """Whether it ran and could be reached all the time between the two."""
        if self.ready_ms > start_ms or self.ended_ms < end_ms:
            return False
        return all(end < start_ms or begin > end_ms for begin, end in self.away)


class ControlFleet:
    """Platform stand-in and control processes.

    Parameters
    ----------
    seed : int
        Seed of the stand-in's faults.
    data_centres : sequence of str
        Where the processes stand, in turn.
    """

    def __init__(self, *, seed: int, data_centres=DATA_CENTRES):
        self.group = ProcessGroup()
        self.runs: list[ControlProcess] = []
        self._seed = seed
        self._data_centres = data_centres
        self._proxy = FaultProxy(seed=seed)
        self._session: aiohttp.ClientSession | None = None
        self.platform = ""

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session of the benchmark."""
        assert self._session is not None
        return self._session

    @property
    def living(self) -> list[ControlProcess]:
        """Processes that were not killed."""
        return [run for run in self.runs if run.ended_ms == float("inf")]

    async def __aenter__(self) -> "ControlFleet":
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=20), auto_decompress=False
        )
        child = await self.group.start(
            "platform",
            "-m",
            "carobroute.standins",
            "platform",
            "--seed",
            str(self._seed),
        )
        self.platform = child.address
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.session.close()
        for run in self.living:
            run.child.resume()
        await self.group.close()
        await self._proxy.close()

    async def start_many(self, count: int, *, operators: int, proxied: int) -> None:
        """Start processes in batches, the first ones with operators' routes."""
        specs = [(f"node-{i}", i < operators, i < proxied) for i in range(count)]
        for at in range(0, count, START_BATCH):
            await asyncio.gather(
                *(self.start_one(*spec) for spec in specs[at : at + START_BATCH])
            )

    async def start_one(
        self, name: str, operator: bool = False, proxied: bool = False
    ) -> ControlProcess:
        """Start one process and wait until it is ready."""
        number = int(name.rpartition("-")[2])
        data_centre = self._data_centres[number % len(self._data_centres)]
        command = ["-m", "benchmarks._control_node", "--name", name]
        command += ["--data-centre", data_centre, "--platform", self.platform]
        command += ["--operator"] if operator else []
        proxy = await self._proxy.port() if proxied else None
        if proxy is not None:
            command += ["--advertise", f"tcp://{proxy.address}"]
        child = await self.group.start(name, *command)
        run = ControlProcess(
            name=name,
            data_centre=data_centre,
            child=child,
            proxy=proxy,
            operator=operator,
        )
        if proxy is not None:
            proxy.forward_to(child.ready["link"])
        run.ready_ms = wall_ms()
        run.ready_number = int(child.ready["number"])
        self.runs.append(run)
        return run

    async def replace(self, run: ControlProcess) -> ControlProcess:
        """Kill a process and start a new incarnation under its name."""
        run.ended_ms = wall_ms()
        await run.child.kill()
        return await self.start_one(run.name, run.operator, run.proxy is not None)

    async def set_faults(self, **faults) -> None:
        """Set the faults of the platform stand-in."""
        url = f"{self.platform}/_admin/faults"
        async with self.session.post(url, json=faults) as answer:
            answer.raise_for_status()

    async def record(self, name: str):
        """Return one of the platform stand-in's own records."""
        url = f"{self.platform}/_record/{name}"
        async with self.session.get(url) as answer:
            return json.loads(await answer.read())

    async def counts(self, run: ControlProcess) -> dict:
        """Return what the links of one process have sent and received."""
        before = sum(line.startswith("COUNTS ") for line in run.child.output)
        run.child._process.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(COUNTS_TIMEOUT_S):
            while True:
                lines = [x for x in run.child.output if x.startswith("COUNTS ")]
                if len(lines) > before:
                    return json.loads(lines[-1].partition(" ")[2])
                await asyncio.sleep(0.02)


def wall_ms() -> float:
    """Return the wall-clock time of this machine, which all processes share."""
    return time.time() * 1_000
