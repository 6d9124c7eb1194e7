"""Pass time of a group by the events of its streams."""

import pytest

from carobroute.experts import PassTimeEstimator
from carobroute.utils import ManualClock


# Guards against passes that seem twice as long at a busy gateway, which takes streams
# from a group that has room for them.
def test_events_that_arrive_together_are_of_several_passes():
    together = PassTimeEstimator(clock=ManualClock())
    apart = PassTimeEstimator(clock=ManualClock())
    for _ in range(10):
        together.note_event_gap(160.0, events=2)
        for _ in range(2):
            apart.note_event_gap(80.0)
    assert together.pass_ms == pytest.approx(apart.pass_ms)
    assert together.take_recent_ms() == apart.take_recent_ms() == 80.0


def test_few_gaps_are_kept_for_the_next_time():
    estimator = PassTimeEstimator(clock=ManualClock())
    estimator.note_event_gap(50.0)
    assert estimator.take_recent_ms() is None
    estimator.note_event_gap(70.0, events=3)
    assert estimator.take_recent_ms() == pytest.approx(120.0 / 4)
    assert estimator.take_recent_ms() is None
