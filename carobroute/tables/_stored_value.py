"""Encoding of the rows of a `TableClient` as rows of the platform's store."""

import msgspec

from carobroute.platform import MAX_NAME_BYTES
from carobroute.utils import content_hash

# Sent as base64, which has to stay below the 64 KiB that stores allow for a row.
CHUNK_BYTES = 48_000
# Part of a truncated key before its hash; longer than all prefixes used in scans.
TRUNCATED_KEY_BYTES = 120


class Chunks(msgspec.Struct, frozen=True, array_like=True):
    """Rows that hold the content of a row that is too large for the store.

    Parameters
    ----------
    name : str
        Prefix of the keys of the chunks, unique to one write.
    count : int
        Number of chunks.
    """

    name: str
    count: int


class StoredValue(msgspec.Struct, frozen=True, array_like=True):
    """Content of a row in the store.

    Parameters
    ----------
    revision : int
        Number of writes to the row. The store counts its own versions over all rows,
        so they cannot be known before a write.
    key : str
        Key of the row; its key in the store may be truncated.
    data : bytes
        Content, or empty if it is in chunks.
    chunks : Chunks or None
        Chunks that hold the content, or None if `data` does.
    """

    revision: int
    key: str
    data: bytes
    chunks: Chunks | None = None


encode_value = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(StoredValue)


def decode_value(data: bytes) -> StoredValue:
    """Return the decoded value of a row of the store.

    Raises
    ------
    msgspec.DecodeError
        If the value was not written by this package.
    """
    try:
        return _decoder.decode(data)
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from error


def store_key(key: str) -> str:
    """Return the key of a row in the store; a long key is truncated and hashed.

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
    start = data[:TRUNCATED_KEY_BYTES].decode(errors="ignore")
    return f"{start}~{content_hash(data)}"


def chunk_table(table: str) -> str:
    """Return the table that holds the chunks of a table's large rows."""
    return f"{table}_chunks"


def chunk_key(name: str, index: int) -> str:
    """Return the key of chunk `index`; `name` is that of its `Chunks`."""
    return f"{name}/{index:04d}"


def split_data(data: bytes) -> list[bytes]:
    """Return `data` split into pieces of at most `CHUNK_BYTES`."""
    starts = range(0, len(data), CHUNK_BYTES)
    return [data[start : start + CHUNK_BYTES] for start in starts]
