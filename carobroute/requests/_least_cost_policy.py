"""Routing policy that minimises the expected cost of a call."""

import math
import random
import statistics

import msgspec

from carobroute.engines import BLOCK_CHARS, CHARS_PER_TOKEN
from carobroute.requests._policies import PolicyChoice, RoutingPolicy, routing_policies
from carobroute.requests._prefix_index import PrefixIndex
from carobroute.requests._routing_types import CandidateInputs, RouteQuery
from carobroute.requests._target_record import PendingCall, TargetRecord
from carobroute.utils import rendezvous_order, rendezvous_winner

DEFAULT_STEP_MS = 20.0
TOKENS_PER_BLOCK = BLOCK_CHARS // CHARS_PER_TOKEN


class LeastCostParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of `LeastCostPolicy`.

    Parameters
    ----------
    sample_size : int
        Number of targets sampled at random for each request.
    full_load_cost_ms : float
        Cost of a target whose slots are all taken, in addition to the expected wait;
        in proportion for a lower load.
    max_relative_load : float
        Multiple of the mean load above which, by more than one call, a cached prefix is
        ignored.
    slow_group_cost_steps : float
        Number of steps for which the lag of a slow group is charged. The lag is its
        step time minus the median step time.
    slow_step_ratio : float
        Multiple of the median step time above which a group is slow.
    other_data_centre_ms, other_region_ms : float
        Network time that a call to another data centre or region adds.
    min_spill_saving_ms : float
        Minimum saving for which another data centre is chosen.
    no_slot_cost_ms : float
        Additional cost of a target without a free slot.
    flooding_group_share : float
        Fraction of the groups to which a flooding team is limited.
    smoothing : float
        Weight of a new sample in the learned costs.
    """

    sample_size: int = 4
    full_load_cost_ms: float = 60.0
    max_relative_load: float = 1.25
    slow_group_cost_steps: float = 8.0
    slow_step_ratio: float = 1.5
    other_data_centre_ms: float = 1.0
    other_region_ms: float = 30.0
    min_spill_saving_ms: float = 10.0
    no_slot_cost_ms: float = 100.0
    flooding_group_share: float = 0.3
    smoothing: float = 0.05


class LearnedCosts:
    """Costs learned from the entry's own calls, in steps of a group.

    Costs in steps apply to all groups, unlike costs in milliseconds: a slow group needs
    as many steps as any other, but each step takes longer.

    Parameters
    ----------
    smoothing : float
        Weight of a new sample.
    """

    __slots__ = ("_smoothing", "call_steps", "prefill_steps_per_token")

    MIN_PREFILL_STEPS_PER_TOKEN = 1e-5
    MAX_PREFILL_STEPS_PER_TOKEN = 0.1

    def __init__(self, *, smoothing: float):
        self._smoothing = smoothing
        self.prefill_steps_per_token = 0.005
        self.call_steps = 60.0

    def note_prefill(self, steps: float, tokens: int) -> None:
        """Record the steps that the prefill of `tokens` tokens took."""
        sample = steps / max(1, tokens)
        sample = min(
            self.MAX_PREFILL_STEPS_PER_TOKEN,
            max(self.MIN_PREFILL_STEPS_PER_TOKEN, sample),
        )
        self.prefill_steps_per_token += self._smoothing * (
            sample - self.prefill_steps_per_token
        )

    def note_duration(self, steps: float) -> None:
        """Record the steps of a whole call."""
        self.call_steps += self._smoothing * (steps - self.call_steps)


@routing_policies.register("carob")
class LeastCostPolicy(RoutingPolicy):
    """Chooses the candidate target with the minimum expected cost.

    A few targets of the own data centre are compared: a random sample, the target with
    the longest cached prefix of the prompt, and the target selected by a hash of the
    first block, so that all entries send a new prefix to the same target without
    coordination. The cost of a target is the expected time to the first token (wait
    and prefill) plus terms for its load and for the lag of its group. A target of
    another data centre is chosen only if it saves more than the network time and the
    minimum saving, and meets the first-token target.

    Parameters
    ----------
    random : random.Random
        Random number generator.
    prefixes : PrefixIndex
        Estimated contents of the prefix caches.
    parameters : LeastCostParameters, default=None
        Parameters of the cost.

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
        parameters: LeastCostParameters | None = None,
    ):
        super().__init__(random=random, prefixes=prefixes)
        self._parameters = parameters or LeastCostParameters()
        self._learned = LearnedCosts(smoothing=self._parameters.smoothing)

    def choose(
        self,
        records: list[TargetRecord],
        query: RouteQuery,
        service_records: list[TargetRecord],
    ) -> PolicyChoice:
        """Return the record with the minimum cost among a few candidates."""
        if query.idempotency_key:
            return self._choose_by_key(records, query)
        if query.is_flooding:
            records = self._limit_groups(records, query)
        local = [r for r in records if r.view.data_centre == query.data_centre]
        remote = [r for r in records if r.view.data_centre != query.data_centre]
        comparison = _Comparison(records, service_records, query)
        evaluated = self._evaluate(local or remote, query, comparison)
        best = min(evaluated, key=_candidate_cost_ms)
        reason = "least_cost" if not best[1].cached_blocks else "prefix"
        if local and remote:
            best_remote = min(
                self._evaluate(remote, query, comparison), key=_candidate_cost_ms
            )
            evaluated = [*evaluated, best_remote]
            meets_latency_target = best_remote[1].first_ms <= query.first_token_ms
            saves_enough = (
                best_remote[1].cost_ms + self._parameters.min_spill_saving_ms
                < best[1].cost_ms
            )
            if meets_latency_target and saves_enough:
                best, reason = best_remote, "spill"
        return PolicyChoice(
            record=best[0],
            reason=reason,
            candidates=[inputs for _, inputs in evaluated],
        )

    def note_first_byte(
        self, record: TargetRecord, elapsed_ms: float, call: PendingCall
    ) -> None:
        """Learn the prefill cost from a call that did not wait for a slot."""
        if not call.was_queued and call.tokens_ahead > 0:
            steps = elapsed_ms / (record.step_ms or DEFAULT_STEP_MS) - 1.0
            self._learned.note_prefill(steps, call.tokens_ahead)

    def note_end(self, record: TargetRecord, duration_ms: float) -> None:
        """Learn the duration of calls."""
        self._learned.note_duration(duration_ms / (record.step_ms or DEFAULT_STEP_MS))

    def _limit_groups(
        self, records: list[TargetRecord], query: RouteQuery
    ) -> list[TargetRecord]:
        """Limit a flooding team to some of the groups, the same for every entry.

        A flood slows the steps of each group that it reaches; the other groups stay
        fast for the other teams.
        """
        groups = {_group_name(record) for record in records}
        count = math.ceil(self._parameters.flooding_group_share * len(groups))
        kept = set(rendezvous_order(query.team, groups)[:count])
        return [record for record in records if _group_name(record) in kept]

    def _choose_by_key(
        self, records: list[TargetRecord], query: RouteQuery
    ) -> PolicyChoice:
        names = {record.name: record for record in records}
        hashed_name = rendezvous_winner(f"{query.team}\0{query.idempotency_key}", names)
        assert hashed_name is not None
        return PolicyChoice(record=names[hashed_name], reason="key")

    def _evaluate(
        self, records: list[TargetRecord], query: RouteQuery, comparison: "_Comparison"
    ) -> list[tuple[TargetRecord, CandidateInputs]]:
        sampled = self._sample_candidates(records, query)
        return [(record, self._inputs(record, query, comparison)) for record in sampled]

    def _sample_candidates(
        self, records: list[TargetRecord], query: RouteQuery
    ) -> list[TargetRecord]:
        count = min(self._parameters.sample_size, len(records))
        sampled = {r.name: r for r in self._random.sample(records, count)}
        blocks = query.prompt_blocks
        if blocks:
            prefix_holder = max(
                records, key=lambda r: self._prefixes.count_cached(r.name, blocks)
            )
            sampled[prefix_holder.name] = prefix_holder
            names = {r.name: r for r in records}
            hashed_name = rendezvous_winner(str(blocks[0]), names)
            if hashed_name is not None:
                sampled[hashed_name] = names[hashed_name]
        return list(sampled.values())

    def _inputs(
        self, record: TargetRecord, query: RouteQuery, comparison: "_Comparison"
    ) -> CandidateInputs:
        parameters = self._parameters
        share = record.health.weight_share
        load = ((record.running if query.is_light else record.load) + 1.0) / share
        cached_count = self._prefixes.count_cached(record.name, query.prompt_blocks)
        if load > parameters.max_relative_load * comparison.mean_load + 1.0:
            cached_count = 0
        step_ms = comparison.step_ms(record)
        calls_ahead = self._calls_ahead(record, query)
        uncached = max(0, query.tokens - cached_count * TOKENS_PER_BLOCK)
        steps = 1.0 + calls_ahead / record.concurrency * self._learned.call_steps
        steps += self._learned.prefill_steps_per_token * (
            record.tokens_ahead + uncached
        )
        first_ms = steps * step_ms + self._network_ms(record, comparison)
        cost_ms = first_ms + parameters.full_load_cost_ms * load / record.concurrency
        cost_ms += self._slow_group_cost_ms(step_ms, query, comparison)
        if calls_ahead:
            # The learned duration covers only calls that have ended, so the wait for
            # long calls that still run would be underestimated.
            cost_ms += parameters.no_slot_cost_ms
        return CandidateInputs(
            target=record.name,
            data_centre=record.view.data_centre,
            load=record.load,
            report_age_ms=record.report_age_ms,
            cached_blocks=cached_count,
            step_ms=step_ms,
            first_ms=first_ms,
            cost_ms=cost_ms,
            share=share,
        )

    def _calls_ahead(self, record: TargetRecord, query: RouteQuery) -> float:
        """Return how many calls must end before this call gets a slot.

        The call of a light team is served before the queued calls of other teams.
        """
        if query.is_light:
            return 1.0 if record.running >= record.concurrency else 0.0
        return max(0.0, record.load + 1.0 - record.concurrency)

    def _network_ms(self, record: TargetRecord, comparison: "_Comparison") -> float:
        if record.view.data_centre == comparison.data_centre:
            return 0.0
        if record.view.region == comparison.region:
            return self._parameters.other_data_centre_ms
        return self._parameters.other_region_ms

    def _slow_group_cost_ms(
        self, step_ms: float, query: RouteQuery, comparison: "_Comparison"
    ) -> float:
        """Return the cost added for the lag of a slow group.

        It is higher if a step takes longer than the latency target between tokens.
        """
        if step_ms <= self._parameters.slow_step_ratio * comparison.median_step_ms:
            return 0.0
        cost_ms = self._parameters.slow_group_cost_steps * (
            step_ms - comparison.median_step_ms
        )
        if step_ms > query.between_tokens_ms:
            cost_ms += query.first_token_ms * step_ms / query.between_tokens_ms
        return cost_ms


