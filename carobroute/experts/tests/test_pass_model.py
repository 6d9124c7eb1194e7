"""Time of a pass by the streams of a group, and the imbalance that passes show."""

import pytest

from carobroute.experts import ImbalanceEstimate, PassModel
from carobroute.testing.gateway_data import make_engine, make_experts

ENGINE = make_engine(
    step_ms=4.55,
    sequence_ms=2.18,
    context_ms_per_1k=0.044,
    prefill_tokens_per_s=61_400.0,
    attention_ms_per_1m=0.525,
    steps_per_pass=5,
    usual_prompt_tokens=868.0,
    usual_output_tokens=96.0,
    experts=make_experts(work_share=0.85),
)
MODEL = PassModel.from_engine(ENGINE, ranks=24, slots=5)


def test_a_pass_has_the_published_parts():
    assert MODEL.fixed_ms == pytest.approx(5 * 4.55)
    assert MODEL.stream_ms == pytest.approx(5 * (2.18 + 0.044 * 0.916))
    assert MODEL.prompt_ms == pytest.approx(868 / 61.4 + 0.525 * 868**2 / 2e6)


@pytest.mark.parametrize("ranks", [12, 24, 63, 129])
@pytest.mark.parametrize("imbalance", [1.0, 2.0, 3.5])
def test_more_streams_and_more_imbalance_make_passes_longer(ranks, imbalance):
    model = PassModel.from_engine(ENGINE, ranks=ranks, slots=5)
    times_ms = [model.pass_ms(streams / 2, imbalance) for streams in range(1, 11)]
    assert times_ms == sorted(times_ms)
    assert model.pass_ms(3.0, imbalance + 0.5) > model.pass_ms(3.0, imbalance)


@pytest.mark.parametrize("ranks", [12, 24, 63, 129])
@pytest.mark.parametrize("imbalance", [1.2, 2.0, 3.5])
def test_passes_with_the_streams_of_the_limit_are_in_time(ranks, imbalance):
    model = PassModel.from_engine(ENGINE, ranks=ranks, slots=5)
    streams = model.max_streams(135.0, imbalance)
    assert 1.0 <= streams <= 5.0
    assert model.pass_ms(streams, imbalance) <= 135.0
    # No place is left that could be used.
    if streams < 5.0:
        assert model.pass_ms(streams + 0.1, imbalance) > 135.0


def test_the_imbalance_of_a_pass_is_found_again():
    for streams in (0.5, 2.0, 5.0):
        pass_ms = MODEL.pass_ms(streams, 2.7)
        assert MODEL.find_imbalance(pass_ms, streams) == pytest.approx(2.7)
    assert MODEL.find_imbalance(1.0, 3.0) == 1.0
    assert MODEL.find_imbalance(100.0, 0.0) == 1.0


# Demand for experts changes each three seconds, and a map follows after half a second.
def test_the_estimate_stays_at_the_peaks_of_frequent_changes():
    estimate = ImbalanceEstimate(usual=1.6)
    for tick in range(120):
        now_ms = tick * 250.0
        estimate.note(3.2 if now_ms % 3_000 < 500 else 1.7, now_ms)
        if now_ms > 6_000:
            assert estimate.value > 2.8


def test_the_estimate_lets_go_by_itself():
    estimate = ImbalanceEstimate(usual=1.6)
    for tick in range(8):
        estimate.note(3.5, tick * 250.0)
    for tick in range(8, 80):
        estimate.note(None, tick * 250.0)
    assert estimate.value == pytest.approx(1.6, abs=0.1)


def test_one_odd_observation_counts_half():
    estimate = ImbalanceEstimate(usual=1.6)
    estimate.note(3.6, 0.0)
    assert estimate.value == pytest.approx(2.6)
    estimate.reset()
    assert estimate.value == 1.6
