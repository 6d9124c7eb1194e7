"""Prompt text of a model call, and the hashes of its blocks."""

import msgspec
import xxhash

from carobroute.errors import ErrorKind
from carobroute.utils import decode_foreign

BLOCK_CHARS = 64
MAX_BLOCKS = 256
CHARS_PER_TOKEN = 4


class _Turn(msgspec.Struct):
    role: str = ""
    content: str | list | None = ""


class _Body(msgspec.Struct):
    prompt: str | list = ""
    messages: list[_Turn] = []


_decoder = msgspec.json.Decoder(_Body)


def prompt_text(body: bytes) -> str:
    """Return the prompt in an OpenAI-shaped request body, or an empty string.

    Examples
    --------
    >>> prompt_text(b'{"messages": [{"role": "user", "content": "a bell"}]}')
    'user: a bell\\n'
    >>> prompt_text(b'{"prompt": "a bell"}')
    'a bell'
    >>> prompt_text(b"no JSON")
    ''
    """
    # A body without a prompt that can be read has no blocks that a cache may hold.
    return decode_foreign(
        _read_text, body, kind=ErrorKind.BAD_REQUEST, what="a prompt"
    ).value_or("")


def _read_text(body: bytes) -> str:
    request = _decoder.decode(body)
    if request.messages:
        return "".join(f"{t.role}: {_flat(t.content)}\n" for t in request.messages)
    return _flat(request.prompt)


def block_hashes(text: str) -> list[int]:
    """Return the chained hashes of the whole blocks at the start of `text`.

    Equal hashes at a position mean equal text up to the end of that block.

    Examples
    --------
    >>> one, two = block_hashes("a" * 130), block_hashes("a" * 64 + "b" * 64)
    >>> len(one), one[0] == two[0], one[1] == two[1]
    (2, True, False)
    """
    data = text[: BLOCK_CHARS * MAX_BLOCKS].encode("utf-8", "replace")
    hashes = []
    chained = 0
    for end in range(BLOCK_CHARS, len(data) + 1, BLOCK_CHARS):
        chained = xxhash.xxh3_64_intdigest(data[end - BLOCK_CHARS : end], seed=chained)
        hashes.append(chained)
    return hashes


def count_tokens(text: str) -> int:
    """Return an estimate of the tokens in `text`, at least 1."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def _flat(content: str | list | None) -> str:
    if isinstance(content, str):
        return content
    return "" if content is None else msgspec.json.encode(content).decode()
