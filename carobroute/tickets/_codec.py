"""Encoding of tickets, of configurations, and of the rows of the ticket log."""

import zlib

import msgspec

from carobroute.tickets._schema import Configuration, ObjectInForce, Ticket
from carobroute.utils import content_hash

MAX_TICKET_BYTES = 512 * 1024
SNAPSHOT_ROW_BYTES = 128 * 1024
COMPRESSION_LEVEL = 3


class Head(msgspec.Struct, kw_only=True, frozen=True):
    """Head row of the log; writing it conditionally orders all tickets.

    Parameters
    ----------
    number : int
        Number of the last accepted ticket.
    chain : str
        Its chain hash.
    floor : int
        Highest number whose ticket may have been deleted; 0 for none.
    snapshot : str
        Name of the snapshot that holds the configuration of ticket `floor`.
    snapshot_rows : int
        Number of rows of that snapshot.
    """

    number: int = 0
    chain: str = ""
    floor: int = 0
    snapshot: str = ""
    snapshot_rows: int = 0


class TokenRow(msgspec.Struct, kw_only=True, frozen=True):
    """Row that maps the token of a filing to the number of its ticket."""

    number: int
    body_hash: str


class ConfigurationImage(msgspec.Struct, kw_only=True):
    """Encoded form of a whole configuration, in snapshots and messages."""

    number: int
    chain: str
    objects: dict[str, ObjectInForce]
    removed: dict[str, int]


_encoder = msgspec.msgpack.Encoder()
_ticket_decoder = msgspec.msgpack.Decoder(Ticket)
_image_decoder = msgspec.msgpack.Decoder(ConfigurationImage)
_head_decoder = msgspec.msgpack.Decoder(Head)
_token_decoder = msgspec.msgpack.Decoder(TokenRow)


def encode_row(row: Head | TokenRow | Ticket) -> bytes:
    """Return the bytes of a row of the ticket log."""
    return _encoder.encode(row)


def decode_head(data: bytes) -> Head:
    """Return the head in `data`."""
    return _head_decoder.decode(data)


def decode_token(data: bytes) -> TokenRow:
    """Return the token row in `data`."""
    return _token_decoder.decode(data)


def decode_ticket(data: bytes) -> Ticket:
    """Return the ticket in `data`."""
    return _ticket_decoder.decode(data)


def body_hash(ticket: Ticket) -> str:
    """Return the hash of a ticket without the fields that acceptance assigns."""
    body = msgspec.structs.replace(ticket, number=0, filed_ms=0.0, chain="")
    return content_hash(_encoder.encode(body))


def chain_hash(before: str, ticket: Ticket) -> str:
    """Return the chain hash of `ticket`; `before` is that of the previous ticket."""
    unchained = msgspec.structs.replace(ticket, chain="")
    return content_hash(before.encode() + _encoder.encode(unchained))


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the compressed bytes of a whole configuration."""
    objects = configuration.objects
    image = ConfigurationImage(
        number=configuration.number,
        chain=configuration.chain,
        objects={key: objects[key] for key in sorted(objects)},
        removed=dict(sorted(configuration.removed.items())),
    )
    return zlib.compress(_encoder.encode(image), COMPRESSION_LEVEL)


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration in `data`.

    Raises
    ------
    ValueError
        If `data` is damaged.
    """
    try:
        image = _image_decoder.decode(zlib.decompress(data))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"damaged configuration image: {error}") from error
    return Configuration(
        number=image.number,
        chain=image.chain,
        objects=image.objects,
        removed=image.removed,
    )


def split_rows(data: bytes, size: int = SNAPSHOT_ROW_BYTES) -> list[bytes]:
    """Return `data` cut into rows of at most `size` bytes.

    Examples
    --------
    >>> split_rows(b"carob", 2)
    [b'ca', b'ro', b'b']
    """
    return [data[i : i + size] for i in range(0, len(data), size)] or [b""]
