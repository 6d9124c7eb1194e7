"""Keeps the configuration in force in one process.

A ticket reaches a process on the first of four ways: an announcement along a link
(`TicketNote`), the ticket number that every frame of a peer carries, a read of the
table by one of the data centre's bridges, and a slow poll of the table by everyone.
Whoever learns that it is behind pulls what it lacks from the peer that showed the
higher number. Tickets are applied in order, each checked against the chain hash of
the one before, so that a process only ever moves forward.
"""

import asyncio
import random as random_module
from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Endpoint
from carobroute.membership import Directory, Overlay
from carobroute.tickets._forward import ForwardConfiguration
from carobroute.tickets._history import TicketHistory
from carobroute.tickets._log import TicketLog
from carobroute.tickets._messages import StatusAnswer, TicketPull, TicketRange
from carobroute.tickets._pull import TicketPuller
from carobroute.tickets._schema import Configuration, Ticket
from carobroute.tickets._status import StatusCollector
from carobroute.tickets._table_reader import TableReader
from carobroute.utils import Clock, TaskSet

OWNER = "tickets"


class KeeperParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and bounds of keeping the configuration.

    Parameters
    ----------
    bridge_poll_ms : float
        Mean interval at which a bridge reads the head from the table.
    poll_ms : float
        Mean interval at which every other process does.
    bridge_poll_most_ms, poll_most_ms : float
        Longest mean intervals while the table does not answer.
    pull_timeout_ms : float
        Longest wait for a peer's tickets.
    fruitless_ms : float
        Time for which a peer whose answer brought nothing is not asked again.
    outage_ms : float
        Time without an answer of the table after which a new process asks peers.
    start_retry_ms, start_retry_most_ms : float
        First and longest delay between attempts of a new process.
    ask_peers : int
        Peers that a new process asks in an outage.
    """

    bridge_poll_ms: float = 1_000.0
    poll_ms: float = 60_000.0
    bridge_poll_most_ms: float = 3_000.0
    poll_most_ms: float = 120_000.0
    pull_timeout_ms: float = 1_000.0
    fruitless_ms: float = 1_000.0
    outage_ms: float = 3_000.0
    start_retry_ms: float = 100.0
    start_retry_most_ms: float = 5_000.0
    ask_peers: int = 8


class ConfigurationKeeper:
    """Configuration in force in this process, always moving forward.

    Parameters
    ----------
    log : TicketLog
        The accepted tickets.
    endpoint : Endpoint
        This process's links.
    directory : Directory
        Known instances.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    name : str
        Name of this process.
    overlay : Overlay, default=None
        Decides who is a bridge; without it every process polls as one.
    parameters : KeeperParameters, default=None
        Intervals and bounds.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    def __init__(
        self,
        *,
        log: TicketLog,
        endpoint: Endpoint,
        directory: Directory,
        clock: Clock,
        random: random_module.Random,
        name: str,
        overlay: Overlay | None = None,
        parameters: KeeperParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._endpoint = endpoint
        self._directory = directory
        self._clock = clock
        self._random = random
        self._name = name
        self._overlay = overlay
        self._parameters = parameters or KeeperParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._ready = asyncio.Event()
        self._forward = ForwardConfiguration(clock=clock, on_event=self._on_event)
        # A filing reads on from what is in force here, and shares its memory.
        self._forward.on_change(log.cache_configuration)
        self._table = TableReader(
            log=log, forward=self._forward, clock=clock, on_event=self._on_event
        )
        self._puller = TicketPuller(
            forward=self._forward,
            endpoint=endpoint,
            clock=clock,
            timeout_ms=self._parameters.pull_timeout_ms,
            fruitless_ms=self._parameters.fruitless_ms,
            is_ready=self._ready.is_set,
        )
        self._status = StatusCollector(
            forward=self._forward,
            endpoint=endpoint,
            directory=directory,
            explain=self.explain,
        )
        self._tasks = TaskSet(on_failure=self._task_failed)

    @property
    def current(self) -> Configuration:
        """The configuration in force here."""
        return self._forward.current

    @property
    def ready(self) -> bool:
        """Whether this process knows the head."""
        return self._ready.is_set()

    @property
    def history(self) -> TicketHistory:
        """The last tickets and when they came into force here."""
        return self._forward.history

    @property
    def table_failures(self) -> int:
        """Reads of the table that failed since one was answered."""
        return self._table.failures

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Have `callback` called with each new configuration, in order."""
        self._forward.on_change(callback)

    def explain(self) -> str:
        """Return why this process may be behind, in one line."""
        up = sum(peer.up for peer in self._endpoint.peers)
        ahead = ", ".join(sorted(str(peer) for peer in self._puller.ahead)[:3])
        return f"{self._table.explain()}; {up} links up; behind {ahead or 'nobody'}"

    async def start(self) -> None:
        """Begin to read, to pull and to answer peers."""
        self._puller.register()
        self._status.register()
        self._tasks.spawn(self._start_up(), name="tickets-table")
        self._tasks.spawn(self._puller.run(), name="tickets-pull")

    async def stop(self) -> None:
        """End the tasks."""
        await self._tasks.close()

    async def wait_ready(self, timeout_ms: float) -> Result[int, Fault]:
        """Wait until this process knows the head; return the number in force."""
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._ready.wait()
        except TimeoutError:
            return fail(
                ErrorKind.STALE_CONFIGURATION,
                f"the last ticket is not known after {timeout_ms:.0f} ms:"
                f" {self.explain()}",
            )
        return Success(self.current.number)

    async def wait_number(self, number: int, timeout_ms: float) -> bool:
        """Wait until ticket `number` is in force here; False if that took too long."""
        return await self._forward.wait_number(number, timeout_ms)

    def offer(self, tickets: list[Ticket]) -> bool:
        """Apply accepted tickets that follow; return whether that moved anything."""
        return self._forward.offer(tickets)

    async def refresh(self) -> Result[int, Fault]:
        """Read the head from the table and what is lacking; return its number."""
        return await self._table.refresh()

    async def status(self, number: int, timeout_ms: float) -> StatusAnswer:
        """Ask all known processes whether ticket `number` is in force there."""
        return await self._status.collect(number, timeout_ms)

    async def _start_up(self) -> None:
        started_ms = self._clock.now_ms()
        delay_ms = self._parameters.start_retry_ms
        while not self.ready:
            found = await self.refresh()
            if isinstance(found, Success):
                self._become_ready("table")
                break
            waited_ms = self._clock.now_ms() - started_ms
            if waited_ms >= self._parameters.outage_ms and await self._ask_peers():
                self._become_ready("peers")
                break
            await self._clock.sleep_ms(delay_ms * (0.5 + self._random.random()))
            delay_ms = min(delay_ms * 2, self._parameters.start_retry_most_ms)
        await self._poll()

    def _become_ready(self, source: str) -> None:
        self._ready.set()
        self._forward.begin_timing()
        self._on_event("configuration_ready", ticket=self.current.number, by=source)

    async def _ask_peers(self) -> bool:
        """Take over the highest configuration of some peers that are ready."""
        addresses = self._sample_addresses()
        replies = await asyncio.gather(*map(self._ask, addresses))
        ready = [entry for entry in replies if entry is not None and entry.ready]
        if len(ready) < min(2, len(addresses)) or not ready:
            return False
        highest = max(ready, key=lambda entry: entry.number)
        self._forward.adopt_range(highest)
        return self.current.number >= highest.number

    async def _ask(self, address: str) -> TicketRange | None:
        peer = self._endpoint.peer(address, OWNER)
        try:
            reply = await peer.call(
                TicketPull(after=self.current.number),
                timeout_ms=self._parameters.pull_timeout_ms,
            )
        finally:
            self._endpoint.forget(address, OWNER)
        return reply.unwrap() if isinstance(reply, Success) else None

    def _sample_addresses(self) -> list[str]:
        """Return addresses of some peers, spread over the data centres."""
        others = [
            entry
            for entry in self._directory.live()
            if entry.name != self._directory.own.name
        ]
        self._random.shuffle(others)
        first: dict[str, str] = {}
        for entry in others:
            first.setdefault(entry.data_centre, entry.address)
        rest = [entry.address for entry in others]
        spread = list(dict.fromkeys([*first.values(), *rest]))
        return spread[: self._parameters.ask_peers]

    async def _poll(self) -> None:
        while True:
            await self._clock.sleep_ms(self.poll_delay_ms())
            await self.refresh()

    def poll_delay_ms(self) -> float:
        """Return the delay before the next read of the head, in milliseconds."""
        parameters = self._parameters
        if self._overlay is None or self._overlay.is_bridge:
            mean_ms, most_ms = parameters.bridge_poll_ms, parameters.bridge_poll_most_ms
        else:
            mean_ms, most_ms = parameters.poll_ms, parameters.poll_most_ms
        mean_ms = min(mean_ms * 2 ** min(self._table.failures, 16), most_ms)
        return mean_ms * (0.5 + self._random.random())

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))
