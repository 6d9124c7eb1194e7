"""State of the claims that a local process has made itself."""

from collections import OrderedDict

from carobroute.requests._ledger_messages import ClaimQuery, ClaimState


class OwnClaims:
    """In-memory state of the claims made by this process.

    Parameters
    ----------
    incarnation : str
        Incarnation of this process.
    max_abandoned_claims : int
        Maximum number of abandoned claims kept; the state of older ones is unknown.
    """

    __slots__ = ("_abandoned", "_held", "_incarnation", "_max_abandoned_claims")

    def __init__(self, *, incarnation: str, max_abandoned_claims: int):
        self._incarnation = incarnation
        self._max_abandoned_claims = max_abandoned_claims
        self._held: set[str] = set()
        self._abandoned: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of claims whose orders may be run."""
        return len(self._held)

    def hold(self, claim_id: str) -> None:
        """Add a claim whose order may be run."""
        self._held.add(claim_id)

    def end(self, claim_id: str) -> None:
        """Remove a claim whose final state is stored in its row."""
        self._held.discard(claim_id)

    def abandon(self, claim_id: str) -> None:
        """Record that the order is never run under this claim."""
        self._held.discard(claim_id)
        self._abandoned[claim_id] = None
        while len(self._abandoned) > self._max_abandoned_claims:
            self._abandoned.popitem(last=False)

    def state(self, query: ClaimQuery) -> ClaimState:
        """Return the state of a claim."""
        if query.incarnation != self._incarnation:
            return ClaimState.UNKNOWN
        if query.claim_id in self._abandoned:
            return ClaimState.NEVER_RUN
        return ClaimState.HELD if query.claim_id in self._held else ClaimState.UNKNOWN
