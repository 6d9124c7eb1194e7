"""Telling a straggler from a rank that only has much to do."""

import enum

import msgspec
import numpy as np

from carobroute.placement._planning import FloatArray

SLOWEST_SPEED = 0.05


class RankHealth(enum.StrEnum):
    """What to do about a rank."""

    GOOD = "good"
    SHED = "shed"
    REPLACE = "replace"


class StragglerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds between good ranks, stragglers and ranks to replace.

    Parameters
    ----------
    shed_below, good_above : float
        Speed, relative to the median rank, below which a rank is a straggler, and
        above which it no longer is one.
    replace_below : float
        Speed below which a straggler is replaced without waiting.
    patience_ms : float
        Time for which a rank has to be below a bound.
    replace_after_ms : float
        Time as a straggler after which a rank is replaced.
    half_life_ms : float
        Age at which an observation counts half.
    """

    shed_below: float = 0.85
    good_above: float = 0.93
    replace_below: float = 0.35
    patience_ms: float = 5_000.0
    replace_after_ms: float = 120_000.0
    half_life_ms: float = 5_000.0


class StragglerWatch:
    """Estimates each rank's speed from its work time and the load that it had.

    A busy rank takes long because its experts get many tokens: its time matches its
    load and its speed is that of the others. A straggler takes longer than its load
    explains.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    parameters : StragglerParameters, default=None
        Bounds.

    Examples
    --------
    >>> watch = StragglerWatch(ranks=3)
    >>> watch.observe(work_ms=[20.0, 10.0, 20.0], loads=[2.0, 1.0, 1.0], now_ms=0.0)
    >>> watch.speeds().round(2).tolist()
    [1.0, 1.0, 0.5]
    """

    def __init__(self, *, ranks: int, parameters: StragglerParameters | None = None):
        self._parameters = parameters or StragglerParameters()
        self._speeds: FloatArray = np.ones(ranks)
        self._health = [RankHealth.GOOD] * ranks
        self._below_ms: list[float | None] = [None] * ranks
        self._shed_ms = [0.0] * ranks
        self._seen_ms: float | None = None

    def speeds(self) -> FloatArray:
        """Return the speed of each rank, relative to the median rank."""
        return self._speeds.copy()

    def planned_speeds(self) -> FloatArray:
        """Return the speeds to plan with: 1 for a rank that is no straggler."""
        shed = np.array([h is not RankHealth.GOOD for h in self._health])
        return np.where(shed, self._speeds, 1.0)

    def health(self) -> list[RankHealth]:
        """Return what to do about each rank."""
        return list(self._health)

    def forget(self, rank: int) -> None:
        """Begin anew with a rank that was replaced."""
        self._speeds[rank] = 1.0
        self._health[rank] = RankHealth.GOOD
        self._below_ms[rank] = None

    def observe(
        self, *, work_ms: list[float], loads: list[float], now_ms: float
    ) -> None:
        """Take in the ranks' work times and the load that each had by the map.

        Ranks without a time or without load are left as they were.
        """
        times, load = np.asarray(work_ms, float), np.asarray(loads, float)
        known = (times > 0) & (load > 0)
        if not known.any():
            return
        raw = np.where(known, load / np.where(known, times, 1.0), 0.0)
        raw = np.clip(raw / np.median(raw[known]), SLOWEST_SPEED, None)
        old = 0.0
        if self._seen_ms is not None:
            old = 0.5 ** ((now_ms - self._seen_ms) / self._parameters.half_life_ms)
        self._speeds[known] = old * self._speeds[known] + (1 - old) * raw[known]
        self._seen_ms = now_ms
        for rank in np.flatnonzero(known):
            self._judge(int(rank), now_ms)

    def _judge(self, rank: int, now_ms: float) -> None:
        bounds, speed = self._parameters, self._speeds[rank]
        if self._health[rank] is RankHealth.GOOD:
            if speed >= bounds.shed_below:
                self._below_ms[rank] = None
                return
            below_ms = self._below_ms[rank]
            if below_ms is None:
                self._below_ms[rank] = now_ms
            elif now_ms - below_ms >= bounds.patience_ms:
                self._health[rank], self._shed_ms[rank] = RankHealth.SHED, now_ms
        elif speed > bounds.good_above:
            self._health[rank], self._below_ms[rank] = RankHealth.GOOD, None
        elif (
            speed < bounds.replace_below
            or now_ms - self._shed_ms[rank] >= bounds.replace_after_ms
        ):
            self._health[rank] = RankHealth.REPLACE
