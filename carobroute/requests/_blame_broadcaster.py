"""Distribution of blame entries between processes."""

from collections.abc import Callable

from carobroute.links import Endpoint, Peer
from carobroute.requests._quarantine import BlameMessage, Quarantine, TrialMessage

ENTRY_ROLE = "entry"


class BlameBroadcaster:
    """Floods new blame entries of a quarantine over the control links.

    A process forwards only blame entries that are new to it, so each of them crosses
    each link at most once in each direction.

    Parameters
    ----------
    quarantine : Quarantine
        Quarantine of this process.
    endpoint : Endpoint
        Links of this process.
    neighbours : callable
        Returns the peers to send to.

    Notes
    -----
    For one crash, a process sends at most as many messages as it has control links.
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
        """Register the handlers; send all blame entries when a link to a peer opens."""
        self._endpoint.handle(BlameMessage, self._on_blame)
        self._endpoint.handle(TrialMessage, self._on_trial)
        self._endpoint.on_reopen(self._send_snapshot)

    def broadcast(self, news: BlameMessage, *, exclude: Peer | None = None) -> None:
        """Send new blame entries to every neighbour except `exclude`, their sender."""
        for peer in self._neighbours():
            if peer is not exclude:
                peer.send(BlameMessage(entries=news.entries))

    def announce_trial(self, fingerprint: str) -> None:
        """Send the entry processes the suspect that runs alone; empty when it ended."""
        trial = TrialMessage(
            incarnation=self._endpoint.incarnation, fingerprint=fingerprint
        )
        for peer in self._endpoint.peers:
            if peer.role == ENTRY_ROLE and peer.up:
                peer.send(trial)

    def _on_trial(self, peer: Peer, message: TrialMessage) -> None:
        self._quarantine.note_trial(message)

    def _on_blame(self, peer: Peer, message: BlameMessage) -> None:
        news = self._quarantine.merge(message)
        if news is not None:
            self.broadcast(news, exclude=peer)

    def _send_snapshot(self, peer: Peer) -> None:
        snapshot = self._quarantine.snapshot()
        if snapshot.entries:
            peer.send(snapshot)
