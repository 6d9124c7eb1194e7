"""Frames: what one pyzmq message holds."""

import functools
import operator
from collections import deque

import msgspec

from carobroute.links._messages import Message, message_count, message_types

VERSION = 1
LOWEST_VERSION = 1
FRAME_TARGET_BYTES = 1024 * 1024

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
_body_decoder = msgspec.msgpack.Decoder(Message)
_decoded_types = 0


def encode_frame(
    messages: list[Message], *, incarnation: str, ticket: int, version: int = VERSION
) -> bytes:
    """Return the bytes of a frame that holds `messages`."""
    body = [msgspec.Raw(_encoder.encode(entry)) for entry in messages]
    return _encoder.encode(Frame(version, incarnation, ticket, body))


def take_batch(queue: deque[Message]) -> list[Message]:
    """Remove and return messages from the left of `queue` for one frame.

    A frame is closed once its large fields reach `FRAME_TARGET_BYTES`, so that many
    large bodies in a row do not add up to a frame that the receiver refuses.
    """
    batch: list[Message] = []
    size = 0
    while queue and size < FRAME_TARGET_BYTES:
        entry = queue.popleft()
        size += len(getattr(entry, "body", b"")) + len(getattr(entry, "data", b""))
        batch.append(entry)
    return batch


def decode_frame(data: bytes) -> Frame:
    """Return the frame in `data`, with its messages still encoded.

    Raises
    ------
    msgspec.DecodeError
        If `data` is not a frame.
    """
    try:
        return _frame_decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def decode_body(raw: msgspec.Raw) -> Message:
    """Return the message in `raw`.

    Raises
    ------
    msgspec.DecodeError
        If the type is unknown or a field does not fit.
    """
    if _decoded_types != message_count():
        _rebuild_decoder()
    return _body_decoder.decode(raw)


def _rebuild_decoder() -> None:
    """Take up the message types registered since the decoder was built."""
    global _body_decoder, _decoded_types
    types = message_types()
    _decoded_types = len(types)
    _body_decoder = msgspec.msgpack.Decoder(functools.reduce(operator.or_, types))
