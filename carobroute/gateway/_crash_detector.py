"""Detection of target crashes behind answers that broke off."""

import asyncio

from returns.result import Success

from carobroute.gateway._target_pool import TargetPool
from carobroute.gateway._targets import Target
from carobroute.platform import RankClient
from carobroute.utils import split_host_port

MS_PER_S = 1_000


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
        try:
            async with asyncio.timeout(self._timeout_ms / MS_PER_S):
                _, writer = await asyncio.open_connection(
                    *split_host_port(target.entry.address)
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        transport = await self._pool.transport(target)
        answered = await self._client.read_report(transport)
        if not isinstance(answered, Success):
            return False
        started_ms = answered.unwrap().started_ms
        return started_ms is not None and started_ms != target.entry.started_ms


def crash_name(target: Target) -> str:
    """Return the name of a target's crash, on which all gateways agree."""
    return target.run_id
