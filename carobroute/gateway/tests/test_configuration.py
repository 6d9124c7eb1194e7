"""Routes, API keys, and the proof that the active configuration is current."""

import random

from carobroute.domain import ServiceShare, TeamProfile
from carobroute.gateway import ActiveConfiguration, RoutingTable, choose_service
from carobroute.testing.gateway_data import make_configuration, make_route
from carobroute.utils import ManualClock


def _active_configuration(clock):
    return ActiveConfiguration(clock=clock, revoke_ms=5_000.0, margin_ms=400.0)


def test_a_path_matches_the_longest_prefix_of_its_host():
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
    configuration = _active_configuration(ManualClock())
    assert configuration.apply(make_configuration(version=7))
    assert not configuration.apply(make_configuration(version=6, routes=[]))
    assert not configuration.apply(make_configuration(version=7, routes=[]))
    assert configuration.table.version == 7
    assert configuration.table.route_count == 1


def test_keys_are_not_accepted_once_the_proof_is_too_old():
    clock = ManualClock(start_ms=10_000)
    configuration = _active_configuration(clock)
    configuration.apply(make_configuration())
    configuration.confirm_current(clock.now_ms())
    clock.advance_ms(4_599)
    assert configuration.accepts_keys
    clock.advance_ms(1)
    assert not configuration.accepts_keys


def test_a_late_confirmation_does_not_make_the_proof_older():
    clock = ManualClock(start_ms=10_000)
    configuration = _active_configuration(clock)
    configuration.confirm_current(9_000)
    configuration.confirm_current(8_000)
    assert configuration.proof_age_ms == 1_000


class SuspendedClock(ManualClock):
    """Clock of a suspended machine, whose monotonic clock omits the suspension."""

    __slots__ = ("suspended_ms",)

    def __init__(self):
        super().__init__(start_ms=10_000)
        self.suspended_ms = 0.0

    def boot_time_ms(self):
        return self.now_ms() + self.suspended_ms


def test_the_age_of_the_proof_includes_time_in_which_the_machine_was_suspended():
    clock = SuspendedClock()
    configuration = _active_configuration(clock)
    configuration.apply(make_configuration())
    configuration.confirm_current(clock.boot_time_ms())
    clock.suspended_ms = 6_000.0
    assert not configuration.accepts_keys


def test_a_key_is_found_with_its_team_and_priority():
    teams = [TeamProfile(name="lund", keys=["k1", "k2"], priority=0)]
    table = RoutingTable(configuration=make_configuration(teams=teams))
    assert table.find_caller("k2").team == "lund"
    assert table.find_caller("k2").priority == 0
    assert table.find_caller("") is None


def test_services_of_a_route_are_chosen_in_proportion_to_their_shares():
    shares = [
        ServiceShare(service="old", weight=9.0),
        ServiceShare(service="new", weight=1.0),
        ServiceShare(service="never", weight=0.0),
    ]
    route = make_route(shares=shares)
    source = random.Random(1)
    chosen = [choose_service(route, source) for _ in range(2_000)]
    assert 100 < chosen.count("new") < 300
    assert chosen.count("never") == 0
