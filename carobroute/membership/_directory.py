"""What this process knows of the other instances.

The platform's list lags, so it is a hint: an instance that vanishes from it is kept
for a while, longer if most of the list vanished at once, and as long as it is heard.
What was learned of one incarnation sticks to it: leaving never un-leaves, and an
incarnation that a newer one of the same name replaced never returns.
"""

from collections.abc import Callable, Iterable

import msgspec
import xxhash

from carobroute.domain import Instance, InstanceRole, InstanceState
from carobroute.utils import BoundedDict, Clock

BUCKETS = 32


class DirectoryParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of a directory.

    Parameters
    ----------
    absent_ms : float
        Time after which an instance that is no longer listed is dropped.
    mass_absent_ms : float
        The same while more than `mass_share` of the instances are missing.
    mass_share : float
        Share of instances whose absence is more likely a fault of the list.
    heard_ms : float
        Time for which an instance counts as alive after it was heard.
    dispute_ms : float
        Time after which the list is believed against what peers said.
    max_remembered : int
        Incarnations that are remembered as leaving or replaced.
    """

    absent_ms: float = 10_000.0
    mass_absent_ms: float = 300_000.0
    mass_share: float = 0.3
    heard_ms: float = 15_000.0
    dispute_ms: float = 30_000.0
    max_remembered: int = 20_000


class Directory:
    """Instances known here, by name.

    Parameters
    ----------
    clock : Clock
        Source of time.
    own : Instance
        The instance of this process.
    parameters : DirectoryParameters, default=None
        Times and bounds.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    __slots__ = (
        "_absent_since_ms",
        "_by_target",
        "_callbacks",
        "_clock",
        "_disputed_ms",
        "_dropped_ms",
        "_heard_ms",
        "_instances",
        "_leaving",
        "_leaving_callbacks",
        "_on_event",
        "_own",
        "_parameters",
        "_replaced",
        "_updated_ms",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        own: Instance,
        parameters: DirectoryParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._clock = clock
        self._own = own
        self._parameters = parameters or DirectoryParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._instances: dict[str, Instance] = {}
        self._by_target: dict[str, Instance] | None = None
        self._absent_since_ms: dict[str, float] = {}
        self._heard_ms: BoundedDict[str, float] = BoundedDict(
            most=self._parameters.max_remembered
        )
        self._leaving: BoundedDict[str, str] = BoundedDict(
            most=self._parameters.max_remembered
        )
        self._replaced: BoundedDict[str, str] = BoundedDict(
            most=self._parameters.max_remembered
        )
        self._disputed_ms: BoundedDict[str, float] = BoundedDict(
            most=self._parameters.max_remembered
        )
        self._dropped_ms: BoundedDict[str, float] = BoundedDict(
            most=self._parameters.max_remembered
        )
        self._callbacks: list[Callable[[], None]] = []
        self._leaving_callbacks: list[Callable[[Instance], None]] = []
        self._updated_ms: float | None = None

    @property
    def own(self) -> Instance:
        """The instance of this process."""
        return self._own

    @property
    def updated_ms(self) -> float | None:
        """When the platform's list was last taken over, or None."""
        return self._updated_ms

    def on_change(self, callback: Callable[[], None]) -> None:
        """Have `callback` called after the known instances changed."""
        self._callbacks.append(callback)

    def on_leaving(self, callback: Callable[[Instance], None]) -> None:
        """Have `callback` called with each instance that this process marks."""
        self._leaving_callbacks.append(callback)

    def set_own(self, instance: Instance) -> None:
        """Replace the instance of this process, as when it begins to leave."""
        self._own = instance
        self._changed()

    def instances(
        self,
        role: InstanceRole | None = None,
        service: str | None = None,
        data_centre: str | None = None,
    ) -> list[Instance]:
        """Return the known instances by name; `state` says which are leaving."""
        return [
            entry
            for entry in self._instances.values()
            if (role is None or entry.role is role)
            and (service is None or entry.service == service)
            and (data_centre is None or entry.data_centre == data_centre)
        ]

    def live(self, data_centre: str | None = None) -> list[Instance]:
        """Return the instances that are not leaving, this one among them."""
        found = [
            entry
            for entry in self.instances(data_centre=data_centre)
            if entry.state is InstanceState.LIVE and entry.name != self._own.name
        ]
        here = data_centre is None or data_centre == self._own.data_centre
        if here and self._own.state is InstanceState.LIVE:
            found.append(self._own)
        return found

    def by_name(self, name: str) -> Instance | None:
        """Return the instance called `name`, or None."""
        return self._instances.get(name)

    def by_target(self, name: str) -> Instance | None:
        """Return the local process beside the target called `name`, or None."""
        if self._by_target is None:
            self._by_target = {
                entry.target: entry
                for entry in self._instances.values()
                if entry.target and entry.role is InstanceRole.LOCAL
            }
        return self._by_target.get(name)

    def is_leaving(self, incarnation: str) -> bool:
        """Whether this incarnation was ever marked as leaving."""
        return incarnation in self._leaving

    def update_from_list(self, listed: list[Instance]) -> None:
        """Take over what the platform's list says."""
        self._updated_ms = self._clock.now_ms()
        for entry in listed:
            self._settle_dispute(entry)
            self._dropped_ms.pop(entry.incarnation, None)
        leaving_before = set(self._leaving)
        changed = [self._admit(entry) for entry in listed]
        self._tell_leaving(leaving_before)
        dropped = self._drop_absent({entry.name for entry in listed})
        recycled = self._drop_recycled()
        if any(changed) or dropped or recycled:
            self._changed()

    def bucket_hashes(self) -> list[int]:
        """Return a hash of the known instances for each bucket of names."""
        hashes = [0] * BUCKETS
        for entry in self._instances.values():
            text = f"{entry.incarnation}\0{entry.state}"
            hashes[bucket_of(entry.name)] ^= xxhash.xxh3_64_intdigest(text.encode())
        return hashes

    def in_buckets(self, buckets: set[int]) -> list[Instance]:
        """Return the known instances whose names fall into `buckets`."""
        return [e for e in self._instances.values() if bucket_of(e.name) in buckets]

    def learn(self, instances: Iterable[Instance]) -> list[Instance]:
        """Take over what peers say of some instances; return those that were news."""
        news = [entry for entry in instances if self._learn_one(entry)]
        if news:
            self._drop_recycled()
            self._changed()
        return news

    def heard(self, incarnation: str) -> None:
        """Note that this incarnation was heard just now."""
        self._heard_ms[incarnation] = self._clock.now_ms()

    def heard_within_ms(self, incarnation: str, duration_ms: float) -> bool:
        """Whether this incarnation was heard here in the last `duration_ms`."""
        heard_ms = self._heard_ms.get(incarnation)
        return heard_ms is not None and self._clock.now_ms() - heard_ms <= duration_ms

    def mark_leaving(self, name: str, incarnation: str, reason: str) -> None:
        """Note that an incarnation is leaving; only a new incarnation undoes it."""
        if incarnation in self._leaving:
            return
        self._leaving[incarnation] = reason
        self._on_event(
            "instance_leaving", instance=name, incarnation=incarnation, reason=reason
        )
        known = self._instances.get(name)
        if incarnation == self._own.incarnation:
            known = self._own = _as_leaving(self._own)
        if known is None or known.incarnation != incarnation:
            return
        self._instances[name] = _as_leaving(known)
        self._changed()
        for callback in self._leaving_callbacks:
            callback(self._instances[name])

    def _tell_leaving(self, before: set[str]) -> None:
        """Tell of instances that the list has just shown as leaving."""
        for incarnation in set(self._leaving) - before:
            known = next(
                (e for e in self._instances.values() if e.incarnation == incarnation),
                None,
            )
            if known is None:
                continue
            self._on_event(
                "instance_leaving",
                name=known.name,
                incarnation=incarnation,
                reason="list",
            )
            for callback in self._leaving_callbacks:
                callback(known)

    def _learn_one(self, entry: Instance) -> bool:
        if self._was_dropped(entry.incarnation):
            return False
        known = self._instances.get(entry.name)
        if known is not None and known.incarnation == entry.incarnation:
            # All that a peer can add to a known incarnation is that it leaves.
            if entry.state is not InstanceState.LEAVING:
                return False
            entry = _as_leaving(known)
        return self._admit(entry)

    def _admit(self, entry: Instance) -> bool:
        """Take over one entry unless what is known outranks it."""
        if entry.incarnation in self._replaced:
            return False
        if entry.name == self._own.name:
            if entry.incarnation != self._own.incarnation:
                self._name_taken(entry)
                return False
            if entry.state is InstanceState.LEAVING:
                self._own = _as_leaving(self._own)
            entry = self._own
        if entry.state is InstanceState.LEAVING:
            self._leaving.setdefault(entry.incarnation, "listed as leaving")
        elif entry.incarnation in self._leaving:
            entry = _as_leaving(entry)
        known = self._instances.get(entry.name)
        if known == entry:
            return False
        if known is not None and known.incarnation != entry.incarnation:
            self._replaced[known.incarnation] = entry.incarnation
            self._on_event(
                "instance_replaced",
                instance=entry.name,
                was=known.incarnation,
                now=entry.incarnation,
            )
        # Moved to the end, which is the order in which instances were learned of.
        self._instances.pop(entry.name, None)
        self._instances[entry.name] = entry
        self._absent_since_ms.pop(entry.name, None)
        return True

    def _settle_dispute(self, entry: Instance) -> None:
        """Believe the list after all if it keeps to an incarnation held as replaced.

        A paused process that wakes can look newer than the one that replaced it to
        a process that has never heard of the first.
        """
        if entry.incarnation not in self._replaced:
            return
        now_ms = self._clock.now_ms()
        since_ms = self._disputed_ms.setdefault(entry.incarnation, now_ms)
        if now_ms - since_ms >= self._parameters.dispute_ms:
            del self._disputed_ms[entry.incarnation]
            del self._replaced[entry.incarnation]

    def _name_taken(self, entry: Instance) -> None:
        """Another incarnation under our name: one before us, or a wrong setting."""
        if entry.incarnation not in self._leaving:
            self._leaving[entry.incarnation] = "replaced by this process"
            self._on_event(
                "name_shared",
                level="warning",
                instance=entry.name,
                other=entry.incarnation,
                own=self._own.incarnation,
            )

    def _drop_absent(self, listed: set[str]) -> bool:
        now_ms = self._clock.now_ms()
        for name in listed:
            self._absent_since_ms.pop(name, None)
        absent = [name for name in self._instances if name not in listed]
        many = len(absent) > self._parameters.mass_share * len(self._instances)
        mass = many and len(absent) > 1
        wait_ms = (
            self._parameters.mass_absent_ms if mass else self._parameters.absent_ms
        )
        dropped = False
        for name in absent:
            since_ms = self._absent_since_ms.setdefault(name, now_ms)
            if now_ms - since_ms < wait_ms or self._counts_as_alive(name):
                continue
            self._drop(name, "no longer listed")
            dropped = True
        return dropped

    def _counts_as_alive(self, name: str) -> bool:
        incarnation = self._instances[name].incarnation
        return incarnation == self._own.incarnation or self.heard_within_ms(
            incarnation, self._parameters.heard_ms
        )

    def _drop_recycled(self) -> bool:
        """Of two instances with one address, keep the one learned of last."""
        last: dict[str, str] = {}
        recycled = []
        for name, entry in self._instances.items():
            other = last.get(entry.address)
            if other == self._own.name:
                recycled.append(name)
                continue
            if other is not None:
                recycled.append(other)
            last[entry.address] = name
        for name in recycled:
            self._drop(name, "address taken by another instance")
        return bool(recycled)

    def _drop(self, name: str, reason: str) -> None:
        entry = self._instances.pop(name)
        self._absent_since_ms.pop(name, None)
        self._dropped_ms[entry.incarnation] = self._clock.now_ms()
        self._on_event(
            "instance_dropped",
            instance=name,
            incarnation=entry.incarnation,
            reason=reason,
        )

    def _was_dropped(self, incarnation: str) -> bool:
        """Whether it was dropped so lately that a peer may not know yet."""
        dropped_ms = self._dropped_ms.get(incarnation)
        if dropped_ms is None:
            return False
        return self._clock.now_ms() - dropped_ms < self._parameters.mass_absent_ms

    def _changed(self) -> None:
        self._by_target = None
        for callback in self._callbacks:
            callback()


def bucket_of(name: str) -> int:
    """Return the bucket that `name` falls into."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS


def _as_leaving(entry: Instance) -> Instance:
    return msgspec.structs.replace(entry, state=InstanceState.LEAVING)
