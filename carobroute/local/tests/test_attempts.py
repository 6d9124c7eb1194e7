from carobroute.local import Answer, Attempt, AttemptKey, AttemptTable, Delivery
from carobroute.local._attempts import MEMORY_MS
from carobroute.utils import ManualClock


def key(number):
    return AttemptKey(f"r{number}", 1)


def make_attempt(number):
    return Attempt(
        key=key(number),
        entry="entry~1",
        delivery=Delivery(request_id=f"r{number}", attempt=1, send=lambda m: True),
        answer=Answer(window_bytes=1),
        since_ms=0.0,
    )


def test_unknown_attempt_never_arrived():
    table = AttemptTable(clock=ManualClock(start_ms=1_000))
    assert table.never_arrived(key(1), age_ms=0)


def test_open_and_closed_attempts_did_arrive():
    table = AttemptTable(clock=ManualClock())
    table.add(make_attempt(1))
    assert not table.never_arrived(key(1), age_ms=0)
    table.close(key(1))
    assert table.is_closed(key(1))
    assert not table.never_arrived(key(1), age_ms=0)


def test_attempt_older_than_the_process_is_not_called_new():
    table = AttemptTable(clock=ManualClock(start_ms=1_000))
    assert not table.never_arrived(key(1), age_ms=5)


def test_forgotten_attempt_is_not_called_new():
    """An entry that was paused for long may ask for what has been forgotten."""
    clock = ManualClock()
    table = AttemptTable(clock=clock)
    table.add(make_attempt(1))
    clock.advance_ms(10)
    table.close(key(1))
    clock.advance_ms(MEMORY_MS + 1)
    table.close(key(2))
    assert not table.is_closed(key(1))
    assert not table.never_arrived(key(1), age_ms=MEMORY_MS + 11)
    assert table.never_arrived(key(3), age_ms=5)


def test_memory_is_bounded_and_says_so():
    clock = ManualClock()
    table = AttemptTable(clock=clock, max_closed=2)
    for number in range(4):
        clock.advance_ms(1)
        table.close(key(number))
    assert not table.is_closed(key(0))
    assert not table.never_arrived(key(0), age_ms=4)
    assert table.never_arrived(key(9), age_ms=1)
