"""Which calls of the gateway soak are lost, as the users count it."""

from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec

from benchmarks._soak_callers import DEADLINE_MS, CallerRecord
from benchmarks._soak_targets import TargetRecord

# Bounds of the users' sheets.
CONTACT_S = 3.0
EVACUATE_S = 5.0
APPLY_S = 2.0
LOSS_SLACK_S = 0.2
# Calls that are sent no later than this after a stop signal do not count if a target
# still works at them in the last part of the grace.
STOP_EXCUSE_S = 3.0
STOP_EXCUSE_RATIO = 5 / 6
STOP_SLACK_S = 1.0
CONFIGURATION_SLACK_S = 1.0
# Part of a call's time after which a change of configuration does not count, and by how
# much more calls must be cut beside changes than at other times.
CONFIGURATION_TIME_RATIO = 0.7
CONFIGURATION_CUT_RATIO = 3.0
# Closed kept connections of a gateway at any time that do not count.
MAX_CLOSED_KEPT = 3
# Time before its deadline from which on a call has reached it.
DEADLINE_SLACK_S = 0.1

Span = tuple[float, float]


class PlannedWork(msgspec.Struct, kw_only=True):
    """What was done to gateways on purpose, and what befell them, by gateway.

    Parameters
    ----------
    stops : dict
        Monotonic time of each stop signal and the grace after it, in seconds.
    hangups : dict
        Monotonic time of each SIGHUP.
    configurations : list of float
        Monotonic time of each change of the configuration.
    disruptions : dict
        Spans in which a gateway was killed, down or suspended.
    store_disruptions : list of Span
        Spans in which the store was away or older.
    evacuations : dict
        Spans in which a data centre was to get nothing new, by its name.
    """

    stops: dict[int, list[Span]] = msgspec.field(
        default_factory=lambda: defaultdict(list)
    )
    hangups: dict[int, list[float]] = msgspec.field(
        default_factory=lambda: defaultdict(list)
    )
    configurations: list[float] = msgspec.field(default_factory=list)
    disruptions: dict[int, list[Span]] = msgspec.field(
        default_factory=lambda: defaultdict(list)
    )
    store_disruptions: list[Span] = msgspec.field(default_factory=list)
    evacuations: dict[str, list[Span]] = msgspec.field(
        default_factory=lambda: defaultdict(list)
    )


def find_evacuated(
    calls: Iterable[CallerRecord], work: PlannedWork, record: TargetRecord
) -> list[str]:
    """Return the requests that reached a data centre which was evacuated for long.

    Requests of gateways that were disrupted shortly before do not count, nor do any
    while the store was.
    """
    gateways = {call.request_id: call.gateway for call in calls}
    found = []
    for at_s, data_centre, request_id in record.arrivals:
        is_late = any(
            began_s + EVACUATE_S < at_s < ended_s
            for began_s, ended_s in work.evacuations[data_centre]
        )
        disruptions = [*work.store_disruptions]
        if request_id in gateways:
            disruptions += work.disruptions[gateways[request_id]]
        is_excused = any(
            began_s <= at_s <= ended_s + CONTACT_S for began_s, ended_s in disruptions
        )
        if is_late and not is_excused:
            found.append(request_id)
    return found


