"""Recent traffic by team at one entry."""

from carobroute.utils import Clock

HALF_LIFE_MS = 2_000.0
MAX_TEAMS = 512
MIN_KEPT_COUNT = 0.05
FLOOD_MIN_REFUSED_SHARE = 0.2
FLOOD_MIN_REFUSED = 3.0


class TeamTraffic:
    """Counts of recent requests by team, with exponential decay.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> traffic = TeamTraffic(clock=Clock())
    >>> for team in ["large"] * 8 + ["small"]:
    ...     traffic.note_sent(team)
    >>> traffic.is_light("small"), traffic.is_light("large"), traffic.is_light("unseen")
    (True, False, True)
    """

    __slots__ = ("_clock", "_decayed_ms", "_refused_counts", "_sent_counts")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._sent_counts: dict[str, float] = {}
        self._refused_counts: dict[str, float] = {}
        self._decayed_ms = clock.now_ms()

    def note_sent(self, team: str) -> None:
        """Count one request of `team`."""
        self._decay()
        if team in self._sent_counts or len(self._sent_counts) < MAX_TEAMS:
            self._sent_counts[team] = self._sent_counts.get(team, 0.0) + 1.0

    def note_refused(self, team: str) -> None:
        """Count one request of `team` that a target refused or failed."""
        if team in self._sent_counts:
            self._refused_counts[team] = self._refused_counts.get(team, 0.0) + 1.0

    def is_flooding(self, team: str) -> bool:
        """Return whether a team sends more than all others and many of its calls fail.

        When the calls of many teams are refused, the service lacks capacity and no
        team counts as flooding.
        """
        refused = self._refused_counts.get(team, 0.0)
        sent = self._sent_counts.get(team, 0.0)
        is_dominant = 2 * sent > sum(self._sent_counts.values())
        return is_dominant and refused > max(
            FLOOD_MIN_REFUSED, FLOOD_MIN_REFUSED_SHARE * sent
        )

    def is_light(self, team: str) -> bool:
        """Return whether `team` sends at most the mean of the recently seen teams."""
        self._decay()
        if not self._sent_counts:
            return True
        mean = sum(self._sent_counts.values()) / len(self._sent_counts)
        return self._sent_counts.get(team, 0.0) <= mean

    def _decay(self) -> None:
        now_ms = self._clock.now_ms()
        half_lives = (now_ms - self._decayed_ms) // HALF_LIFE_MS
        if half_lives < 1:
            return
        self._decayed_ms = now_ms
        self._sent_counts = _decayed(self._sent_counts, 0.5**half_lives)
        self._refused_counts = _decayed(self._refused_counts, 0.5**half_lives)


def _decayed(counts: dict[str, float], factor: float) -> dict[str, float]:
    return {
        team: n * factor for team, n in counts.items() if n * factor > MIN_KEPT_COUNT
    }
