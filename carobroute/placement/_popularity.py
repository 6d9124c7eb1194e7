"""Estimate of expert popularity from reports that may be late or lost."""

import numpy as np
from numpy.typing import NDArray

FloatArray = NDArray[np.float64]

MIN_SHARE = 1e-6


class PopularityEstimator:
    """Exponentially decayed estimate of each expert's share of its layer's tokens.

    Parameters
    ----------
    layers, experts : int
        Number of layers, and of experts in each layer.
    half_life_ms : float, default=120_000
        Half-life of the slow estimate, which `shares` returns.
    fast_half_life_ms : float, default=20_000
        Half-life of the fast estimate, which detects sharp changes.
    sharp_change_threshold : float, default=0.25
        Total variation distance between a layer's two estimates above which the fast
        estimate replaces the slow one.

    Notes
    -----
    The weight of a report depends on the time since the previous one, not on the number
    of reports. Lost reports therefore leave the estimate unchanged and give the next
    report more weight. Reports that arrive late or twice are ignored by their sequence
    number.

    Examples
    --------
    >>> popularity = PopularityEstimator(layers=1, experts=2)
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
        sharp_change_threshold: float = 0.25,
    ):
        self._half_life_ms = half_life_ms
        self._fast_half_life_ms = fast_half_life_ms
        self._sharp_change_threshold = sharp_change_threshold
        self._slow: FloatArray = np.full((layers, experts), 1.0 / experts)
        self._fast: FloatArray = self._slow.copy()
        self._last_sequence = 0
        self._last_until_ms: float | None = None
        self._lost_reports = 0
        self._sharp_changes = 0

    @property
    def lost_reports(self) -> int:
        """Number of reports missing from the sequence."""
        return self._lost_reports

    @property
    def sharp_changes(self) -> int:
        """Number of times that a layer's slow estimate was replaced."""
        return self._sharp_changes

    def shares(self) -> FloatArray:
        """Return the estimated share of each expert; each layer sums to 1."""
        return self._slow.copy()

    def observe(
        self, tokens: list[list[float]], *, sequence: int, until_ms: float
    ) -> bool:
        """Update the estimates with a report.

        Parameters
        ----------
        tokens : list of list of float
            Tokens routed to each expert of each layer since the previous report.
        sequence : int
            Sequence number of the report, which grows by one.
        until_ms : float
            Time at which the period of the report ended.

        Returns
        -------
        accepted : bool
            False if the report is old, repeated, has another shape or counts that are
            negative or not finite.
        """
        counts: FloatArray = np.asarray(tokens, dtype=np.float64)
        if sequence <= self._last_sequence or counts.shape != self._slow.shape:
            return False
        if not np.all(np.isfinite(counts)) or np.any(counts < 0):
            return False
        if self._last_sequence:
            self._lost_reports += sequence - self._last_sequence - 1
        self._last_sequence = sequence
        totals = counts.sum(axis=1, keepdims=True)
        has_tokens = totals[:, 0] > 0
        if not has_tokens.any():
            return True
        shares = np.maximum(counts[has_tokens] / totals[has_tokens], MIN_SHARE)
        if self._last_until_ms is None:
            self._slow[has_tokens] = self._fast[has_tokens] = shares
        else:
            elapsed_ms = max(0.0, until_ms - self._last_until_ms)
            self._blend(self._slow, shares, has_tokens, elapsed_ms / self._half_life_ms)
            self._blend(
                self._fast, shares, has_tokens, elapsed_ms / self._fast_half_life_ms
            )
        self._last_until_ms = until_ms
        self._replace_on_sharp_change()
        return True

    def _blend(
        self, estimate: FloatArray, shares: FloatArray, has_tokens, half_lives: float
    ) -> None:
        old_weight = 0.5**half_lives
        estimate[has_tokens] = (
            old_weight * estimate[has_tokens] + (1 - old_weight) * shares
        )
        estimate[has_tokens] /= estimate[has_tokens].sum(axis=1, keepdims=True)

    def _replace_on_sharp_change(self) -> None:
        distances = np.abs(self._fast - self._slow).sum(axis=1) / 2
        changed = distances > self._sharp_change_threshold
        self._slow[changed] = self._fast[changed]
        self._sharp_changes += int(changed.sum())
