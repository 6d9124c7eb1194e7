"""Durations of the calls of each service, to estimate how long one takes."""

import math
from collections import deque

import msgspec

from carobroute.domain import ServiceProfile
from carobroute.utils import Clock

# Time for which a call counts, in milliseconds: some seconds of load.
WINDOW_MS = 10_000.0
MAX_STREAMS = 256
# Gaps between events below which the pace is not known.
MIN_GAPS = 10
# Factor on the mean pace, for a stream that is slower; few are as long as they may be.
DURATION_MARGIN = 1.1
MAX_PLAIN_CALLS = 256
# Plain calls below which their duration is not known.
MIN_PLAIN_CALLS = 10
# Factor on the longest plain call, for one that is slower.
PLAIN_MARGIN = 2.0


class _Stream(msgspec.Struct, frozen=True):
    """Times of one stream, in milliseconds."""

    at_ms: float
    first_ms: float
    gap_sum_ms: float
    gap_count: int


class StreamPaces:
    """Recent streams of each service, and the duration to expect of a longest one.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_streams")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._streams: dict[str, deque[_Stream]] = {}

    def note(
        self, service: str, *, first_ms: float, gap_sum_ms: float, gap_count: int
    ) -> None:
        """Note a complete stream.

        Parameters
        ----------
        service : str
            Service that was called.
        first_ms : float
            Time to the first event, in milliseconds.
        gap_sum_ms, gap_count : float and int
            Times between its events, in milliseconds, and their number.
        """
        streams = self._streams.setdefault(service, deque(maxlen=MAX_STREAMS))
        stream = _Stream(self._clock.now_ms(), first_ms, gap_sum_ms, gap_count)
        streams.append(stream)

    def longest_duration_ms(
        self, service: ServiceProfile, output_tokens: int
    ) -> float | None:
        """Return the time to expect of a stream of the size that it may have.

        It is None if it is not known. An event has the tokens of one pass of an
        engine, and at least one token elsewhere.

        Parameters
        ----------
        service : ServiceProfile
            Service that is called.
        output_tokens : int
            Largest size of the answer; 0 if unknown.
        """
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        recent = [
            stream
            for stream in self._streams.get(service.name, ())
            if stream.at_ms >= oldest_ms
        ]
        gap_count = sum(stream.gap_count for stream in recent)
        if gap_count < MIN_GAPS or not output_tokens:
            return None
        tokens_per_event = service.engine.steps_per_pass if service.engine else 1
        event_count = math.ceil(output_tokens / max(1, tokens_per_event))
        first_ms = sum(stream.first_ms for stream in recent) / len(recent)
        gap_ms = sum(stream.gap_sum_ms for stream in recent) / gap_count
        return DURATION_MARGIN * (first_ms + event_count * gap_ms)


class PlainCallDurations:
    """Recent plain calls of each service, and the duration to expect of one.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_calls", "_clock")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        # Times of the answers, and durations, in milliseconds.
        self._calls: dict[str, deque[tuple[float, float]]] = {}

    def note(self, service: str, duration_ms: float) -> None:
        """Note an answered call, with its duration from its arrival at this gateway."""
        calls = self._calls.setdefault(service, deque(maxlen=MAX_PLAIN_CALLS))
        calls.append((self._clock.now_ms(), duration_ms))

    def longest_ms(self, service: str) -> float | None:
        """Return the time in which a call most probably ends; None if not known."""
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        recent = [
            duration_ms
            for at_ms, duration_ms in self._calls.get(service, ())
            if at_ms >= oldest_ms
        ]
        if len(recent) < MIN_PLAIN_CALLS:
            return None
        return PLAIN_MARGIN * max(recent)
