"""Logs and counters of what happens to calls."""

from typing import Any

import msgspec

from carobroute.telemetry import EventLog, Metrics
from carobroute.utils import Clock

# One in so many calls that end well has its decisions logged.
SAMPLE = 16


class Step(msgspec.Struct, frozen=True):
    """One decision about a call.

    Parameters
    ----------
    name : str
        Event name.
    at_ms : float
        Time since the call was received.
    fields : dict
        Inputs and outcome.
    """

    name: str
    at_ms: float
    fields: dict[str, Any]


class CallRecord:
    """Decisions about one call, until it is known whether they are logged.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_first_ms",
        "_gap_ms",
        "_received_ms",
        "_steps",
        "request_id",
        "route",
        "service",
        "team",
    )

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._received_ms = clock.now_ms()
        self._steps: list[Step] = []
        self._first_ms = 0.0
        self._gap_ms = 0.0
        # The caller's identifier of the attempt.
        self.request_id = ""
        self.route = ""
        self.service = ""
        self.team = ""

    @property
    def received_ms(self) -> float:
        """When the call's headers were there."""
        return self._received_ms

    @property
    def age_ms(self) -> float:
        """Time since then."""
        return self._clock.now_ms() - self._received_ms

    @property
    def steps(self) -> list[Step]:
        """Decisions so far, in order."""
        return self._steps

    @property
    def first_ms(self) -> float:
        """Time to the answer's first byte; 0 before it."""
        return self._first_ms

    @property
    def gap_ms(self) -> float:
        """Longest time between two events of a stream."""
        return self._gap_ms

    def note_first_byte(self) -> None:
        """Take the answer's first byte."""
        self._first_ms = self.age_ms

    def note_gap(self, gap_ms: float) -> None:
        """Take the time between two events of a stream."""
        self._gap_ms = max(self._gap_ms, gap_ms)

    def note(self, name: str, /, **fields: Any) -> None:
        """Add a decision."""
        self._steps.append(Step(name, self.age_ms, fields))


class CallRecorder:
    """Counts all calls, and logs the decisions about those that failed.

    Of the calls that end well, one in `SAMPLE` is logged.

    Parameters
    ----------
    events : EventLog
        Where decisions are logged.
    metrics : Metrics
        Where calls are counted.
    """

    __slots__ = ("_attempts", "_calls", "_events", "_first", "_seen", "_waits")

    def __init__(self, *, events: EventLog, metrics: Metrics):
        self._events = events
        self._seen = 0
        self._calls = metrics.counter(
            "calls", "Calls ended.", ["service", "status", "outcome"]
        )
        self._attempts = metrics.counter(
            "attempts", "Calls sent to targets.", ["service", "outcome"]
        )
        self._first = metrics.histogram(
            "first_byte_ms", "Time to the first byte of an answer.", ["service"]
        )
        self._waits = metrics.histogram(
            "queue_ms", "Time that calls waited for a target.", ["service"]
        )

    def attempted(self, service: str, outcome: str) -> None:
        """Count a call that was sent to a target."""
        self._attempts.labels(service, outcome).inc()

    def waited(self, service: str, waited_ms: float) -> None:
        """Count the time that a call waited for a target."""
        self._waits.labels(service).observe(waited_ms)

    def first_byte(self, record: CallRecord) -> None:
        """Count the time to an answer's first byte."""
        record.note_first_byte()
        self._first.labels(record.service).observe(record.first_ms)

    def ended(self, record: CallRecord, *, status: int, outcome: str) -> None:
        """Count a call, and log its decisions if it failed or is drawn."""
        self._calls.labels(record.service, str(status), outcome).inc()
        self._seen += 1
        failed = status >= 400 or outcome != "done"
        if not failed and self._seen % SAMPLE:
            return
        for step in record.steps:
            self._events.event(
                step.name,
                request=record.request_id,
                at_ms=round(step.at_ms, 1),
                **step.fields,
            )
        self._events.event(
            "call_failed" if failed else "call_done",
            request=record.request_id,
            route=record.route,
            team=record.team,
            status=status,
            outcome=outcome,
            first_ms=round(record.first_ms, 1),
            gap_ms=round(record.gap_ms, 1),
            took_ms=round(record.age_ms, 1),
        )
