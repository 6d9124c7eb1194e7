"""Limits on the streams of rank groups, so that none of them pauses for too long.

All ranks of a group advance together, so a stream that is let in slows every stream of
its group. A place that is free at a rank says nothing about that.
"""

from collections.abc import Callable, Iterable

import msgspec

from carobroute.domain import ServiceProfile
from carobroute.experts import ImbalanceEstimate, PassModel
from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._rank_groups import PassTimeEstimators
from carobroute.gateway._targets import Target, TargetDirectory
from carobroute.utils import Clock

# Interval at which limits are worked out again.
UPDATE_INTERVAL_MS = 250.0
# Part of the gap target that a pass may take. The rest is for the way to the caller and
# for passes that read more prompts than usual.
PASS_RATIO = 0.9
# Imbalance that is assumed while none is seen: that of a map that was made for the
# demand.
USUAL_IMBALANCE = 1.6
# Passes that would need a larger one have another cause: a switch that holds the group,
# a stall, or a rank that is slow.
MAX_IMBALANCE = 4.0
# Streams of a rank below which passes tell too little of the imbalance.
MIN_STREAMS = 0.5
# Relative change of a limit from which on it is logged.
LOGGED_CHANGE = 0.1
LOG_INTERVAL_MS = 1_000.0
# Share of the gateways that see no larger imbalance than the one that counts: few
# streams at a gateway, or a busy one, give some that are too large.
AGREED_SHARE = 0.75
# Largest part of all places that is kept for more urgent calls.
MAX_RESERVED_SHARE = 0.25


class GroupLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Limit of one group, with what it was worked out from.

    Parameters
    ----------
    group, service : str
        The group and its service.
    streams : float
        Streams that the group may run, of all gateways.
    places : int
        Slots of all its ranks.
    running : float
        Streams that it runs, as far as known.
    imbalance : float
        Imbalance that it is worked out for.
    seen_ms, expected_ms : float
        Time of a pass that was seen, 0 for none, and that the model expects.
    events : float
        Passes for which a usual stream runs.
    cause : str
        Why the last observation did not count: `no_streams`, `slow_rank`, `closed`,
        `stalled`; empty if it did.
    """

    group: str
    service: str
    streams: float
    places: int
    running: float
    imbalance: float
    seen_ms: float
    expected_ms: float
    events: float
    cause: str

    @property
    def is_binding(self) -> bool:
        """Whether the limit is below the places of the group."""
        return self.streams < self.places


class _GroupState:
    """Estimate and limit of one group."""

    __slots__ = ("epoch", "estimate", "limit", "logged", "logged_ms")

    def __init__(self) -> None:
        self.epoch = -1
        self.estimate = ImbalanceEstimate(usual=USUAL_IMBALANCE)
        self.limit: GroupLimit | None = None
        self.logged = 0.0
        self.logged_ms = float("-inf")


class GroupLimits:
    """Limit of each rank group whose service has a target for gaps between events.

    Each gateway works the limits out from the published figures of the engine and the
    imbalance of experts that its streams show. Gateways tell each other that imbalance
    and use the upper quartile, so that their limits agree.

    Parameters
    ----------
    clock : Clock
        Source of time.
    directory : TargetDirectory
        Known targets, among them the ranks.
    configuration : ActiveConfiguration
        Configuration with the engines and gap targets.
    pass_time_estimators : PassTimeEstimators
        Passes that the streams of this gateway show.
    peer_imbalances : callable, optional
        Returns the imbalances of a group that live peers see.
    heard_share : callable, optional
        Returns the share of all gateways that this one is in touch with, itself
        included. The others are assumed to have as many streams.
    on_change : callable, optional
        Called with a limit that has changed noticeably.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_directory",
        "_heard_share",
        "_on_change",
        "_pass_time_estimators",
        "_peer_imbalances",
        "_states",
        "_updated_ms",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        directory: TargetDirectory,
        configuration: ActiveConfiguration,
        pass_time_estimators: PassTimeEstimators,
        peer_imbalances: Callable[[str], Iterable[float]] = lambda group: (),
        heard_share: Callable[[], float] = lambda: 1.0,
        on_change: Callable[[GroupLimit], None] = lambda limit: None,
    ):
        self._heard_share = heard_share
        self._clock = clock
        self._directory = directory
        self._configuration = configuration
        self._pass_time_estimators = pass_time_estimators
        self._peer_imbalances = peer_imbalances
        self._on_change = on_change
        self._states: dict[str, _GroupState] = {}
        self._updated_ms = float("-inf")

    @property
    def limits(self) -> list[GroupLimit]:
        """Limits of all groups."""
        states = self._states.values()
        return [state.limit for state in states if state.limit is not None]

    @property
    def imbalances(self) -> dict[str, float]:
        """Imbalance of each group that this gateway sees, for its peers."""
        return {
            group: round(state.estimate.value, 2)
            for group, state in self._states.items()
            if state.limit is not None and not state.limit.cause
        }

    def limit(self, group: str) -> GroupLimit | None:
        """Return the limit of a group; None if it has none."""
        state = self._states.get(group)
        return None if state is None else state.limit

    def gap_target_ms(self, service: str) -> float:
        """Return the smallest gap target of a service's routes; 0 for none."""
        table = self._configuration.table
        return table.gap_target_ms(service) if table is not None else 0.0

    def first_event_ms(self, service: ServiceProfile) -> float | None:
        """Return the expected time to the first event of a call that is sent now.

        It is None if the service has no limited group.
        """
        limits = [limit for limit in self.limits if limit.service == service.name]
        if not limits or service.engine is None:
            return None
        pass_ms = max(limit.seen_ms or limit.expected_ms for limit in limits)
        model = PassModel.from_engine(service.engine, ranks=1, slots=1)
        return model.first_event_ms(pass_ms)

    def find_groups_with_room(
        self, targets: Iterable[Target], *, kept: float
    ) -> set[str] | None:
        """Return the groups that may run one more stream.

        Parameters
        ----------
        targets : iterable of Target
            All targets of a service, also those that get no new calls: their streams
            slow the group as well.
        kept : float
            Streams in all groups together for which room is kept.

        Returns
        -------
        groups : set of str or None
            None if no limit binds.
        """
        if not any(limit.is_binding for limit in self.limits):
            return None
        running: dict[str, float] = {}
        for target in targets:
            running[target.group] = running.get(target.group, 0.0) + target.load
        rooms: dict[str, float] = {}
        heard_share = self._heard_share()
        for group, streams in running.items():
            limit = self.limit(group)
            rooms[group] = (
                float("inf") if limit is None else limit.streams - streams / heard_share
            )
        if sum(max(0.0, room) for room in rooms.values()) < 1.0 + kept:
            return set()
        return {group for group, room in rooms.items() if room >= 1.0}

    def completions_per_ms(self, service: str) -> float:
        """Return the streams that end in a millisecond; 0 if no limit binds."""
        limits = [limit for limit in self.limits if limit.service == service]
        if not any(limit.is_binding for limit in limits):
            return 0.0
        return sum(
            limit.streams / (limit.events * (limit.seen_ms or limit.expected_ms))
            for limit in limits
        )

    def max_kept(self, service: str) -> float:
        """Return the largest number of streams for which room may be kept."""
        limits = [limit for limit in self.limits if limit.service == service]
        return MAX_RESERVED_SHARE * sum(limit.streams for limit in limits)

    def pass_ms(self, service: str) -> float:
        """Return the longest time of a pass of a service's groups; 0 if not known."""
        return max(
            (
                limit.seen_ms or limit.expected_ms
                for limit in self.limits
                if limit.service == service
            ),
            default=0.0,
        )

    def update(self) -> None:
        """Work the limits out again, if it is time."""
        now_ms = self._clock.now_ms()
        if now_ms - self._updated_ms < UPDATE_INTERVAL_MS:
            return
        self._updated_ms = now_ms
        targets_by_group: dict[str, list[Target]] = {}
        for target in self._directory.all_targets():
            if target.entry.group and not target.is_gone:
                targets_by_group.setdefault(target.entry.group, []).append(target)
        for group in self._states.keys() - targets_by_group.keys():
            del self._states[group]
        for group, targets in targets_by_group.items():
            self._update_group(group, targets, now_ms)

    def _update_group(self, group: str, targets: list[Target], now_ms: float) -> None:
        service = self._find_service(targets)
        gap_target_ms = self.gap_target_ms(service.name) if service else 0.0
        if service is None or service.engine is None or not gap_target_ms:
            self._states.pop(group, None)
            return
        state = self._states.setdefault(group, _GroupState())
        epoch = max(target.entry.group_epoch for target in targets)
        if epoch != state.epoch:
            state.estimate.reset()
            state.epoch = epoch
        slots = max(target.entry.slots for target in targets)
        ranks = max(len(targets), max(t.entry.group_size for t in targets))
        model = PassModel.from_engine(service.engine, ranks=ranks, slots=slots)
        running = sum(target.load for target in targets) / self._heard_share()
        estimator = self._pass_time_estimators.get(group)
        seen_ms = estimator.take_recent_ms() or 0.0
        streams = running / ranks
        imbalance = model.find_imbalance(seen_ms, streams)
        cause = _find_cause(targets, seen_ms, streams, imbalance)
        state.estimate.note(None if cause else imbalance, now_ms)
        believed = self._agree(group, state.estimate.value, has_seen=not cause)
        per_rank = model.max_streams(PASS_RATIO * gap_target_ms, believed)
        state.limit = GroupLimit(
            group=group,
            service=service.name,
            streams=per_rank * ranks,
            places=slots * ranks,
            running=running,
            imbalance=believed,
            seen_ms=seen_ms,
            expected_ms=model.pass_ms(streams, believed),
            events=model.events,
            cause=cause,
        )
        self._note(state, now_ms)

    def _find_service(self, targets: list[Target]) -> ServiceProfile | None:
        table = self._configuration.table
        if table is None:
            return None
        service = table.find_service(targets[0].entry.service)
        is_complete = service is not None and service.engine is not None
        if not is_complete or service.engine.experts is None:  # type: ignore[union-attr]
            return None
        return service

    def _agree(self, group: str, own: float, *, has_seen: bool) -> float:
        """Return the imbalance that most of the gateways do not exceed."""
        seen = [value for value in self._peer_imbalances(group) if value >= 1.0]
        if has_seen or not seen:
            seen.append(own)
        seen.sort()
        return min(MAX_IMBALANCE, seen[int(AGREED_SHARE * (len(seen) - 1))])

    def _note(self, state: _GroupState, now_ms: float) -> None:
        limit = state.limit
        assert limit is not None
        change = abs(limit.streams - state.logged) / limit.places
        if change < LOGGED_CHANGE or now_ms - state.logged_ms < LOG_INTERVAL_MS:
            return
        state.logged, state.logged_ms = limit.streams, now_ms
        self._on_change(limit)


def _find_cause(
    targets: list[Target], seen_ms: float, streams: float, imbalance: float
) -> str:
    """Return why an observation tells nothing of the imbalance; empty if it does."""
    if not all(target.entry.is_group_open for target in targets):
        return "closed"
    if not seen_ms or streams < MIN_STREAMS:
        return "no_streams"
    if any(target.is_slow for target in targets):
        return "slow_rank"
    return "stalled" if imbalance > MAX_IMBALANCE else ""
