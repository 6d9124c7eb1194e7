"""Detection of stragglers: ranks that are slow for the load that they have."""

import enum

import msgspec
import numpy as np

from carobroute.placement._planning import FloatArray

MIN_SPEED = 0.05


class RankHealth(enum.StrEnum):
    """Health of a rank.

    A `SHED` rank is a straggler, to which plans give less load. A `REPLACE` rank is to
    be replaced.
    """

    GOOD = "good"
    SHED = "shed"
    REPLACE = "replace"


class StragglerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Thresholds of the straggler detection.

    Parameters
    ----------
    shed_below, good_above : float
        Speed, relative to the median rank, below which a rank becomes a straggler, and
        above which it no longer is one.
    replace_below : float
        Relative speed below which a straggler is replaced at once.
    shed_after_ms : float
        Time that a rank has to stay below `shed_below` to become a straggler.
    replace_after_ms : float
        Time as a straggler after which a rank is replaced.
    half_life_ms : float
        Age at which an observation has half the weight of a new one.
    """

    shed_below: float = 0.85
    good_above: float = 0.93
    replace_below: float = 0.35
    shed_after_ms: float = 5_000.0
    replace_after_ms: float = 120_000.0
    half_life_ms: float = 5_000.0


class StragglerDetector:
    """Estimates each rank's speed from its work time and its load.

    A rank whose experts get many tokens works long in proportion to its load, so its
    speed equals that of the other ranks. A straggler works longer than its load
    explains.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    parameters : StragglerParameters, default=None
        Thresholds.

    Examples
    --------
    >>> detector = StragglerDetector(ranks=3)
    >>> detector.observe(work_ms=[20.0, 10.0, 20.0], loads=[2.0, 1.0, 1.0], now_ms=0.0)
    >>> detector.speeds().round(2).tolist()
    [1.0, 1.0, 0.5]
    """

    def __init__(self, *, ranks: int, parameters: StragglerParameters | None = None):
        self._parameters = parameters or StragglerParameters()
        self._speeds: FloatArray = np.ones(ranks)
        self._health = [RankHealth.GOOD] * ranks
        self._below_since_ms: list[float | None] = [None] * ranks
        self._shed_since_ms = [0.0] * ranks
        self._observed_ms: float | None = None

    def speeds(self) -> FloatArray:
        """Return the speed of each rank, relative to the median rank."""
        return self._speeds.copy()

    def planning_speeds(self) -> FloatArray:
        """Return the speeds for planning: 1 for a rank that is not a straggler."""
        is_straggler = np.array([h is not RankHealth.GOOD for h in self._health])
        return np.where(is_straggler, self._speeds, 1.0)

    def health(self) -> list[RankHealth]:
        """Return the health of each rank."""
        return list(self._health)

    def reset_rank(self, rank: int) -> None:
        """Discard the estimates of a rank that is being replaced."""
        self._speeds[rank] = 1.0
        self._health[rank] = RankHealth.GOOD
        self._below_since_ms[rank] = None

    def observe(
        self, *, work_ms: list[float], loads: list[float], now_ms: float
    ) -> None:
        """Update the speed and health of the ranks.

        Ranks without a work time or without load keep their estimates.

        Parameters
        ----------
        work_ms : list of float
            Time that each rank worked in a recent step; 0 if unknown.
        loads : list of float
            Expected load of each rank under the map in force, in any unit.
        now_ms : float
            Time of the observation.
        """
        times, rank_loads = np.asarray(work_ms, float), np.asarray(loads, float)
        measured = (times > 0) & (rank_loads > 0)
        if not measured.any():
            return
        raw_speeds = np.where(
            measured, rank_loads / np.where(measured, times, 1.0), 0.0
        )
        raw_speeds = np.clip(
            raw_speeds / np.median(raw_speeds[measured]), MIN_SPEED, None
        )
        old_weight = 0.0
        if self._observed_ms is not None:
            old_weight = 0.5 ** (
                (now_ms - self._observed_ms) / self._parameters.half_life_ms
            )
        self._speeds[measured] = (
            old_weight * self._speeds[measured]
            + (1 - old_weight) * raw_speeds[measured]
        )
        self._observed_ms = now_ms
        for rank in np.flatnonzero(measured):
            self._update_health(int(rank), now_ms)

    def _update_health(self, rank: int, now_ms: float) -> None:
        thresholds, speed = self._parameters, self._speeds[rank]
        if self._health[rank] is RankHealth.GOOD:
            if speed >= thresholds.shed_below:
                self._below_since_ms[rank] = None
                return
            below_since_ms = self._below_since_ms[rank]
            if below_since_ms is None:
                self._below_since_ms[rank] = now_ms
            elif now_ms - below_since_ms >= thresholds.shed_after_ms:
                self._health[rank], self._shed_since_ms[rank] = RankHealth.SHED, now_ms
        elif speed > thresholds.good_above:
            self._health[rank], self._below_since_ms[rank] = RankHealth.GOOD, None
        elif (
            speed < thresholds.replace_below
            or now_ms - self._shed_since_ms[rank] >= thresholds.replace_after_ms
        ):
            self._health[rank] = RankHealth.REPLACE
