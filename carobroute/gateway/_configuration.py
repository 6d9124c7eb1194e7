"""The configuration in force at this gateway, and the proof of how new it is."""

import random

import msgspec

from carobroute.utils import Clock
from carobroute.world import (
    CallerBounds,
    Route,
    RoutingConfiguration,
    ServiceProfile,
)


class Caller(msgspec.Struct, frozen=True):
    """Team of a key, with the rank that goes before that of the route."""

    team: str
    priority: int | None


class RoutingTable:
    """A configuration, compiled for look-ups.

    Parameters
    ----------
    configuration : RoutingConfiguration
        What the operators have put in force.
    """

    __slots__ = ("_callers", "_configuration", "_routes", "_services")

    def __init__(self, *, configuration: RoutingConfiguration):
        self._configuration = configuration
        self._routes = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }
        self._services = {s.name: s for s in configuration.services}
        self._callers = {
            key: Caller(team.name, team.priority)
            for team in configuration.teams
            for key in team.keys
        }

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self._configuration.version

    @property
    def needs_keys(self) -> bool:
        """Whether callers need keys at all."""
        return bool(self._configuration.teams)

    @property
    def bounds(self) -> CallerBounds:
        """Bounds on what callers send."""
        return self._configuration.bounds

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return len(self._routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`.

        Prefixes end with a slash, so only as many are looked up as the path has.
        """
        end = path.find("?")
        end = path.rfind("/", 0, len(path) if end < 0 else end)
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def gap_target_ms(self, service: str) -> float:
        """Return the least gap target among the streaming routes of a service.

        It is 0 where there is none.
        """
        gap_targets_ms = [
            route.gap_target_ms
            for route in self._configuration.routes
            if route.gap_target_ms and service in {s.service for s in route.shares}
        ]
        return min(gap_targets_ms, default=0.0)

    def find_caller(self, key: str) -> Caller | None:
        """Return whose key `key` is, or None if nobody's."""
        return self._callers.get(key)

    def find_service(self, name: str) -> ServiceProfile | None:
        """Return the service called `name`, or None."""
        return self._services.get(name)


def choose_service(route: Route, rng: random.Random) -> str:
    """Return one of a route's services, at random by their shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service


class ActiveConfiguration:
    """The newest configuration that this process has seen, and since when it knows.

    Parameters
    ----------
    clock : Clock
        Source of time.
    revoke_ms : float
        Time after which a revoked key must open nothing; 0 where that is not
        required.
    margin_ms : float
        Part of it that is kept for a call's way to its target.

    Notes
    -----
    A version is never replaced by an older one. The time of the proof counts time in
    which the machine was suspended, so a process that wakes up knows that its proof
    has aged.
    """

    __slots__ = ("_clock", "_max_proof_age_ms", "_proof_ms", "_table")

    def __init__(self, *, clock: Clock, revoke_ms: float, margin_ms: float):
        self._clock = clock
        self._max_proof_age_ms = revoke_ms - margin_ms if revoke_ms else float("inf")
        self._table: RoutingTable | None = None
        self._proof_ms = 0.0

    @property
    def table(self) -> RoutingTable | None:
        """Routes and keys in force; None before the first configuration."""
        return self._table

    @property
    def proof_age_ms(self) -> float:
        """Time since there was provably no newer configuration."""
        return self._clock.wake_safe_ms() - self._proof_ms

    @property
    def max_proof_age_ms(self) -> float:
        """Age of the proof from which keys are not accepted any more."""
        return self._max_proof_age_ms

    @property
    def accepts_keys(self) -> bool:
        """Whether no key that is accepted now can have been revoked for too long."""
        return self.proof_age_ms < self._max_proof_age_ms

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Put a configuration in force; return False if it is not newer."""
        if self._table is not None and configuration.version <= self._table.version:
            return False
        self._table = RoutingTable(configuration=configuration)
        return True

    def confirm_current(self, confirmed_ms: float) -> None:
        """Note that at `at_ms`, the store held nothing newer than is in force here."""
        self._proof_ms = max(self._proof_ms, confirmed_ms)
