"""Decoding of rows that anybody may have written."""

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
def test_bytes_of_a_stranger_are_a_decode_error_or_a_value(data):
    with contextlib.suppress(msgspec.DecodeError):
        assert isinstance(decode_value(data), StoredValue)


def test_text_that_is_not_utf_8_is_a_decode_error():
    whole = encode_value(StoredValue(revision=1, key="abcd", data=b""))
    with pytest.raises(msgspec.DecodeError):
        decode_value(whole.replace(b"abcd", b"\xff\xfe\xff\xfe"))


@given(st.text(min_size=1, max_size=300), st.text(min_size=1, max_size=300))
def test_keys_fit_and_stay_apart(one, other):
    assert len(store_key(one).encode()) <= 200
    assert (store_key(one) == store_key(other)) == (one == other)


@given(st.integers(1, 200_000))
def test_chunks_make_up_the_whole(size):
    data = bytes(size)
    assert b"".join(split_data(data)) == data
