"""Popularity of experts, from reports that come late and with gaps."""

import numpy as np
from numpy.typing import NDArray

FloatArray = NDArray[np.float64]

SMALLEST_SHARE = 1e-6


class Popularity:
    """Decayed share of a layer's tokens that each expert gets.

    Parameters
    ----------
    layers, experts : int
        Shape of the group's model.
    half_life_ms : float, default=120_000
        Age at which a report counts half.
    fast_half_life_ms : float, default=20_000
        The same for the estimate that notices sharp changes.
    sharp : float, default=0.25
        Share of a layer's tokens that must have moved between the two estimates before
        the slow one is replaced by the fast one.

    Notes
    -----
    A report counts by the time that it covers, not by its place in the row of reports,
    so that lost reports leave the estimate as it was and make the next one weigh more.
    Reports that arrive out of order or twice are dropped by their sequence number.

    Examples
    --------
    >>> popularity = Popularity(layers=1, experts=2)
    >>> popularity.observe([[30, 10]], sequence=1, until_ms=1_000)
    True
    >>> popularity.shares().round(2).tolist()
    [[0.75, 0.25]]
    """

    def __init__(
        self,
        *,
        layers: int,
        experts: int,
        half_life_ms: float = 120_000.0,
        fast_half_life_ms: float = 20_000.0,
        sharp: float = 0.25,
    ):
        self._half_life_ms = half_life_ms
        self._fast_half_life_ms = fast_half_life_ms
        self._sharp = sharp
        self._slow: FloatArray = np.full((layers, experts), 1.0 / experts)
        self._fast: FloatArray = self._slow.copy()
        self._sequence = 0
        self._until_ms: float | None = None
        self._lost_reports = 0
        self._sharp_changes = 0

    @property
    def lost_reports(self) -> int:
        """Reports missing between those observed."""
        return self._lost_reports

    @property
    def sharp_changes(self) -> int:
        """Times that a layer's slow estimate was replaced."""
        return self._sharp_changes

    def shares(self) -> FloatArray:
        """Return the estimated share of each expert, summing to 1 in each layer."""
        return self._slow.copy()

    def observe(
        self, tokens: list[list[float]], *, sequence: int, until_ms: float
    ) -> bool:
        """Take in a report.

        Parameters
        ----------
        tokens : list of list of float
            Tokens of each layer and expert since the report before.
        sequence : int
            Number of the report, one above the report before.
        until_ms : float
            Time at which the period of the report ended.

        Returns
        -------
        taken : bool
            False if the report is old, repeated or of another shape.
        """
        counts: FloatArray = np.asarray(tokens, dtype=np.float64)
        if sequence <= self._sequence or counts.shape != self._slow.shape:
            return False
        if not np.all(np.isfinite(counts)) or np.any(counts < 0):
            return False
        if self._sequence:
            self._lost_reports += sequence - self._sequence - 1
        self._sequence = sequence
        totals = counts.sum(axis=1, keepdims=True)
        seen = totals[:, 0] > 0
        if not seen.any():
            return True
        shares = np.maximum(counts[seen] / totals[seen], SMALLEST_SHARE)
        if self._until_ms is None:
            self._slow[seen] = self._fast[seen] = shares
        else:
            elapsed_ms = max(0.0, until_ms - self._until_ms)
            self._blend(self._slow, shares, seen, elapsed_ms / self._half_life_ms)
            self._blend(self._fast, shares, seen, elapsed_ms / self._fast_half_life_ms)
        self._until_ms = until_ms
        self._follow_sharp_changes()
        return True

    def _blend(
        self, kept: FloatArray, shares: FloatArray, seen, half_lives: float
    ) -> None:
        old = 0.5**half_lives
        kept[seen] = old * kept[seen] + (1 - old) * shares
        kept[seen] /= kept[seen].sum(axis=1, keepdims=True)

    def _follow_sharp_changes(self) -> None:
        moved = np.abs(self._fast - self._slow).sum(axis=1) / 2
        sharp = moved > self._sharp
        self._slow[sharp] = self._fast[sharp]
        self._sharp_changes += int(sharp.sum())