class _Comparison:
    """Values that are common to all candidates of one request."""

    __slots__ = (
        "_group_step_ms",
        "data_centre",
        "mean_load",
        "median_step_ms",
        "region",
    )

    def __init__(
        self,
        records: list[TargetRecord],
        service_records: list[TargetRecord],
        query: RouteQuery,
    ):
        self._group_step_ms: dict[str, float] = {}
        for record in service_records:
            group = record.view.group
            if group:
                slowest_ms = self._group_step_ms.get(group, 0.0)
                self._group_step_ms[group] = max(slowest_ms, record.step_ms)
        self.median_step_ms = statistics.median(map(self.step_ms, records))
        self.mean_load = sum(record.load for record in records) / len(records)
        self.data_centre = query.data_centre
        regions = [
            r.view.region
            for r in service_records
            if r.view.data_centre == query.data_centre
        ]
        self.region = regions[0] if regions else ""

    def step_ms(self, record: TargetRecord) -> float:
        """Return the step time of the slowest known rank in the target's group."""
        step_ms = max(record.step_ms, self._group_step_ms.get(record.view.group, 0.0))
        return step_ms or DEFAULT_STEP_MS


def _group_name(record: TargetRecord) -> str:
    return record.view.group or record.name


def _candidate_cost_ms(candidate: tuple[TargetRecord, CandidateInputs]) -> float:
    return candidate[1].cost_ms
