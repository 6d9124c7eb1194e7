"""Routing policies: interface, registry and baseline policies."""

import abc
import random

import msgspec

from carobroute.requests._prefix_index import PrefixIndex
from carobroute.requests._routing_types import CandidateInputs, RouteQuery
from carobroute.requests._target_record import PendingCall, TargetRecord
from carobroute.utils import Registry


class PolicyChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The target that a policy chose, its reason and the candidates compared."""

    record: TargetRecord
    reason: str
    candidates: list[CandidateInputs] = []


class RoutingPolicy(abc.ABC):
    """Interface of a policy that chooses among the targets of one service.

    Parameters
    ----------
    random : random.Random
        Random number generator.
    prefixes : PrefixIndex
        Estimated contents of the prefix caches.
    """

    __slots__ = ("_prefixes", "_random")

    def __init__(self, *, random: random.Random, prefixes: PrefixIndex):
        self._random = random
        self._prefixes = prefixes

    @abc.abstractmethod
    def choose(
        self,
        records: list[TargetRecord],
        query: RouteQuery,
        service_records: list[TargetRecord],
    ) -> PolicyChoice:
        """Choose one of `records`, which is not empty.

        Parameters
        ----------
        records : list of TargetRecord
            Targets that may take the request.
        query : RouteQuery
            The request.
        service_records : list of TargetRecord
            All targets of the service in the subset, from which the step times of
            groups are derived.
        """

    def note_first_byte(  # noqa: B027
        self, record: TargetRecord, elapsed_ms: float, call: PendingCall
    ) -> None:
        """Record the time to the first byte of a call; ignored by default."""

    def note_end(  # noqa: B027
        self, record: TargetRecord, duration_ms: float
    ) -> None:
        """Record the duration of a successful call; ignored by default."""


routing_policies: Registry[type[RoutingPolicy]] = Registry(kind="routing policy")
"""Routing policies by the name that a service object refers to."""


@routing_policies.register("random")
class RandomPolicy(RoutingPolicy):
    """Chooses any target with equal probability."""

    __slots__ = ()

    def choose(self, records, query, service_records):
        """Return a random record."""
        return PolicyChoice(record=self._random.choice(records), reason="random")


@routing_policies.register("round_robin")
class RoundRobinPolicy(RoutingPolicy):
    """Chooses the targets in turn."""

    __slots__ = ("_last_name",)

    def __init__(self, *, random: random.Random, prefixes: PrefixIndex):
        super().__init__(random=random, prefixes=prefixes)
        self._last_name = ""

    def choose(self, records, query, service_records):
        """Return the record after the last one in name order."""
        ordered = sorted(records, key=lambda record: record.name)
        following = [record for record in ordered if record.name > self._last_name]
        chosen = (following or ordered)[0]
        self._last_name = chosen.name
        return PolicyChoice(record=chosen, reason="turn")


@routing_policies.register("least_reported")
class LeastReportedPolicy(RoutingPolicy):
    """Chooses the target with the minimum load in its last report."""

    __slots__ = ()

    def choose(self, records, query, service_records):
        """Return the record with the minimum reported load; ties at random."""
        min_load = min(record.reported_load for record in records)
        least_loaded = [
            record for record in records if record.reported_load == min_load
        ]
        return PolicyChoice(
            record=self._random.choice(least_loaded), reason="least_reported"
        )
