"""Which targets may be called: leaving ones, lapsed ones, and those that came back."""

from carobroute.gateway import TargetDirectory
from carobroute.platform import LoadReading
from carobroute.testing.gateway_data import make_target_entry
from carobroute.utils import ManualClock
from carobroute.world import TargetCondition


def _directory(clock):
    return TargetDirectory(clock=clock, outage_ms=1_500.0, lapsed_ms=2_200.0)


def _names(directory):
    return sorted(t.name for t in directory.targets("orders") if t.usable)


def test_a_target_that_is_leaving_is_not_usable_from_the_reading_on():
    directory = _directory(ManualClock())
    directory.update([make_target_entry()])
    leaving = make_target_entry(condition=TargetCondition.LEAVING)
    assert directory.update([leaving]).leaving == ["i-1"]
    assert _names(directory) == []


def test_an_entry_that_is_removed_is_gone_at_once():
    clock = ManualClock()
    directory = _directory(clock)
    directory.update([make_target_entry()])
    clock.advance_ms(700)
    assert directory.update([]).gone == ["i-1"]
    assert _names(directory) == []


def test_entries_that_lapsed_with_the_store_have_a_while_to_come_back():
    clock = ManualClock()
    directory = _directory(clock)
    directory.update([make_target_entry(), make_target_entry(incarnation="i-2")])
    clock.advance_ms(5_000)
    assert directory.update([]).gone == []
    assert _names(directory) == ["i-1", "i-2"]
    clock.advance_ms(1_000)
    directory.update([make_target_entry()])
    assert _names(directory) == ["i-1", "i-2"]
    clock.advance_ms(1_300)
    assert directory.update([make_target_entry()]).gone == ["i-2"]
    assert _names(directory) == ["i-1"]


def test_a_target_that_leaves_during_an_outage_is_still_bound_to_leave():
    clock = ManualClock()
    directory = _directory(clock)
    directory.update([make_target_entry()])
    clock.advance_ms(5_000)
    directory.update([make_target_entry(condition=TargetCondition.LEAVING)])
    assert _names(directory) == []


def test_a_target_that_starts_again_under_its_name_is_another_run():
    directory = _directory(ManualClock())
    directory.update([make_target_entry()])
    before = directory.find("i-1")
    before.in_flight = 3
    change = directory.update([make_target_entry(started_ms=2)])
    assert (change.gone, change.joined) == (["i-1"], ["i-1"])
    assert before.gone
    assert directory.find("i-1").in_flight == 0


def test_ranks_of_a_broken_group_take_no_calls():
    directory = _directory(ManualClock())
    directory.update([make_target_entry(group="g", rank=0, group_open=False)])
    assert _names(directory) == []


def test_a_reading_counts_the_calls_of_others_for_a_short_time():
    clock = ManualClock()
    directory = _directory(clock)
    directory.update([make_target_entry()])
    target = directory.find("i-1")
    target.in_flight = 2
    target.note_reading(LoadReading(running=5, waiting=1, slots=6))
    assert (target.others, target.load) == (4, 6)
    clock.advance_ms(400)
    assert target.others == 0
