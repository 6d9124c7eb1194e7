"""Tests of stored values, also of values that another program wrote."""

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobroute.tables._stored_value import (
    StoredValue,
    decode_value,
    encode_value,
    split_data,
    store_key,
)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_to_a_value_or_raise_a_decode_error(data):
    with contextlib.suppress(msgspec.DecodeError):
        assert isinstance(decode_value(data), StoredValue)


def test_invalid_utf_8_raises_a_decode_error():
    encoded = encode_value(StoredValue(revision=1, key="abcd", data=b""))
    with pytest.raises(msgspec.DecodeError):
        decode_value(encoded.replace(b"abcd", b"\xff\xfe\xff\xfe"))


@given(st.text(min_size=1, max_size=300), st.text(min_size=1, max_size=300))
def test_store_keys_are_short_and_distinct(one, other):
    assert len(store_key(one).encode()) <= 200
    assert (store_key(one) == store_key(other)) == (one == other)


@given(st.integers(1, 200_000))
def test_chunks_join_to_the_original_data(size):
    data = bytes(size)
    assert b"".join(split_data(data)) == data
