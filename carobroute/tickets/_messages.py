"""Messages that spread tickets between processes."""

import msgspec

from carobroute.links import Message, message


@message
class TicketNote(Message, tag="ticket_note"):
    """Says which ticket the sender has in force.

    Parameters
    ----------
    number : int
        Highest ticket number.
    chain : str
        Chain hash of that ticket.
    """

    number: int
    chain: str


@message
class TicketPull(Message, tag="ticket_pull"):
    """Asks for the tickets above `after`."""

    after: int


@message
class TicketRange(Message, tag="ticket_range"):
    """Answers `TicketPull`.

    Parameters
    ----------
    number : int
        Highest ticket number that the sender has in force.
    ready : bool
        Whether the sender knows the head itself.
    tickets : list of bytes
        Encoded tickets that follow `after` without a gap.
    image : bytes
        The whole configuration, where the sender no longer holds those tickets.
    """

    number: int
    ready: bool
    tickets: list[bytes] = []
    image: bytes = b""


class StatusMember(msgspec.Struct, kw_only=True):
    """One process to ask for its ticket number."""

    name: str
    address: str


@message
class StatusAsk(Message, tag="ticket_status_ask"):
    """Asks a process, and through it others, whether a ticket is in force.

    Parameters
    ----------
    number : int
        Number of the ticket.
    members : list of StatusMember
        Processes that the receiver asks on the sender's behalf.
    timeout_ms : float
        Time left to answer.
    """

    number: int
    members: list[StatusMember]
    timeout_ms: float


class Laggard(msgspec.Struct, kw_only=True):
    """One process that a ticket is not in force at.

    Parameters
    ----------
    name : str
        Name of the process.
    number : int
        Highest ticket number there, or -1 without an answer.
    reason : str
        Why it is behind, as far as it says.
    """

    name: str
    number: int
    reason: str


@message
class StatusAnswer(Message, tag="ticket_status_answer"):
    """Answers `StatusAsk`.

    Parameters
    ----------
    in_force : int
        Number of processes that the ticket is in force at.
    laggards : list of Laggard
        The others.
    slowest_ms : float
        Longest time from acceptance to being in force, by wall clock, or -1 where
        nobody remembers.
    slowest : str
        Name of that process.
    """

    in_force: int
    laggards: list[Laggard]
    slowest_ms: float = -1.0
    slowest: str = ""
