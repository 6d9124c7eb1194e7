"""Targets in the store's list, with the load that this gateway sees there."""

import enum
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import msgspec
import xxhash

from carobroute.domain import ListedTargetState, TargetEntry
from carobroute.gateway._end_history import StreamEndHistory
from carobroute.health import AnswerRecord, OutlierParameters
from carobroute.platform import RankReport, ReportedLoad
from carobroute.utils import Clock

# Age from which the load in a target's answer is ignored. Unlike the digests of other
# gateways, it includes calls of gateways that have crashed, but it goes stale quickly.
REPORTED_LOAD_MAX_AGE_MS = 400.0

# Age from which a reported slowdown is ignored. Reports are read every 1.5 s while
# passes are slow.
SLOWDOWN_MAX_AGE_MS = 4_000.0
# Slowdown from which on a rank gets no calls while others can take them: each pass of
# its group lasts at least as long as its own part.
SLOW_TARGET_SLOWDOWN = 2.0
# Time for which entries of runs that are gone are recognized in an older list.
GONE_RETENTION_MS = 60_000.0
# Time for which it is remembered that a run which is no longer listed leaves.
LEAVING_RETENTION_MS = 600_000.0


class Target:
    """One incarnation of a target, with this gateway's calls in flight there.

    Parameters
    ----------
    entry : TargetEntry
        The target's entry in the list.
    clock : Clock
        Source of time.
    health : OutlierParameters
        Limits of outlier detection, trials and slow start.
    peer_calls : callable
        Returns the number of calls that other gateways have in flight at an
        incarnation.
    peer_slowdown : callable, default=None
        Returns the slowdown of an incarnation that other gateways know; None if there
        are none.
    peer_ejections : callable, default=None
        Returns the number of other gateways that have ejected a run; None if there are
        none.
    """

    __slots__ = (
        "_clock",
        "_last_report",
        "_load_reported_ms",
        "_own_slowdown",
        "_paused_until_ms",
        "_peer_calls",
        "_peer_ejections",
        "_peer_slowdown",
        "_reported_other_calls",
        "_run_id",
        "_slowdown_reported_ms",
        "entry",
        "health",
        "in_flight",
        "is_evacuated",
        "is_gone",
        "last_event_ms",
        "overwritten_ms",
        "stream_ends",
    )

    def __init__(
        self,
        *,
        entry: TargetEntry,
        clock: Clock,
        health: OutlierParameters,
        peer_calls: Callable[[str], int],
        peer_slowdown: Callable[[str], float] | None = None,
        peer_ejections: Callable[[str], int] | None = None,
    ):
        self._clock = clock
        self._peer_calls = peer_calls
        self._peer_ejections = peer_ejections or (lambda run_id: 0)
        self._peer_slowdown = peer_slowdown or (lambda incarnation: 1.0)
        self._last_report: RankReport | None = None
        self._own_slowdown = 1.0
        # Boot time up to which the target wants no calls from this gateway.
        self._paused_until_ms = 0.0
        self._slowdown_reported_ms = -SLOWDOWN_MAX_AGE_MS
        self._reported_other_calls = 0.0
        self._load_reported_ms = -REPORTED_LOAD_MAX_AGE_MS
        self._run_id = f"{entry.incarnation}@{entry.started_ms}"
        self.entry = entry
        self.health = AnswerRecord(clock=clock, parameters=health)
        self.in_flight = 0
        self.is_gone = False
        # Whether its data centre is to get no new calls.
        self.is_evacuated = False
        # Boot time from which on its entry is another program's; None if it is its own.
        self.overwritten_ms: float | None = None
        # Monotonic time of the last event of any stream from this target.
        self.last_event_ms = 0.0
        self.stream_ends = StreamEndHistory(clock=clock)

    @property
    def incarnation(self) -> str:
        """Identifier of this incarnation of the target."""
        return self.entry.incarnation

    @property
    def run_id(self) -> str:
        """Identifier of one run of the target, which may restart as it was named."""
        return self._run_id

    @property
    def group(self) -> str:
        """Rank group of the target, or its incarnation where it has none."""
        return self.entry.group or self.entry.incarnation

    @property
    def is_usable(self) -> bool:
        """Whether new calls may be sent to the target."""
        entry = self.entry
        return (
            not self.is_gone
            and not self.is_evacuated
            and self.overwritten_ms is None
            and entry.condition is ListedTargetState.READY
            and entry.is_group_open
            and not (self._paused_until_ms and self.pause_remaining_ms)
        )

    @property
    def paused_until_ms(self) -> float:
        """Boot time up to which the target wants no calls; 0 if it never said so."""
        return self._paused_until_ms

    @property
    def pause_remaining_ms(self) -> float:
        """Time for which the target wants no calls from this gateway; 0 for none."""
        if not self._paused_until_ms:
            return 0.0
        return max(0.0, self._paused_until_ms - self._clock.boot_time_ms())

    @property
    def other_calls(self) -> float:
        """Estimate of the calls that other gateways have in flight there."""
        peer_calls = self._peer_calls(self.entry.incarnation)
        if self._reported_other_calls <= peer_calls:
            return peer_calls
        age_ms = self._clock.now_ms() - self._load_reported_ms
        is_recent = age_ms < REPORTED_LOAD_MAX_AGE_MS
        return self._reported_other_calls if is_recent else peer_calls

    @property
    def peer_ejections(self) -> int:
        """Number of other gateways that have ejected the target for its answers."""
        return self._peer_ejections(self.run_id)

    @property
    def load(self) -> float:
        """Estimate of the calls that all gateways have in flight there."""
        return self.in_flight + self.other_calls

    @property
    def own_slowdown(self) -> float:
        """Slowdown in a recent report that this gateway read; 1 if there is none."""
        if self._own_slowdown == 1.0:
            return 1.0
        age_ms = self._clock.now_ms() - self._slowdown_reported_ms
        return self._own_slowdown if age_ms < SLOWDOWN_MAX_AGE_MS else 1.0

    @property
    def is_slow(self) -> bool:
        """Whether the target is so slow that it holds up its whole group."""
        slowdown = max(self.own_slowdown, self._peer_slowdown(self.incarnation))
        return slowdown >= SLOW_TARGET_SLOWDOWN

    def pause(self, duration_ms: float) -> None:
        """Send no calls for a time; one that was named before is not shortened."""
        if duration_ms <= 0:
            return
        until_ms = self._clock.boot_time_ms() + duration_ms
        self._paused_until_ms = max(self._paused_until_ms, until_ms)

    def accept_report(self, report: RankReport) -> bool:
        """Note a rank's report; return False for one that is older than the last.

        A second copy of an earlier answer may come in place of the answer to a read.
        The counts of orders and of passes only grow while a rank runs and its group
        stays as it is.
        """
        last = self._last_report
        if (
            last is not None
            and last.started_ms is not None
            and last.started_ms == report.started_ms
        ):
            is_older = (
                report.epoch < last.epoch or report.order_count < last.order_count
            )
            if is_older or (report.epoch == last.epoch and report.step < last.step):
                return False
        self._last_report = report
        self.note_slowdown(report.slowdown)
        return True

    def note_slowdown(self, slowdown: float) -> None:
        """Record the step time, relative to the published one, that a rank reports."""
        self._own_slowdown = slowdown
        self._slowdown_reported_ms = self._clock.now_ms()

    def note_load(self, reported: ReportedLoad) -> None:
        """Update the estimate from the load that the target reports with an answer."""
        calls = reported.running + reported.waiting
        self._reported_other_calls = max(0.0, calls - self.in_flight)
        self._load_reported_ms = self._clock.now_ms()


