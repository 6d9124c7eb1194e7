"""Connection pools, one for each incarnation of a target."""

from carobroute.engines import EngineParameters, HttpTransport
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._targets import Target
from carobroute.utils import TaskSet


class TargetPool:
    """Keeps one HTTP transport for each incarnation of a target.

    The address of a target that is gone may be reassigned to another service, so a
    connection is never used for another incarnation.

    Parameters
    ----------
    parameters : GatewayParameters
        Timeouts and limits.
    tasks : TaskSet
        Tasks that close transports.
    """

    __slots__ = ("_parameters", "_tasks", "_transports")

    def __init__(self, *, parameters: GatewayParameters, tasks: TaskSet):
        self._tasks = tasks
        self._transports: dict[Target, HttpTransport] = {}
        self._parameters = EngineParameters(
            connect_ms=parameters.connect_timeout_ms,
            keep_alive_ms=parameters.keep_alive_ms,
        )

    async def transport(self, target: Target) -> HttpTransport:
        """Return the transport of a target, which is opened on first use."""
        transport = self._transports.get(target)
        if transport is None:
            transport = HttpTransport(
                address=f"http://{target.entry.address}", parameters=self._parameters
            )
            self._transports[target] = transport
            await transport.start()
        return transport

    def drop_gone(self) -> None:
        """Close the transports of targets that are gone and have no call in flight."""
        for target in list(self._transports):
            if target.is_gone and not target.in_flight:
                transport = self._transports.pop(target)
                self._tasks.spawn(transport.stop(), name="close transport")

    async def close(self) -> None:
        """Close all transports."""
        transports, self._transports = self._transports, {}
        for transport in transports.values():
            await transport.stop()
