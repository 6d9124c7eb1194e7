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
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Endpoint, Peer
from carobroute.membership import Directory, Overlay
from carobroute.tickets._codec import (
    chain_hash,
    decode_configuration,
    decode_ticket,
    encode_configuration,
)
from carobroute.tickets._history import TicketHistory
from carobroute.tickets._log import TicketLog
from carobroute.tickets._messages import TicketNote, TicketPull, TicketRange
from carobroute.tickets._schema import MAX_REMOVED, Configuration, Ticket
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
        self._log = log
        self._endpoint = endpoint
        self._directory = directory
        self._clock = clock
        self._random = random
        self._name = name
        self._overlay = overlay
        self._parameters = parameters or KeeperParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._current = Configuration()
        self._history = TicketHistory()
        self._image: tuple[int, bytes] = (0, b"")
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._advanced = asyncio.Event()
        self._ready = asyncio.Event()
        self._pull_wanted = asyncio.Event()
        self._ahead: dict[str, Peer] = {}
        self._fruitless_ms: dict[str, float] = {}
        self._store_lock = asyncio.Lock()
        self._store_failures = 0
        self._store_answered_ms: float | None = None
        self._reported_chain = ""
        self._tasks = TaskSet(on_failure=self._task_failed)

    @property
    def current(self) -> Configuration:
        """The configuration in force here."""
        return self._current

    @property
    def ready(self) -> bool:
        """Whether this process knows the head."""
        return self._ready.is_set()

    @property
    def history(self) -> TicketHistory:
        """The last tickets and when they came into force here."""
        return self._history

    @property
    def store_failures(self) -> int:
        """Reads of the table that failed since one was answered."""
        return self._store_failures

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Have `callback` called with each new configuration, in order."""
        self._callbacks.append(callback)

    def explain(self) -> str:
        """Return why this process may be behind, in one line."""
        if self._store_failures:
            last_ms = self._store_answered_ms
            since = (
                f"for {(self._clock.now_ms() - last_ms) / 1_000:.0f} s"
                if last_ms is not None
                else "since the start"
            )
            store = f"the table has not answered {since}"
        else:
            store = "the table answers"
        up = sum(peer.up for peer in self._endpoint.peers)
        ahead = ", ".join(sorted(str(peer) for peer in self._ahead.values())[:3])
        return f"{store}; {up} links up; pulls from {ahead or 'nobody'}"

    async def start(self) -> None:
        """Begin to read, to pull and to answer pulls."""
        self._endpoint.handle(TicketNote, self._on_note)
        self._endpoint.handle(TicketPull, self._on_pull)
        self._endpoint.on_ticket(self._on_ticket)
        self._tasks.spawn(self._start_up(), name="tickets-start")
        self._tasks.spawn(self._pull(), name="tickets-pull")

    async def stop(self) -> None:
        """End the tasks."""
        await self._tasks.close()

    async def wait_ready(self, timeout_ms: float) -> Result[int, Fault]:
        """Wait until this process knows the head; return its number."""
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._ready.wait()
        except TimeoutError:
            return fail(
                ErrorKind.STALE_CONFIGURATION,
                f"the last ticket is not known after {timeout_ms:.0f} ms:"
                f" {self.explain()}",
            )
        return Success(self._current.number)

    async def wait_number(self, number: int, timeout_ms: float) -> bool:
        """Wait until ticket `number` is in force here; False if that took too long."""
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                while self._current.number < number:
                    self._advanced.clear()
                    await self._advanced.wait()
        except TimeoutError:
            return False
        return True

    def offer(self, tickets: list[Ticket]) -> bool:
        """Apply accepted tickets that follow the configuration in force.

        Returns
        -------
        applied : bool
            Whether the configuration moved.
        """
        before = self._current
        configuration = before
        for ticket in sorted(tickets, key=lambda entry: entry.number):
            if ticket.number <= configuration.number:
                self._compare(ticket)
                continue
            if ticket.number > configuration.number + 1:
                break
            if chain_hash(configuration.chain, ticket) != ticket.chain:
                self._mismatch(ticket.number, ticket.chain, "ticket")
                break
            configuration = configuration.with_ticket(ticket)
            now_ms = self._clock.wall_ms()
            self._history.append(ticket, in_force_ms=now_ms)
        return self._put_in_force(configuration)

    # What moves the configuration.

    def _put_in_force(self, configuration: Configuration) -> bool:
        """Adopt `configuration` if it is ahead in every object."""
        before = self._current
        if configuration.number <= before.number:
            return False
        back = step_back(before, configuration)
        if back:
            self._on_event(
                "configuration_refused",
                level="error",
                number=configuration.number,
                before=before.number,
                object=back,
            )
            return False
        self._current = configuration
        self._on_event("in_force", number=configuration.number, before=before.number)
        self._advanced.set()
        self._run_callbacks(configuration)
        self._announce()
        return True

    def _run_callbacks(self, configuration: Configuration) -> None:
        for callback in self._callbacks:
            try:
                callback(configuration)
            except Exception as error:
                # One part of the process must not keep the others from the news.
                self._on_event(
                    "task_failed",
                    level="error",
                    task="on_change",
                    error=repr(error),
                )

    def _announce(self) -> None:
        number, chain = self._current.number, self._current.chain
        for peer in self._endpoint.peers:
            if peer.up and peer.ticket < number:
                peer.send(TicketNote(number=number, chain=chain))

    def _adopt_image(self, configuration: Configuration) -> bool:
        if not self._put_in_force(configuration):
            return False
        self._history.clear()
        return True

    def _compare(self, ticket: Ticket) -> None:
        if ticket.number == self._current.number:
            self._compare_chain(ticket.number, ticket.chain)

    def _compare_chain(self, number: int, chain: str) -> None:
        known = self._current.chain
        if number == self._current.number and known and chain and chain != known:
            self._mismatch(number, chain, "chain")

    def _mismatch(self, number: int, chain: str, what: str) -> None:
        if chain != self._reported_chain:
            self._reported_chain = chain
            self._on_event(
                "ticket_mismatch",
                level="error",
                what=what,
                number=number,
                got=chain,
                expected=self._current.chain,
            )

    # Peers.

    def _on_note(self, peer: Peer, entry: TicketNote) -> None:
        self._compare_chain(entry.number, entry.chain)

    def _on_ticket(self, peer: Peer, number: int) -> None:
        if number > self._current.number:
            self._ahead[peer.incarnation] = peer
            self._pull_wanted.set()

    def _on_pull(self, peer: Peer, entry: TicketPull) -> TicketRange:
        number, ready = self._current.number, self.ready
        if entry.after >= number:
            return TicketRange(number=number, ready=ready)
        tickets = self._history.after(entry.after)
        if tickets is not None:
            return TicketRange(number=number, ready=ready, tickets=tickets)
        if self._image[0] != number:
            self._image = (number, encode_configuration(self._current))
        return TicketRange(number=number, ready=ready, image=self._image[1])

    async def _pull(self) -> None:
        while True:
            await self._pull_wanted.wait()
            self._pull_wanted.clear()
            while (peer := self._most_ahead()) is not None:
                if not await self._pull_from(peer):
                    now_ms = self._clock.now_ms()
                    self._fruitless_ms[peer.incarnation] = now_ms
            self._ahead.clear()
            if self._fruitless_ms:
                # Whoever is still ahead shows it again with its next frame.
                await self._clock.sleep_ms(self._parameters.fruitless_ms)
                self._fruitless_ms.clear()

    def _most_ahead(self) -> Peer | None:
        for incarnation, peer in list(self._ahead.items()):
            if peer.ticket <= self._current.number:
                del self._ahead[incarnation]
        candidates = [
            peer
            for incarnation, peer in self._ahead.items()
            if incarnation not in self._fruitless_ms
        ]
        return max(candidates, key=lambda peer: peer.ticket, default=None)

    async def _pull_from(self, peer: Peer) -> bool:
        """Ask one peer for what is lacking; False if that brought nothing."""
        reply = await peer.call(
            TicketPull(after=self._current.number),
            timeout_ms=self._parameters.pull_timeout_ms,
        )
        if isinstance(reply, Failure):
            return False
        return self._adopt_range(reply.unwrap())

    def _adopt_range(self, entry: TicketRange) -> bool:
        try:
            if entry.image:
                return self._adopt_image(decode_configuration(entry.image))
            tickets = [decode_ticket(data) for data in entry.tickets]
        except (ValueError, msgspec.MsgspecError) as error:
            self._on_event("ticket_damaged", level="error", error=repr(error))
            return False
        return self.offer(tickets)

    # The table.

    async def refresh(self) -> Result[int, Fault]:
        """Read the head from the table and what is lacking; return its number."""
        async with self._store_lock:
            result = await self._read_store()
        if isinstance(result, Failure):
            self._store_failures += 1
            if self._store_failures == 1:
                self._on_event("table_unavailable", level="warning")
            return result
        if self._store_failures:
            self._on_event("table_available", failures=self._store_failures)
        self._store_failures = 0
        self._store_answered_ms = self._clock.now_ms()
        return result

    async def _read_store(self) -> Result[int, Fault]:
        found = await self._log.read_head()
        if isinstance(found, Failure):
            return found
        head, _version = found.unwrap()
        if head.number < self._current.number:
            self._on_event(
                "table_behind",
                level="error",
                head=head.number,
                in_force=self._current.number,
            )
        self._compare_chain(head.number, head.chain)
        if head.number <= self._current.number:
            return Success(head.number)
        if self._current.number >= head.floor:
            return await self._read_tickets(head.number)
        loaded = await self._log.load_configuration(self._current)
        if isinstance(loaded, Failure):
            return loaded
        self._adopt_image(loaded.unwrap())
        return Success(head.number)

    async def _read_tickets(self, head: int) -> Result[int, Fault]:
        while self._current.number < head:
            found = await self._log.read(self._current.number)
            if isinstance(found, Failure):
                return found
            if not self.offer(found.unwrap()) and self._current.number < head:
                return fail(
                    ErrorKind.STALE_CONFIGURATION,
                    f"the table's tickets after {self._current.number} do not follow"
                    " the configuration in force",
                )
        return Success(head)

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
        self._on_event("configuration_ready", number=self._current.number, by=source)

    async def _ask_peers(self) -> bool:
        """Take over the highest configuration of some peers that are ready."""
        addresses = self._sample_addresses()
        replies = await asyncio.gather(*map(self._ask, addresses))
        ready = [entry for entry in replies if entry is not None and entry.ready]
        if len(ready) < min(2, len(addresses)) or not ready:
            return False
        highest = max(ready, key=lambda entry: entry.number)
        self._adopt_range(highest)
        return self._current.number >= highest.number

    async def _ask(self, address: str) -> TicketRange | None:
        peer = self._endpoint.peer(address, OWNER)
        try:
            reply = await peer.call(
                TicketPull(after=self._current.number),
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
        mean_ms = min(mean_ms * 2 ** min(self._store_failures, 16), most_ms)
        return mean_ms * (0.5 + self._random.random())

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))


def step_back(before: Configuration, after: Configuration) -> str:
    """Return the key of an object that `after` would take back, or an empty string.

    Examples
    --------
    >>> step_back(Configuration(number=1), Configuration(number=2))
    ''
    """
    # A full list of removals no longer names the oldest ones.
    forgetful = len(after.removed) >= MAX_REMOVED
    for key, known in before.objects.items():
        if forgetful and key not in after.objects:
            continue
        if after.objects.get(key) is known:
            continue
        if after.number_of(key) < known.number:
            return key
    return ""
