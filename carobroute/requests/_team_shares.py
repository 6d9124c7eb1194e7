"""Which teams send more than their even share through one entry."""

from carobroute.utils import Clock

HALF_LIFE_MS = 2_000.0
MAX_TEAMS = 512
FORGOTTEN = 0.05


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

    __slots__ = ("_clock", "_counts", "_halved_ms")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._counts: dict[str, float] = {}
        self._halved_ms = clock.now_ms()

    def note_sent(self, team: str) -> None:
        """Count one request of `team`."""
        self._halve()
        if team in self._counts or len(self._counts) < MAX_TEAMS:
            self._counts[team] = self._counts.get(team, 0.0) + 1.0

    def light(self, team: str) -> bool:
        """Whether `team` sends no more than the mean of the teams seen lately."""
        self._halve()
        if not self._counts:
            return True
        mean = sum(self._counts.values()) / len(self._counts)
        return self._counts.get(team, 0.0) <= mean

    def _halve(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._halved_ms < HALF_LIFE_MS:
            return
        self._halved_ms = now_ms
        halved = ((team, count / 2) for team, count in self._counts.items())
        self._counts = {team: count for team, count in halved if count > FORGOTTEN}
