"""The active configuration of this gateway, and the proof that it is current."""

import random

import msgspec

from carobroute.domain import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    ServiceProfile,
)
from carobroute.utils import Clock


class Caller(msgspec.Struct, frozen=True):
    """Team of an API key, with a priority that overrides the route's."""

    team: str
    priority: int | None


class RoutingTable:
    """Configuration with indexes of its routes, services and API keys.

    Parameters
    ----------
    configuration : RoutingConfiguration
        Configuration to index.
    """

    __slots__ = (
        "_callers",
        "_configuration",
        "_gap_targets_ms",
        "_routes",
        "_services",
    )

    def __init__(self, *, configuration: RoutingConfiguration):
        self._configuration = configuration
        self._routes = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }
        self._services = {s.name: s for s in configuration.services}
        # It is asked for several times a second, and there may be thousands of routes.
        self._gap_targets_ms: dict[str, float] = {}
        for route in configuration.routes:
            for share in route.shares if route.gap_target_ms else ():
                known_ms = self._gap_targets_ms.get(share.service, float("inf"))
                self._gap_targets_ms[share.service] = min(known_ms, route.gap_target_ms)
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
        """Whether callers need API keys, except on anonymous routes."""
        return bool(self._configuration.teams)

    @property
    def bounds(self) -> CallerLimits:
        """Limits on callers' requests."""
        return self._configuration.bounds

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return len(self._routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest matching prefix of `path`.

        Prefixes end with a slash, so there is one look-up for each slash of the path.
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
        """Return the smallest gap target among the routes of a service.

        It is 0 if no route of the service has one.
        """
        return self._gap_targets_ms.get(service, 0.0)

    def find_caller(self, key: str) -> Caller | None:
        """Return the caller that an API key belongs to, or None."""
        return self._callers.get(key)

    def find_service(self, name: str) -> ServiceProfile | None:
        """Return the service with that name, or None."""
        return self._services.get(name)


def choose_service(route: Route, rng: random.Random) -> str:
    """Return one of a route's services at random, weighted by their shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service


class ActiveConfiguration:
    """Newest configuration that this process has seen, and the age of its proof.

    The proof is the time at which the store provably held no newer configuration.

    Parameters
    ----------
    clock : Clock
        Source of time.
    revoke_ms : float
        Time after which a revoked key must not be accepted; 0 for no limit.
    margin_ms : float
        Part of that time that is reserved for a call's way to its target.

    Notes
    -----
    A version is never replaced by an older one. The age of the proof includes time in
    which the machine was suspended, so keys are not accepted on a stale proof after a
    resume.
    """

    __slots__ = (
        "_clock",
        "_max_proof_age_ms",
        "_proof_ms",
        "_proof_store_ms",
        "_table",
    )

    def __init__(self, *, clock: Clock, revoke_ms: float, margin_ms: float):
        self._clock = clock
        self._max_proof_age_ms = revoke_ms - margin_ms if revoke_ms else float("inf")
        self._table: RoutingTable | None = None
        self._proof_ms = 0.0
        # The same time by the store's clock.
        self._proof_store_ms = 0.0

    @property
    def table(self) -> RoutingTable | None:
        """Active configuration; None before the first one."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the active configuration; -1 before the first one."""
        return -1 if self._table is None else self._table.version

    @property
    def proof_age_ms(self) -> float:
        """Time since the store provably held no newer configuration."""
        return self._clock.boot_time_ms() - self._proof_ms

    @property
    def proof_store_ms(self) -> float:
        """Time by the store's clock at which it provably held nothing newer."""
        return self._proof_store_ms

    @property
    def max_proof_age_ms(self) -> float:
        """Age of the proof from which keys are no longer accepted."""
        return self._max_proof_age_ms

    @property
    def accepts_keys(self) -> bool:
        """Whether the proof is recent enough to accept keys.

        While it is, no accepted key can have been revoked for longer than allowed.
        """
        return self.proof_age_ms < self._max_proof_age_ms

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Make a configuration active; return False if it is not newer."""
        if self._table is not None and configuration.version <= self._table.version:
            return False
        self._table = RoutingTable(configuration=configuration)
        return True

    def confirm_current(self, confirmed_ms: float, store_ms: float = 0.0) -> None:
        """Record that the store held no newer configuration at a time.

        Parameters
        ----------
        confirmed_ms : float
            That time as a boot time of this machine.
        store_ms : float, default=0.0
            The same time by the store's clock, or an earlier one.
        """
        self._proof_ms = max(self._proof_ms, confirmed_ms)
        self._proof_store_ms = max(self._proof_store_ms, store_ms)

    def withdraw_proof(self) -> None:
        """Accept no keys until the configuration is confirmed again."""
        self._proof_ms = self._proof_store_ms = 0.0
