"""Messages that distribute tickets between processes and report their status."""

import msgspec

from carobroute.links import Message, message


@message
class TicketNote(Message, tag="ticket_note"):
    """Announces the last ticket that the sender has in force.

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
        Whether the sender has learnt the head of the log since its start.
    tickets : list of bytes
        Encoded tickets above `after`, in order and without a gap.
    image : bytes
        The whole configuration, if the sender no longer holds those tickets.
    """

    number: int
    ready: bool
    tickets: list[bytes] = []
    image: bytes = b""


class StatusMember(msgspec.Struct, kw_only=True):
    """One process whose ticket status is requested."""

    name: str
    address: str


@message
class StatusAsk(Message, tag="ticket_status_ask"):
    """Asks a process, and others through it, whether a ticket is in force.

    Parameters
    ----------
    number : int
        Number of the ticket.
    members : list of StatusMember
        Processes that the receiver asks on the sender's behalf.
    timeout_ms : float
        Time left to answer, in milliseconds.
    """

    number: int
    members: list[StatusMember]
    timeout_ms: float


class Laggard(msgspec.Struct, kw_only=True):
    """One process in which a ticket is not in force, or which did not answer.

    Parameters
    ----------
    name : str
        Name of the process.
    number : int
        Highest ticket number in force there, or -1 without an answer.
    reason : str
        Reason why it is behind, as the process reports it.
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
        Number of processes in which the ticket is in force.
    laggards : list of Laggard
        The other processes.
    slowest_ms : float
        Longest time from acceptance to being in force, by wall clock, in
        milliseconds; -1 if no process knows it.
    slowest : str
        Name of the process with the longest time.
    """

    in_force: int
    laggards: list[Laggard]
    slowest_ms: float = -1.0
    slowest: str = ""
