"""Links between the system's processes: messages, frames, heartbeats."""

from carobroute.links._codec import Frame, decode_body, decode_frame, encode_frame
from carobroute.links._endpoint import Endpoint
from carobroute.links._messages import (
    Message,
    Nack,
    Ok,
    message,
    message_types,
)
from carobroute.links._peer import LinkParameters, Peer
from carobroute.links._request_messages import (
    Ack,
    Attach,
    Cancel,
    Chunk,
    End,
    LoadReport,
    Start,
    Submit,
)
from carobroute.links._security import (
    KeyPairs,
    KeyRing,
    LinkSecurity,
    load_link_security,
)

__all__ = [
    "Ack",
    "Attach",
    "Cancel",
    "Chunk",
    "End",
    "Endpoint",
    "Frame",
    "KeyPairs",
    "KeyRing",
    "LinkParameters",
    "LinkSecurity",
    "LoadReport",
    "Message",
    "Nack",
    "Ok",
    "Peer",
    "Start",
    "Submit",
    "decode_body",
    "decode_frame",
    "encode_frame",
    "load_link_security",
    "message",
    "message_types",
]
