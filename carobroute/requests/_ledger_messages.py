"""Messages between local processes about claims."""

import enum

from carobroute.links import Message, message


class ClaimState(enum.StrEnum):
    """State of a claim according to the local process that made it."""

    NEVER_RUN = "never"
    HELD = "held"
    UNKNOWN = "unknown"


@message
class ClaimQuery(Message, tag="ask_claim"):
    """Query for the state of a claim, sent to the process that made it.

    Parameters
    ----------
    incarnation : str
        Incarnation of the process that made the claim.
    claim_id : str
        Identifier of the claim.
    """

    incarnation: str
    claim_id: str


@message
class ClaimStatus(Message, tag="claim_status"):
    """Reply to `ClaimQuery`.

    Parameters
    ----------
    incarnation : str
        Incarnation of the replying process.
    state : ClaimState
        State of the claim. `NEVER_RUN` guarantees that the order was not and will not
        be run under this claim.
    """

    incarnation: str
    state: ClaimState