class LossJudge:
    """Finds calls whose connection ended without a complete answer.

    Parameters
    ----------
    work : PlannedWork
        Planned work and disruptions.
    record : TargetRecord
        What targets have seen.
    """

    def __init__(self, *, work: PlannedWork, record: TargetRecord):
        self._work = work
        self._record = record

    def is_cut(self, call: CallerRecord) -> bool:
        """Return whether a call has lost its whole answer, at any time.

        It has reached a target, and neither a target, its deadline nor anything
        unplanned has ended it.
        """
        return self._is_broken_off(call) and not self._is_excused(call)

    def _is_broken_off(self, call: CallerRecord) -> bool:
        request_id = call.request_id
        return (
            not call.is_complete
            and request_id in self._record.arrived
            and request_id not in self._record.broken
            and call.ended_s - call.sent_s < DEADLINE_MS / 1_000 - DEADLINE_SLACK_S
        )

    def find_lost(self, calls: Iterable[CallerRecord]) -> dict[str, str]:
        """Return the lost requests, with the planned work around which they are."""
        calls = list(calls)
        lost: dict[str, str] = {}
        beside: list[CallerRecord] = []
        closed = defaultdict(list)
        for call in calls:
            is_ended = self._is_broken_off(call) or self._is_unanswered(call)
            if not is_ended or self._is_excused(call):
                continue
            if self._is_in_stop(call):
                lost[call.request_id] = "stop"
            elif self._is_after_hangup(call):
                lost[call.request_id] = "SIGHUP"
            elif self._is_beside_configuration(call.ended_s):
                beside.append(call)
            if call.is_kept and not call.status and not self._is_out_of_touch(call):
                closed[call.gateway].append(call)
        lost |= self._judge_beside(beside, calls)
        for kept in closed.values():
            if len(kept) > MAX_CLOSED_KEPT:
                lost = {call.request_id: "kept connection" for call in kept} | lost
        return lost

    def _is_unanswered(self, call: CallerRecord) -> bool:
        """Return whether a gateway read a request and closed its connection late."""
        return (
            not call.status
            and not call.is_complete
            and not call.is_reset
            and call.request_id not in self._record.broken
            and LOSS_SLACK_S
            < call.ended_s - call.sent_s
            < DEADLINE_MS / 1_000 - DEADLINE_SLACK_S
        )

    def _is_excused(self, call: CallerRecord) -> bool:
        """Return whether something unplanned lies beside a call."""
        spans = list(self._work.disruptions[call.gateway])
        if call.has_key:
            spans += self._work.store_disruptions
        return _meets(spans, call)

    def _is_out_of_touch(self, call: CallerRecord) -> bool:
        stops = self._work.stops[call.gateway]
        spans = [(at_s, at_s + grace_s) for at_s, grace_s in stops]
        return _meets(spans + self._work.store_disruptions, call)

    def _is_in_stop(self, call: CallerRecord) -> bool:
        for at_s, grace_s in self._work.stops[call.gateway]:
            if not at_s <= call.ended_s <= at_s + grace_s + STOP_SLACK_S:
                continue
            worked_until_s = self._record.worked_until_s.get(call.request_id, 0.0)
            is_excused = (
                worked_until_s >= at_s + STOP_EXCUSE_RATIO * grace_s
                and call.sent_s <= at_s + STOP_EXCUSE_S
            )
            if not is_excused:
                return True
        return False

    def _is_after_hangup(self, call: CallerRecord) -> bool:
        return any(
            call.sent_s <= at_s + APPLY_S and call.ended_s >= at_s
            for at_s in self._work.hangups[call.gateway]
        )

    def _is_beside_configuration(self, at_s: float) -> bool:
        length_s = APPLY_S + CONFIGURATION_SLACK_S
        return any(
            sent_s <= at_s <= sent_s + length_s for sent_s in self._work.configurations
        )

    def _judge_beside(
        self, beside: list[CallerRecord], calls: list[CallerRecord]
    ) -> dict[str, str]:
        """Return the calls lost beside configurations, if more are cut there."""
        ended: Counter[tuple[int, bool]] = Counter()
        cut: Counter[tuple[int, bool]] = Counter()
        for call in calls:
            key = call.gateway, self._is_beside_configuration(call.ended_s)
            ended[key] += 1
            cut[key] += self.is_cut(call)
        lost = {}
        for call in beside:
            usual = cut[call.gateway, False] / max(1, ended[call.gateway, False])
            rate = cut[call.gateway, True] / ended[call.gateway, True]
            limit_s = CONFIGURATION_TIME_RATIO * DEADLINE_MS / 1_000
            if (
                rate > CONFIGURATION_CUT_RATIO * usual
                and call.ended_s - call.sent_s < limit_s
            ):
                lost[call.request_id] = "configuration"
        return lost


def _meets(spans: Iterable[Span], call: CallerRecord) -> bool:
    """Return whether a span meets a call or the time in touch before it."""
    return any(
        begin_s <= call.ended_s and end_s >= call.sent_s - CONTACT_S
        for begin_s, end_s in spans
    )
