"""Detection of target crashes behind answers that broke off."""

import asyncio
import enum

from returns.result import Success

from carobroute.gateway._target_pool import TargetPool
from carobroute.gateway._targets import Target
from carobroute.platform import RankClient
from carobroute.utils import split_host_port

MS_PER_S = 1_000


class Connection(enum.Enum):
    """Outcome of an attempt to connect to a target."""

    ACCEPTED = enum.auto()
    REFUSED = enum.auto()
    UNANSWERED = enum.auto()


class CrashDetector:
    """Tells the crash of a target from an answer that alone broke off.

    The list of targets shows a crash only once entries have expired, after several
    heartbeats. A crashed process refuses connections at once.

    Parameters
    ----------
    pool : TargetPool
        Connections to targets.
    client : RankClient
        Client of the targets' reports.
    timeout_ms : float
        Timeout of a connection attempt, in milliseconds.
    """

    __slots__ = ("_client", "_pool", "_timeout_ms")

    def __init__(self, *, pool: TargetPool, client: RankClient, timeout_ms: float):
        self._pool = pool
        self._client = client
        self._timeout_ms = timeout_ms

    async def has_crashed(self, target: Target) -> bool:
        """Return whether an incarnation of a target is known to have crashed.

        It is not known of a target that does not answer at all: it may be cut off.
        """
        connection = await self._connect(target)
        if connection is not Connection.ACCEPTED:
            return connection is Connection.REFUSED
        transport = await self._pool.own_transport(target)
        answered = await self._client.read_report(transport)
        if not isinstance(answered, Success):
            return False
        started_ms = answered.unwrap().started_ms
        return started_ms is not None and started_ms != target.entry.started_ms

    async def refuses_connections(self, target: Target) -> bool:
        """Return whether no process listens at a target's address any more."""
        return await self._connect(target) is Connection.REFUSED

    async def _connect(self, target: Target) -> Connection:
        try:
            async with asyncio.timeout(self._timeout_ms / MS_PER_S):
                _, writer = await asyncio.open_connection(
                    *split_host_port(target.entry.address)
                )
        except ConnectionRefusedError:
            return Connection.REFUSED
        except (OSError, TimeoutError):
            return Connection.UNANSWERED
        writer.close()
        return Connection.ACCEPTED


def crash_name(target: Target) -> str:
    """Return the name of a target's crash, on which all gateways agree."""
    return target.run_id
