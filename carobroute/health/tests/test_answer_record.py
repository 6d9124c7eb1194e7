"""Outlier detection: what ejects a target, what does not, and how it comes back."""

import pytest

from carobroute.health import (
    AnswerQuality,
    AnswerRecord,
    OutlierParameters,
    RecordChange,
)
from carobroute.utils import ManualClock

SERVED, REFUSED = AnswerQuality.SERVED, AnswerQuality.REFUSED
PARAMETERS = OutlierParameters()
BAD_QUALITIES = [
    AnswerQuality.REFUSED,
    AnswerQuality.UNREACHABLE,
    AnswerQuality.INTERRUPTED,
    AnswerQuality.ERROR,
    AnswerQuality.BROKEN_STREAM,
    AnswerQuality.MALFORMED,
]


def make_record():
    clock = ManualClock()
    return clock, AnswerRecord(clock=clock, parameters=PARAMETERS)


def note_all(record, *qualities, **details):
    return [record.note(quality, **details) for quality in qualities]


def eject(record):
    changes = note_all(record, *[REFUSED] * PARAMETERS.min_failure_run)
    assert changes[-1] is RecordChange.EJECTED


@pytest.mark.parametrize("quality", BAD_QUALITIES)
def test_failures_in_a_row_eject_a_target(quality):
    clock, record = make_record()
    for _ in range(10):
        record.note(SERVED)
    for _ in range(PARAMETERS.min_failure_run):
        clock.advance_ms(10)
        change = record.note(quality, sent_ms=clock.now_ms())
    assert change is RecordChange.EJECTED
    assert record.is_ejected


def test_a_target_that_refuses_most_calls_is_ejected():
    _, record = make_record()
    answers = ([SERVED] + [REFUSED] * 2) * 2 + [SERVED] + [REFUSED] * 9
    assert RecordChange.EJECTED in note_all(record, *answers)


# Guards against a sound target that loses its share because it is full at times.
def test_a_full_target_that_refuses_at_times_is_not_ejected():
    _, record = make_record()
    answers = [SERVED, AnswerQuality.REFUSED_FULL, AnswerQuality.REFUSED_FULL] * 30
    assert not any(note_all(record, *answers))
    assert record.weight_share > 0.7


def test_a_target_that_fails_often_needs_a_longer_run():
    clock, record = make_record()
    note_all(record, *[SERVED, REFUSED] * 10, SERVED)
    assert not any(note_all(record, *[REFUSED] * PARAMETERS.min_failure_run))


def test_a_late_first_byte_lowers_the_weight_and_ejects_nothing():
    _, record = make_record()
    assert not any(note_all(record, *[AnswerQuality.SLOW] * 40))
    assert record.weight_share < 0.7


def test_answers_age_with_time():
    clock, record = make_record()
    note_all(record, SERVED, REFUSED, REFUSED)
    lowered = record.weight_share
    clock.advance_ms(10 * PARAMETERS.half_life_ms)
    assert lowered < record.weight_share == 1.0


# Guards against a crashing request that makes each target it reaches an outlier.
@pytest.mark.parametrize(
    "quality",
    [AnswerQuality.INTERRUPTED, AnswerQuality.ERROR, AnswerQuality.MALFORMED],
)
def test_one_request_does_not_eject_a_target(quality):
    clock, record = make_record()
    for _ in range(20):
        clock.advance_ms(10)
        change = record.note(quality, sent_ms=clock.now_ms(), request="f-1")
        assert change is None


def test_a_request_that_others_serve_counts_each_time():
    _, record = make_record()
    details = {"request": "f-1", "is_sound_request": True}
    changes = note_all(record, *[AnswerQuality.ERROR] * 3, **details)
    assert changes[-1] is RecordChange.EJECTED


# Guards against one crash that counts as often as it has ended calls.
def test_calls_that_break_off_together_count_once():
    clock, record = make_record()
    sent_ms = clock.now_ms()
    clock.advance_ms(100)
    changes = note_all(record, *[AnswerQuality.INTERRUPTED] * 20, sent_ms=sent_ms)
    assert not any(changes)
    assert record.failure_run == 1.0


# Guards against a target that gets calls for longer the more of them it answers badly
# at once; no crash has ended these.
def test_malformed_answers_to_calls_sent_together_count_each():
    clock, record = make_record()
    sent_ms = clock.now_ms()
    clock.advance_ms(100)
    malformed = [AnswerQuality.MALFORMED] * PARAMETERS.min_failure_run
    changes = note_all(record, *malformed, sent_ms=sent_ms)
    assert changes[-1] is RecordChange.EJECTED


# Guards against streams that began before the refusals and hide them.
def test_calls_sent_before_the_refusals_neither_end_the_run_nor_are_trials():
    clock, record = make_record()
    sent_ms = clock.now_ms()
    for _ in range(PARAMETERS.min_failure_run):
        clock.advance_ms(10)
        record.note(REFUSED, sent_ms=clock.now_ms())
        change = record.note(SERVED, sent_ms=sent_ms)
    assert record.is_ejected
    assert change is None
    assert record.trial_successes == 0


def test_a_target_is_taken_back_by_trials_and_not_by_time():
    clock, record = make_record()
    eject(record)
    clock.advance_ms(3_600_000)
    assert record.is_ejected
    answers = [SERVED, REFUSED] + [SERVED] * PARAMETERS.trial_successes
    changes = note_all(record, *answers)
    assert changes[:-1] == [RecordChange.TRIED] * (len(answers) - 1)
    assert changes[-1] is RecordChange.RETURNED
    assert record.weight_share == PARAMETERS.initial_share
    clock.advance_ms(PARAMETERS.slow_start_ms)
    assert record.weight_share == 1.0


def test_a_failure_in_the_slow_start_ejects_again():
    _, record = make_record()
    eject(record)
    note_all(record, *[SERVED] * PARAMETERS.trial_successes)
    assert record.note(REFUSED) is RecordChange.EJECTED


def test_one_failure_ejects_a_target_that_another_gateway_has_ejected():
    _, record = make_record()
    assert record.note(SERVED, is_ejected_elsewhere=True) is None
    assert record.note(REFUSED, is_ejected_elsewhere=True) is RecordChange.EJECTED


def test_trials_are_an_interval_apart_until_one_is_served():
    clock, record = make_record()
    eject(record)
    assert record.trial_due_ms(1_000, 0.5) == -500
    clock.advance_ms(500)
    assert record.trial_due_ms(1_000, 0.9) == 0
    record.begin_trial(1_000)
    assert record.trial_due_ms(1_000, 0.0) == -1_000
    record.note(REFUSED)
    assert record.trial_due_ms(1_000, 0.0) == -1_000
    record.note(SERVED)
    assert record.trial_due_ms(1_000, 0.0) == 0


def test_a_broken_stream_counts_as_a_failure():
    _, record = make_record()
    changes = [record.note(AnswerQuality.BROKEN_STREAM) for _ in range(3)]
    assert changes[-1] is RecordChange.EJECTED
