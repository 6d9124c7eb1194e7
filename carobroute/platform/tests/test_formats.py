"""Decoders of external data, given valid, invalid and random input."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from carobroute.domain import CallClass, ListedTargetState
from carobroute.errors import ErrorKind
from carobroute.platform import (
    ObjectNames,
    PartitionNames,
    RowsAnswer,
    decode_answer_headers,
    decode_call_headers,
    decode_configuration,
    decode_rank_report,
    decode_settings,
    decode_target_entry,
)
from carobroute.platform._http_channel import ChannelAnswer
from carobroute.platform._row_store import _decode_answer

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "kind": "stream",
            "timeoutMs": 8000,
            "targetLatencyMs": 402,
            "priority": 1,
            "backends": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
            ],
            "maxAttempts": 2,
            "allowAnonymous": False,
            "sticky": True,
            "resumeStreams": True,
            "gapTargetMs": 120,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "pathPrefix": "/y/",
            "kind": "unsafe",
            "timeoutMs": 1000,
            "service": "two",
        },
    ],
    "services": [
        {"name": "one", "maxConns": 248, "engine": {"slots": 6, "step_ms": 5.85}},
        {"name": "two", "healthPath": "/health"},
    ],
    "limits": {"maxBodyBytes": 1024, "idleTimeoutMs": 15000},
    "tenants": [{"name": "lund", "apiKeys": ["k1"], "priority": 0}],
    "unheardOf": {"ignored": True},
}
ENTRY = {
    "service": "one",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "born": 1775504161076,
    "seq": 4,
    "group": {"name": "g", "epoch": 2, "rank": 3, "state": "broken"},
    "size": 12,
}
REPORT = {
    "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
    "seq": 2,
    "step": 60,
    "map": 1,
    "prepared": 2,
    "armed": {"version": 2, "step": 64},
    "held": 64,
    "running": 4,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


def test_configuration_is_decoded_into_domain_types():
    configuration = decode_configuration(json.dumps(CONFIGURATION).encode()).unwrap()
    stream_route, unsafe_route = configuration.routes
    assert (stream_route.call_class, stream_route.resumable) == (
        CallClass.IDEMPOTENT,
        True,
    )
    assert [share.weight for share in stream_route.shares] == [90, 10]
    assert unsafe_route.call_class is CallClass.NON_IDEMPOTENT
    assert unsafe_route.max_attempts == 1
    assert configuration.services[0].engine.slots == 6
    assert configuration.services[1].engine is None
    assert configuration.teams[0].keys == ["k1"]
    assert configuration.bounds.body_bytes == 1024


def test_stream_without_resume_is_not_idempotent():
    route = {**CONFIGURATION["routes"][0], "resumeStreams": False}
    data = json.dumps({**CONFIGURATION, "routes": [route]}).encode()
    (decoded,) = decode_configuration(data).unwrap().routes
    assert decoded.call_class is CallClass.NON_IDEMPOTENT


def test_unknown_route_kind_is_a_fault():
    route = {**CONFIGURATION["routes"][0], "kind": "whim"}
    data = json.dumps({**CONFIGURATION, "routes": [route]}).encode()
    assert isinstance(decode_configuration(data), Failure)


def test_target_entry_is_decoded_with_its_group():
    entry = decode_target_entry("i-1", json.dumps(ENTRY).encode()).unwrap()
    assert entry.condition is ListedTargetState.READY
    assert (entry.group, entry.rank, entry.group_size) == ("g", 3, 12)
    assert not entry.is_group_open
    assert entry.started_ms == 1775504161076


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"state": 7},
        {"address": "nowhere"},
        {"address": ":80"},
        {"service": ""},
        {"slots": "six"},
        {"zone": None},
    ],
    ids=str,
)
def test_target_entry_with_invalid_field_is_a_fault(change):
    data = json.dumps({**ENTRY, **change}).encode()
    assert isinstance(decode_target_entry("i-1", data), Failure)


@pytest.mark.parametrize("missing", ["service", "address", "zone", "state"])
def test_target_entry_with_missing_field_is_a_fault(missing):
    entry = {name: value for name, value in ENTRY.items() if name != missing}
    assert isinstance(decode_target_entry("i-1", json.dumps(entry).encode()), Failure)


def test_rank_report_is_decoded_with_its_hold():
    report = decode_rank_report(json.dumps(REPORT).encode()).unwrap()
    assert (report.held_step, report.armed.version, report.order_count) == (64, 2, 2)


@given(st.binary(max_size=200) | JSON.map(lambda value: json.dumps(value).encode()))
def test_body_decoders_do_not_raise(data):
    for decode in (
        decode_configuration,
        decode_settings,
        decode_rank_report,
        lambda body: decode_target_entry("i-1", body),
    ):
        assert isinstance(decode(data), Failure | Success)


@given(
    st.sampled_from(sorted(ENTRY)), JSON | st.binary(max_size=20).map(lambda b: str(b))
)
def test_target_decoder_does_not_raise_for_any_field_value(field, value):
    data = json.dumps({**ENTRY, field: value}).encode()
    assert isinstance(decode_target_entry("i-1", data), Failure | Success)


@given(
    st.dictionaries(
        st.sampled_from(
            [
                "Request-Id",
                "Deadline-Ms",
                "Token-Counts",
                "Length-Hint",
                "Server-Load",
                "Not-Run",
                "Content-Encoding",
            ]
        ),
        st.text(max_size=30),
    )
)
def test_header_decoders_do_not_raise(headers):
    head = decode_call_headers(headers)
    assert head.time_left_ms is None or head.time_left_ms >= 0
    assert head.prompt_tokens >= 0
    answer = decode_answer_headers(headers)
    assert answer.load is None or answer.load.running >= 0


@given(
    st.binary(max_size=80)
    | st.sampled_from([b'{"rows":[{"value":"?"}]}', b'{"names":7}', b'{"ver":"x"}'])
)
@pytest.mark.parametrize("answer_type", [RowsAnswer, PartitionNames, ObjectNames])
def test_store_answer_is_decoded_or_a_fault(answer_type, data):
    result = _decode_answer(
        ChannelAnswer(status=200, data=data), msgspec.json.Decoder(answer_type)
    )
    if isinstance(result, Success):
        assert isinstance(result.unwrap(), answer_type)
    else:
        assert result.failure().kind is ErrorKind.STORE_UNAVAILABLE


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (400, ErrorKind.INTERNAL),
        (401, ErrorKind.FORBIDDEN),
        (403, ErrorKind.FORBIDDEN),
        (410, ErrorKind.CONFLICT),
        (429, ErrorKind.STORE_UNAVAILABLE),
        (503, ErrorKind.STORE_UNAVAILABLE),
        (507, ErrorKind.STORE_UNAVAILABLE),
    ],
)
def test_store_status_maps_to_its_fault(status, kind):
    result = _decode_answer(
        ChannelAnswer(status=status, data=b"{}"), msgspec.json.Decoder(RowsAnswer)
    )
    assert result.failure().kind is kind
