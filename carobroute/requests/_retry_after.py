"""Retry delay advised to refused callers."""

import random

MIN_RETRY_AFTER_MS = 1_000.0
MAX_RETRY_AFTER_MS = 60_000.0


def jittered_retry_after_ms(random_source: random.Random, expected_ms: float) -> float:
    """Return a retry delay with jitter, so that refused callers return spread out.

    Parameters
    ----------
    random_source : random.Random
        Random number generator.
    expected_ms : float
        Expected time until capacity is free, in milliseconds.

    Examples
    --------
    >>> 2_000 <= jittered_retry_after_ms(random.Random(1), 2_000) <= 4_000
    True
    """
    base_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, expected_ms))
    return base_ms * random_source.uniform(1.0, 2.0)
