"""Targets as listed and as the gateway's own calls find them."""

from collections.abc import Callable

import msgspec

from carobroute.health import Health, HealthParameters
from carobroute.platform import LoadReading
from carobroute.utils import Clock
from carobroute.world import TargetCondition, TargetEntry

# Readings show calls of gateways that are gone as well, but age fast.
READING_USE_MS = 400.0


class Target:
    """One run of a target, with the gateway's own calls there.

    Parameters
    ----------
    entry : TargetEntry
        The target as it lists itself.
    clock : Clock
        Source of time.
    health : HealthParameters
        When a target is ejected, and how it comes back.
    peer_calls : callable
        Returns how many calls the other gateways have at a run.
    """

    __slots__ = (
        "_clock",
        "_others",
        "_others_ms",
        "_peer_calls",
        "entry",
        "event_ms",
        "gone",
        "health",
        "in_flight",
    )

    def __init__(
        self,
        *,
        entry: TargetEntry,
        clock: Clock,
        health: HealthParameters,
        peer_calls: Callable[[str], int],
    ):
        self._clock = clock
        self._peer_calls = peer_calls
        self._others = 0.0
        self._others_ms = -READING_USE_MS
        self.entry = entry
        self.health = Health(clock=clock, parameters=health)
        self.in_flight = 0
        self.gone = False
        # When a stream of this target last had an event.
        self.event_ms = 0.0

    @property
    def name(self) -> str:
        """Identifier of the run."""
        return self.entry.incarnation

    @property
    def group(self) -> str:
        """Rank group of the target, or its own name where it has none."""
        return self.entry.group or self.entry.incarnation

    @property
    def usable(self) -> bool:
        """Whether new calls may be sent."""
        ready = self.entry.condition is TargetCondition.READY
        return ready and not self.gone and self.entry.group_open

    @property
    def others(self) -> float:
        """Estimate of the calls that other gateways have there."""
        age_ms = self._clock.now_ms() - self._others_ms
        told = self._others if age_ms < READING_USE_MS else 0.0
        return max(self._peer_calls(self.name), told)

    @property
    def load(self) -> float:
        """Estimate of all calls there."""
        return self.in_flight + self.others

    def note_reading(self, reading: LoadReading) -> None:
        """Take the load that came with an answer to an own call."""
        calls = reading.running + reading.waiting
        self._others = max(0.0, calls - self.in_flight)
        self._others_ms = self._clock.now_ms()


class DirectoryChange(msgspec.Struct, frozen=True, kw_only=True):
    """What one reading of the list changed: names of runs."""

    joined: list[str]
    leaving: list[str]
    gone: list[str]


class TargetDirectory:
    """All targets that may be called.

    An entry that is missing is gone at once, unless the store was away: then entries
    may have lapsed, and they have a while to come back.

    Parameters
    ----------
    clock : Clock
        Source of time.
    outage_ms : float
        Time without a reading after which entries may have lapsed.
    lapsed_ms : float
        Time that they have to come back.
    health : HealthParameters, default=None
        When a target is ejected, and how it comes back.
    peer_calls : callable, default=None
        Returns how many calls the other gateways have at a run; None for none.
    """

    __slots__ = (
        "_clock",
        "_grace_until_ms",
        "_health",
        "_lapsed_ms",
        "_outage_ms",
        "_peer_calls",
        "_read_ms",
        "_services",
        "_targets",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        outage_ms: float,
        lapsed_ms: float,
        health: HealthParameters | None = None,
        peer_calls: Callable[[str], int] | None = None,
    ):
        self._clock = clock
        self._outage_ms = outage_ms
        self._lapsed_ms = lapsed_ms
        self._health = health or HealthParameters()
        self._peer_calls = peer_calls or (lambda run: 0)
        self._targets: dict[str, Target] = {}
        self._services: dict[str, list[Target]] = {}
        self._read_ms: float | None = None
        self._grace_until_ms = 0.0

    @property
    def age_ms(self) -> float:
        """Time since the list was last read; infinite before the first time."""
        if self._read_ms is None:
            return float("inf")
        return self._clock.wake_safe_ms() - self._read_ms

    def targets(self, service: str) -> list[Target]:
        """Return the targets of a service, leaving ones included."""
        return self._services.get(service, [])

    def find(self, incarnation: str) -> Target | None:
        """Return the target of that run, or None."""
        return self._targets.get(incarnation)

    def everyone(self) -> list[Target]:
        """Return all targets of all services."""
        return list(self._targets.values())

    def update(self, entries: list[TargetEntry]) -> DirectoryChange:
        """Take a whole reading of the list, and return what it changed."""
        now_ms = self._clock.wake_safe_ms()
        if self._read_ms is not None and now_ms - self._read_ms > self._outage_ms:
            self._grace_until_ms = now_ms + self._lapsed_ms
        self._read_ms = now_ms
        change = DirectoryChange(joined=[], leaving=[], gone=[])
        listed = {entry.incarnation: entry for entry in entries}
        for entry in entries:
            self._take(entry, change)
        if now_ms >= self._grace_until_ms:
            for name in [name for name in self._targets if name not in listed]:
                self._targets.pop(name).gone = True
                change.gone.append(name)
        self._services = {}
        for target in self._targets.values():
            self._services.setdefault(target.entry.service, []).append(target)
        return change

    def _take(self, entry: TargetEntry, change: DirectoryChange) -> None:
        known = self._targets.get(entry.incarnation)
        if known is not None and known.entry.started_ms == entry.started_ms:
            was_usable = known.usable
            known.entry = entry
            if was_usable and entry.condition is TargetCondition.LEAVING:
                change.leaving.append(entry.incarnation)
            return
        if known is not None:
            known.gone = True
            change.gone.append(entry.incarnation)
        self._targets[entry.incarnation] = Target(
            entry=entry,
            clock=self._clock,
            health=self._health,
            peer_calls=self._peer_calls,
        )
        change.joined.append(entry.incarnation)
