"""Logs and metrics of calls."""

from typing import Any

import msgspec

from carobroute.errors import Fault
from carobroute.gateway._event_framing import count_events
from carobroute.gateway._group_limits import GroupLimit
from carobroute.gateway._targets import Target
from carobroute.health import AnswerQuality, RecordChange
from carobroute.telemetry import EventLog, Metrics
from carobroute.utils import Clock
from carobroute.web import ClientConnection

# The decisions of one in this many successful calls are logged.
SUCCESS_SAMPLE_INTERVAL = 16


class CallDecision(msgspec.Struct, frozen=True):
    """One logged decision about a call.

    Parameters
    ----------
    name : str
        Event name.
    at_ms : float
        Time since the call was received.
    fields : dict
        Inputs and outcome of the decision.
    """

    name: str
    at_ms: float
    fields: dict[str, Any]


class CallRecord:
    """Decisions about one call, kept until its end decides whether they are logged.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_decisions",
        "_event_count",
        "_first_byte_ms",
        "_last_target",
        "_max_gap_ms",
        "_received_ms",
        "_status",
        "gap_count",
        "gap_sum_ms",
        "request_id",
        "route",
        "service",
        "team",
    )

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._received_ms = clock.now_ms()
        self._decisions: list[CallDecision] = []
        self._first_byte_ms = 0.0
        self._max_gap_ms = 0.0
        self._last_target = ""
        self._event_count = 0
        self._status = 0
        # Sum and number of the times between two events of the stream.
        self.gap_sum_ms, self.gap_count = 0.0, 0
        # Identifier in the caller's Request-Id header.
        self.request_id = ""
        self.route = ""
        self.service = ""
        self.team = ""

    @property
    def received_ms(self) -> float:
        """Monotonic time at which the request's headers were received."""
        return self._received_ms

    @property
    def age_ms(self) -> float:
        """Time since the request's headers were received."""
        return self._clock.now_ms() - self._received_ms

    @property
    def decisions(self) -> list[CallDecision]:
        """Decisions so far, in order."""
        return self._decisions

    @property
    def first_byte_ms(self) -> float:
        """Time to the first byte of the answer; 0 before it."""
        return self._first_byte_ms

    @property
    def max_gap_ms(self) -> float:
        """Longest time between two events of the stream."""
        return self._max_gap_ms

    @property
    def last_target(self) -> str:
        """Target that the call was last passed on to; empty for none."""
        return self._last_target

    @property
    def event_count(self) -> int:
        """Number of events that were written to the caller."""
        return self._event_count

    @property
    def status(self) -> int:
        """Status of the answer; 0 until the call has ended for the gateway."""
        return self._status

    def note_end(self, status: int) -> None:
        """Record that the call has ended for the gateway."""
        self._status = status

    def note_passed_on(self, target: str) -> None:
        """Record that the call's first byte is about to leave for a target."""
        self._last_target = target

    def note_events(self, events: bytes) -> None:
        """Count complete events that were written to the caller."""
        self._event_count += count_events(events)

    def note_first_byte(self) -> None:
        """Record the time of the answer's first byte."""
        self._first_byte_ms = self.age_ms

    def note_gap(self, gap_ms: float) -> None:
        """Record the time between two events of the stream."""
        self._max_gap_ms = max(self._max_gap_ms, gap_ms)
        self.gap_sum_ms += gap_ms
        self.gap_count += 1

    def note(self, name: str, /, **fields: Any) -> None:
        """Add a decision."""
        self._decisions.append(CallDecision(name, self.age_ms, fields))


