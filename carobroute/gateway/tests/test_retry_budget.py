"""The bound on repeats, and what is kept for it."""

from carobroute.gateway import RetryWindow
from carobroute.utils import ManualClock


def _window(clock, **changes):
    fields = {"window_ms": 1_000.0, "share": 0.2, "slack": 30.0, "margin": 1.0}
    return RetryWindow(clock=clock, **{**fields, **changes})


def test_gateways_together_stay_within_the_bound():
    clock = ManualClock()
    windows = [_window(clock) for _ in range(3)]
    taken = 0
    for window in windows:
        window.set_gateways(3)
        for _ in range(50):
            window.note_call("orders")
        taken += sum(window.take("orders") for _ in range(100))
    assert taken == 0.2 * 150 + 30


def test_repeats_of_one_service_use_up_no_other_services_allowance():
    window = _window(ManualClock())
    while window.take("orders"):
        pass
    assert window.take("model")


def test_calls_that_have_left_the_window_are_not_kept():
    clock = ManualClock()
    window = _window(clock)
    for _ in range(10_000):
        window.note_call("orders")
        clock.advance_ms(10)
    assert len(window._calls["orders"]) <= 101
