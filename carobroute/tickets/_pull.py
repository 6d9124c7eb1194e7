"""Pulls from peers the tickets that this process lacks."""

import asyncio
from collections.abc import Callable

from returns.result import Failure

from carobroute.links import Endpoint, Peer
from carobroute.tickets._applied import AppliedConfiguration
from carobroute.tickets._messages import TicketNote, TicketPull, TicketRange
from carobroute.tickets._schema import Configuration
from carobroute.utils import Clock


class TicketPuller:
    """Announces new tickets to linked peers, and pulls tickets from peers ahead.

    Parameters
    ----------
    applied : AppliedConfiguration
        Configuration in force here.
    endpoint : Endpoint
        This process's links.
    clock : Clock
        Source of time.
    timeout_ms : float
        Timeout of a request for a peer's tickets.
    pull_backoff_ms : float
        Pause of pulling after a peer did not answer, or its answer changed nothing.
    is_ready : callable
        Returns whether this process has learnt the head of the log.
    """

    __slots__ = (
        "_applied",
        "_backed_off",
        "_clock",
        "_endpoint",
        "_is_ready",
        "_peers_ahead",
        "_pull_backoff_ms",
        "_pull_needed",
        "_timeout_ms",
    )

    def __init__(
        self,
        *,
        applied: AppliedConfiguration,
        endpoint: Endpoint,
        clock: Clock,
        timeout_ms: float,
        pull_backoff_ms: float,
        is_ready: Callable[[], bool],
    ):
        self._applied = applied
        self._endpoint = endpoint
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._pull_backoff_ms = pull_backoff_ms
        self._is_ready = is_ready
        self._peers_ahead: dict[str, Peer] = {}
        self._backed_off: set[str] = set()
        self._pull_needed = asyncio.Event()

    @property
    def peers_ahead(self) -> list[Peer]:
        """Peers that showed a higher ticket number."""
        return list(self._peers_ahead.values())

    def register(self) -> None:
        """Register the handlers of ticket messages and changes."""
        self._endpoint.handle(TicketNote, self._on_note)
        self._endpoint.handle(TicketPull, self._on_pull)
        self._endpoint.on_ticket(self._on_ticket)
        self._applied.on_change(self._announce)

    async def run(self) -> None:
        """Pull whenever a peer is ahead."""
        while True:
            await self._pull_needed.wait()
            self._pull_needed.clear()
            while (peer := self._select_peer()) is not None:
                if not await self._pull_from(peer):
                    self._backed_off.add(peer.incarnation)
            self._peers_ahead.clear()
            if self._backed_off:
                # A peer that is still ahead shows it again in its next frame.
                await self._clock.sleep_ms(self._pull_backoff_ms)
                self._backed_off.clear()

    def _announce(self, configuration: Configuration) -> None:
        number, chain = configuration.number, configuration.chain
        for peer in self._endpoint.peers:
            if peer.up and peer.ticket_number < number:
                peer.send(TicketNote(number=number, chain=chain))

    def _on_note(self, peer: Peer, entry: TicketNote) -> None:
        self._applied.compare_chain(entry.number, entry.chain)

    def _on_pull(self, peer: Peer, entry: TicketPull) -> TicketRange:
        return self._applied.range_after(entry.after, ready=self._is_ready())

    def _on_ticket(self, peer: Peer, number: int) -> None:
        if number > self._applied.number:
            self._peers_ahead[peer.incarnation] = peer
            self._pull_needed.set()

    def _select_peer(self) -> Peer | None:
        number = self._applied.number
        candidates = [
            peer
            for incarnation, peer in self._peers_ahead.items()
            if incarnation not in self._backed_off and peer.ticket_number > number
        ]
        return max(candidates, key=lambda peer: peer.ticket_number, default=None)

    async def _pull_from(self, peer: Peer) -> bool:
        reply = await peer.call(
            TicketPull(after=self._applied.number), timeout_ms=self._timeout_ms
        )
        if isinstance(reply, Failure):
            return False
        return self._applied.apply_range(reply.unwrap())
