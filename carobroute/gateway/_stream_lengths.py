"""Numbers of events of whole streams, to tell which ends look short."""

import math
from collections import deque

import msgspec

# Streams of late that a new one is compared with.
MAX_STREAMS = 64
# Streams before which none looks short.
MIN_STREAMS = 8


class LengthRank(msgspec.Struct, frozen=True, kw_only=True):
    """Place of a stream among the whole ones of its route.

    Parameters
    ----------
    shorter_share : float
        Share of them that were shorter, and of half of those of the same length.
    is_shortest : bool
        Whether none was as short.
    """

    shorter_share: float
    is_shortest: bool


class StreamLengths:
    """Compares the number of events of a stream with that of others of its route.

    Where callers send an estimate of the length, streams are compared by what they lack
    against it. The estimate counts for as much as it has told of other streams.

    Examples
    --------
    >>> lengths = StreamLengths()
    >>> for event_count in range(10, 30):
    ...     lengths.note(event_count)
    >>> lengths.rank(12)
    LengthRank(shorter_share=0.125, is_shortest=False)
    >>> lengths.rank(9)
    LengthRank(shorter_share=0.0, is_shortest=True)
    >>> hinted = StreamLengths()
    >>> for event_count in range(10, 30):
    ...     hinted.note(event_count, 4 * event_count)
    >>> hinted.rank(25, 200)
    LengthRank(shorter_share=0.0, is_shortest=True)
    """

    __slots__ = ("_streams",)

    def __init__(self) -> None:
        # Logarithms of the number of events and of the caller's estimate, which is None
        # for none.
        self._streams: deque[tuple[float, float | None]] = deque(maxlen=MAX_STREAMS)

    def note(self, event_count: int, hint: int = 0) -> None:
        """Note a stream that is complete by all that is known of its end.

        Parameters
        ----------
        event_count : int
            Number of its events.
        hint : int, default=0
            The caller's estimate of its length, in any unit; 0 for none.
        """
        self._streams.append((_log(event_count), _log(hint) if hint else None))

    def rank(self, event_count: int, hint: int = 0) -> LengthRank | None:
        """Return the place of a stream; None before the first `MIN_STREAMS`.

        Parameters
        ----------
        event_count : int
            Number of its events.
        hint : int, default=0
            The caller's estimate of its length; 0 for none.
        """
        pairs = [
            (count, estimate or 0.0)
            for count, estimate in self._streams
            if (estimate is not None) == bool(hint)
        ]
        if len(pairs) < MIN_STREAMS:
            return None
        slope = _fit_slope(pairs)
        excess = _log(event_count) - slope * (_log(hint) if hint else 0.0)
        others = [count - slope * estimate for count, estimate in pairs]
        shorter = sum(other < excess for other in others)
        equal = sum(other == excess for other in others)
        return LengthRank(
            shorter_share=(shorter + equal / 2) / len(others),
            is_shortest=not shorter + equal,
        )


def _log(count: int) -> float:
    return math.log(max(1, count))


def _fit_slope(pairs: list[tuple[float, float]]) -> float:
    """Return by how much the first values grow with the second ones."""
    size = len(pairs)
    count_mean = sum(count for count, _ in pairs) / size
    hint_mean = sum(hint for _, hint in pairs) / size
    variance = sum((hint - hint_mean) ** 2 for _, hint in pairs)
    if not variance:
        return 0.0
    covariance = sum((count - count_mean) * (hint - hint_mean) for count, hint in pairs)
    return max(0.0, covariance / variance)
