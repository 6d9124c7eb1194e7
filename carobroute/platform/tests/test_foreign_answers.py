"""Answers of the store, of targets and of callers decode or are faults, and no more."""

import json
import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from carobroute.platform import (
    ObjectNames,
    PartitionNames,
    RowsAnswer,
    decode_answer_headers,
    decode_call_headers,
    decode_configuration,
    decode_rank_report,
    decode_settings,
    find_settings_faults,
)
from carobroute.platform._http_channel import ChannelAnswer
from carobroute.platform._rank_client import _decode_counts, _decode_held
from carobroute.platform._row_store import _decode_answer, _decode_rows_answer
from carobroute.platform.tests.test_formats import CONFIGURATION, REPORT
from carobroute.testing.foreign_data import DEEP, HUGE, documents, json_texts

SETTINGS = {
    "node": "gateway-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "r",
    "listen": {"front": "127.0.0.1:80", "ready": "127.0.0.1:81"},
    "platform": {"address": "127.0.0.1:82"},
    "portRange": [7000, 7009],
    "heartbeatMs": 1_200,
    "bounds": {"graceS": 8, "drainMs": 2_000},
}
ROW = {"table": "t", "key": "k", "ver": 3, "value": "Zm91cg==", "part": ""}
ROWS = {"ver": 7, "nowMs": 12.5, "rows": [ROW], "hasMore": False}
COUNTS = {"epoch": 1, "step": 60, "counts": [3, 1]}
HELD = {"epoch": 1, "map": {"version": 2, "experts": [[0, 1], [2]]}}


def decode_rows(data):
    return _decode_rows_answer(ChannelAnswer(status=200, data=data))


def decode_names(data):
    decoder = msgspec.json.Decoder(ObjectNames)
    return _decode_answer(ChannelAnswer(status=200, data=data), decoder)


def decode_parts(data):
    decoder = msgspec.json.Decoder(PartitionNames)
    return _decode_answer(ChannelAnswer(status=200, data=data), decoder)


# Each decoder of a body, with a sound document.
DECODERS = {
    "configuration": (decode_configuration, CONFIGURATION),
    "settings": (decode_settings, SETTINGS),
    "rows": (decode_rows, ROWS),
    "object names": (decode_names, {"names": ["a"], "hasMore": False}),
    "partitions": (decode_parts, {"parts": ["a"], "hasMore": False}),
    "report": (decode_rank_report, REPORT),
    "counts": (_decode_counts, COUNTS),
    "held experts": (_decode_held, HELD),
}
by_decoder = pytest.mark.parametrize(
    ("decode", "sound"), DECODERS.values(), ids=DECODERS
)


def find_numbers(value):
    """Return all numbers in a decoded value."""
    if isinstance(value, bool):
        return []
    if isinstance(value, int | float):
        return [value]
    if isinstance(value, msgspec.Struct):
        value = [getattr(value, name) for name in value.__struct_fields__]
    elif isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, list | tuple):
        return [number for part in value for number in find_numbers(part)]
    return []


@by_decoder
def test_a_sound_document_is_decoded(decode, sound):
    assert isinstance(decode(json.dumps(sound).encode()), Success)


@by_decoder
def test_a_deeply_nested_document_is_a_fault(decode, sound):
    """Nesting in a field that is skipped raised RecursionError."""
    whole = json.dumps(sound).encode().removesuffix(b"}")
    for opening, closing in ((b"[", b"]"), (b'{"a":', b"}")):
        nested = opening * DEEP + b"0" + closing * DEEP
        assert isinstance(decode(nested), Failure)
        assert isinstance(decode(whole + b',"unknown":' + nested + b"}"), Failure)
        assert isinstance(decode(whole + b',"unknown":' + opening * DEEP), Failure)


@by_decoder
@given(st.data())
def test_any_document_gives_numbers_in_range_or_a_fault(decode, sound, data):
    decoded = decode(data.draw(documents(sound) | json_texts()))
    if isinstance(decoded, Success):
        numbers = find_numbers(decoded.unwrap())
        assert all(math.isfinite(number) for number in numbers)
        assert all(abs(number) <= 1_000 << 53 for number in numbers)


@given(documents(SETTINGS) | json_texts())
def test_the_faults_of_any_settings_are_listed(data):
    """The check of a settings file raised RecursionError for deep nesting."""
    assert all(isinstance(fault, str) for fault in find_settings_faults(data))


ODD_VALUES = {
    "not base64": b'"?"',
    "number": b"7",
    "null": b"null",
    "list": b"[1]",
    "object": b'{"a":1}',
    "odd length": b'"Zm9"',
    "nested": b"[" * 900 + b"]" * 900,
}


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_a_row_with_an_unreadable_value_hides_no_other(value):
    """The whole answer was unreadable, so that the rows beside it were hidden."""
    odd = b'{"table":"t","key":"odd","ver":5,"value":' + value + b"}"
    sound = json.dumps(ROW).encode()
    body = b'{"ver":7,"nowMs":1,"rows":[' + sound + b"," + odd + b"," + sound + b"]}"
    answer = decode_rows(body).unwrap()
    assert [row.key for row in answer.rows] == ["k", "odd", "k"]
    assert [row.value for row in answer.rows] == [b"four", b"", b"four"]
    assert [row.version for row in answer.rows] == [3, 5, 3]
    assert (answer.version, answer.store_ms) == (7, 1.0)


@pytest.mark.parametrize(
    "version", [-1, HUGE, 1.5, "3"], ids=["-1", "huge", "1.5", "3"]
)
def test_a_row_without_a_sound_version_is_a_fault(version):
    rows = {**ROWS, "rows": [{**ROW, "ver": version}]}
    assert isinstance(decode_rows(json.dumps(rows).encode()), Failure)


ODD_LOADS = ["3,0,²", "3,0," + "9" * 5_000, "-1,0,8", "3,0", "3,0,8,1", "", "a,b,c"]


@pytest.mark.parametrize("text", ODD_LOADS, ids=lambda text: text[:8])
def test_an_odd_load_of_a_target_is_none(text):
    """A digit that is no decimal one, and thousands of digits, raised ValueError."""
    assert decode_answer_headers({"Server-Load": text}).load is None


def test_a_part_name_that_no_digest_can_carry_is_left_out():
    """Bytes that are not UTF-8 ended the task that sends digests, with the part."""
    raw = b"ok:1,\xff\xfe:2,a\x7f:3,last:4".decode("utf-8", "surrogateescape")
    parts = decode_call_headers({"Prompt-Prefix": raw}).shared_parts
    assert parts == ("ok",)
    assert msgspec.msgpack.encode(parts)


@given(st.text(st.characters(exclude_categories=())))
def test_parts_of_any_header_can_be_encoded(text):
    assert msgspec.msgpack.encode(
        decode_call_headers({"Prompt-Prefix": text}).shared_parts
    )


def test_an_answer_of_rows_is_the_type_that_readers_expect():
    assert isinstance(decode_rows(json.dumps(ROWS).encode()).unwrap(), RowsAnswer)
