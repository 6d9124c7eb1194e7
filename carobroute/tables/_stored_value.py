"""How a row of the project lies in a row of the platform's store."""

import msgspec

from carobroute.platform import MAX_NAME_BYTES
from carobroute.utils import content_hash

# Travels as base64, and must then stay below the 64 KiB that stores grant a row.
CHUNK_BYTES = 48_000
# Rest of a cut key before its hash; long enough for every prefix that is scanned for.
CUT_KEY_BYTES = 120


class Chunks(msgspec.Struct, frozen=True, array_like=True):
    """Rows that hold the content of one that is too large.

    Parameters
    ----------
    name : str
        Begin of their keys, which no other write has.
    count : int
        Their number.
    """

    name: str
    count: int


class StoredValue(msgspec.Struct, frozen=True, array_like=True):
    """Content of a row in the store.

    Parameters
    ----------
    revision : int
        Number of writes that the row has seen. The store's own version is one for
        all rows and cannot be known before a write.
    key : str
        Key of the row, as its key in the store may be cut.
    data : bytes
        Content, unless it lies in chunks.
    chunks : Chunks or None
        Where the content lies if it is large.
    """

    revision: int
    key: str
    data: bytes
    chunks: Chunks | None = None


encode_value = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(StoredValue)


def decode_value(data: bytes) -> StoredValue:
    """Return what a row of the store holds.

    Raises
    ------
    msgspec.DecodeError
        If another writer has written the row.
    """
    try:
        return _decoder.decode(data)
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from error


def store_key(key: str) -> str:
    """Return the key of a row in the store; a long one is cut, and stays unique.

    Examples
    --------
    >>> store_key("till/k/7")
    'till/k/7'
    >>> len(store_key("till/k/" + "7" * 500)) <= 200
    True
    """
    data = key.encode()
    if len(data) <= MAX_NAME_BYTES:
        return key
    start = data[:CUT_KEY_BYTES].decode(errors="ignore")
    return f"{start}~{content_hash(data)}"


def chunk_table(table: str) -> str:
    """Return the table that holds the chunks of a table's large rows."""
    return f"{table}_chunks"


def chunk_key(name: str, index: int) -> str:
    """Return the key of one chunk."""
    return f"{name}/{index:04d}"


def split_data(data: bytes) -> list[bytes]:
    """Return the chunks of a large content."""
    starts = range(0, len(data), CHUNK_BYTES)
    return [data[start : start + CHUNK_BYTES] for start in starts]
