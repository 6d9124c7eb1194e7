"""Choice of a target for each request of an entry."""

import random
from collections.abc import Sequence

import msgspec
from returns.result import Result, Success

from carobroute.engines import CacheEvents
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.health import HealthParameters
from carobroute.links import LoadReport
from carobroute.requests._carob import BLOCK_TOKENS
from carobroute.requests._policies import RoutingPolicy, routing_policies
from carobroute.requests._prefix import PrefixIndex
from carobroute.requests._subset import choose_subset
from carobroute.requests._target import Sent, TargetRecord
from carobroute.requests._team_shares import TeamShares
from carobroute.requests._views import Choice, RouteQuery, TargetView
from carobroute.utils import Clock
from carobroute.world import TargetState

DEFAULT_POLICY = "carob"
SUBSET_SIZE = 24
NO_TARGET_RETRY_MS = 1_000.0


class SentCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that was sent: the target's record, what was noted of it, its team."""

    record: TargetRecord | None
    sent: Sent | None
    team: str = ""


class Router:
    """Chooses targets, and keeps what the choice needs to know.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    name : str, default=""
        Name of this entry, which places its subset.
    data_centre : str, default=""
        Data centre of this entry.
    subset_size : int, default=24
        Targets of a service that this entry sends to.
    health : HealthParameters, default=None
        Times and bounds of ejection and slow start.
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
        "_teams",
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
        self._teams = TeamShares(clock=clock)
        self._records: dict[str, TargetRecord] = {}
        self._views: dict[str, list[TargetView]] = {}
        self._subsets: dict[str, list[str]] = {}
        self._entries: list[str] = []
        self._policies: dict[str, RoutingPolicy] = {}
        self._policy_names: dict[str, str] = {}

    @property
    def records(self) -> list[TargetRecord]:
        """What is known of each target of the subsets, for dumps."""
        return list(self._records.values())

    @property
    def prefixes(self) -> PrefixIndex:
        """Belief about prefix caches."""
        return self._prefixes

    def subset(self, service: str) -> list[str]:
        """Return the targets of `service` that this entry keeps links to."""
        return list(self._subsets.get(service, []))

    def serving(self, service: str) -> list[str]:
        """Return all serving targets of `service`, in the subset or not.

        Those found unhealthy here are left out, unless that would leave none.
        """
        views = self._views.get(service, [])
        names = [view.name for view in views if view.state is TargetState.SERVING]
        return [name for name in names if self._usable(name)] or names

    def set_policy(self, service: str, name: str) -> None:
        """Have `service` routed by the registered policy called `name`.

        Raises
        ------
        KeyError
            If there is no such policy.
        """
        if self._policy_names.get(service) != name:
            kind = routing_policies.get(name)
            self._policies[service] = kind(random=self._random, prefixes=self._prefixes)
            self._policy_names[service] = name

    def update_entries(self, names: Sequence[str]) -> None:
        """Take the names of the entries of this data centre."""
        self._entries = sorted(names)
        self._place()

    def update_targets(self, views: Sequence[TargetView]) -> None:
        """Take all targets of all services, in place of those known so far."""
        self._views = {}
        for view in views:
            self._views.setdefault(view.service, []).append(view)
        self._place()

    def choose(self, query: RouteQuery) -> Result[Choice, Fault]:
        """Return a target for the request, with the inputs that explain it."""
        everyone = self._of_service(query.service)
        usable = [r for r in everyone if r.available and r.name not in query.excluded]
        if not usable:
            return fail(
                ErrorKind.NO_TARGET,
                f"service {query.service!r} has {len(everyone)} targets here, none of"
                f" which is serving and untried ({len(query.excluded)} were tried)",
                retry_after_ms=NO_TARGET_RETRY_MS,
            )
        query = msgspec.structs.replace(
            query,
            light=self._teams.light(query.team),
            flooding=self._teams.flooding(query.team),
        )
        healthy = [r for r in usable if not r.health.ejected]
        pick = self._policy(query.service).pick(healthy or usable, query, everyone)
        return Success(
            Choice(
                target=pick.record.name,
                policy=self._policy_names[query.service],
                reason=pick.reason if healthy else "all_ejected",
                candidates=pick.candidates,
                available=len(healthy),
                known=len(everyone),
            )
        )

    def note_sent(self, target: str, query: RouteQuery) -> SentCall:
        """Note that a request was sent to `target`.

        Returns
        -------
        sent : SentCall
            To be handed to `note_first_byte` and, in any case, to `note_end`.
        """
        self._teams.note_sent(query.team)
        record = self._records.get(target)
        if record is None:
            return SentCall(record=None, sent=None, team=query.team)
        cached = self._prefixes.cached(target, query.prompt_blocks)
        uncached = max(0, query.tokens - cached * BLOCK_TOKENS)
        sent = record.note_sent(query.prompt_blocks, uncached)
        return SentCall(record=record, sent=sent, team=query.team)

    def note_first_byte(self, call: SentCall, elapsed_ms: float) -> None:
        """Note the time from sending to the first byte of the answer.

        Only now are the prompt's blocks believed to be cached there: a call that was
        refused never ran.
        """
        record, sent = call.record, call.sent
        if record is None or sent is None:
            return
        record.note_first_byte(elapsed_ms, sent)
        if self._records.get(record.name) is record:
            self._prefixes.note_sent(record.name, sent.blocks)
        policy = self._policy(record.view.service)
        policy.note_first_byte(record, elapsed_ms, sent)

    def note_end(self, call: SentCall, ok: bool, duration_ms: float = 0.0) -> None:
        """Note the end of a request that `note_sent` counted, whatever its outcome."""
        record, sent = call.record, call.sent
        if record is None or sent is None:
            return
        record.note_end(ok, sent)
        if not ok:
            self._teams.note_refused(call.team)
        if ok and duration_ms > 0:
            self._policy(record.view.service).note_end(record, duration_ms)

    def note_failure(self, target: str) -> bool:
        """Note a failure that speaks against `target`; return whether it was ejected.

        No more than a bounded share of a service's targets is out at a time, since a
        fault that seems to hit most of them is more likely on this side.
        """
        record = self._records.get(target)
        if record is None or not record.health.note_failure():
            return False
        everyone = self._of_service(record.view.service)
        out = sum(r.health.ejected for r in everyone if r is not record)
        if record.health.ejected or out + 1 > self._ejectable(len(everyone)):
            return False
        record.health.eject()
        return True

    def note_report(self, report: LoadReport, incarnation: str = "") -> bool:
        """Take a load report, of the named run of the local process if given.

        Returns
        -------
        taken : bool
            False for an unknown target, a late report, or one from another run, such
            as a process that wakes after it was replaced.
        """
        record = self._records.get(report.target)
        if record is None:
            return False
        known = record.view.incarnation
        if incarnation and known and incarnation != known:
            return False
        return record.note_report(report)

    def note_cache_events(self, target: str, events: CacheEvents) -> None:
        """Take cache events of a target."""
        if target in self._records:
            self._prefixes.note_events(target, events)

    def note_leaving(self, target: str) -> None:
        """Send `target` no new work, whatever source marked it as leaving."""
        record = self._records.get(target)
        if record is not None:
            record.note_leaving()

    def _usable(self, name: str) -> bool:
        record = self._records.get(name)
        return record is None or (record.available and not record.health.ejected)

    def _ejectable(self, count: int) -> int:
        return max(1, int(self._health.ejected_share * count)) if count > 1 else 0

    def _of_service(self, service: str) -> list[TargetRecord]:
        return [self._records[name] for name in self._subsets.get(service, ())]

    def _policy(self, service: str) -> RoutingPolicy:
        if service not in self._policies:
            self.set_policy(service, DEFAULT_POLICY)
        return self._policies[service]

    def _place(self) -> None:
        """Choose the subsets anew, and keep what is known of targets that stay."""
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
            known = any(name in self._records for name in names)
            for name in names:
                records[name] = self._updated(by_name[name], late=known)
        for name in self._records.keys() - records.keys():
            self._prefixes.forget(name)
        self._records = records

    def _updated(self, view: TargetView, *, late: bool) -> TargetRecord:
        record = self._records.get(view.name)
        if record is None:
            record = TargetRecord(view=view, clock=self._clock, health=self._health)
            if late:
                # A target that joins others has cold caches.
                record.health.note_returned()
            return record
        record.update(view)
        return record
