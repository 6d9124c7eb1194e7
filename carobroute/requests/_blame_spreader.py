"""Passing on blame from process to process."""

from collections.abc import Callable

from carobroute.links import Endpoint, Peer
from carobroute.requests._quarantine import Blame, Quarantine, Trial

ENTRY_ROLE = "entry"


class BlameSpreader:
    """Floods what a quarantine learns along the control links.

    A process passes on only what was news to it, so each message crosses each link
    at most once in each direction.

    Parameters
    ----------
    quarantine : Quarantine
        What is known here.
    endpoint : Endpoint
        Links of this process.
    neighbours : callable
        Returns the peers to tell.

    Notes
    -----
    One crash costs each process at most as many messages as it has control links.
    """

    __slots__ = ("_endpoint", "_neighbours", "_quarantine")

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        endpoint: Endpoint,
        neighbours: Callable[[], list[Peer]],
    ):
        self._quarantine = quarantine
        self._endpoint = endpoint
        self._neighbours = neighbours

    def start(self) -> None:
        """Register the handler, and tell each peer all that is known on first sight."""
        self._endpoint.handle(Blame, self._on_blame)
        self._endpoint.handle(Trial, self._on_trial)
        self._endpoint.on_reopen(self._greet)

    def spread(self, news: Blame, *, but: Peer | None = None) -> None:
        """Tell every neighbour but the one that told us."""
        for peer in self._neighbours():
            if peer is not but:
                peer.send(Blame(entries=news.entries))

    def announce_trial(self, fingerprint: str) -> None:
        """Tell the entries what this local process runs alone, or that it ended."""
        trial = Trial(incarnation=self._endpoint.incarnation, fingerprint=fingerprint)
        for peer in self._endpoint.peers:
            if peer.role == ENTRY_ROLE and peer.up:
                peer.send(trial)

    def _on_trial(self, peer: Peer, entry: Trial) -> None:
        self._quarantine.note_trial(entry)

    def _on_blame(self, peer: Peer, entry: Blame) -> None:
        news = self._quarantine.merge(entry)
        if news is not None:
            self.spread(news, but=peer)

    def _greet(self, peer: Peer) -> None:
        known = self._quarantine.digest()
        if known.entries:
            peer.send(known)
