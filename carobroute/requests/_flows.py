"""One team's part of a fair queue."""

import asyncio
import bisect
from collections.abc import Iterable

import msgspec

PRIORITY_BASE = 1.5
MIDDLE_PRIORITY = 5
LEAST_WEIGHT = 0.01
HALF_LIFE_MS = 2_000.0
FLOOD_LEAST = 3.0
FLOOD_FACTOR = 1.25


class Waiting(msgspec.Struct, kw_only=True, eq=False):
    """One call that waits for a slot, or holds one."""

    team: str
    priority: int
    cost: float
    alone: bool
    sequence: int
    queued_ms: float
    deadline_ms: float
    future: asyncio.Future

    @property
    def order(self) -> tuple[int, int]:
        """Place within the team: priority first, then arrival."""
        return -self.priority, self.sequence


class Flow:
    """The calls of one team.

    Parameters
    ----------
    team : str
        Name of the team.
    """

    __slots__ = (
        "_asked",
        "_halved_ms",
        "_started",
        "active_ms",
        "running",
        "tag",
        "team",
        "waiting",
        "weight",
    )

    def __init__(self, *, team: str):
        self._asked = 0.0
        self._started = 0.0
        self._halved_ms = 0.0
        self.team = team
        self.weight = 1.0
        self.tag = 0.0
        self.running = 0
        self.active_ms = 0.0
        self.waiting: list[Waiting] = []

    @property
    def flooding(self) -> bool:
        """Whether the team lately asked for much more than it was given."""
        excess = self._asked - self._started
        return excess > FLOOD_LEAST and self._asked > FLOOD_FACTOR * self._started

    def note_asked(self, now_ms: float) -> None:
        """Count one call that came, whatever became of it."""
        halvings = (now_ms - self._halved_ms) / HALF_LIFE_MS
        self._halved_ms = now_ms
        self._asked = self._asked * 0.5**halvings + 1.0
        self._started *= 0.5**halvings

    def active_since(self, limit_ms: float) -> bool:
        """Whether the team has had a call since `limit_ms`."""
        return bool(self.waiting or self.running) or self.active_ms >= limit_ms

    def add(self, waiting: Waiting, virtual: float) -> None:
        """Queue a call; a team that was idle starts at the virtual time."""
        if not self.waiting:
            self.tag = max(self.tag, virtual)
        bisect.insort(self.waiting, waiting, key=lambda w: w.order)

    def first(self) -> Waiting:
        """Return the call that is served next."""
        return self.waiting[0]

    def last(self) -> Waiting:
        """Return the call that is served last."""
        return self.waiting[-1]

    def discard(self, waiting: Waiting) -> bool:
        """Take out a call; return whether it was waiting."""
        if waiting not in self.waiting:
            return False
        self.waiting.remove(waiting)
        return True

    def charge(self, waiting: Waiting) -> None:
        """Take out a call that is served, and charge the team for it."""
        self.waiting.remove(waiting)
        self._started += 1.0
        self.tag += self.charged(waiting)

    def charged(self, waiting: Waiting) -> float:
        """Return what a call adds to the tag."""
        scale = PRIORITY_BASE ** (waiting.priority - MIDDLE_PRIORITY)
        return waiting.cost / (max(LEAST_WEIGHT, self.weight) * scale)

    def before(self, other: "Flow | None") -> bool:
        """Whether this team is served before `other`."""
        if other is None:
            return True
        return (self.tag, self.first().order) < (other.tag, other.first().order)

    def backlog(self, newcomer: bool) -> float:
        """Return the queue's length by weight, one longer for a newcomer's team."""
        if not self.waiting:
            return 0.0
        return (len(self.waiting) + newcomer) / max(LEAST_WEIGHT, self.weight)


def expected_ahead(
    flows: Iterable[Flow], own: Flow, waiting: Waiting, virtual: float
) -> int:
    """Return how many of the queued calls are served before `waiting`."""
    earlier = [w for w in own.waiting if w.order < waiting.order]
    start = own.tag if own.waiting else max(own.tag, virtual)
    tag = start + sum(own.charged(w) for w in earlier)
    count = len(earlier)
    for flow in flows:
        if flow is own or not flow.waiting or flow.tag >= tag:
            continue
        each = flow.charged(flow.first())
        count += min(len(flow.waiting), int((tag - flow.tag) / each) + 1)
    return count
