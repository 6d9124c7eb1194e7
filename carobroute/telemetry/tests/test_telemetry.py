import io
import shlex

from hypothesis import given, settings
from hypothesis import strategies as st

from carobroute.telemetry import EventLog, Metrics, StateDump, Telemetry, format_event
from carobroute.utils import ManualClock


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.dictionaries(st.sampled_from(["a", "b", "c"]), st.text(max_size=30)))
def test_event_is_one_line_with_one_pair_per_field(fields):
    line = format_event(fields)
    assert line.splitlines() in ([line], [])
    assert [part.split("=")[0] for part in shlex.split(line)] == list(fields)


def test_keys_and_callers_text_are_withheld():
    line = format_event({"body": b"engrave", "token": "s3cret", "data_ms": 1.5})
    assert line == "body=withheld token=withheld data_ms=1.5"


def test_high_rate_is_sampled_and_counted():
    out, clock = io.StringIO(), ManualClock()
    log = EventLog(name="e", most_per_s=3, stream=out, clock=clock)
    for number in range(10):
        log.event("refused", number=number)
    clock.advance_ms(1_000)
    log.event("refused", number=10)
    lines = out.getvalue().splitlines()
    assert len(lines) == 4
    assert lines[-1].endswith("number=10 left_out=7")


def test_level_below_the_set_one_is_left_out():
    out = io.StringIO()
    log = EventLog(name="e", level="warning", stream=out)
    log.event("quiet", level="info")
    log.event("loud", level="error")
    assert [line.split()[3] for line in out.getvalue().splitlines()] == ["event=loud"]


def test_explain_finds_each_subject_and_is_bounded():
    telemetry = Telemetry(name="e", stream=io.StringIO())
    decisions = telemetry.decisions
    decisions.record("chosen", request_id="r1", target="t1", load=1)
    decisions.record("refused", request_id="r2", ticket=7, limit=3)
    assert [d.event for d in decisions.explain("t1")] == ["chosen"]
    assert decisions.explain("7")[0].inputs == {"limit": 3}
    for number in range(10_000):
        decisions.record("noise", request_id=f"n{number}")
    assert len(decisions) == 10_000
    assert decisions.explain("r1") == []


def test_labels_beyond_the_bound_are_folded():
    metrics = Metrics(most_series=2)
    gauge = metrics.gauge("load", "Load.", ["target"])
    for name in ["a", "b", "c", "d"]:
        gauge.labels(name).inc()
    text = metrics.render().decode()
    assert 'target="other"} 2.0' in text
    assert 'target="d"' not in text


def test_dump_survives_a_broken_section():
    dump = StateDump()
    dump.register("good", lambda: {1: "x"})
    dump.register("bad", lambda: 1 / 0)
    collected = dump.collect()
    assert collected["good"] == {"1": "x"}
    assert "ZeroDivisionError" in collected["bad"]["dump_error"]


def test_field_called_name_does_not_clash_with_the_event():
    """Marking an instance as leaving failed on an event with a field `name`."""
    stream = io.StringIO()
    log = EventLog(name="e", stream=stream)
    log.event("instance_leaving", name="runner-1", reason="list")
    assert "runner-1" in stream.getvalue()


def test_event_may_have_a_field_called_name():
    """Objects report their name; that must not clash with the event's."""
    out = io.StringIO()
    telemetry = Telemetry(name="e", stream=out)
    telemetry.log("instance_leaving", name="entry-1")
    telemetry.decisions.record("chosen", target="t", event="e", name="n")
    assert "event=instance_leaving name=entry-1" in out.getvalue()
