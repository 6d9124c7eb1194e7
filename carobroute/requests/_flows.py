"""Flow of one team in a start-time fair queue."""

import asyncio
import bisect
from collections.abc import Iterable

import msgspec

PRIORITY_BASE = 1.5
NEUTRAL_PRIORITY = 5
MIN_WEIGHT = 0.01
DEMAND_HALF_LIFE_MS = 2_000.0
FLOOD_MIN_EXCESS = 3.0
FLOOD_DEMAND_RATIO = 1.25


class QueuedCall(msgspec.Struct, kw_only=True, eq=False):
    """A call that waits for a slot or holds one.

    Parameters
    ----------
    team : str
        Team that the call is charged to.
    priority : int
        0 (lowest) to 9.
    cost : float
        Cost charged for the call, in any unit common to all calls.
    alone : bool
        Whether no other call may run at the same time.
    sequence : int
        Position in the order of arrival.
    queued_ms : float
        Time of arrival.
    deadline_ms : float
        Maximum wait; 0 for no limit.
    future : asyncio.Future
        Completed with the slot, or with the fault of a refusal.
    """

    team: str
    priority: int
    cost: float
    alone: bool
    sequence: int
    queued_ms: float
    deadline_ms: float
    future: asyncio.Future

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key within the team: priority first, then arrival."""
        return -self.priority, self.sequence


class Flow:
    """The queued calls, running calls and start tag of one team.

    Parameters
    ----------
    team : str
        Name of the team.
    """

    __slots__ = (
        "_arrived_count",
        "_decayed_ms",
        "_started_count",
        "calls",
        "last_call_ms",
        "running",
        "start_tag",
        "team",
        "weight",
    )

    def __init__(self, *, team: str):
        self._arrived_count = 0.0
        self._started_count = 0.0
        self._decayed_ms = 0.0
        self.team = team
        self.weight = 1.0
        self.start_tag = 0.0
        self.running = 0
        self.last_call_ms = 0.0
        self.calls: list[QueuedCall] = []

    @property
    def is_flooding(self) -> bool:
        """Whether many more calls of the team arrived recently than were started."""
        excess = self._arrived_count - self._started_count
        return (
            excess > FLOOD_MIN_EXCESS
            and self._arrived_count > FLOOD_DEMAND_RATIO * self._started_count
        )

    def note_arrival(self, now_ms: float) -> None:
        """Count one call that arrived, whatever its outcome."""
        half_lives = (now_ms - self._decayed_ms) / DEMAND_HALF_LIFE_MS
        self._decayed_ms = now_ms
        self._arrived_count = self._arrived_count * 0.5**half_lives + 1.0
        self._started_count *= 0.5**half_lives

    def was_active_since(self, since_ms: float) -> bool:
        """Return whether the team has had a call since `since_ms`."""
        return bool(self.calls or self.running) or self.last_call_ms >= since_ms

    def add(self, call: QueuedCall, virtual_time: float) -> None:
        """Queue a call; the start tag of an idle team is raised to the virtual time."""
        if not self.calls:
            self.start_tag = max(self.start_tag, virtual_time)
        bisect.insort(self.calls, call, key=lambda queued: queued.sort_key)

    def first(self) -> QueuedCall:
        """Return the queued call that is served next."""
        return self.calls[0]

    def last(self) -> QueuedCall:
        """Return the queued call that is served last."""
        return self.calls[-1]

    def discard(self, call: QueuedCall) -> bool:
        """Remove a call; return whether it was queued."""
        if call not in self.calls:
            return False
        self.calls.remove(call)
        return True

    def charge(self, call: QueuedCall) -> None:
        """Remove a call that starts, and add its cost to the start tag."""
        self.calls.remove(call)
        self._started_count += 1.0
        self.start_tag += self.tag_increment(call)

    def tag_increment(self, call: QueuedCall) -> float:
        """Return by how much a call raises the start tag."""
        scale = PRIORITY_BASE ** (call.priority - NEUTRAL_PRIORITY)
        return call.cost / (max(MIN_WEIGHT, self.weight) * scale)

    def precedes(self, other: "Flow | None") -> bool:
        """Return whether this team is served before `other`."""
        if other is None:
            return True
        return (self.start_tag, self.first().sort_key) < (
            other.start_tag,
            other.first().sort_key,
        )

    def weighted_length(self, has_new_call: bool) -> float:
        """Return the queue length, with a new call if any, divided by the weight."""
        if not self.calls:
            return 0.0
        return (len(self.calls) + has_new_call) / max(MIN_WEIGHT, self.weight)


def expected_calls_ahead(
    flows: Iterable[Flow], own: Flow, call: QueuedCall, virtual_time: float
) -> int:
    """Return the expected number of queued calls that are served before `call`."""
    earlier = [queued for queued in own.calls if queued.sort_key < call.sort_key]
    start = own.start_tag if own.calls else max(own.start_tag, virtual_time)
    start_tag = start + sum(own.tag_increment(queued) for queued in earlier)
    count = len(earlier)
    for flow in flows:
        if flow is own or not flow.calls or flow.start_tag >= start_tag:
            continue
        increment = flow.tag_increment(flow.first())
        count += min(len(flow.calls), int((start_tag - flow.start_tag) / increment) + 1)
    return count
