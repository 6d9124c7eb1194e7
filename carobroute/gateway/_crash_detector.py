"""Detection of target crashes behind answers that broke off."""

import asyncio
import enum
from collections.abc import Awaitable, Callable

from returns.result import Success

from carobroute.gateway._target_pool import TargetPool
from carobroute.gateway._targets import RunListing, Target, TargetDirectory
from carobroute.platform import RankClient
from carobroute.telemetry import EventLog
from carobroute.utils import split_host_port

MS_PER_S = 1_000
# A list that was never read has no age.
MAX_LOGGED_AGE_MS = 3_600_000.0
# Time for which a living target keeps a connection. The kernel of a process that was
# killed accepts connections until it has closed the listener, and resets them then: up
# to 13 ms later with 300 connections on a busy machine.
KEPT_CONNECTION_MS = 30.0


class Connection(enum.Enum):
    """Outcome of an attempt to connect to a target."""

    ACCEPTED = enum.auto()
    REFUSED = enum.auto()
    RESET = enum.auto()
    UNANSWERED = enum.auto()


class EndEvidence(enum.StrEnum):
    """What decided whether a target had crashed as its answer ended in order.

    Attributes
    ----------
    ACCEPTS
        It accepts connections and keeps them, or resets one after the other, so its
        process lives.
    UNANSWERED
        Connections are neither accepted nor refused; it may be cut off.
    LEAVING
        It refuses connections, and has reported that it leaves.
    REMOVED
        It refuses connections, and its entry was removed; the entry of a crashed
        target stays for several heartbeats.
    LISTED
        It refuses connections, and the store still lists it as ready.
    REPLACED
        Another run has written its entry, though it has never said that it leaves.
    OVERWRITTEN
        It refuses connections, and its entry is another program's.
    GROUP_BROKEN
        Its rank group is listed as broken, and has cut off what it had in hand.
    LIST_UNREAD
        It refuses connections, and was listed as ready before the store was
        unavailable. A target that leaves waits for the store to know that.
    """

    ACCEPTS = "accepts"
    UNANSWERED = "unanswered"
    LEAVING = "leaving"
    REMOVED = "removed"
    LISTED = "listed"
    REPLACED = "replaced"
    OVERWRITTEN = "overwritten"
    GROUP_BROKEN = "group_broken"
    LIST_UNREAD = "list_unread"


CRASH_EVIDENCE = frozenset(
    {
        EndEvidence.LISTED,
        EndEvidence.REPLACED,
        EndEvidence.OVERWRITTEN,
        EndEvidence.GROUP_BROKEN,
        EndEvidence.LIST_UNREAD,
    }
)
# What the list says of a target that leaves, or has left, as planned.
PLANNED_LISTINGS = frozenset({RunListing.LEAVING, RunListing.REMOVED})
# Evidence of a target that refuses connections, by what the list says of it.
LISTING_EVIDENCE = {
    RunListing.READY: EndEvidence.LISTED,
    RunListing.LEAVING: EndEvidence.LEAVING,
    RunListing.REMOVED: EndEvidence.REMOVED,
    RunListing.REPLACED: EndEvidence.REPLACED,
    RunListing.OVERWRITTEN: EndEvidence.OVERWRITTEN,
}


