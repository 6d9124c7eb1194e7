"""Frames: what one pyzmq message holds."""

import msgspec

from carobroute.links._messages import Message, message_types

VERSION = 1
LOWEST_VERSION = 1
MAX_FRAME_BYTES = 32 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()


class Frame(msgspec.Struct, array_like=True):
    """One transmission from a process to a peer.

    Parameters
    ----------
    version : int
        Message version that the sender emits.
    incarnation : str
        Sender's incarnation.
    ticket : int
        Highest ticket number that the sender has in force.
    body : list of msgspec.Raw
        Encoded messages, decoded one by one so that a type unknown to the receiver
        spoils only itself.
    """

    version: int
    incarnation: str
    ticket: int
    body: list[msgspec.Raw]


_frame_decoder = msgspec.msgpack.Decoder(Frame)
_body_decoders: dict[int, msgspec.msgpack.Decoder] = {}


def encode_frame(
    messages: list[Message], *, incarnation: str, ticket: int, version: int = VERSION
) -> bytes:
    """Return the bytes of a frame that holds `messages`."""
    body = [msgspec.Raw(_encoder.encode(entry)) for entry in messages]
    return _encoder.encode(Frame(version, incarnation, ticket, body))


def decode_frame(data: bytes) -> Frame:
    """Return the frame in `data`, with its messages still encoded.

    Raises
    ------
    msgspec.DecodeError
        If `data` is not a frame.
    """
    return _frame_decoder.decode(data)


def decode_body(raw: msgspec.Raw) -> Message:
    """Return the message in `raw`.

    Raises
    ------
    msgspec.DecodeError
        If the type is unknown or a field does not fit.
    """
    types = message_types()
    decoder = _body_decoders.get(len(types))
    if decoder is None:
        union = types[0]
        for kind in types[1:]:
            union = union | kind  # type: ignore[assignment]
        decoder = msgspec.msgpack.Decoder(union)
        _body_decoders[len(types)] = decoder
    return decoder.decode(raw)
