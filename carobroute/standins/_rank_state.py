"""State of one rank group in lock-step, and its record of the map in every step."""

import random as random_module
from collections import Counter, deque
from collections.abc import Iterable

import msgspec

KEPT_STEPS = 50_000
STRAGGLER_JITTER = 0.02

Version = tuple[int, int, str]


class StepRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One step that the group has run.

    Parameters
    ----------
    step, epoch : int
        Number of the step, and epoch of the group.
    versions : list of Version
        Distinct maps that the ranks used; more than one is a violation.
    waited_ms : float
        Time between the end of the step before and the last rank's beginning.
    fastest_ms, slowest_ms : float
        Least and most time that a rank worked in the step.
    """

    step: int
    epoch: int
    versions: list[Version]
    waited_ms: float
    fastest_ms: float
    slowest_ms: float


class RankState:
    """One rank.

    Parameters
    ----------
    rank : int
        Number of the rank.
    """

    def __init__(self, *, rank: int):
        self.rank = rank
        self.owner = ""
        self.joined_epoch = 0
        self.version: Version | None = None
        self.next_version: Version | None = None
        self.next_step = 0
        self.hold: int | None = None
        self.order = 0
        self.begun: Version | None = None
        self.stalled_until_ms = 0.0
        self.slowness = 1.0
        self.work_ms = 0.0
        self.loaded: dict[Version, frozenset[tuple[int, int]]] = {}

    def map_at(self, step: int) -> Version | None:
        """Return the map to use in `step`."""
        if self.next_version is not None and step >= self.next_step:
            return self.next_version
        return self.version

    def reset(self, owner: str) -> None:
        """Start anew, with nothing loaded."""
        fresh = RankState(rank=self.rank)
        fresh.owner = owner
        self.__dict__.update(fresh.__dict__)


class GroupState:
    """Ranks that run in lock-step.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    step_ms : float
        Time of a step at an even load, in milliseconds.
    memory_experts : int
        Expert copies that a rank's memory holds over all layers.
    random : random.Random
        Draws the jitter of step times.
    weights : list of float, default=None
        Relative popularity of each expert, by which ranks have more or less work;
        without it all ranks have the same.
    """

    def __init__(
        self,
        *,
        ranks: int,
        step_ms: float,
        memory_experts: int,
        random: random_module.Random,
        weights: list[float] | None = None,
    ):
        self.weights = weights or []
        self.ranks = [RankState(rank=number) for number in range(ranks)]
        self.step_ms = step_ms
        self.memory_experts = memory_experts
        self.epoch = 0
        self.step = 0
        self.ended_ms = 0.0
        self.record: deque[StepRecord] = deque(maxlen=KEPT_STEPS)
        self.counts: Counter[str] = Counter()
        self.mixed: list[StepRecord] = []
        self._random = random

    @property
    def roster(self) -> dict[int, str]:
        """Owner of each rank that has one."""
        return {state.rank: state.owner for state in self.ranks if state.owner}

    def owned(self, ranks: list[int], owner: str) -> list[RankState]:
        """Return the ranks, or an empty list if `owner` does not own them all."""
        states = [self.ranks[number] for number in ranks]
        return states if all(state.owner == owner for state in states) else []

    def attach(self, ranks: list[int], owner: str) -> int:
        """Replace ranks, which abandons the step begun, and return the new epoch."""
        self.epoch += 1
        for number in ranks:
            self.ranks[number].reset(owner)
        for state in self.ranks:
            state.begun = None
        self.counts["attached"] += 1
        return self.epoch

    def load(
        self, states: list[RankState], version: Version, experts: list[list[list[int]]]
    ) -> str:
        """Load the experts of each rank; return what kept it from that."""
        refusal = self.reserve(states, experts)
        if not refusal:
            for state, pairs in zip(states, experts, strict=True):
                state.loaded[version] = frozenset((la, ex) for la, ex in pairs)
        return refusal

    def reserve(self, states: list[RankState], experts: list[list[list[int]]]) -> str:
        """Return which rank has no memory for the experts beside those loaded."""
        for state, pairs in zip(states, experts, strict=True):
            wanted = frozenset((layer, expert) for layer, expert in pairs)
            union = wanted.union(*state.loaded.values())
            if len(union) > self.memory_experts:
                return f"rank {state.rank}: {len(union)} experts do not fit"
        return ""

    def unload(self, states: list[RankState], kept: list[Version]) -> None:
        """Free experts that no kept map needs; those in use stay."""
        for state in states:
            used = {state.version, state.next_version, *kept}
            state.loaded = {v: e for v, e in state.loaded.items() if v in used}

    def fresh_order(self, states: list[RankState], epoch: int, order: int) -> bool:
        """Return whether an order is of this epoch and not older than the last."""
        if not states or epoch != self.epoch:
            return False
        return all(order >= state.order for state in states)

    def hold_before(self, states: list[RankState], step: int, order: int) -> bool:
        """Hold the ranks before `step` unless one has begun it."""
        if self.step > step or (
            self.step == step and any(state.begun for state in states)
        ):
            return False
        for state in states:
            state.order, state.hold = order, step
        return True

    def set_map(
        self, states: list[RankState], version: Version, step: int, order: int
    ) -> bool:
        """Use a map from `step` on; False if it is not loaded."""
        if not all(version in state.loaded for state in states):
            return False
        for state in states:
            if state.order == order and state.hold is None:
                continue
            state.version = state.map_at(self.step)
            state.next_version, state.next_step = version, step
            state.order, state.hold = order, None
        return True

    def release(self, states: list[RankState], order: int) -> None:
        """Release a hold."""
        for state in states:
            state.order, state.hold = order, None

    def join(self, states: list[RankState], version: Version, order: int) -> bool:
        """Take part in the epoch with a map; False if it is not loaded."""
        if not all(version in state.loaded for state in states):
            return False
        for state in states:
            state.joined_epoch = self.epoch
            state.version, state.next_version = version, None
            state.order, state.hold = order, None
        return True

    def begin(self, now_ms: float) -> bool:
        """Let every rank that can begin the step; return whether all have."""
        for state in self.ranks:
            held = state.hold is not None and state.hold <= self.step
            if (
                state.begun is None
                and state.joined_epoch == self.epoch
                and not held
                and now_ms >= state.stalled_until_ms
            ):
                state.begun = state.map_at(self.step)
        return self.epoch > 0 and all(state.begun for state in self.ranks)

    def work_ms(self) -> list[float]:
        """Return the time that each rank works in the step begun."""
        jitter = self._random.uniform
        return [
            self.step_ms * state.slowness * load * (1 + jitter(0, STRAGGLER_JITTER))
            for state, load in zip(self.ranks, self._loads(), strict=True)
        ]

    def _loads(self) -> list[float]:
        """Return each rank's share of the work, 1 on average."""
        if not self.weights:
            return [1.0] * len(self.ranks)
        held: list[Iterable[tuple[int, int]]] = [
            state.loaded[state.begun] if state.begun else () for state in self.ranks
        ]
        copies = Counter(pair for pairs in held for pair in pairs)
        loads = [sum(self.weights[p[1]] / copies[p] for p in pairs) for pairs in held]
        mean = sum(loads) / len(loads) or 1.0
        return [load / mean for load in loads]

    def end(self, *, waited_ms: float, work_ms: list[float]) -> None:
        """Record the step that all ranks have begun, and pass on to the next."""
        versions = sorted({state.begun for state in self.ranks if state.begun})
        entry = StepRecord(
            step=self.step,
            epoch=self.epoch,
            versions=versions,
            waited_ms=waited_ms,
            fastest_ms=min(work_ms),
            slowest_ms=max(work_ms),
        )
        self.record.append(entry)
        if len(versions) > 1:
            self.mixed.append(entry)
        self.counts["steps"] += 1
        self.step += 1
        for state in self.ranks:
            state.begun = None
