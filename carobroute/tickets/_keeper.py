"""Keeps the configuration of one process up to date with the ticket log.

A process learns of a new ticket in the first of four ways: from an announcement over a
link (`TicketNote`), from the ticket number in every frame of a peer, by polling the
table as a bridge of its data centre, or by polling it at a longer interval as any other
process. A process that is behind pulls the missing tickets from the peer that showed
the higher number. Tickets are applied in order, each checked against the chain hash of
the one before it, so the configuration never goes back to an older state.
"""

import asyncio
import random as random_module
from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Endpoint
from carobroute.membership import Directory, Overlay
from carobroute.tickets._applied import AppliedConfiguration
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
    """Intervals and limits of a `ConfigurationKeeper`.

    Parameters
    ----------
    bridge_poll_interval_ms : float
        Mean interval at which a bridge reads the head from the table.
    poll_interval_ms : float
        Mean interval at which every other process reads it.
    max_bridge_poll_interval_ms, max_poll_interval_ms : float
        Upper bounds of the mean intervals while the table does not answer.
    pull_timeout_ms : float
        Timeout of a request for a peer's tickets.
    pull_backoff_ms : float
        Pause of pulling after a peer did not answer, or its answer changed nothing.
    peer_fallback_ms : float
        Time for which a new process waits for the table before it asks peers.
    start_retry_ms, max_start_retry_ms : float
        First and maximum delay between reads of the table by a new process.
    fallback_peers : int
        Number of peers that a new process asks if the table does not answer.
    """

    bridge_poll_interval_ms: float = 1_000.0
    poll_interval_ms: float = 60_000.0
    max_bridge_poll_interval_ms: float = 3_000.0
    max_poll_interval_ms: float = 120_000.0
    pull_timeout_ms: float = 1_000.0
    pull_backoff_ms: float = 1_000.0
    peer_fallback_ms: float = 3_000.0
    start_retry_ms: float = 100.0
    max_start_retry_ms: float = 5_000.0
    fallback_peers: int = 8


