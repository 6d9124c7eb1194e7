"""What gateways tell each other: their calls at each target, and suspect requests."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

import msgspec
from returns.result import Failure

from carobroute.gateway._suspect_requests import SuspectRequests
from carobroute.gateway._targets import TargetDirectory
from carobroute.platform import RowAddress, RowStore, RowWrite, StoredRow
from carobroute.telemetry import EventLog
from carobroute.utils import Clock, TaskSet, split_host_port

GATEWAY_TABLE = "gateways"
MAX_DIGEST_BYTES = 32 * 1024


class PeerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times of the digests.

    Parameters
    ----------
    spread_ms : float
        Least time between two digests, for each peer that they go to: a gateway
        sends at the same rate whatever the number of its peers.
    renew_ms : float
        Longest time between two digests; several fit into `forget_ms`.
    forget_ms : float
        Time after which a silent peer's calls are not counted any more.
    gone_ms : float
        Time after which a silent peer's duties may be taken: several digests. A slow
        machine that plans a layout is silent for most of a second. Taking a duty from
        one that still runs does no harm, but both lose their work.
    lookup_ms : float
        Time between two readings of the table of gateways. Peers also learn of each
        other from their digests, so this only bridges what those miss.
    """

    spread_ms: float = 12.0
    renew_ms: float = 300.0
    forget_ms: float = 1_200.0
    gone_ms: float = 1_200.0
    lookup_ms: float = 10_000.0


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """State of one gateway that its peers need.

    Parameters
    ----------
    incarnation : str
        Run of the gateway.
    address : str
        `host:port` to which digests go.
    number : int
        Place among this run's digests.
    calls : dict of str to int
        Calls in flight at each run of a target.
    blames : dict of str to list of str
        Runs that crashed under each suspect request.
    """

    incarnation: str
    address: str
    number: int
    calls: dict[str, int]
    blames: dict[str, list[str]]


class GatewayRow(msgspec.Struct, frozen=True):
    """Where a gateway takes digests."""

    address: str


class PeerBoard:
    """Latest digest of each peer, and the calls of all peers at each target.

    Parameters
    ----------
    clock : Clock
        Source of time.
    forget_ms : float
        Time after which a silent peer's calls are not counted any more.
    gone_ms : float
        Time after which a silent peer is taken to be gone.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> board = PeerBoard(clock=clock, forget_ms=1_000, gone_ms=700)
    >>> board.take(Digest("a", "10.0.0.1:7000", 1, {"run-1": 2}, {}))
    True
    >>> board.take(Digest("b", "10.0.0.2:7000", 1, {"run-1": 1}, {}))
    True
    >>> board.calls_at("run-1")
    3
    >>> clock.advance_ms(1_001)
    >>> board.forget_silent()
    >>> board.calls_at("run-1"), board.count
    (0, 0)
    """

    __slots__ = (
        "_began_ms",
        "_clock",
        "_forget_ms",
        "_gone_ms",
        "_heard_ms",
        "_latest",
        "_totals",
    )

    def __init__(self, *, clock: Clock, forget_ms: float, gone_ms: float):
        self._clock = clock
        self._forget_ms = forget_ms
        self._gone_ms = gone_ms
        self._began_ms = clock.now_ms()
        self._latest: dict[str, Digest] = {}
        self._heard_ms: dict[str, float] = {}
        self._totals: dict[str, int] = {}

    @property
    def count(self) -> int:
        """Peers that were heard of lately."""
        return len(self._latest)

    @property
    def addresses(self) -> set[str]:
        """Where those peers take digests."""
        return {digest.address for digest in self._latest.values()}

    def is_gone(self, incarnation: str) -> bool:
        """Return whether a gateway would have been heard of if it still ran."""
        heard_ms = self._heard_ms.get(incarnation, self._began_ms)
        return self._clock.now_ms() - heard_ms > self._gone_ms

    def calls_at(self, run: str) -> int:
        """Return the calls that peers have at a run of a target."""
        return self._totals.get(run, 0)

    def take(self, digest: Digest) -> bool:
        """Take a digest; return False if it is older than one that is known."""
        known = self._latest.get(digest.incarnation)
        if known is not None and digest.number <= known.number:
            return False
        for old in list(self._latest.values()):
            # A gateway that started again has none of its earlier run's calls.
            if old.address == digest.address:
                self._drop(old)
        self._latest[digest.incarnation] = digest
        self._heard_ms[digest.incarnation] = self._clock.now_ms()
        self._add(digest, 1)
        return True

    def forget_silent(self) -> None:
        """Drop peers that have been silent for too long."""
        oldest_ms = self._clock.now_ms() - self._forget_ms
        for name, heard_ms in list(self._heard_ms.items()):
            if heard_ms < oldest_ms:
                self._drop(self._latest[name])

    def _drop(self, digest: Digest) -> None:
        del self._latest[digest.incarnation]
        del self._heard_ms[digest.incarnation]
        self._add(digest, -1)

    def _add(self, digest: Digest, sign: int) -> None:
        for run, calls in digest.calls.items():
            total = self._totals.get(run, 0) + sign * calls
            if total > 0:
                self._totals[run] = total
            else:
                self._totals.pop(run, None)


