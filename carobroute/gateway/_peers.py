"""Exchange of digests between gateways, and the table in which they find each other."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

import msgspec
from returns.result import Failure

from carobroute.errors import ErrorKind
from carobroute.gateway._cold_starts import ColdStarts
from carobroute.gateway._digests import Digest, PeerState
from carobroute.gateway._prompt_quarantine import PromptQuarantine
from carobroute.gateway._rate_limits import RateLimits
from carobroute.gateway._shared_reads import SharedReads
from carobroute.gateway._suspect_requests import SuspectRequests
from carobroute.gateway._targets import SLOW_TARGET_SLOWDOWN, TargetDirectory
from carobroute.platform import RowAddress, RowStore, RowWrite, StoredRow
from carobroute.telemetry import EventLog
from carobroute.utils import (
    Backoff,
    Clock,
    DatagramAddress,
    TaskSet,
    decode_foreign,
    split_host_port,
)

GATEWAY_TABLE = "gateways"
MAX_DIGEST_BYTES = 32 * 1024
# Delay in which several urgent changes are sent together.
URGENT_DELAY_MS = 10.0


class PeerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and timeouts of the digests.

    Parameters
    ----------
    min_interval_per_peer_ms : float
        Minimum interval between two digests, multiplied by the number of peers, so
        that a gateway's send rate does not depend on that number.
    max_interval_ms : float
        Maximum interval between two digests; several fit into `calls_expiry_ms`.
    calls_expiry_ms : float
        Silence after which a peer's calls are no longer counted.
    gone_after_ms : float
        Silence, several digests long, after which a peer's duties may be taken. A
        slow machine that plans a layout is silent for most of a second. Taking a duty
        from a peer that still runs is safe, but both lose their work.
    lookup_interval_ms : float
        Interval between two readings of the table of gateways. Gateways also find
        each other through digests, so the table only covers those that were missed.
    """

    min_interval_per_peer_ms: float = 12.0
    max_interval_ms: float = 300.0
    calls_expiry_ms: float = 1_200.0
    gone_after_ms: float = 1_200.0
    lookup_interval_ms: float = 30_000.0


class GatewayRow(msgspec.Struct, frozen=True):
    """Row of a gateway, with the address on which it receives digests."""

    address: DatagramAddress


_digest_decoder = msgspec.msgpack.Decoder(Digest)
_row_decoder = msgspec.json.Decoder(GatewayRow)