class ConfigurationKeeper:
    """Keeps the configuration in force in this process up to date.

    Parameters
    ----------
    log : TicketLog
        Log of accepted tickets.
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
        Decides whether this process is a bridge; if None, it polls as a bridge.
    parameters : KeeperParameters, default=None
        Intervals and limits.
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
        self._applied = AppliedConfiguration(clock=clock, on_event=self._on_event)
        # A filing then reads only tickets newer than the configuration in force, and
        # the log and the keeper share its objects in memory.
        self._applied.on_change(log.cache_configuration)
        self._table = TableReader(
            log=log, applied=self._applied, clock=clock, on_event=self._on_event
        )
        self._puller = TicketPuller(
            applied=self._applied,
            endpoint=endpoint,
            clock=clock,
            timeout_ms=self._parameters.pull_timeout_ms,
            pull_backoff_ms=self._parameters.pull_backoff_ms,
            is_ready=self._ready.is_set,
        )
        self._status = StatusCollector(
            applied=self._applied,
            endpoint=endpoint,
            directory=directory,
            explain=self.explain,
        )
        self._tasks = TaskSet(on_failure=self._task_failed)

    @property
    def current(self) -> Configuration:
        """The configuration in force here."""
        return self._applied.current

    @property
    def is_ready(self) -> bool:
        """Whether this process has learnt the head of the log since its start."""
        return self._ready.is_set()

    @property
    def history(self) -> TicketHistory:
        """The latest tickets and when they came into force here."""
        return self._applied.history

    @property
    def table_failures(self) -> int:
        """Number of failed reads of the table since the last successful one."""
        return self._table.failures

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Register `callback`, called with each new configuration, in order."""
        self._applied.on_change(callback)

    def explain(self) -> str:
        """Return why this process may be behind, in one line."""
        up = sum(peer.up for peer in self._endpoint.peers)
        peers_ahead = ", ".join(
            sorted(str(peer) for peer in self._puller.peers_ahead)[:3]
        )
        return (
            f"{self._table.explain()}; {up} links up; behind {peers_ahead or 'no peer'}"
        )

    async def start(self) -> None:
        """Start reading the table, pulling from peers and answering them."""
        self._puller.register()
        self._status.register()
        self._tasks.spawn(self._start_up(), name="tickets-table")
        self._tasks.spawn(self._puller.run(), name="tickets-pull")

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.close()

    async def wait_ready(self, timeout_ms: float) -> Result[int, Fault]:
        """Wait until this process is ready; return the ticket number in force."""
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

    async def wait_until_in_force(self, number: int, timeout_ms: float) -> bool:
        """Wait until ticket `number` is in force here; return False on a timeout."""
        return await self._applied.wait_until_in_force(number, timeout_ms)

    def apply_tickets(self, tickets: list[Ticket]) -> bool:
        """Apply the tickets that continue the configuration in force without a gap.

        Returns
        -------
        changed : bool
            Whether the configuration changed.
        """
        return self._applied.apply_tickets(tickets)

    async def refresh(self) -> Result[int, Fault]:
        """Read the head and the missing tickets; return the head's number."""
        return await self._table.refresh()

    async def status(self, number: int, timeout_ms: float) -> StatusAnswer:
        """Ask all known processes whether ticket `number` is in force."""
        return await self._status.collect(number, timeout_ms)

    async def _start_up(self) -> None:
        started_ms = self._clock.now_ms()
        delay_ms = self._parameters.start_retry_ms
        while not self.is_ready:
            found = await self.refresh()
            if isinstance(found, Success):
                self._set_ready("table")
                break
            waited_ms = self._clock.now_ms() - started_ms
            if (
                waited_ms >= self._parameters.peer_fallback_ms
                and await self._adopt_from_peers()
            ):
                self._set_ready("peers")
                break
            await self._clock.sleep_ms(delay_ms * (0.5 + self._random.random()))
            delay_ms = min(delay_ms * 2, self._parameters.max_start_retry_ms)
        await self._poll()

    def _set_ready(self, source: str) -> None:
        self._ready.set()
        self._applied.begin_timing()
        self._on_event("configuration_ready", ticket=self.current.number, by=source)

    async def _adopt_from_peers(self) -> bool:
        """Adopt the newest configuration of a sample of peers that are ready."""
        addresses = self._sample_addresses()
        replies = await asyncio.gather(*map(self._pull_from, addresses))
        ready = [entry for entry in replies if entry is not None and entry.ready]
        if len(ready) < min(2, len(addresses)) or not ready:
            return False
        highest = max(ready, key=lambda entry: entry.number)
        self._applied.apply_range(highest)
        return self.current.number >= highest.number

    async def _pull_from(self, address: str) -> TicketRange | None:
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
        """Return the addresses of a sample of peers that covers the data centres."""
        others = [
            entry
            for entry in self._directory.live()
            if entry.name != self._directory.own.name
        ]
        self._random.shuffle(others)
        first_by_data_centre: dict[str, str] = {}
        for entry in others:
            first_by_data_centre.setdefault(entry.data_centre, entry.address)
        rest = [entry.address for entry in others]
        addresses = list(dict.fromkeys([*first_by_data_centre.values(), *rest]))
        return addresses[: self._parameters.fallback_peers]

    async def _poll(self) -> None:
        while True:
            await self._clock.sleep_ms(self.poll_delay_ms())
            await self.refresh()

    def poll_delay_ms(self) -> float:
        """Return the delay before the next read of the head, in milliseconds."""
        parameters = self._parameters
        if self._overlay is None or self._overlay.is_bridge:
            mean_ms, max_ms = (
                parameters.bridge_poll_interval_ms,
                parameters.max_bridge_poll_interval_ms,
            )
        else:
            mean_ms, max_ms = (
                parameters.poll_interval_ms,
                parameters.max_poll_interval_ms,
            )
        mean_ms = min(mean_ms * 2 ** min(self._table.failures, 16), max_ms)
        return mean_ms * (0.5 + self._random.random())

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))
