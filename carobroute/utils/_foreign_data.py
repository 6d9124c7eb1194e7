"""Decoding of data that other programs have written, and the ranges of its fields."""

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail

# Largest integer that every JSON implementation represents exactly.
MAX_INTEGER = (1 << 53) - 1
# Largest number of entries of a list whose length another program names.
MAX_SIZE = 1 << 16
# Largest name that the platform's store takes as a key.
MAX_NAME_LENGTH = 200
# Longest host name, and a port.
MAX_ADDRESS_LENGTH = 253 + 6
MAX_DETAIL_LENGTH = 200

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IPV4 = rf"{_OCTET}(?:\.{_OCTET}){{3}}"
_LABEL = r"[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
# The last label of a name is not a number, which sets it apart from an IPv4 address.
_HOST_NAME = rf"(?:{_LABEL}\.)*(?![0-9]+:){_LABEL}"
_PORT = (
    r"(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}"
    r"|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)

Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Size = Annotated[int, Meta(ge=0, le=MAX_SIZE)]
# A range also excludes numbers that are not finite.
Number = Annotated[float, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Duration = Annotated[float, Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
# `host:port` with an IPv4 address or a host name.
Address = Annotated[
    str,
    Meta(
        max_length=MAX_ADDRESS_LENGTH,
        pattern=rf"\A(?:{_IPV4}|{_HOST_NAME}):{_PORT}\Z",
    ),
]
# `host:port` with an IPv4 address, for datagrams, whose hosts are not looked up.
DatagramAddress = Annotated[str, Meta(pattern=rf"\A{_IPV4}:{_PORT}\Z")]

# What decoders raise for input of any kind. Nesting exhausts the stack.
DECODING_ERRORS = (
    msgspec.MsgspecError,
    ArithmeticError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)

T = TypeVar("T")


def decode_foreign(
    decode: Callable[[bytes], T], data: bytes, *, kind: ErrorKind, what: str
) -> Result[T, Fault]:
    """Decode data of another program, or return a fault, whatever the data are.

    Parameters
    ----------
    decode : callable
        Decoder of the data, which checks ranges by the types of this module.
    data : bytes
        The data.
    kind : ErrorKind
        Kind of the fault.
    what : str
        What is decoded, for the fault's message.

    Examples
    --------
    >>> decode = msgspec.json.Decoder(Count).decode
    >>> decode_foreign(decode, b"7", kind=ErrorKind.INTERNAL, what="a count").unwrap()
    7
    >>> nested = b"[" * 100_000
    >>> fault = decode_foreign(
    ...     msgspec.json.decode, nested, kind=ErrorKind.INTERNAL, what="a list"
    ... ).failure()
    >>> fault.kind.value, fault.detail.startswith("a list cannot be decoded: Recursion")
    ('internal', True)
    """
    try:
        return Success(decode(data))
    # Not only `DECODING_ERRORS`: an exception of any kind would hide all other data
    # that are read with these.
    except Exception as error:
        why = repr(error)[:MAX_DETAIL_LENGTH]
        return fail(kind, f"{what} cannot be decoded: {why}")