class RunListing(enum.StrEnum):
    """What the list, answers and peers say of one run of a target.

    Attributes
    ----------
    READY
        It is listed, and nothing says that it leaves.
    LEAVING
        It is listed as leaving, or an answer of its own or a peer has said so.
    REMOVED
        Its entry has been removed, without a report that it leaves.
    REPLACED
        Another run has written its entry, though it has never said that it leaves.
    OVERWRITTEN
        Another program has written over its entry.
    """

    READY = "ready"
    LEAVING = "leaving"
    REMOVED = "removed"
    REPLACED = "replaced"
    OVERWRITTEN = "overwritten"


class LeavingRun(NamedTuple):
    """When it became known that a run leaves, and whether from its own answer."""

    noted_ms: float
    is_first_hand: bool


class DirectoryChange(msgspec.Struct, frozen=True, kw_only=True):
    """Incarnations whose state changed with one reading of the list.

    Parameters
    ----------
    joined, leaving, gone : list of str
        Incarnations that are new, that have begun to leave, and that are gone.
    lost : list of Target
        Those that are gone without having said that they leave.
    suspended, renewed : list of str
        Incarnations whose entries another program has overwritten, and that have
        renewed them since.
    """

    joined: list[str] = []
    leaving: list[str] = []
    gone: list[str] = []
    lost: list[Target] = []
    suspended: list[str] = []
    renewed: list[str] = []