class PeerLinks(asyncio.DatagramProtocol):
    """Sends and takes digests as datagrams.

    A digest that is lost is made good by the next one, so nothing is repeated, and
    no queue of old digests can build up.

    Parameters
    ----------
    incarnation : str
        Run of this gateway.
    name : str
        Name of its instance, under which it is listed.
    bind : str
        `host:port` for datagrams.
    store : RowStore
        Where gateways are listed.
    board : PeerBoard
        Takes the peers' digests.
    directory : TargetDirectory
        Targets with this gateway's own calls.
    suspects : SuspectRequests
        Suspect requests.
    on_peers : callable
        Told of the number of gateways when it has changed.
    events : EventLog
        Where changes are logged.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    tasks : TaskSet
        Runs the background work.
    parameters : PeerParameters, default=None
        Times.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        name: str,
        bind: str,
        store: RowStore,
        board: PeerBoard,
        directory: TargetDirectory,
        suspects: SuspectRequests,
        on_peers: Callable[[int], None],
        events: EventLog,
        clock: Clock,
        random: random.Random,
        tasks: TaskSet,
        parameters: PeerParameters | None = None,
    ):
        self._incarnation = incarnation
        self._name = name
        self._bind = bind
        self._store = store
        self._board = board
        self._directory = directory
        self._suspects = suspects
        self._on_peers = on_peers
        self._events = events
        self._clock = clock
        self._random = random
        self._tasks = tasks
        self._parameters = parameters or PeerParameters()
        self._transport: asyncio.DatagramTransport | None = None
        self._listed: set[str] = set()
        self._number = 0
        self._sent_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._gateways = 0

    async def start(self) -> None:
        """Open the socket, and begin to send."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_host_port(self._bind)
        )
        self._tasks.spawn(self._renew(), name="send digests")
        self._tasks.spawn(self._look_up(), name="look up gateways")

    async def stop(self) -> None:
        """Take this gateway off the list, and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        row = RowAddress(table=GATEWAY_TABLE, key=self._name)
        removed = await self._store.transact(conditions=[], writes=[], removals=[row])
        if isinstance(removed, Failure):
            why = removed.failure().detail
            self._events.event("gateway_still_listed", level="warning", why=why)

    def note_change(self) -> None:
        """Send a digest soon, because calls have begun or ended."""
        if self._timer is not None or self._transport is None:
            return
        spread_ms = self._parameters.spread_ms * max(1, len(self._destinations()))
        wait_ms = max(0.0, self._sent_ms + spread_ms - self._clock.now_ms())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_ms / 1_000, self._send)

    # Datagrams, as the event loop delivers them.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        # uvloop's transports are not subclasses of asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's digest."""
        try:
            digest = msgspec.msgpack.decode(data, type=Digest)
        except msgspec.DecodeError as error:
            self._events.event(
                "digest_unreadable", level="warning", sender=addr[0], why=str(error)
            )
            return
        if digest.incarnation == self._incarnation or not self._board.take(digest):
            return
        for request, runs in digest.blames.items():
            for run in runs:
                self._suspects.add_crash(request, run)

    def error_received(self, exc: Exception) -> None:
        """Note that a peer cannot be reached; its silence will show."""
        self._events.event("digest_refused", level="debug", why=repr(exc))

    # Sending.

    def _destinations(self) -> set[str]:
        return (self._board.addresses | self._listed) - {self._bind}

    def _send(self) -> None:
        self._timer = None
        if self._transport is None:
            return
        self._sent_ms = self._clock.now_ms()
        self._number += 1
        digest = Digest(
            incarnation=self._incarnation,
            address=self._bind,
            number=self._number,
            calls={
                target.incarnation: target.in_flight
                for target in self._directory.all_targets()
                if target.in_flight
            },
            blames=self._suspects.crashes_by_request(),
        )
        data = msgspec.msgpack.encode(digest)
        if len(data) > MAX_DIGEST_BYTES:
            data = msgspec.msgpack.encode(msgspec.structs.replace(digest, blames={}))
        for address in self._destinations():
            self._transport.sendto(data, split_host_port(address))

    async def _renew(self) -> None:
        while True:
            await self._clock.sleep_ms(self._parameters.renew_ms)
            self._board.forget_silent()
            if self._board.count + 1 != self._gateways:
                self._gateways = self._board.count + 1
                self._on_peers(self._gateways)
                self._events.event("gateways_known", count=self._gateways)
            if self._clock.now_ms() - self._sent_ms >= self._parameters.renew_ms:
                self._send()

    # The list of gateways.

    async def _look_up(self) -> None:
        listed = False
        while True:
            listed = listed or await self._list_self()
            read = await self._store.read_all(GATEWAY_TABLE)
            if isinstance(read, Failure):
                await self._clock.sleep_ms(self._retry_ms())
                continue
            self._take_listed(read.unwrap().rows)
            wait_ms = self._parameters.lookup_ms if listed else self._retry_ms()
            await self._clock.sleep_ms(wait_ms)

    async def _list_self(self) -> bool:
        value = msgspec.json.encode(GatewayRow(address=self._bind))
        row = RowWrite(table=GATEWAY_TABLE, key=self._name, value=value)
        written = await self._store.transact(conditions=[], writes=[row], removals=[])
        return not isinstance(written, Failure)

    def _retry_ms(self) -> float:
        return self._parameters.renew_ms * self._random.uniform(1.0, 3.0)

    def _take_listed(self, rows: list[StoredRow]) -> None:
        listed = set()
        for row in rows:
            try:
                address = msgspec.json.decode(row.value, type=GatewayRow).address
                split_host_port(address)
            except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
                self._events.event(
                    "gateway_entry_unreadable",
                    level="warning",
                    key=row.key,
                    version=row.version,
                    why=str(error),
                )
                continue
            listed.add(address)
        self._listed = listed
