"""The product's own routing policy."""

import math
import random
import statistics

import msgspec

from carobroute.engines import BLOCK_CHARS, CHARS_PER_TOKEN
from carobroute.requests._policies import Pick, RoutingPolicy, routing_policies
from carobroute.requests._prefix import PrefixIndex
from carobroute.requests._target import Sent, TargetRecord
from carobroute.requests._views import CandidateInputs, RouteQuery
from carobroute.utils import rendezvous_order, rendezvous_winner

FIRST_STEP_MS = 20.0
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN


class CarobParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Weights of the product's own policy.

    Parameters
    ----------
    samples : int
        Targets drawn at random for each comparison.
    load_ms : float
        Cost of a target whose every slot is taken, beside the wait.
    load_bound : float
        A cached prefix counts only up to this multiple of the mean load.
    pace_steps : float
        Steps over which a slow group's lag is charged.
    slow_factor : float
        Multiple of the median step above which a group is slow.
    other_data_centre_ms, other_region_ms : float
        Time that a call to another data centre or region adds.
    spill_ms : float
        What another data centre must save to be chosen.
    full_ms : float
        Charge for a target without a free slot, in milliseconds.
    flood_share : float
        Share of the groups that a flooding team is kept to.
    smoothing : float
        Weight of a new sample in learned times.
    """

    samples: int = 4
    load_ms: float = 60.0
    load_bound: float = 1.25
    pace_steps: float = 8.0
    slow_factor: float = 1.5
    other_data_centre_ms: float = 1.0
    other_region_ms: float = 30.0
    spill_ms: float = 10.0
    full_ms: float = 100.0
    flood_share: float = 0.3
    smoothing: float = 0.05


class Learned:
    """Costs that the policy learns from its own traffic, in steps of a group.

    Steps carry over from one group to another where times do not: a slow group needs
    as many, and each takes longer.

    Parameters
    ----------
    smoothing : float
        Weight of a new sample.
    """

    __slots__ = ("_smoothing", "prefill_steps", "stay_steps")

    MIN_PREFILL_STEPS = 1e-5
    MAX_PREFILL_STEPS = 0.1

    def __init__(self, *, smoothing: float):
        self._smoothing = smoothing
        self.prefill_steps = 0.005
        self.stay_steps = 60.0

    def note_prefill(self, steps: float, tokens: int) -> None:
        """Take the steps that `tokens` tokens took to their first answer token."""
        sample = steps / max(1, tokens)
        sample = min(self.MAX_PREFILL_STEPS, max(self.MIN_PREFILL_STEPS, sample))
        self.prefill_steps += self._smoothing * (sample - self.prefill_steps)

    def note_stay(self, steps: float) -> None:
        """Take the steps of a whole call."""
        self.stay_steps += self._smoothing * (steps - self.stay_steps)


@routing_policies.register("carob")
class CarobPolicy(RoutingPolicy):
    """Least expected time to the first token, within a group's pace.

    A few targets of the own data centre are compared: some drawn at random, the one
    that holds most of the prompt's prefix, and the one that a hash of the prefix
    names, so that entries agree on a home for a new prefix without a message. Each
    is charged its expected wait and prefill, its load, and the lag of its group.
    Another data centre is chosen only where it saves more than the call between them
    costs, and still makes the first-token target.

    Parameters
    ----------
    random : random.Random
        Source of chance.
    prefixes : PrefixIndex
        Belief about prefix caches.
    parameters : CarobParameters, default=None
        Weights.

    References
    ----------
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
    Transactions on Parallel and Distributed Systems 12(10), 2001.

    V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent Hashing with Bounded
    Loads", SODA 2018.
    """

    __slots__ = ("_learned", "_parameters")

    def __init__(
        self,
        *,
        random: random.Random,
        prefixes: PrefixIndex,
        parameters: CarobParameters | None = None,
    ):
        super().__init__(random=random, prefixes=prefixes)
        self._parameters = parameters or CarobParameters()
        self._learned = Learned(smoothing=self._parameters.smoothing)

    def pick(
        self,
        records: list[TargetRecord],
        query: RouteQuery,
        everyone: list[TargetRecord],
    ) -> Pick:
        """Return the record with the least cost among a few."""
        if query.idempotency_key:
            return self._by_key(records, query)
        if query.flooding:
            records = self._confine(records, query)
        near = [r for r in records if r.view.data_centre == query.data_centre]
        far = [r for r in records if r.view.data_centre != query.data_centre]
        scene = _Scene(records, everyone, query)
        weighed = self._weigh(near or far, query, scene)
        best = min(weighed, key=_cost)
        reason = "least_cost" if not best[1].cached_blocks else "prefix"
        if near and far:
            other = min(self._weigh(far, query, scene), key=_cost)
            weighed = [*weighed, other]
            makes_it = other[1].first_ms <= query.first_token_ms
            saves = other[1].cost_ms + self._parameters.spill_ms < best[1].cost_ms
            if makes_it and saves:
                best, reason = other, "spill"
        return Pick(
            record=best[0], reason=reason, candidates=[inputs for _, inputs in weighed]
        )

    def note_first_byte(
        self, record: TargetRecord, elapsed_ms: float, sent: Sent
    ) -> None:
        """Learn the prefill time from a call that did not wait for a slot."""
        if not sent.waited and sent.tokens_ahead > 0:
            steps = elapsed_ms / (record.step_ms or FIRST_STEP_MS) - 1.0
            self._learned.note_prefill(steps, sent.tokens_ahead)

    def note_end(self, record: TargetRecord, duration_ms: float) -> None:
        """Learn how long calls stay."""
        self._learned.note_stay(duration_ms / (record.step_ms or FIRST_STEP_MS))

    def _confine(
        self, records: list[TargetRecord], query: RouteQuery
    ) -> list[TargetRecord]:
        """Keep a flooding team to some of the groups, the same from every entry.

        A flood slows the steps of each group that it reaches; the others stay quick
        for the rest of the teams.
        """
        groups = {_group_of(record) for record in records}
        count = math.ceil(self._parameters.flood_share * len(groups))
        kept = set(rendezvous_order(query.team, groups)[:count])
        return [record for record in records if _group_of(record) in kept]

    def _by_key(self, records: list[TargetRecord], query: RouteQuery) -> Pick:
        names = {record.name: record for record in records}
        home = rendezvous_winner(f"{query.team}\0{query.idempotency_key}", names)
        assert home is not None
        return Pick(record=names[home], reason="key")

    def _weigh(
        self, records: list[TargetRecord], query: RouteQuery, scene: "_Scene"
    ) -> list[tuple[TargetRecord, CandidateInputs]]:
        drawn = self._candidates(records, query)
        return [(record, self._inputs(record, query, scene)) for record in drawn]

    def _candidates(
        self, records: list[TargetRecord], query: RouteQuery
    ) -> list[TargetRecord]:
        count = min(self._parameters.samples, len(records))
        drawn = {r.name: r for r in self._random.sample(records, count)}
        blocks = query.prompt_blocks
        if blocks:
            holder = max(records, key=lambda r: self._prefixes.cached(r.name, blocks))
            drawn[holder.name] = holder
            names = {r.name: r for r in records}
            home = rendezvous_winner(str(blocks[0]), names)
            if home is not None:
                drawn[home] = names[home]
        return list(drawn.values())

    def _inputs(
        self, record: TargetRecord, query: RouteQuery, scene: "_Scene"
    ) -> CandidateInputs:
        parameters = self._parameters
        share = record.health.share
        load = ((record.running if query.light else record.load) + 1.0) / share
        cached = self._prefixes.cached(record.name, query.prompt_blocks)
        if load > parameters.load_bound * scene.mean_load + 1.0:
            cached = 0
        step_ms = scene.step_ms(record)
        waiting = self._waiting(record, query)
        uncached = max(0, query.tokens - cached * BLOCK_TOKENS)
        steps = 1.0 + waiting / record.concurrency * self._learned.stay_steps
        steps += self._learned.prefill_steps * (record.tokens_ahead + uncached)
        first_ms = steps * step_ms + self._link_ms(record, scene)
        cost_ms = first_ms + parameters.load_ms * load / record.concurrency
        cost_ms += self._pace_ms(step_ms, query, scene)
        if waiting:
            # How long calls stay is learned from those that ended; a call that must
            # wait for long ones would look cheap.
            cost_ms += parameters.full_ms
        return CandidateInputs(
            target=record.name,
            data_centre=record.view.data_centre,
            load=record.load,
            report_age_ms=record.report_age_ms,
            cached_blocks=cached,
            step_ms=step_ms,
            first_ms=first_ms,
            cost_ms=cost_ms,
            share=share,
        )

    def _waiting(self, record: TargetRecord, query: RouteQuery) -> float:
        """Return how many calls must end before this one gets a slot.

        A light team's call passes by what others have queued.
        """
        if query.light:
            return 1.0 if record.running >= record.concurrency else 0.0
        return max(0.0, record.load + 1.0 - record.concurrency)

    def _link_ms(self, record: TargetRecord, scene: "_Scene") -> float:
        if record.view.data_centre == scene.data_centre:
            return 0.0
        if record.view.region == scene.region:
            return self._parameters.other_data_centre_ms
        return self._parameters.other_region_ms

    def _pace_ms(self, step_ms: float, query: RouteQuery, scene: "_Scene") -> float:
        """Charge a slow group, most of all one beyond the target between tokens."""
        if step_ms <= self._parameters.slow_factor * scene.median_step_ms:
            return 0.0
        charge = self._parameters.pace_steps * (step_ms - scene.median_step_ms)
        if step_ms > query.between_tokens_ms:
            charge += query.first_token_ms * step_ms / query.between_tokens_ms
        return charge


class _Scene:
    """What all candidates of one request are measured against."""

    __slots__ = ("_groups", "data_centre", "mean_load", "median_step_ms", "region")

    def __init__(
        self,
        records: list[TargetRecord],
        everyone: list[TargetRecord],
        query: RouteQuery,
    ):
        self._groups: dict[str, float] = {}
        for record in everyone:
            group = record.view.group
            if group:
                known = self._groups.get(group, 0.0)
                self._groups[group] = max(known, record.step_ms)
        self.median_step_ms = statistics.median(map(self.step_ms, records))
        self.mean_load = sum(record.load for record in records) / len(records)
        self.data_centre = query.data_centre
        regions = [
            r.view.region for r in everyone if r.view.data_centre == query.data_centre
        ]
        self.region = regions[0] if regions else ""

    def step_ms(self, record: TargetRecord) -> float:
        """Return the pace of a target: its slowest group member sets it."""
        step_ms = max(record.step_ms, self._groups.get(record.view.group, 0.0))
        return step_ms or FIRST_STEP_MS


def _group_of(record: TargetRecord) -> str:
    return record.view.group or record.name


def _cost(weighed: tuple[TargetRecord, CandidateInputs]) -> float:
    return weighed[1].cost_ms
