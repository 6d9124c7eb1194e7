"""Explaining one request from the log lines of its process."""

import json
import re
from collections.abc import Iterable, Iterator

import msgspec

_FIELD = re.compile(r'([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|\S*)')
# What a process had come to believe shortly before a request bears on its fate.
CONTEXT_S = 10.0
CONTEXT_EVENTS = frozenset(
    {
        "configuration_in_force",
        "dependency_found",
        "dependency_lost",
        "gateways_known",
        "group_not_whole",
        "held_group_recovered",
        "lines_dropped",
        "map_switch_ended",
        "started",
        "stopping",
        "target_ejected",
        "target_gone",
        "target_leaving",
        "target_returned",
    }
)
ENDS = ("call_failed", "call_done")
# Steps that say why a request ended as it did, the most telling first.
CAUSES = ("call_refused", "stream_cut", "attempt_ended")


class LogLine(msgspec.Struct, frozen=True):
    """One event of a process.

    Parameters
    ----------
    process, event, time : str
        Run of the process, name of the event, and when it was written.
    fields : dict of str to str
        Everything else.
    """

    process: str
    event: str
    time: str
    fields: dict[str, str]


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What a log tells of one request.

    Parameters
    ----------
    steps : list of LogLine
        Decisions about the request, in order, its end last.
    context : list of LogLine
        What its process had come to believe shortly before.
    cause : str
        Why it ended as it did.
    """

    steps: list[LogLine]
    context: list[LogLine]
    cause: str


def parse_line(line: str) -> LogLine | None:
    """Return the event in a line, or None if there is none.

    Whatever stands before the time, such as a collector's own prefix, is left out.

    Examples
    --------
    >>> line = parse_line('7.1 web-1 time=T level=info process=p event=e why="a b"')
    >>> line.process, line.event, line.fields["why"]
    ('p', 'e', 'a b')
    >>> parse_line("no event") is None
    True
    """
    begin = line.find("time=")
    if begin < 0:
        return None
    fields = {name: _value(text) for name, text in _FIELD.findall(line[begin:])}
    time, process = fields.pop("time", ""), fields.pop("process", "")
    event = fields.pop("event", "")
    if not event:
        return None
    return LogLine(process, event, time, fields)


def explain_request(lines: Iterable[str], request_id: str) -> Explanation | None:
    """Return what a log tells of a request, or None if it does not know it.

    Parameters
    ----------
    lines : iterable of str
        Log lines of one or several processes.
    request_id : str
        Identifier of the request.
    """
    events = list(_events(lines))
    steps = [e for e in events if e.fields.get("request") == request_id]
    if not steps:
        return None
    last = steps[-1]
    targets = {e.fields["target"] for e in steps if "target" in e.fields}
    context = [
        event
        for event in events[: events.index(steps[0])]
        if event.process == last.process
        and event.event in CONTEXT_EVENTS
        and _bears_on(event, targets)
    ]
    return Explanation(steps=steps, context=_recent(context, last), cause=_cause(steps))


def _events(lines: Iterable[str]) -> Iterator[LogLine]:
    for line in lines:
        event = parse_line(line)
        if event is not None:
            yield event


def _value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text


def _bears_on(event: LogLine, targets: set[str]) -> bool:
    named = event.fields.get("target")
    return named is None or named in targets


def _recent(context: list[LogLine], last: LogLine) -> list[LogLine]:
    """Return the last event of each name, and those of the last seconds."""
    newest = {event.event: event for event in context}
    seconds = _seconds(last.time)
    return [
        event
        for event in context
        if newest[event.event] is event
        or 0 <= seconds - _seconds(event.time) <= CONTEXT_S
    ]


def _seconds(time: str) -> float:
    """Return the second of the day of a time stamp; 0 if it is none."""
    match = re.search(r"T(\d\d):(\d\d):(\d\d(?:\.\d+)?)", time)
    if match is None:
        return 0.0
    hours, minutes, seconds = match.groups()
    return 3_600 * int(hours) + 60 * int(minutes) + float(seconds)


def _cause(steps: list[LogLine]) -> str:
    ends = [step for step in steps if step.event in ENDS]
    if not ends:
        return "the log does not show how the request ended"
    end = ends[-1]
    if end.event == "call_done" and steps[-1].event == "connection_cut":
        reason = steps[-1].fields.get("reason", "")
        return f"the connection ended before the whole answer had left: {reason}"
    outcome = end.fields.get("outcome", "")
    if end.event == "call_done":
        return f"it ended well, after {end.fields.get('took_ms')} ms"
    for name in CAUSES:
        for step in reversed(steps):
            detail = step.fields.get("detail")
            if step.event == name and detail:
                return f"{outcome}: {detail}"
    return outcome
