"""Exchange of teams' demand between entries, for limits without a central counter."""

import asyncio
import random as random_module

from returns.result import Failure

from carobroute.links import Endpoint, Peer
from carobroute.membership import Directory
from carobroute.requests import Admission, TeamDemand
from carobroute.utils import Clock

INTERVAL_MS = 2_000.0
TIMEOUT_MS = 1_500.0
OWNER = "demand"


class DemandExchange:
    """Tells the entries that add demand up what was asked here, and takes totals.

    Parameters
    ----------
    admission : Admission
        Teams' limits at this entry.
    endpoint : Endpoint
        Links of this process.
    directory : Directory
        Where the other entries are.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.

    Notes
    -----
    Only teams with a limit that were asked for lately are told. Without an answer an
    entry falls back to an even share.
    """

    __slots__ = ("_admission", "_clock", "_directory", "_endpoint", "_random")

    def __init__(
        self,
        *,
        admission: Admission,
        endpoint: Endpoint,
        directory: Directory,
        clock: Clock,
        random: random_module.Random,
    ):
        self._admission = admission
        self._endpoint = endpoint
        self._directory = directory
        self._clock = clock
        self._random = random

    async def run(self) -> None:
        """Exchange demand until cancelled."""
        self._endpoint.handle(TeamDemand, self._on_demand)
        while True:
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep_ms(INTERVAL_MS * jitter)
            told = self._admission.demand()
            await asyncio.gather(*[self._tell(name, told[name]) for name in told])

    async def _tell(self, name: str, demand: TeamDemand) -> None:
        if name == demand.entry:
            self._admission.note_totals(self._admission.note_demand(demand))
            return
        instance = self._directory.by_name(name)
        if instance is None:
            return
        peer = self._endpoint.peer(instance.address, OWNER)
        reply = await peer.call(demand, timeout_ms=TIMEOUT_MS)
        if isinstance(reply, Failure):
            self._endpoint.forget(instance.address, OWNER)
            return
        self._admission.note_totals(reply.unwrap())

    def _on_demand(self, peer: Peer, demand: TeamDemand):
        return self._admission.note_demand(demand)
