"""Connection pools, one for each incarnation of a target."""

from carobroute.engines import EngineParameters, HttpTransport
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._targets import Target
from carobroute.utils import TaskSet


class TargetPool:
    """Keeps one HTTP transport for each incarnation of a target.

    The address of a target that is gone may be reassigned to another service, so a
    connection is never used for another incarnation. The gateway's own calls have
    connections of their own, since an answer to one does not name its request, and a
    target may send a caller's answer twice.

    Parameters
    ----------
    parameters : GatewayParameters
        Timeouts and limits.
    tasks : TaskSet
        Tasks that close transports.
    """

    __slots__ = ("_own_transports", "_parameters", "_tasks", "_transports")

    def __init__(self, *, parameters: GatewayParameters, tasks: TaskSet):
        self._tasks = tasks
        self._transports: dict[Target, HttpTransport] = {}
        self._own_transports: dict[Target, HttpTransport] = {}
        self._parameters = EngineParameters(
            connect_ms=parameters.connect_timeout_ms,
            keep_alive_ms=parameters.keep_alive_ms,
        )

    async def transport(self, target: Target) -> HttpTransport:
        """Return the transport of callers' requests, which is opened on first use."""
        return await self._open(self._transports, target)

    async def own_transport(self, target: Target) -> HttpTransport:
        """Return the transport of the gateway's own calls, opened on first use."""
        return await self._open(self._own_transports, target)

    def drop_gone(self) -> None:
        """Close the transports of targets that are gone and have no call in flight."""
        for transports in (self._transports, self._own_transports):
            for target in list(transports):
                if target.is_gone and not target.in_flight:
                    transport = transports.pop(target)
                    self._tasks.spawn(transport.stop(), name="close transport")

    async def close(self) -> None:
        """Close all transports."""
        transports = [*self._transports.values(), *self._own_transports.values()]
        self._transports.clear()
        self._own_transports.clear()
        for transport in transports:
            await transport.stop()

    async def _open(
        self, transports: dict[Target, HttpTransport], target: Target
    ) -> HttpTransport:
        transport = transports.get(target)
        if transport is None:
            transport = transports[target] = HttpTransport(
                address=f"http://{target.entry.address}", parameters=self._parameters
            )
            await transport.start()
        return transport
