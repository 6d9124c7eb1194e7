"""HTTP listening sockets, and connections that share the event loop fairly."""

from carobroute.web._connection import ClientConnection, has_next_request
from carobroute.web._overhead import MAX_OVERHEAD_BYTES, OverheadMeter
from carobroute.web._paced_protocol import (
    NO_DATA,
    PIECE_BYTES,
    PIECES_PER_TURN,
    PacedProtocol,
)
from carobroute.web._site import WebSite

__all__ = [
    "MAX_OVERHEAD_BYTES",
    "NO_DATA",
    "PIECES_PER_TURN",
    "PIECE_BYTES",
    "ClientConnection",
    "OverheadMeter",
    "PacedProtocol",
    "WebSite",
    "has_next_request",
]
