import pytest

from carobroute.domain import InstanceRole, InstanceState
from carobroute.membership import Directory
from carobroute.testing import make_instance
from carobroute.utils import ManualClock

OWN = make_instance("entry-0")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def directory(clock):
    return Directory(clock=clock, own=OWN)


def runner(number, incarnation="1", **fields):
    return make_instance(
        f"local-{number}",
        incarnation=f"local-{number}~{incarnation}",
        role=InstanceRole.LOCAL,
        target=f"runner-{number}",
        service="model-desk",
        **fields,
    )


def test_instances_are_found_by_role_service_and_target(directory):
    directory.update_from_list([OWN, runner(1), runner(2, data_centre="nadi")])
    found = directory.instances(role=InstanceRole.LOCAL, data_centre="nadi")
    assert [entry.name for entry in found] == ["local-2"]
    assert directory.by_target("runner-1") == runner(1)
    assert directory.by_target("none") is None


def test_leaving_sticks_to_an_incarnation(directory):
    directory.update_from_list([OWN, runner(1)])
    directory.mark_leaving("local-1", "local-1~1", "hot")
    directory.update_from_list([OWN, runner(1)])
    assert directory.by_target("runner-1").state is InstanceState.LEAVING
    directory.update_from_list([OWN, runner(1, "2")])
    assert directory.by_target("runner-1").state is InstanceState.LIVE


def test_replaced_incarnation_does_not_return_with_a_lagging_list(directory):
    directory.update_from_list([OWN, runner(1)])
    directory.learn([runner(1, "2")])
    directory.update_from_list([OWN, runner(1)])
    assert directory.by_target("runner-1").incarnation == "local-1~2"


def test_list_wins_a_lasting_dispute(directory, clock):
    """A paused process woke and looked newer than the one that replaced it."""
    directory.update_from_list([OWN, runner(1, "2")])
    directory.learn([runner(1, "1")])
    directory.update_from_list([OWN, runner(1, "2")])
    assert directory.by_target("runner-1").incarnation == "local-1~1"
    clock.advance_ms(30_000)
    directory.update_from_list([OWN, runner(1, "2")])
    assert directory.by_target("runner-1").incarnation == "local-1~2"


def test_absence_from_the_list_is_only_a_hint(directory, clock):
    entries = [OWN, *map(runner, range(6))]
    directory.update_from_list(entries)
    directory.update_from_list(entries[:-1])
    assert directory.by_name("local-5") is not None
    clock.advance_ms(10_000)
    directory.heard("local-5~1")
    directory.update_from_list(entries[:-1])
    assert directory.by_name("local-5") is not None
    clock.advance_ms(15_001)
    directory.update_from_list(entries[:-1])
    assert directory.by_name("local-5") is None


def test_empty_list_does_not_empty_the_directory(directory, clock):
    directory.update_from_list([OWN, *map(runner, range(6))])
    directory.update_from_list([])
    clock.advance_ms(60_000)
    directory.update_from_list([])
    assert len(directory.instances()) == 7


def test_recycled_address_belongs_to_the_instance_learned_of_last(directory):
    directory.update_from_list([OWN, runner(1, address="tcp://a:1")])
    directory.learn([runner(2, address="tcp://a:1")])
    assert [e.name for e in directory.instances(InstanceRole.LOCAL)] == ["local-2"]


def test_other_incarnation_under_the_own_name_is_not_taken_over(directory):
    directory.update_from_list([make_instance("entry-0", incarnation="entry-0~0")])
    assert directory.by_name("entry-0") is None
    assert [e.incarnation for e in directory.live()] == ["entry-0~1"]
    assert directory.is_leaving("entry-0~0")


def test_own_instance_learns_from_the_list_that_it_is_leaving(directory):
    """The own entry took the place of the listed one, and the mark was lost."""
    leaving = make_instance("entry-0", state=InstanceState.LEAVING)
    directory.update_from_list([leaving])
    assert directory.own.state is InstanceState.LEAVING
    assert directory.by_name("entry-0").state is InstanceState.LEAVING


def test_mark_in_the_list_is_told_at_once(directory):
    """Peers heard of a mark in the list only with the next comparison."""
    told = []
    directory.on_leaving(told.append)
    directory.update_from_list([runner(1)])
    directory.update_from_list([runner(1, state=InstanceState.LEAVING)])
    directory.update_from_list([runner(1, state=InstanceState.LEAVING)])
    assert [entry.name for entry in told] == ["local-1"]
