"""Identifiers, content hashes and rendezvous hashing."""

import secrets
import string
from collections.abc import Iterable

import xxhash

TOKEN_BYTES = 16
INCARNATION_BYTES = 8
PUBLIC_KEY_DIGITS = 40
Z85_DIGITS = frozenset(string.ascii_letters + string.digits + ".-:+=^!/*?&<>()[]{}@%$#")


def new_token() -> str:
    """Return a random 128-bit token as 32 hexadecimal digits."""
    return secrets.token_hex(TOKEN_BYTES)


def new_incarnation(name: str) -> str:
    """Return an identifier of one run of the process called `name`.

    Examples
    --------
    >>> new_incarnation("entry-1").startswith("entry-1~")
    True
    """
    return f"{name}~{secrets.token_hex(INCARNATION_BYTES)}"


def content_hash(data: bytes) -> str:
    """Return the 128-bit content hash of `data` as 32 hexadecimal digits.

    Examples
    --------
    >>> content_hash(b"bell")[:8] == content_hash(b"bell")[:8]
    True
    """
    return xxhash.xxh3_128_hexdigest(data)


def is_public_key(text: str) -> bool:
    """Return whether `text` has the form of a CURVE public key in Z85.

    Examples
    --------
    >>> is_public_key("rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7")
    True
    """
    return len(text) == PUBLIC_KEY_DIGITS and set(text) <= Z85_DIGITS


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` by falling rendezvous weight for `key`.

    Each name keeps its rank among those that remain when others come or go.

    References
    ----------
    D. G. Thaler and C. V. Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> full = rendezvous_order("team-a", ["x", "y", "z"])
    >>> rest = rendezvous_order("team-a", [n for n in full if n != full[0]])
    >>> rest == full[1:]
    True
    """
    weighted = [(_weight(key, name), name) for name in names]
    weighted.sort(reverse=True)
    return [name for _, name in weighted]


def rendezvous_winner(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest rendezvous weight, or None without names."""
    best = max(((_weight(key, name), name) for name in names), default=None)
    return best[1] if best else None


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