class TargetDirectory:
    """All listed targets, by service.

    A target whose entry is missing is removed at once, unless the store was
    unavailable: then entries may have lapsed, and targets get a grace period in which
    to renew them. One whose entry another program has overwritten is suspended until
    it has renewed the entry.

    Parameters
    ----------
    clock : Clock
        Source of time.
    store_outage_ms : float
        Time without a reading after which entries may have lapsed. It must be longer
        than the interval of the readings.
    lapsed_grace_ms : float
        Grace period in which lapsed entries may be renewed.
    entry_expiry_ms : float, default=5000.0
        Time after which the store has removed the entry of a target that is gone, and
        in which a living one has renewed an entry that was overwritten.
    health : OutlierParameters, default=None
        Limits of outlier detection, trials and slow start.
    peer_calls : callable, default=None
        Returns the number of calls that other gateways have in flight at an
        incarnation; None if there are no other gateways.
    peer_slowdown : callable, default=None
        Returns the slowdown of an incarnation that other gateways know; None if there
        are none.
    peer_ejections : callable, default=None
        Returns the number of other gateways that have ejected a run; None if there are
        none.
    """

    __slots__ = (
        "_clock",
        "_entry_expiry_ms",
        "_evacuated",
        "_expiry_until_ms",
        "_gone",
        "_grace_until_ms",
        "_health",
        "_lapsed_grace_ms",
        "_last_read_ms",
        "_leaving_runs",
        "_list_hash",
        "_list_store_ms",
        "_pauses",
        "_peer_calls",
        "_peer_ejections",
        "_peer_slowdown",
        "_store_outage_ms",
        "_targets",
        "_targets_by_service",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        store_outage_ms: float,
        lapsed_grace_ms: float,
        entry_expiry_ms: float = 5_000.0,
        health: OutlierParameters | None = None,
        peer_calls: Callable[[str], int] | None = None,
        peer_slowdown: Callable[[str], float] | None = None,
        peer_ejections: Callable[[str], int] | None = None,
    ):
        self._clock = clock
        self._peer_ejections = peer_ejections
        self._store_outage_ms = store_outage_ms
        self._lapsed_grace_ms = lapsed_grace_ms
        self._entry_expiry_ms = entry_expiry_ms
        self._health = health or OutlierParameters()
        self._peer_calls = peer_calls or (lambda incarnation: 0)
        self._peer_slowdown = peer_slowdown
        self._evacuated: frozenset[str] = frozenset()
        self._targets: dict[str, Target] = {}
        self._targets_by_service: dict[str, list[Target]] = {}
        # Start of each run that is gone, and when its entry was removed.
        self._gone: dict[str, tuple[int, float]] = {}
        self._expiry_until_ms = 0.0
        # Boot time up to which runs that are gone, or seem so, want no calls.
        self._pauses: dict[str, float] = {}
        # Runs that have said in an answer that they leave.
        self._leaving_runs: dict[str, LeavingRun] = {}
        self._last_read_ms: float | None = None
        self._grace_until_ms = 0.0
        self._list_hash = 0
        self._list_store_ms = 0.0

    @property
    def list_hash(self) -> int:
        """Hash of the list that was read last; 0 before the first reading."""
        return self._list_hash

    @property
    def list_store_ms(self) -> float:
        """Time by the store's clock at which it held that list."""
        return self._list_store_ms

    @property
    def age_ms(self) -> float:
        """Time since the list was last read or confirmed; infinite before that."""
        if self._last_read_ms is None:
            return float("inf")
        return self._clock.boot_time_ms() - self._last_read_ms

    @property
    def outlier_parameters(self) -> OutlierParameters:
        """Limits of outlier detection, trials and slow start."""
        return self._health

    @property
    def grace_remaining_ms(self) -> float:
        """Time until missing entries count as gone; 0 without a grace period."""
        return max(0.0, self._grace_until_ms - self._clock.boot_time_ms())

    def targets(self, service: str) -> list[Target]:
        """Return the targets of a service, including those that are leaving."""
        return self._targets_by_service.get(service, [])

    def find(self, incarnation: str) -> Target | None:
        """Return the target with that incarnation, or None."""
        return self._targets.get(incarnation)

    def all_targets(self) -> list[Target]:
        """Return the targets of all services."""
        return list(self._targets.values())

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Send no new calls to the targets of these data centres, and of no others."""
        self._evacuated = data_centres
        for target in self._targets.values():
            target.is_evacuated = target.entry.data_centre in data_centres

    def find_listing(self, target: Target) -> RunListing:
        """Return what is known of the run of a target, which may be gone."""
        if (
            target.entry.condition is ListedTargetState.LEAVING
            or target.run_id in self._leaving_runs
        ):
            return RunListing.LEAVING
        if target.overwritten_ms is not None:
            return RunListing.OVERWRITTEN
        listed = self._targets.get(target.incarnation)
        if listed is None:
            return RunListing.REMOVED
        if listed.run_id != target.run_id:
            return RunListing.REPLACED
        return RunListing.READY

    @property
    def leaving_runs(self) -> list[str]:
        """Runs that have said in an answer to this gateway that they leave."""
        return [
            run_id
            for run_id, noted in self._leaving_runs.items()
            if noted.is_first_hand
        ]

    @property
    def ejected_runs(self) -> list[str]:
        """Runs that this gateway has ejected for their answers."""
        return [
            target.run_id
            for target in self._targets.values()
            if target.health.is_ejected
        ]

    @property
    def returned_runs(self) -> list[str]:
        """Runs that this gateway has taken back after trials and starts slowly."""
        return [
            target.run_id
            for target in self._targets.values()
            if target.health.is_returning
        ]

    def note_leaving(self, run_id: str, *, is_first_hand: bool = True) -> Target | None:
        """Note that a run said that it leaves, which is final for that run.

        Parameters
        ----------
        run_id : str
            Run of a target.
        is_first_hand : bool, default=True
            Whether it said so to this gateway, and not to a peer.

        Returns
        -------
        target : Target or None
            The target, if the list did not say so yet.
        """
        noted = LeavingRun(self._clock.boot_time_ms(), is_first_hand)
        self._leaving_runs.setdefault(run_id, noted)
        target = self._targets.get(run_id.rpartition("@")[0])
        if target is None or target.run_id != run_id:
            return None
        was_ready = target.entry.condition is ListedTargetState.READY
        target.entry = _as_leaving(target.entry)
        return target if was_ready else None

    def confirm(self, read_ms: float, store_ms: float) -> None:
        """Record that the store still held the same list at a time.

        Parameters
        ----------
        read_ms, store_ms : float
            That time as a boot time of this machine, and by the store's clock.
        """
        if self._last_read_ms is not None:
            self._last_read_ms = max(self._last_read_ms, read_ms)
            self._list_store_ms = max(self._list_store_ms, store_ms)

    def note_restored(self) -> None:
        """Note that the list is an older one, which targets have to write again.

        Runs that are younger than the list get a grace period. Runs that were gone
        before are back if they are still listed once the entries of runs that write
        nothing have expired.
        """
        now_ms = self._clock.boot_time_ms()
        self._grace_until_ms = now_ms + self._lapsed_grace_ms
        self._expiry_until_ms = now_ms + self._entry_expiry_ms

    def count_states(self) -> dict[str, int]:
        """Return the number of targets in each state."""
        states = ("ready", "ejected", "paused", "evacuated", "leaving", "closed")
        counts = dict.fromkeys(states, 0)
        for target in self._targets.values():
            if target.entry.condition is not ListedTargetState.READY:
                state = "leaving"
            elif target.is_evacuated:
                state = "evacuated"
            elif target.pause_remaining_ms:
                state = "paused"
            elif not target.is_usable:
                state = "closed"
            else:
                state = "ejected" if target.health.is_ejected else "ready"
            counts[state] += 1
        return counts

    def update(
        self,
        entries: list[TargetEntry],
        store_ms: float = 0.0,
        unreadable: Collection[str] = (),
    ) -> DirectoryChange:
        """Apply a complete reading of the list, and return the changes.

        Parameters
        ----------
        entries : list of TargetEntry
            All entries that are readable.
        store_ms : float, default=0.0
            Time by the store's clock at which it held them.
        unreadable : collection of str, default=()
            Incarnations whose entries are not: another program may have overwritten
            them, and their targets get no calls until they have renewed them.
        """
        self._list_hash = hash_entries(entries)
        self._list_store_ms = store_ms
        now_ms = self._clock.boot_time_ms()
        if (
            self._last_read_ms is not None
            and now_ms - self._last_read_ms > self._store_outage_ms
        ):
            self._grace_until_ms = now_ms + self._lapsed_grace_ms
        self._last_read_ms = now_ms
        self._forget_gone(now_ms)
        change = DirectoryChange()
        ignored = {
            entry.incarnation
            for entry in entries
            if self._names_no_run(entry) or self._is_outdated(entry)
        }
        if ignored:
            # No peer can confirm this list, so it is read again.
            self._list_hash = 0
        for entry in entries:
            if entry.incarnation not in ignored:
                self._apply_entry(entry, change)
        self._suspend(ignored.union(unreadable), change)
        if now_ms >= self._grace_until_ms:
            listed = {entry.incarnation for entry in entries}.union(unreadable)
            for incarnation, target in list(self._targets.items()):
                if incarnation not in listed or self._has_expired(target, now_ms):
                    self._note_gone(self._targets.pop(incarnation), change)
        self._targets_by_service = {}
        for target in self._targets.values():
            self._targets_by_service.setdefault(target.entry.service, []).append(target)
        return change

    def _names_no_run(self, entry: TargetEntry) -> bool:
        """Whether an entry lacks the start that its target has named before.

        Another program has written it, perhaps over the entry of a target that leaves.
        """
        known = self._targets.get(entry.incarnation)
        if known is not None:
            return bool(known.entry.started_ms) and not entry.started_ms
        gone_run = self._gone.get(entry.incarnation)
        return gone_run is not None and bool(gone_run[0]) and not entry.started_ms

    def _suspend(self, overwritten: Collection[str], change: DirectoryChange) -> None:
        """Send no calls to targets whose entries another program has overwritten."""
        for incarnation in overwritten:
            target = self._targets.get(incarnation)
            if target is not None and target.overwritten_ms is None:
                target.overwritten_ms = self._clock.boot_time_ms()
                change.suspended.append(incarnation)

    def _has_expired(self, target: Target, now_ms: float) -> bool:
        """Whether a target has not renewed an entry that was overwritten."""
        if target.overwritten_ms is None:
            return False
        return now_ms - target.overwritten_ms >= self._entry_expiry_ms

    def _note_gone(self, target: Target, change: DirectoryChange) -> None:
        target.is_gone = True
        if target.pause_remaining_ms:
            self._pauses[target.run_id] = target.paused_until_ms
        started_ms = target.entry.started_ms
        self._gone[target.incarnation] = (started_ms, self._clock.boot_time_ms())
        change.gone.append(target.incarnation)
        if target.entry.condition is ListedTargetState.READY:
            change.lost.append(target)

    def _forget_gone(self, now_ms: float) -> None:
        for incarnation, (_, gone_ms) in list(self._gone.items()):
            if now_ms - gone_ms > GONE_RETENTION_MS:
                del self._gone[incarnation]
        for run_id, until_ms in list(self._pauses.items()):
            if until_ms <= now_ms:
                del self._pauses[run_id]
        listed = {target.run_id for target in self._targets.values()}
        for run_id, noted in list(self._leaving_runs.items()):
            if run_id not in listed and now_ms - noted.noted_ms > LEAVING_RETENTION_MS:
                del self._leaving_runs[run_id]

    def _is_outdated(self, entry: TargetEntry) -> bool:
        """Whether an entry is of a run that was gone before the list went back."""
        gone_run = self._gone.get(entry.incarnation)
        is_expiring = self._clock.boot_time_ms() < self._expiry_until_ms
        return (
            is_expiring
            and entry.incarnation not in self._targets
            and gone_run is not None
            and gone_run[0] == entry.started_ms
        )

    def _apply_entry(self, entry: TargetEntry, change: DirectoryChange) -> None:
        known = self._targets.get(entry.incarnation)
        if known is not None and known.entry.started_ms == entry.started_ms:
            if known.overwritten_ms is not None:
                known.overwritten_ms = None
                change.renewed.append(entry.incarnation)
            was_usable = (
                known.is_usable or known.is_evacuated or known.pause_remaining_ms > 0
            )
            if known.entry.condition is ListedTargetState.LEAVING:
                # A run that leaves does so for good, whatever an older list says.
                entry = _as_leaving(entry)
            if known.entry.group_epoch != entry.group_epoch:
                known.health.reset()
            known.entry = entry
            known.is_evacuated = entry.data_centre in self._evacuated
            if was_usable and entry.condition is ListedTargetState.LEAVING:
                change.leaving.append(entry.incarnation)
            return
        if known is not None:
            self._note_gone(known, change)
        target = self._targets[entry.incarnation] = Target(
            entry=entry,
            clock=self._clock,
            health=self._health,
            peer_calls=self._peer_calls,
            peer_slowdown=self._peer_slowdown,
            peer_ejections=self._peer_ejections,
        )
        target.is_evacuated = entry.data_centre in self._evacuated
        if target.run_id in self._leaving_runs:
            target.entry = _as_leaving(entry)
        # Its entry may have been missing while it has run on.
        target.pause(self._pauses.get(target.run_id, 0.0) - self._clock.boot_time_ms())
        change.joined.append(entry.incarnation)


def _as_leaving(entry: TargetEntry) -> TargetEntry:
    return msgspec.structs.replace(entry, condition=ListedTargetState.LEAVING)


def hash_entries(entries: Iterable[TargetEntry]) -> int:
    """Return a hash of a list of targets, without what changes all the time.

    Examples
    --------
    >>> from carobroute.testing.gateway_data import make_target_entry
    >>> entries = [make_target_entry(), make_target_entry(incarnation="i-2")]
    >>> hash_entries(entries) == hash_entries(reversed(entries))
    True
    >>> hash_entries(entries) == hash_entries(entries[:1])
    False
    """
    stable = sorted(
        msgspec.json.encode(msgspec.structs.replace(entry, slow_start_ms=0.0))
        for entry in entries
    )
    return xxhash.xxh64_intdigest(b"\n".join(stable))