class CallRecorder:
    """Counts all calls, and logs the decisions about failed ones.

    Of the successful calls, one in `SUCCESS_SAMPLE_INTERVAL` is logged. While the
    gateway stops, the ends of all of them are.

    Parameters
    ----------
    events : EventLog
        Log of decisions.
    metrics : Metrics
        Registry of the counters and histograms.
    """

    __slots__ = (
        "_answers",
        "_attempts",
        "_calls",
        "_cold",
        "_cuts",
        "_ended_count",
        "_ends",
        "_evacuated",
        "_events",
        "_excesses",
        "_first_byte",
        "_group_streams",
        "_is_stopping",
        "_leaving",
        "_limits",
        "_malformed",
        "_parts",
        "_pauses",
        "_record_changes",
        "_target_states",
        "_waits",
    )

    def __init__(self, *, events: EventLog, metrics: Metrics):
        self._events = events
        self._ended_count = 0
        self._is_stopping = False
        self._calls = metrics.counter(
            "calls", "Calls ended.", ["service", "status", "outcome"]
        )
        self._attempts = metrics.counter(
            "attempts", "Calls sent to targets.", ["service", "outcome"]
        )
        self._answers = metrics.counter(
            "target_answers",
            "Answers of targets, by their framing and how they were read.",
            ["service", "framing", "end"],
        )
        self._excesses = metrics.counter(
            "excessive_answers",
            "Answers of targets that were broken off, by the limit that they exceeded.",
            ["service", "limit"],
        )
        self._malformed = metrics.counter(
            "malformed_answers",
            "Answers of targets whose head was invalid, by what was.",
            ["service", "defect"],
        )
        self._ends = metrics.counter(
            "stream_ends",
            "Ends of streams without a length or chunks, by the evidence that decided.",
            ["service", "evidence", "verdict"],
        )
        self._cuts = metrics.counter(
            "connections_cut",
            "Connections of callers that ended without a complete answer.",
            ["reason"],
        )
        self._parts = metrics.counter(
            "prompt_parts", "Changes of the state of prompt parts.", ["state"]
        )
        self._pauses = metrics.counter(
            "target_pauses", "Times that a target has asked for a pause.", []
        )
        self._record_changes = metrics.counter(
            "target_ejections",
            "Targets ejected for their answers, tried, and taken back.",
            ["change"],
        )
        self._target_states = metrics.gauge("targets", "Targets by state.", ["state"])
        self._cold = metrics.counter(
            "targets_cold", "Targets that have become cold.", ["source"]
        )
        self._evacuated = metrics.gauge(
            "data_centre_evacuated",
            "Whether a data centre gets no new calls.",
            ["data_centre"],
        )
        self._group_streams = metrics.gauge(
            "group_streams",
            "Streams of a rank group: its limit, its places, and those that run.",
            ["group", "figure"],
        )
        self._leaving = metrics.counter(
            "targets_leaving", "Targets that leave, ahead of the list.", ["source"]
        )
        self._limits = metrics.counter(
            "target_limits", "Changes of the rate limits that targets name.", ["change"]
        )
        self._first_byte = metrics.histogram(
            "first_byte_ms", "Time to the first byte of an answer.", ["service"]
        )
        self._waits = metrics.histogram(
            "queue_ms", "Time that calls waited for a target.", ["service"]
        )

    def begin_stop(self) -> None:
        """Log the end of each call from now on."""
        self._is_stopping = True

    def count_attempt(self, service: str, outcome: str) -> None:
        """Count an attempt to send a call to a target."""
        self._attempts.labels(service, outcome).inc()

    def count_answer(self, service: str, framing: str, end: str) -> None:
        """Count an answer of a target that was read to its end, or broke off."""
        self._answers.labels(service, framing, end).inc()

    def note_broken_off(self, record: CallRecord, target: str, fault: Fault) -> None:
        """Count and log an answer that was broken off here, if a fault says why.

        Parameters
        ----------
        record : CallRecord
            The call that was answered.
        target : str
            Run of the target.
        fault : Fault
            Fault of the attempt.
        """
        if fault.exceeded:
            event, reason = "answer_excessive", {"limit": fault.exceeded}
            self._excesses.labels(record.service, fault.exceeded).inc()
        elif fault.defect:
            event, reason = "answer_malformed", {"defect": fault.defect}
            self._malformed.labels(record.service, fault.defect).inc()
        else:
            return
        self._events.event(
            event,
            level="warning",
            request=record.request_id,
            target=target,
            **reason,
            detail=fault.detail,
        )

    def count_end(self, service: str, evidence: str, verdict: str) -> None:
        """Count the end of a stream without a length or chunks that was judged."""
        self._ends.labels(service, evidence, verdict).inc()

    def count_part(self, state: str) -> None:
        """Count a prompt part that was suspected, refused or cleared."""
        self._parts.labels(state).inc()

    def count_limit(self, change: str) -> None:
        """Count a rate limit that a target has named or lifted."""
        self._limits.labels(change).inc()

    def note_unreadable(self, name: str, target: str) -> None:
        """Log that a header of a target's answer has no valid value."""
        self._events.event(name, level="warning", target=target)

    def note_leaving(self, target: str, source: str) -> None:
        """Count and log that a target leaves, ahead of the list."""
        self._leaving.labels(source).inc()
        self._events.event("target_leaving", target=target, source=source)

    def note_cold(self, target: str, remaining_ms: float, source: str) -> None:
        """Count and log that a target is cold, and who says so."""
        self._cold.labels(source).inc()
        self._events.event(
            "target_cold",
            target=target,
            remaining_ms=round(remaining_ms),
            source=source,
        )

    def note_group_limit(self, limit: GroupLimit) -> None:
        """Log a changed limit of a rank group, with what it was worked out from."""
        for figure, value in (
            ("limit", limit.streams),
            ("places", limit.places),
            ("running", limit.running),
        ):
            self._group_streams.labels(limit.group, figure).set(value)
        self._events.event(
            "group_limit_changed",
            group=limit.group,
            service=limit.service,
            streams=round(limit.streams, 1),
            places=limit.places,
            running=round(limit.running, 1),
            imbalance=round(limit.imbalance, 2),
            seen_ms=round(limit.seen_ms, 1),
            expected_ms=round(limit.expected_ms, 1),
            cause=limit.cause,
        )

    def note_evacuation(
        self,
        data_centre: str,
        *,
        is_evacuated: bool,
        proof_age_ms: float,
        **inputs: Any,
    ) -> None:
        """Log that a data centre gets no calls, or gets them again, with the inputs."""
        self._evacuated.labels(data_centre).set(int(is_evacuated))
        self._events.event(
            "evacuation_began" if is_evacuated else "evacuation_ended",
            data_centre=data_centre,
            proof_age_ms=round(proof_age_ms),
            **inputs,
        )

    def note_pause(self, target: str, pause_ms: float) -> None:
        """Count and log that a target wants no calls for a time."""
        self._pauses.inc()
        self._events.event("target_paused", target=target, for_ms=round(pause_ms))

    def note_record_change(
        self, target: Target, change: RecordChange, quality: AnswerQuality
    ) -> None:
        """Count and log that a target is ejected, tried or taken back.

        Parameters
        ----------
        target : Target
            The target.
        change : RecordChange
            What has changed.
        quality : AnswerQuality
            How it has answered the last call.
        """
        self._record_changes.labels(change.value).inc()
        self._events.event(
            f"target_{change.value}",
            target=target.run_id,
            answer=quality.value,
            failure_run=round(target.health.failure_run, 1),
            failure_share=round(target.health.failure_share, 2),
            trials_served=target.health.trial_successes,
            load=round(target.load, 1),
        )

    def set_target_states(self, counts: dict[str, int]) -> None:
        """Set the number of targets in each state."""
        for state, count in counts.items():
            self._target_states.labels(state).set(count)

    def note_cut(
        self,
        reason: str,
        connection: ClientConnection | None,
        *,
        record: CallRecord | None = None,
        detail: str = "",
        is_stopping: bool,
    ) -> None:
        """Count and log a caller's connection that ends without a complete answer.

        Parameters
        ----------
        reason : str
            Why it ends.
        connection : ClientConnection or None
            The connection; None if it was refused.
        record : CallRecord, optional
            Call that has no complete answer; None if none had begun.
        detail : str, default=""
            What is known beyond the reason.
        is_stopping : bool
            Whether the gateway has been asked to stop.
        """
        self._cuts.labels(reason).inc()
        call = _call_fields(record) if record is not None else {}
        if connection is not None:
            call |= {
                "connection_ms": round(connection.age_ms, 1),
                "earlier_requests": connection.begun_count - (record is not None),
                "unread_requests": connection.unread_count,
                "unsent_bytes": connection.unsent_bytes,
            }
        self._events.event(
            "connection_cut",
            reason=reason,
            detail=detail,
            stopping=is_stopping,
            **call,
        )

    def note_unfinished(self, connection: ClientConnection) -> None:
        """Log a call that has no complete answer right before the process ends."""
        record = connection.last_call
        call = _call_fields(record) if isinstance(record, CallRecord) else {}
        self._events.event(
            "call_unfinished",
            level="warning",
            answered=not connection.is_serving,
            unsent_bytes=connection.unsent_bytes,
            connection_ms=round(connection.age_ms, 1),
            **call,
        )

    def note_unwritable(self, record: CallRecord, error: str) -> None:
        """Log that the HTTP library refuses to write an answer."""
        self._events.event(
            "answer_unwritable",
            level="error",
            request=record.request_id,
            target=record.last_target,
            error=error,
        )

    def observe_wait(self, service: str, waited_ms: float) -> None:
        """Observe the time that a call waited for a target."""
        self._waits.labels(service).observe(waited_ms)

    def observe_first_byte(self, record: CallRecord) -> None:
        """Record and observe the time to an answer's first byte."""
        record.note_first_byte()
        self._first_byte.labels(record.service).observe(record.first_byte_ms)

    def finish_call(self, record: CallRecord, *, status: int, outcome: str) -> None:
        """Count an ended call, and log its decisions if it failed or is sampled."""
        record.note_end(status)
        self._calls.labels(record.service, str(status), outcome).inc()
        self._ended_count += 1
        is_failure = status >= 400 or outcome != "done"
        is_explained = is_failure or not self._ended_count % SUCCESS_SAMPLE_INTERVAL
        if not is_explained and not self._is_stopping:
            return
        for decision in record.decisions if is_explained else []:
            self._events.event(
                decision.name,
                request=record.request_id,
                at_ms=round(decision.at_ms, 1),
                **decision.fields,
            )
        self._events.event(
            "call_failed" if is_failure else "call_done",
            request=record.request_id,
            route=record.route,
            team=record.team,
            status=status,
            outcome=outcome,
            target=record.last_target,
            events_sent=record.event_count,
            first_ms=round(record.first_byte_ms, 1),
            gap_ms=round(record.max_gap_ms, 1),
            took_ms=round(record.age_ms, 1),
        )


def _call_fields(record: CallRecord) -> dict[str, Any]:
    """Return what the log tells of a call that has no complete answer."""
    return {
        "request": record.request_id,
        "route": record.route,
        "passed_on": bool(record.last_target),
        "target": record.last_target,
        "status": record.status,
        "events_sent": record.event_count,
        "took_ms": round(record.age_ms, 1),
    }
