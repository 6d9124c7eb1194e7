"""Messages between local processes about claims."""

import enum

from carobroute.links import Message, message


class ClaimState(enum.StrEnum):
    """What a local process knows of one of its own claims."""

    NEVER = "never"
    HELD = "held"
    UNKNOWN = "unknown"


@message
class AskClaim(Message, tag="ask_claim"):
    """Asks the process that made a claim what became of it.

    Parameters
    ----------
    incarnation : str
        Process that made the claim.
    claim_id : str
        The claim.
    """

    incarnation: str
    claim_id: str


@message
class ClaimStatus(Message, tag="claim_status"):
    """Answers `AskClaim`.

    Parameters
    ----------
    incarnation : str
        Process that answers.
    state : ClaimState
        `NEVER` promises that the claim was not and will never be run.
    """

    incarnation: str
    state: ClaimState
