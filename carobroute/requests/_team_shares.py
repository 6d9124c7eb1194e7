"""Which teams send more than their even share through one entry."""

from carobroute.utils import Clock

HALF_LIFE_MS = 2_000.0
MAX_TEAMS = 512
FORGOTTEN = 0.05
FLOOD_REFUSED = 0.2
FLOOD_LEAST = 3.0


class TeamShares:
    """Recent requests by team, halved again and again.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> shares = TeamShares(clock=Clock())
    >>> for team in ["large"] * 8 + ["small"]:
    ...     shares.note_sent(team)
    >>> shares.light("small"), shares.light("large"), shares.light("unseen")
    (True, False, True)
    """

    __slots__ = ("_clock", "_counts", "_halved_ms", "_refused")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._counts: dict[str, float] = {}
        self._refused: dict[str, float] = {}
        self._halved_ms = clock.now_ms()

    def note_sent(self, team: str) -> None:
        """Count one request of `team`."""
        self._halve()
        if team in self._counts or len(self._counts) < MAX_TEAMS:
            self._counts[team] = self._counts.get(team, 0.0) + 1.0

    def note_refused(self, team: str) -> None:
        """Count one request of `team` that a target refused or failed."""
        if team in self._counts:
            self._refused[team] = self._refused.get(team, 0.0) + 1.0

    def flooding(self, team: str) -> bool:
        """Whether targets lately refused much of what a team of some size sent."""
        refused = self._refused.get(team, 0.0)
        much = refused > FLOOD_REFUSED * self._counts.get(team, 0.0)
        return refused > FLOOD_LEAST and much and not self.light(team)

    def light(self, team: str) -> bool:
        """Whether `team` sends no more than the mean of the teams seen lately."""
        self._halve()
        if not self._counts:
            return True
        mean = sum(self._counts.values()) / len(self._counts)
        return self._counts.get(team, 0.0) <= mean

    def _halve(self) -> None:
        now_ms = self._clock.now_ms()
        halvings = (now_ms - self._halved_ms) // HALF_LIFE_MS
        if halvings < 1:
            return
        self._halved_ms = now_ms
        self._counts = _faded(self._counts, 0.5**halvings)
        self._refused = _faded(self._refused, 0.5**halvings)


def _faded(counts: dict[str, float], factor: float) -> dict[str, float]:
    return {team: n * factor for team, n in counts.items() if n * factor > FORGOTTEN}
