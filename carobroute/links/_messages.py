"""Base of all messages between processes, and the registry of their types."""

from typing import TypeVar

import msgspec

from carobroute.errors import Fault


class Message(msgspec.Struct, kw_only=True):
    """Base of every message.

    New fields go at the end with a default, so that a process of the version before
    still reads the message. A type unknown to the receiver is counted and dropped.

    Parameters
    ----------
    call_id : int, default=0
        Number of the call that expects a reply; 0 for none.
    reply_to : int, default=0
        Number of the call that this message answers; 0 for none.
    """

    call_id: int = 0
    reply_to: int = 0


M = TypeVar("M", bound=type[Message])

_TYPES: dict[str, type[Message]] = {}


def message(kind: M) -> M:
    """Class decorator: make a message type known to the codec."""
    tag = str(kind.__struct_config__.tag)
    if tag in _TYPES:
        raise ValueError(f"message tag {tag!r} is registered twice")
    _TYPES[tag] = kind
    return kind


def message_count() -> int:
    """Return the number of registered message types."""
    return len(_TYPES)


def message_types() -> list[type[Message]]:
    """Return all registered message types."""
    return list(_TYPES.values())


@message
class Hello(Message, tag="hello"):
    """First message on a connection, from the side that opened it.

    Parameters
    ----------
    lowest_version, highest_version : int
        Message versions that the sender reads.
    name, role, data_centre : str
        Who is calling.
    """

    lowest_version: int
    highest_version: int
    name: str
    role: str
    data_centre: str


@message
class Welcome(Message, tag="welcome"):
    """Answer to `Hello` with the version that both sides will emit."""

    version: int
    name: str
    role: str
    data_centre: str


@message
class Ping(Message, tag="ping"):
    """Asks for a `Pong` on the same connection."""


@message
class Pong(Message, tag="pong"):
    """Answers a `Ping`."""


@message
class Ok(Message, tag="ok"):
    """Empty positive reply to a call."""


@message
class Nack(Message, tag="nack"):
    """Negative reply to a call."""

    fault: Fault
