"""Decisions kept in memory, each with the inputs that explain it."""

from collections import deque
from typing import Any

import msgspec

from carobroute.telemetry._events import EventLog
from carobroute.utils import Clock

SUBJECTS = ("request_id", "ticket", "target", "duty")


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision that an operator may ask about.

    Parameters
    ----------
    wall_ms : float
        When it was taken, wall clock.
    event : str
        What was decided.
    subjects : dict of str to str
        Request, ticket, target or duty that it is about.
    inputs : dict
        What it was decided from.
    """

    wall_ms: float
    event: str
    subjects: dict[str, str]
    inputs: dict[str, Any]


class DecisionLog:
    """The latest decisions of one process.

    Parameters
    ----------
    size : int, default=10_000
        Decisions kept; the oldest go first.
    clock : Clock or None, default=None
        Source of time.
    log : EventLog or None, default=None
        Where each decision is also written, at level debug.

    Examples
    --------
    >>> decisions = DecisionLog()
    >>> decisions.record("target_chosen", request_id="r1", target="runner-1", load=2)
    >>> [d.inputs for d in decisions.explain("r1")]
    [{'load': 2}]
    """

    __slots__ = ("_clock", "_log", "_ring")

    def __init__(
        self,
        *,
        size: int = 10_000,
        clock: Clock | None = None,
        log: EventLog | None = None,
    ):
        self._clock = clock or Clock()
        self._log = log
        self._ring: deque[Decision] = deque(maxlen=size)

    def __len__(self) -> int:
        return len(self._ring)

    def record(
        self,
        event: str,
        /,
        *,
        request_id: str = "",
        ticket: int = 0,
        target: str = "",
        duty: str = "",
        level: str = "debug",
        **inputs: Any,
    ) -> None:
        """Keep the decision `event` about the given subjects."""
        values = (request_id, str(ticket or ""), target, duty)
        subjects = {k: v for k, v in zip(SUBJECTS, values, strict=True) if v}
        self._ring.append(
            Decision(
                wall_ms=self._clock.wall_ms(),
                event=event,
                subjects=subjects,
                inputs=inputs,
            )
        )
        if self._log is not None:
            self._log.event(event, level=level, **subjects, **inputs)

    def explain(self, subject: str, *, limit: int = 1_000) -> list[Decision]:
        """Return decisions about `subject`, oldest first.

        Parameters
        ----------
        subject : str
            Request id, ticket number, target or duty.
        limit : int, default=1_000
            Most decisions returned; the latest are kept.
        """
        found = [d for d in self._ring if subject in d.subjects.values()]
        return found[-limit:]
