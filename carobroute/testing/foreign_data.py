"""Builders of what other programs may write, sound and odd, and their strategies."""

import json
from typing import Any

from hypothesis import strategies as st

DEEP = 100_000
ENTRY = {
    "service": "orders",
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "born": 1_775_504_161_076,
    "seq": 4,
}
GROUP = {"name": "g", "epoch": 2, "rank": 3, "state": "open"}
HUGE = int("9" * 400)
ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:²",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1:80\n",
    "127.0.0.1: 80",
    "127.0.0.1",
    "127.0.0.256:80",
    "127.0.0:80",
    "1:80",
    "h" * 300 + ":80",
    "a..b:80",
    ".a:80",
    "-a.b:80",
    "a_b:80",
    "a/b:80",
    "a\0b:80",
    "a b:80",
    "user@a:80",
    "é:80",
    "[::1]:80",
    ":80",
    "nowhere",
    "",
)


def encode_entry(*, without: str = "", **changes: Any) -> bytes:
    """Return a target's entry with changed fields, as JSON."""
    fields = {**ENTRY, **changes}
    fields.pop(without, None)
    return json.dumps(fields).encode()


def nest(field: str, *, is_closed: bool = True, opening: bytes = b"[") -> bytes:
    """Return a sound entry with a deeply nested value in one field."""
    closing = {b"[": b"]", b'{"a":': b"}"}[opening]
    head = _open_object(ENTRY, field)
    inner = opening * DEEP + (b"0" + closing * DEEP if is_closed else b"")
    return head + inner + (b"}" if is_closed else b"")


def odd_entries() -> dict[str, bytes]:
    """Return entries that name no target to use, by what is odd about them."""
    return {
        "bytes": b"\xff\xfe\x00",
        "bytes in a text": encode_entry(zone="?").replace(b"?", b"\xff"),
        "list": b"[]",
        "nothing": b"",
        "nested, not closed": nest("models", is_closed=False),
        "nested, closed": nest("models"),
        "nested objects": nest("models", opening=b'{"a":'),
        "nested service": nest("service"),
        "nested group": nest("group", opening=b'{"a":'),
        "odd state": encode_entry(state="odd"),
        **{
            f"without {field}": encode_entry(without=field)
            for field in ENTRY
            if field != "born"
        },
        "no service": encode_entry(service=""),
        "long service": encode_entry(service="s" * 201),
        "service of another type": encode_entry(service=7),
        "huge slots": encode_entry(slots=HUGE),
        "many slots": encode_entry(slots=10**9),
        "negative slots": encode_entry(slots=-1),
        "huge cold": encode_entry(coldRemainingMs=1e308),
        "huge born": encode_entry(born=HUGE),
        "negative born": encode_entry(born=-1),
        "huge size": encode_entry(group=GROUP, size=HUGE),
        "large size": encode_entry(group=GROUP, size=10**9),
        "negative size": encode_entry(group=GROUP, size=-1),
        "huge rank": encode_entry(group={**GROUP, "rank": HUGE}, size=8),
        "rank beyond size": encode_entry(group={**GROUP, "rank": 8}, size=8),
        "huge epoch": encode_entry(group={**GROUP, "epoch": HUGE}, size=8),
        "long group": encode_entry(group={**GROUP, "name": "g" * 201}, size=8),
        **{
            f"address {text[:24]!r}": encode_entry(address=text)
            for text in ODD_ADDRESSES
        },
    }


def json_values() -> st.SearchStrategy[Any]:
    """Return a strategy of JSON values with huge numbers and odd addresses."""
    leaves = (
        st.none()
        | st.booleans()
        | st.integers()
        | st.integers(min_value=-HUGE, max_value=HUGE)
        | st.floats(allow_nan=False, allow_infinity=False)
        | st.text(max_size=20)
        | st.sampled_from(ODD_ADDRESSES)
    )
    return st.recursive(
        leaves,
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=8), inner, max_size=4)
        ),
        max_leaves=8,
    )


def json_texts() -> st.SearchStrategy[bytes]:
    """Return a strategy of JSON texts, some of which are nested deeply or cut short."""
    values = json_values().map(lambda value: json.dumps(value).encode())
    return st.builds(
        lambda value, depth, is_closed: (
            b"[" * depth + value + (b"]" * depth if is_closed else b"")
        ),
        values,
        st.sampled_from([0, 0, 1, 900, 5_000, DEEP]),
        st.booleans(),
    )


def documents(fields: dict[str, Any]) -> st.SearchStrategy[bytes]:
    """Return a strategy of JSON objects in which some fields have foreign values.

    Parameters
    ----------
    fields : dict of str to object
        Fields of a sound object. Objects in it, and in lists of it, may change too.
    """
    return st.one_of(
        _changed(fields).map(lambda changed: json.dumps(changed).encode()),
        st.builds(
            lambda field, value: _open_object(fields, field) + value + b"}",
            st.sampled_from([*fields, "unknown"]),
            json_texts(),
        ),
    )


def _open_object(fields: dict[str, Any], last: str) -> bytes:
    """Return an object of JSON up to the value of the field `last`."""
    others = {name: value for name, value in fields.items() if name != last}
    return json.dumps({**others, last: None}).encode().removesuffix(b"null}")


def _changed(value: Any) -> st.SearchStrategy[Any]:
    """Return a strategy of a value, and of values with one foreign part in it."""
    if isinstance(value, dict) and value:
        return st.sampled_from(sorted(value)).flatmap(
            lambda name: st.one_of(_changed(value[name]), json_values()).map(
                lambda part: {**value, name: part}
            )
        )
    if isinstance(value, list) and value:
        return _changed(value[0]).map(lambda part: [part, *value[1:]])
    return st.just(value) | json_values()
