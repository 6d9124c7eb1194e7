"""Router: chooses a target for each request of an entry."""

import random
from collections.abc import Sequence

import msgspec
from returns.result import Result, Success

from carobroute.domain import TargetState
from carobroute.engines import CacheEvents
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.health import HealthParameters
from carobroute.links import LoadReport
from carobroute.requests._least_cost_policy import TOKENS_PER_BLOCK
from carobroute.requests._policies import RoutingPolicy, routing_policies
from carobroute.requests._prefix_index import PrefixIndex
from carobroute.requests._routing_types import Choice, RouteQuery, TargetView
from carobroute.requests._subsetting import choose_subset
from carobroute.requests._target_record import PendingCall, TargetRecord
from carobroute.requests._team_traffic import TeamTraffic
from carobroute.utils import Clock

DEFAULT_POLICY = "carob"
SUBSET_SIZE = 24
NO_TARGET_RETRY_MS = 1_000.0


class SentCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call sent to a target, to be passed back to the router.

    Parameters
    ----------
    record : TargetRecord or None
        Record of the target; None if the target is not in a subset of this entry.
    pending_call : PendingCall or None
        The call as kept in the record until its first byte; None without a record.
    team : str, default=""
        Team of the caller.
    """

    record: TargetRecord | None
    pending_call: PendingCall | None
    team: str = ""


class Router:
    """Chooses targets and keeps the records on which the choice depends.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    name : str, default=""
        Name of this entry, which determines its subsets.
    data_centre : str, default=""
        Data centre of this entry.
    subset_size : int, default=24
        Maximum number of targets of a service that this entry sends to.
    health : HealthParameters, default=None
        Parameters of ejection and slow start.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_entries",
        "_health",
        "_name",
        "_policies",
        "_policy_names",
        "_prefixes",
        "_random",
        "_records",
        "_subset_size",
        "_subsets",
        "_team_traffic",
        "_views",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        name: str = "",
        data_centre: str = "",
        subset_size: int = SUBSET_SIZE,
        health: HealthParameters | None = None,
    ):
        self._clock = clock
        self._random = random
        self._name = name
        self._data_centre = data_centre
        self._subset_size = subset_size
        self._health = health or HealthParameters()
        self._prefixes = PrefixIndex(clock=clock)
        self._team_traffic = TeamTraffic(clock=clock)
        self._records: dict[str, TargetRecord] = {}
        self._views: dict[str, list[TargetView]] = {}
        self._subsets: dict[str, list[str]] = {}
        self._entries: list[str] = []
        self._policies: dict[str, RoutingPolicy] = {}
        self._policy_names: dict[str, str] = {}

    @property
    def records(self) -> list[TargetRecord]:
        """Records of all targets in the subsets, for dumps."""
        return list(self._records.values())

    @property
    def prefixes(self) -> PrefixIndex:
        """Estimated contents of the prefix caches of targets."""
        return self._prefixes

    def subset_targets(self, service: str) -> list[str]:
        """Return the targets of `service` that this entry keeps links to."""
        return list(self._subsets.get(service, []))

    def serving_targets(self, service: str) -> list[str]:
        """Return all serving targets of `service`, including those outside the subset.

        Targets that are ejected or leaving are left out, unless none would remain.
        """
        views = self._views.get(service, [])
        names = [view.name for view in views if view.state is TargetState.SERVING]
        return [name for name in names if self._is_usable(name)] or names

    def set_policy(self, service: str, name: str) -> None:
        """Route `service` by the registered policy `name`.

        Raises
        ------
        KeyError
            If no policy is registered under `name`.
        """
        if self._policy_names.get(service) != name:
            policy_class = routing_policies.get(name)
            self._policies[service] = policy_class(
                random=self._random, prefixes=self._prefixes
            )
            self._policy_names[service] = name

    def update_entries(self, names: Sequence[str]) -> None:
        """Replace the names of the entries of this data centre."""
        self._entries = sorted(names)
        self._update_subsets()

    def update_targets(self, views: Sequence[TargetView]) -> None:
        """Replace all targets of all services."""
        self._views = {}
        for view in views:
            self._views.setdefault(view.service, []).append(view)
        self._update_subsets()

    def choose(self, query: RouteQuery) -> Result[Choice, Fault]:
        """Choose a target for the request; the result includes the inputs compared."""
        service_records = self._service_records(query.service)
        eligible = [
            r
            for r in service_records
            if r.is_available and r.name not in query.excluded
        ]
        if not eligible:
            return fail(
                ErrorKind.NO_TARGET,
                f"service {query.service!r} has {len(service_records)} targets in the"
                " subset, each of which is excluded or not serving"
                f" ({len(query.excluded)} targets are excluded)",
                retry_after_ms=NO_TARGET_RETRY_MS,
            )
        query = msgspec.structs.replace(
            query,
            is_light=self._team_traffic.is_light(query.team),
            is_flooding=self._team_traffic.is_flooding(query.team),
        )
        healthy = [r for r in eligible if not r.health.is_ejected]
        chosen = self._policy(query.service).choose(
            healthy or eligible, query, service_records
        )
        return Success(
            Choice(
                target=chosen.record.name,
                policy=self._policy_names[query.service],
                reason=chosen.reason if healthy else "all_ejected",
                candidates=chosen.candidates,
                available=len(healthy),
                known=len(service_records),
            )
        )

    def note_sent(self, target: str, query: RouteQuery) -> SentCall:
        """Record that a request was sent to `target`.

        Returns
        -------
        sent : SentCall
            Must be passed to `note_end`, and to `note_first_byte` if there is one.
        """
        self._team_traffic.note_sent(query.team)
        record = self._records.get(target)
        if record is None:
            return SentCall(record=None, pending_call=None, team=query.team)
        cached_count = self._prefixes.count_cached(target, query.prompt_blocks)
        uncached = max(0, query.tokens - cached_count * TOKENS_PER_BLOCK)
        sent = record.note_sent(query.prompt_blocks, uncached)
        return SentCall(record=record, pending_call=sent, team=query.team)

    def note_first_byte(self, call: SentCall, elapsed_ms: float) -> None:
        """Record the time from sending to the first byte of the answer.

        The prompt's blocks are added to the prefix index only now, because a refused
        call never ran.
        """
        record, sent = call.record, call.pending_call
        if record is None or sent is None:
            return
        record.note_first_byte(elapsed_ms, sent)
        if self._records.get(record.name) is record:
            self._prefixes.note_sent(record.name, sent.blocks)
        policy = self._policy(record.view.service)
        policy.note_first_byte(record, elapsed_ms, sent)

    def note_end(self, call: SentCall, ok: bool, duration_ms: float = 0.0) -> None:
        """Record the end of a call returned by `note_sent`, whatever its outcome."""
        record, sent = call.record, call.pending_call
        if record is None or sent is None:
            return
        record.note_end(ok, sent)
        if not ok:
            self._team_traffic.note_refused(call.team)
        if ok and duration_ms > 0:
            self._policy(record.view.service).note_end(record, duration_ms)

    def note_failure(self, target: str) -> bool:
        """Record a failure attributed to `target`; return whether it was ejected.

        The share of a service's targets that are ejected at the same time is bounded,
        because the cause is more likely at this entry if most targets fail.
        """
        record = self._records.get(target)
        if record is None or not record.health.note_failure():
            return False
        service_records = self._service_records(record.view.service)
        ejected = sum(r.health.is_ejected for r in service_records if r is not record)
        if record.health.is_ejected or ejected + 1 > self._max_ejected(
            len(service_records)
        ):
            return False
        record.health.eject()
        return True

    def note_report(self, report: LoadReport, incarnation: str = "") -> bool:
        """Apply a load report, sent by `incarnation` of the local process if known.

        Returns
        -------
        taken : bool
            False for an unknown target, a late report, or a report of another
            incarnation, such as a process that resumes after it was replaced.
        """
        record = self._records.get(report.target)
        if record is None:
            return False
        current = record.view.incarnation
        if incarnation and current and incarnation != current:
            return False
        return record.note_report(report)

    def note_cache_events(self, target: str, events: CacheEvents) -> None:
        """Apply cache events of a target."""
        if target in self._records:
            self._prefixes.note_events(target, events)

    def note_leaving(self, target: str) -> None:
        """Mark `target` as leaving, so that it gets no new calls."""
        record = self._records.get(target)
        if record is not None:
            record.note_leaving()

    def _is_usable(self, name: str) -> bool:
        record = self._records.get(name)
        return record is None or (record.is_available and not record.health.is_ejected)

    def _max_ejected(self, count: int) -> int:
        return max(1, int(self._health.max_ejected_share * count)) if count > 1 else 0

    def _service_records(self, service: str) -> list[TargetRecord]:
        return [self._records[name] for name in self._subsets.get(service, ())]

    def _policy(self, service: str) -> RoutingPolicy:
        if service not in self._policies:
            self.set_policy(service, DEFAULT_POLICY)
        return self._policies[service]

    def _update_subsets(self) -> None:
        """Recompute the subsets; keep the records of targets that remain."""
        records = {}
        self._subsets = {}
        for service, views in self._views.items():
            names = choose_subset(
                views,
                entry=self._name,
                entries=self._entries,
                data_centre=self._data_centre,
                size=self._subset_size,
            )
            self._subsets[service] = names
            by_name = {view.name: view for view in views}
            has_known_targets = any(name in self._records for name in names)
            for name in names:
                records[name] = self._updated_record(
                    by_name[name], is_addition=has_known_targets
                )
        for name in self._records.keys() - records.keys():
            self._prefixes.forget(name)
        self._records = records

    def _updated_record(self, view: TargetView, *, is_addition: bool) -> TargetRecord:
        record = self._records.get(view.name)
        if record is None:
            record = TargetRecord(view=view, clock=self._clock, health=self._health)
            if is_addition:
                # A target that joins a service already in use starts with cold caches.
                record.health.note_replaced()
            return record
        record.update(view)
        return record