class CrashDetector:
    """Tells the crash of a target from a planned end, and from a lost connection.

    The list of targets shows a crash only once entries have expired, after several
    heartbeats. A crashed process refuses connections at once, but so does one that
    leaves, once it has closed its listener and completes the calls in hand. That one
    has reported to the store before, or has removed its entry.

    Parameters
    ----------
    pool : TargetPool
        Connections to targets.
    client : RankClient
        Client of the targets' reports.
    timeout_ms : float
        Timeout of a connection attempt, and of a reading of the list, in milliseconds.
    directory : TargetDirectory
        What is known of the targets.
    refresh_list : callable
        Reads the list of targets into the directory; returns whether it was read.
    events : EventLog
        Log of what decided about targets that refuse connections.
    """

    __slots__ = (
        "_client",
        "_directory",
        "_events",
        "_pool",
        "_refresh_list",
        "_timeout_ms",
    )

    def __init__(
        self,
        *,
        pool: TargetPool,
        client: RankClient,
        timeout_ms: float,
        directory: TargetDirectory,
        refresh_list: Callable[[], Awaitable[bool]],
        events: EventLog,
    ):
        self._pool = pool
        self._client = client
        self._timeout_ms = timeout_ms
        self._directory = directory
        self._refresh_list = refresh_list
        self._events = events

    async def has_crashed(self, target: Target) -> bool:
        """Return whether an incarnation of a target is known to have crashed.

        It is not known of a target that does not answer at all: it may be cut off. One
        that is known to leave has closed its listener, or ended as planned.
        """
        connection = await self._connect(target)
        if connection is Connection.REFUSED:
            return self._directory.find_listing(target) not in PLANNED_LISTINGS
        if connection is not Connection.ACCEPTED:
            return False
        return await self._is_replaced(target)

    async def is_alive(self, target: Target) -> bool:
        """Return whether the run of a target lives, whose entry has been removed.

        One that leaves without a report serves on for some time. At the address of one
        that has crashed nobody listens, or another run does, which tells its own start
        or is listed.
        """
        if await self._connect(target) is not Connection.ACCEPTED:
            return False
        address = target.entry.address
        listed = self._directory.all_targets()
        if any(other.entry.address == address for other in listed):
            return False
        return not await self._is_replaced(target)

    async def has_crashed_at_end(self, target: Target, *, request_id: str = "") -> bool:
        """Return whether a target, whose answer ended with its connection, has crashed.

        So has one whose rank group is broken, for the answers that it had in hand.

        Parameters
        ----------
        target : Target
            Target whose answer, without a length or chunks, has just ended in order.
        request_id : str, default=""
            Identifier of the call, for the log.
        """
        evidence = await self._find_end_evidence(target)
        has_crashed = evidence in CRASH_EVIDENCE
        if evidence is not EndEvidence.ACCEPTS:
            self._events.event(
                "target_end_judged",
                request=request_id,
                target=target.incarnation,
                evidence=evidence.value,
                crashed=has_crashed,
                list_age_ms=round(min(self._directory.age_ms, MAX_LOGGED_AGE_MS)),
            )
        return has_crashed

    async def _find_end_evidence(self, target: Target) -> EndEvidence:
        if self._directory.find_listing(target) is RunListing.REPLACED:
            return EndEvidence.REPLACED
        if not target.entry.is_group_open:
            # It got no calls since, and a broken group ends none: it cuts them off.
            return EndEvidence.GROUP_BROKEN
        connection = await self._connect(target, kept_ms=KEPT_CONNECTION_MS)
        if connection is Connection.RESET:
            # The listener of a process that has crashed is closed by now. A living
            # target may reset connections beyond its limit.
            connection = await self._connect(target)
        if connection in {Connection.ACCEPTED, Connection.RESET}:
            return EndEvidence.ACCEPTS
        if connection is Connection.UNANSWERED:
            return EndEvidence.UNANSWERED
        listing = self._directory.find_listing(target)
        if listing is RunListing.READY:
            # The list that is known may be older than the removal or the report.
            if not await self._has_refreshed_list():
                return EndEvidence.LIST_UNREAD
            listing = self._directory.find_listing(target)
        return LISTING_EVIDENCE[listing]

    async def _is_replaced(self, target: Target) -> bool:
        """Whether another run than the target's answers at its address."""
        transport = await self._pool.own_transport(target)
        answered = await self._client.read_report(transport)
        if not isinstance(answered, Success):
            return False
        started_ms = answered.unwrap().started_ms
        return started_ms is not None and started_ms != target.entry.started_ms

    async def _has_refreshed_list(self) -> bool:
        try:
            async with asyncio.timeout(self._timeout_ms / MS_PER_S):
                return await self._refresh_list()
        except TimeoutError:
            return False

    async def _connect(self, target: Target, *, kept_ms: float = 0.0) -> Connection:
        """Connect to a target, and see whether it keeps the connection for a time."""
        try:
            async with asyncio.timeout(self._timeout_ms / MS_PER_S):
                reader, writer = await asyncio.open_connection(
                    *split_host_port(target.entry.address)
                )
        except ConnectionRefusedError:
            return Connection.REFUSED
        except ConnectionResetError:
            return Connection.RESET
        except (OSError, TimeoutError):
            return Connection.UNANSWERED
        try:
            is_kept = not kept_ms or await _is_kept(reader, kept_ms)
        finally:
            writer.close()
        return Connection.ACCEPTED if is_kept else Connection.RESET


async def _is_kept(reader: asyncio.StreamReader, kept_ms: float) -> bool:
    """Return whether the other side neither closes nor resets a connection."""
    try:
        async with asyncio.timeout(kept_ms / MS_PER_S):
            return bool(await reader.read(1))
    except TimeoutError:
        return True
    except OSError:
        return False


def crash_name(target: Target) -> str:
    """Return the name of a target's crash, on which all gateways agree."""
    return target.run_id
