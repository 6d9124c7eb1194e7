"""Pulls from peers the tickets that this process lacks."""

import asyncio
from collections.abc import Callable

from returns.result import Failure

from carobroute.links import Endpoint, Peer
from carobroute.tickets._forward import ForwardConfiguration
from carobroute.tickets._messages import TicketNote, TicketPull, TicketRange
from carobroute.tickets._schema import Configuration
from carobroute.utils import Clock


class TicketPuller:
    """Announces the configuration to linked peers, and pulls from those ahead.

    Parameters
    ----------
    forward : ForwardConfiguration
        What is in force here.
    endpoint : Endpoint
        This process's links.
    clock : Clock
        Source of time.
    timeout_ms : float
        Longest wait for a peer's tickets.
    fruitless_ms : float
        Time for which a peer whose answer brought nothing is not asked again.
    is_ready : callable
        Whether this process knows the head.
    """

    __slots__ = (
        "_ahead",
        "_clock",
        "_endpoint",
        "_forward",
        "_fruitless",
        "_fruitless_ms",
        "_is_ready",
        "_timeout_ms",
        "_wanted",
    )

    def __init__(
        self,
        *,
        forward: ForwardConfiguration,
        endpoint: Endpoint,
        clock: Clock,
        timeout_ms: float,
        fruitless_ms: float,
        is_ready: Callable[[], bool],
    ):
        self._forward = forward
        self._endpoint = endpoint
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._fruitless_ms = fruitless_ms
        self._is_ready = is_ready
        self._ahead: dict[str, Peer] = {}
        self._fruitless: set[str] = set()
        self._wanted = asyncio.Event()

    @property
    def ahead(self) -> list[Peer]:
        """Peers that showed a higher number."""
        return list(self._ahead.values())

    def register(self) -> None:
        """Handle the messages of this subject."""
        self._endpoint.handle(TicketNote, self._on_note)
        self._endpoint.handle(TicketPull, self._on_pull)
        self._endpoint.on_ticket(self._on_ticket)
        self._forward.on_change(self._announce)

    async def run(self) -> None:
        """Pull whenever a peer is ahead."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            while (peer := self._most_ahead()) is not None:
                if not await self._pull_from(peer):
                    self._fruitless.add(peer.incarnation)
            self._ahead.clear()
            if self._fruitless:
                # Whoever is still ahead shows it again with its next frame.
                await self._clock.sleep_ms(self._fruitless_ms)
                self._fruitless.clear()

    def _announce(self, configuration: Configuration) -> None:
        number, chain = configuration.number, configuration.chain
        for peer in self._endpoint.peers:
            if peer.up and peer.ticket < number:
                peer.send(TicketNote(number=number, chain=chain))

    def _on_note(self, peer: Peer, entry: TicketNote) -> None:
        self._forward.compare_chain(entry.number, entry.chain)

    def _on_pull(self, peer: Peer, entry: TicketPull) -> TicketRange:
        return self._forward.range_after(entry.after, ready=self._is_ready())

    def _on_ticket(self, peer: Peer, number: int) -> None:
        if number > self._forward.number:
            self._ahead[peer.incarnation] = peer
            self._wanted.set()

    def _most_ahead(self) -> Peer | None:
        number = self._forward.number
        candidates = [
            peer
            for incarnation, peer in self._ahead.items()
            if incarnation not in self._fruitless and peer.ticket > number
        ]
        return max(candidates, key=lambda peer: peer.ticket, default=None)

    async def _pull_from(self, peer: Peer) -> bool:
        reply = await peer.call(
            TicketPull(after=self._forward.number), timeout_ms=self._timeout_ms
        )
        if isinstance(reply, Failure):
            return False
        return self._forward.adopt_range(reply.unwrap())