class PeerProtocol(asyncio.DatagramProtocol):
    """Datagram protocol that sends and receives digests.

    Each digest replaces the previous one, so lost digests are not sent again, and no
    queue of old ones can build up.

    Parameters
    ----------
    incarnation : str
        Incarnation of this gateway.
    name : str
        Name of this gateway's instance, which is its key in the table of gateways.
    bind : str
        `host:port` to send and receive datagrams.
    store : RowStore
        Store of the table of gateways.
    peer_state : PeerState
        State of the peers, from their digests.
    directory : TargetDirectory
        Targets with this gateway's calls in flight.
    suspects : SuspectRequests
        Requests that were in flight when targets crashed.
    quarantine : PromptQuarantine
        Prompt parts that crash targets.
    limits : RateLimits
        Rate limits that targets name.
    cold_starts : ColdStarts
        Targets that are cold.
    calls_per_s : callable
        Returns this gateway's recent rate of calls to rank groups.
    imbalances : callable, default=None
        Returns the imbalance of experts of each rank group that this gateway sees.
    waiting : callable, default=None
        Returns the calls that wait here for a rank group, by priority.
    shared : SharedReads
        What this gateway and its peers know of the store.
    duties : callable
        Returns the duties that this gateway holds.
    capacity : float
        Bandwidth of this gateway's link, in Mbit/s.
    data_centre : str
        Data centre of this gateway.
    on_gateway_count : callable
        Called with the number of known gateways when it changes.
    events : EventLog
        Log of changes.
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    tasks : TaskSet
        Background tasks.
    parameters : PeerParameters, default=None
        Intervals and timeouts.
    on_leaving : callable, default=None
        Called with each run of a target that a peer knows to leave.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        name: str,
        bind: str,
        store: RowStore,
        peer_state: PeerState,
        directory: TargetDirectory,
        suspects: SuspectRequests,
        quarantine: PromptQuarantine,
        limits: RateLimits,
        cold_starts: ColdStarts,
        calls_per_s: Callable[[], float],
        imbalances: Callable[[], dict[str, float]] | None = None,
        waiting: Callable[[], dict[int, int]] | None = None,
        shared: SharedReads,
        duties: Callable[[], list[str]],
        capacity: float,
        data_centre: str,
        on_gateway_count: Callable[[int], None],
        events: EventLog,
        clock: Clock,
        random: random.Random,
        tasks: TaskSet,
        parameters: PeerParameters | None = None,
        on_leaving: Callable[[str], None] | None = None,
    ):
        self._on_leaving = on_leaving or (lambda run_id: None)
        self._incarnation = incarnation
        self._name = name
        self._bind = bind
        self._store = store
        self._peer_state = peer_state
        self._directory = directory
        self._suspects = suspects
        self._quarantine = quarantine
        self._limits = limits
        self._cold_starts = cold_starts
        self._calls_per_s = calls_per_s
        self._imbalances = imbalances or (lambda: {})
        self._waiting = waiting or (lambda: {})
        self._shared = shared
        self._duties = duties
        self._capacity = capacity
        self._data_centre = data_centre
        self._on_gateway_count = on_gateway_count
        self._events = events
        self._clock = clock
        self._random = random
        self._tasks = tasks
        self._parameters = parameters or PeerParameters()
        self._transport: asyncio.DatagramTransport | None = None
        self._listed_addresses: set[str] = set()
        self._digest_number = 0
        self._last_sent_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._gateway_count = 0

    async def start(self) -> None:
        """Open the socket, and start to send digests."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_host_port(self._bind)
        )
        for name, run in (
            ("send digests", self._send_periodically),
            ("look up gateways", self._poll_gateways),
        ):
            backoff = Backoff(
                random=self._random,
                min_ms=self._parameters.max_interval_ms,
                max_ms=self._parameters.lookup_interval_ms / 10,
            )
            self._tasks.keep_running(run, name=name, backoff=backoff, clock=self._clock)

    async def stop(self) -> None:
        """Close the socket, and remove this gateway from the table."""
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
        """Schedule a digest, because calls have begun or ended."""
        if self._timer is not None or self._transport is None:
            return
        interval_ms = self._parameters.min_interval_per_peer_ms * max(
            1, len(self._destinations())
        )
        wait_ms = max(0.0, self._last_sent_ms + interval_ms - self._clock.now_ms())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_ms / 1_000, self._send)

    def note_urgent_change(self) -> None:
        """Schedule a digest for the next few milliseconds."""
        if self._transport is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(URGENT_DELAY_MS / 1_000, self._send)

    def share_change(self) -> None:
        """Send a digest at once if peers rely on what this gateway has read."""
        if self._shared.is_reader:
            self.send_now()

    def send_now(self) -> None:
        """Send a digest at once, because peers have to know a change soon."""
        if self._timer is not None:
            self._timer.cancel()
        self._send()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        # uvloop's transports are not subclasses of asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply a peer's digest."""
        decoded = decode_foreign(
            _digest_decoder.decode,
            data,
            kind=ErrorKind.BAD_REQUEST,
            what="a digest",
        )
        if isinstance(decoded, Failure):
            self._events.event(
                "digest_unreadable",
                level="warning",
                sender=addr[0],
                why=decoded.failure().detail,
            )
            return
        digest = decoded.unwrap()
        if digest.incarnation == self._incarnation:
            return
        is_new = not self._peer_state.is_known(digest.incarnation)
        if not self._peer_state.update(digest):
            return
        if is_new:
            self._quarantine.request_complete_report()
            self._limits.request_complete_report()
            self._cold_starts.request_complete_report()
            self.note_change()
        self._shared.apply_knowledge(digest.knowledge)
        for fingerprint, incarnations in digest.crashes_by_request.items():
            for incarnation in incarnations:
                self._suspects.add_crash(fingerprint, incarnation)
        self._quarantine.merge(
            digest.part_evidence, is_complete=digest.is_evidence_complete
        )
        self._limits.merge(digest.limits)
        self._cold_starts.merge(digest.cold)
        for run_id in digest.leaving:
            self._on_leaving(run_id)

    def error_received(self, exc: Exception) -> None:
        """Log that a peer is unreachable; its silence is detected separately."""
        self._events.event("digest_refused", level="debug", why=repr(exc))

    # Sending.

    def _destinations(self) -> set[str]:
        return (self._peer_state.addresses | self._listed_addresses) - {self._bind}

    def _send(self) -> None:
        self._timer = None
        if self._transport is None:
            return
        self._last_sent_ms = self._clock.now_ms()
        self._digest_number += 1
        part_evidence, is_evidence_complete = self._quarantine.make_reports()
        digest = Digest(
            incarnation=self._incarnation,
            address=self._bind,
            number=self._digest_number,
            calls={
                target.incarnation: target.in_flight
                for target in self._directory.all_targets()
                if target.in_flight
            },
            crashes_by_request=self._suspects.crashes_by_request(),
            calls_per_s=self._calls_per_s(),
            knowledge=self._shared.current_knowledge(),
            duties=self._duties(),
            capacity=self._capacity,
            data_centre=self._data_centre,
            slowdowns={
                target.incarnation: target.own_slowdown
                for target in self._directory.all_targets()
                if target.own_slowdown >= SLOW_TARGET_SLOWDOWN
            },
            part_evidence=part_evidence,
            trials=self._quarantine.trials,
            is_evidence_complete=is_evidence_complete,
            limits=self._limits.report(),
            leaving=self._directory.leaving_runs,
            ejected=self._directory.ejected_runs,
            returned=self._directory.returned_runs,
            cold=self._cold_starts.report(),
            imbalances=self._imbalances(),
            waiting=self._waiting(),
        )
        data = msgspec.msgpack.encode(digest)
        if len(data) > MAX_DIGEST_BYTES:
            data = msgspec.msgpack.encode(
                msgspec.structs.replace(
                    digest,
                    crashes_by_request={},
                    part_evidence={},
                    is_evidence_complete=False,
                    ejected=[],
                    returned=[],
                    cold={},
                )
            )
        for address in self._destinations():
            self._transport.sendto(data, split_host_port(address))

    async def _send_periodically(self) -> None:
        while True:
            await self._clock.sleep_ms(self._parameters.max_interval_ms)
            self._peer_state.drop_silent()
            if self._peer_state.peer_count + 1 != self._gateway_count:
                self._gateway_count = self._peer_state.peer_count + 1
                self._on_gateway_count(self._gateway_count)
                self._events.event("gateways_known", count=self._gateway_count)
            if (
                self._clock.now_ms() - self._last_sent_ms
                >= self._parameters.max_interval_ms
            ):
                self._send()

    # The table of gateways.

    async def _poll_gateways(self) -> None:
        is_registered, era = False, self._store.era
        while True:
            if self._store.era != era:
                # The store came back from a copy, which may lack this gateway.
                is_registered, era = False, self._store.era
            is_registered = is_registered or await self._register()
            read = await self._store.read_all(GATEWAY_TABLE)
            if isinstance(read, Failure):
                await self._clock.sleep_ms(self._retry_delay_ms())
                continue
            self._update_listed(read.unwrap().rows)
            wait_ms = (
                self._parameters.lookup_interval_ms
                if is_registered
                else self._retry_delay_ms()
            )
            await self._wait_for_lookup(wait_ms, era)

    async def _wait_for_lookup(self, wait_ms: float, era: int) -> None:
        """Wait until the table must be read, or the store is in a new era."""
        end_ms = self._clock.now_ms() + wait_ms
        while self._store.era == era and self._clock.now_ms() < end_ms:
            remaining_ms = end_ms - self._clock.now_ms()
            await self._clock.sleep_ms(
                min(self._parameters.max_interval_ms, remaining_ms)
            )

    async def _register(self) -> bool:
        value = msgspec.json.encode(GatewayRow(address=self._bind))
        row = RowWrite(table=GATEWAY_TABLE, key=self._name, value=value)
        written = await self._store.transact(conditions=[], writes=[row], removals=[])
        return not isinstance(written, Failure)

    def _retry_delay_ms(self) -> float:
        return self._parameters.max_interval_ms * self._random.uniform(1.0, 3.0)

    def _update_listed(self, rows: list[StoredRow]) -> None:
        addresses = set()
        for row in rows:
            decoded = decode_foreign(
                _row_decoder.decode,
                row.value,
                kind=ErrorKind.BAD_REQUEST,
                what="a gateway's entry",
            )
            if isinstance(decoded, Failure):
                self._events.event(
                    "gateway_entry_unreadable",
                    level="warning",
                    key=row.key,
                    version=row.version,
                    why=decoded.failure().detail,
                )
                continue
            addresses.add(decoded.unwrap().address)
        self._listed_addresses = addresses
