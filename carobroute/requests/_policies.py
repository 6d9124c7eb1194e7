"""Routing policies: the registry and the baselines."""

import abc
import random

import msgspec

from carobroute.requests._prefix import PrefixIndex
from carobroute.requests._target import Sent, TargetRecord
from carobroute.requests._views import CandidateInputs, RouteQuery
from carobroute.utils import Registry


class Pick(msgspec.Struct, frozen=True, kw_only=True):
    """A policy's answer: the target, why, and what was weighed."""

    record: TargetRecord
    reason: str
    candidates: list[CandidateInputs] = []


class RoutingPolicy(abc.ABC):
    """Chooses among the targets of one service.

    Parameters
    ----------
    random : random.Random
        Source of chance.
    prefixes : PrefixIndex
        Belief about prefix caches.
    """

    __slots__ = ("_prefixes", "_random")

    def __init__(self, *, random: random.Random, prefixes: PrefixIndex):
        self._random = random
        self._prefixes = prefixes

    @abc.abstractmethod
    def pick(
        self,
        records: list[TargetRecord],
        query: RouteQuery,
        everyone: list[TargetRecord],
    ) -> Pick:
        """Return one of `records`, which is not empty.

        Parameters
        ----------
        records : list of TargetRecord
            Targets that may take the request.
        query : RouteQuery
            The request.
        everyone : list of TargetRecord
            All targets of the service, for what is known of their groups.
        """

    def note_first_byte(  # noqa: B027
        self, record: TargetRecord, elapsed_ms: float, sent: Sent
    ) -> None:
        """Take the time to a first byte, for policies that learn from it."""

    def note_end(  # noqa: B027
        self, record: TargetRecord, duration_ms: float
    ) -> None:
        """Take the duration of a whole call, for policies that learn from it."""


routing_policies: Registry[type[RoutingPolicy]] = Registry(kind="routing policy")
"""Routing policies by the name that a service object gives."""


@routing_policies.register("random")
class RandomPolicy(RoutingPolicy):
    """Any target with equal probability."""

    __slots__ = ()

    def pick(self, records, query, everyone):
        """Return a random record."""
        return Pick(record=self._random.choice(records), reason="random")


@routing_policies.register("round_robin")
class RoundRobinPolicy(RoutingPolicy):
    """Each target in turn."""

    __slots__ = ("_last",)

    def __init__(self, *, random: random.Random, prefixes: PrefixIndex):
        super().__init__(random=random, prefixes=prefixes)
        self._last = ""

    def pick(self, records, query, everyone):
        """Return the record after the last one in name order."""
        ordered = sorted(records, key=lambda record: record.name)
        after = [record for record in ordered if record.name > self._last]
        chosen = (after or ordered)[0]
        self._last = chosen.name
        return Pick(record=chosen, reason="turn")


@routing_policies.register("least_reported")
class LeastReportedPolicy(RoutingPolicy):
    """The target with the least load in its last report."""

    __slots__ = ()

    def pick(self, records, query, everyone):
        """Return the record with the least reported load, ties at random."""
        least = min(record.reported_load for record in records)
        equal = [record for record in records if record.reported_load == least]
        return Pick(record=self._random.choice(equal), reason="least_reported")
