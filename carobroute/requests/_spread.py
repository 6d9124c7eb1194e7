"""Advice on when to come back."""

import random

LEAST_RETRY_MS = 1_000.0
MOST_RETRY_MS = 60_000.0


def spread_retry_after_ms(source: random.Random, expected_ms: float) -> float:
    """Return an advised wait, spread so that refused callers do not return together.

    Parameters
    ----------
    source : random.Random
        Source of chance.
    expected_ms : float
        When there is expected to be room, in milliseconds from now.

    Examples
    --------
    >>> 2_000 <= spread_retry_after_ms(random.Random(1), 2_000) <= 4_000
    True
    """
    base_ms = min(MOST_RETRY_MS, max(LEAST_RETRY_MS, expected_ms))
    return base_ms * source.uniform(1.0, 2.0)
