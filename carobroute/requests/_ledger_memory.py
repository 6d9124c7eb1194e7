"""A local process's memory of its own claims."""

from collections import OrderedDict

from carobroute.requests._ledger_messages import AskClaim, ClaimState


class ClaimMemory:
    """What this process knows of its own claims.

    Parameters
    ----------
    incarnation : str
        This process.
    max_remembered : int
        Abandoned claims that are remembered; what is forgotten stays unknown.
    """

    __slots__ = ("_held", "_incarnation", "_max_remembered", "_never")

    def __init__(self, *, incarnation: str, max_remembered: int):
        self._incarnation = incarnation
        self._max_remembered = max_remembered
        self._held: set[str] = set()
        self._never: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, claim_id: str) -> None:
        """Note a claim that may be run."""
        self._held.add(claim_id)

    def end(self, claim_id: str) -> None:
        """Note that the row of a claim says what became of it."""
        self._held.discard(claim_id)

    def give_up(self, claim_id: str) -> None:
        """Promise that the claim is never run."""
        self._held.discard(claim_id)
        self._never[claim_id] = None
        while len(self._never) > self._max_remembered:
            self._never.popitem(last=False)

    def state(self, ask: AskClaim) -> ClaimState:
        """Return what became of a claim."""
        if ask.incarnation != self._incarnation:
            return ClaimState.UNKNOWN
        if ask.claim_id in self._never:
            return ClaimState.NEVER
        return ClaimState.HELD if ask.claim_id in self._held else ClaimState.UNKNOWN
