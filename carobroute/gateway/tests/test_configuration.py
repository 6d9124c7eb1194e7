"""Routes, keys, and the proof that the configuration in force is new enough."""

import random

from carobroute.gateway import ActiveConfiguration, RoutingTable, choose_service
from carobroute.testing.gateway_data import make_configuration, make_route
from carobroute.utils import ManualClock
from carobroute.world import KeyHolder, ServiceShare


def _in_force(clock):
    return ActiveConfiguration(clock=clock, revoke_ms=5_000.0, margin_ms=400.0)


def test_the_longest_prefix_of_the_host_is_taken():
    routes = [
        make_route(name="short", path_prefix="/a/"),
        make_route(name="long", path_prefix="/a/b/"),
        make_route(name="other", host="b.example", path_prefix="/a/b/c/"),
    ]
    table = RoutingTable(configuration=make_configuration(routes=routes))
    found = {
        path: table.find_route("shop.example", path)
        for path in ("/a/x", "/a/b/c/d?e=/f/", "/a/bc", "/x", "/a")
    }
    names = {path: route.name if route else None for path, route in found.items()}
    assert names == {
        "/a/x": "short",
        "/a/b/c/d?e=/f/": "long",
        "/a/bc": "short",
        "/x": None,
        "/a": None,
    }


def test_an_older_configuration_never_replaces_a_newer_one():
    configuration = _in_force(ManualClock())
    assert configuration.apply(make_configuration(version=7))
    assert not configuration.apply(make_configuration(version=6, routes=[]))
    assert not configuration.apply(make_configuration(version=7, routes=[]))
    assert configuration.table.version == 7
    assert configuration.table.route_count == 1


def test_keys_are_not_accepted_once_a_revocation_could_have_been_missed():
    clock = ManualClock(start_ms=10_000)
    configuration = _in_force(clock)
    configuration.apply(make_configuration())
    configuration.confirm_current(clock.now_ms())
    clock.advance_ms(4_599)
    assert configuration.accepts_keys
    clock.advance_ms(1)
    assert not configuration.accepts_keys


def test_a_proof_never_becomes_older():
    clock = ManualClock(start_ms=10_000)
    configuration = _in_force(clock)
    configuration.confirm_current(9_000)
    configuration.confirm_current(8_000)
    assert configuration.proof_age_ms == 1_000


class SuspendedClock(ManualClock):
    """Clock of a machine that was suspended, which its steady clock does not show."""

    __slots__ = ("asleep_ms",)

    def __init__(self):
        super().__init__(start_ms=10_000)
        self.asleep_ms = 0.0

    def wake_safe_ms(self):
        return self.now_ms() + self.asleep_ms


def test_a_machine_that_wakes_up_knows_that_its_proof_is_old():
    clock = SuspendedClock()
    configuration = _in_force(clock)
    configuration.apply(make_configuration())
    configuration.confirm_current(clock.wake_safe_ms())
    clock.asleep_ms = 6_000.0
    assert not configuration.accepts_keys


def test_a_key_names_its_team():
    teams = [KeyHolder(name="lund", keys=["k1", "k2"], priority=0)]
    table = RoutingTable(configuration=make_configuration(teams=teams))
    assert table.find_caller("k2").team == "lund"
    assert table.find_caller("k2").priority == 0
    assert table.find_caller("") is None


def test_calls_of_a_split_route_go_by_its_shares():
    shares = [
        ServiceShare(service="old", weight=9.0),
        ServiceShare(service="new", weight=1.0),
        ServiceShare(service="never", weight=0.0),
    ]
    route = make_route(shares=shares)
    source = random.Random(1)
    drawn = [choose_service(route, source) for _ in range(2_000)]
    assert 100 < drawn.count("new") < 300
    assert drawn.count("never") == 0
