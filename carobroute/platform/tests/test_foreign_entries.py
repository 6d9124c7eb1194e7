"""Entries of other writers in the list of targets name no target, and raise nothing."""

import ipaddress
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from carobroute.platform import decode_target_entry
from carobroute.testing.foreign_data import (
    ENTRY,
    GROUP,
    documents,
    encode_entry,
    odd_entries,
)

GROUPED_ENTRY = {**ENTRY, "group": GROUP, "size": 12}


@pytest.mark.parametrize("data", odd_entries().values(), ids=odd_entries())
def test_an_odd_entry_names_no_target(data):
    """Such entries ended the reading of the list, or were taken for targets."""
    assert isinstance(decode_target_entry("i-1", data), Failure)


@pytest.mark.parametrize(
    "incarnation", ["", "i 1", "i\r\nX: y", "i\0", "ü", "i" * 201], ids=repr
)
def test_an_entry_under_a_key_that_no_header_can_carry_names_no_target(incarnation):
    """A target's identifier is sent to it with each call, which failed with 500."""
    assert isinstance(decode_target_entry(incarnation, encode_entry()), Failure)


def test_the_message_on_an_odd_entry_is_short():
    data = encode_entry(address="127.0.0.1:" + "9" * 50_000)
    assert len(decode_target_entry("i-1", data).failure().detail) < 300


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:8080",
        "255.255.255.255:65535",
        "0.0.0.0:1",
        "target:80",
        "target-1.example:8000",
        "1a.example:9",
    ],
)
def test_a_sound_address_is_kept(address):
    entry = decode_target_entry("i-1", encode_entry(address=address)).unwrap()
    assert entry.address == address


@given(documents(GROUPED_ENTRY))
def test_any_entry_is_a_target_within_the_ranges_or_a_fault(data):
    decoded = decode_target_entry("i-1", data)
    assert isinstance(decoded, Failure | Success)
    if isinstance(decoded, Failure):
        return
    entry = decoded.unwrap()
    assert 1 <= entry.slots <= 1_024
    assert 0 <= entry.slow_start_ms < math.inf
    assert 0 <= entry.started_ms < 1 << 53
    assert 0 <= entry.group_epoch < 1 << 53
    assert entry.group_size <= 1 << 16
    assert not entry.group_size or entry.rank < entry.group_size


# Guards against one entry that blocks each call while shares of slots are worked out.
def test_slots_of_a_target_are_bounded():
    entry = decode_target_entry("i-1", encode_entry(slots=1 << 16)).unwrap()
    assert entry.slots == 1_024


@given(
    st.one_of(
        st.ip_addresses(v=4).map(str),
        st.from_regex(r"\A[a-z0-9-]{0,70}(\.[a-z0-9-]{0,70}){0,4}\Z"),
        st.text(max_size=20),
    ),
    st.integers(-10, 70_000).map(str) | st.text(max_size=6),
)
def test_an_address_of_a_target_is_one_to_connect_to(host, port):
    decoded = decode_target_entry("i-1", encode_entry(address=f"{host}:{port}"))
    if isinstance(decoded, Failure):
        return
    host, _, port = decoded.unwrap().address.rpartition(":")
    assert port.isascii() and str(int(port)) == port and 1 <= int(port) <= 65_535
    labels = host.split(".")
    if labels[-1].isdigit():
        ipaddress.IPv4Address(host)
    assert host.isascii() and len(host) <= 253
    assert all(0 < len(label) <= 63 for label in labels)
