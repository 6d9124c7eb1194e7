"""Results of attempts to send a call to a target."""

import enum

import msgspec
from aiohttp import web

from carobroute.engines import WatchedResponse
from carobroute.errors import Fault
from carobroute.gateway._targets import Target


class AttemptOutcome(enum.StrEnum):
    """Outcome of one attempt to send a call to a target.

    Attributes
    ----------
    ANSWERED
        The target's answer is complete, or its stream was relayed to the end.
    FAILED
        The target answered with an error of its own.
    NOT_SENT
        The call was not sent.
    NOT_RUN
        The target answered that it did not run the call.
    UNKNOWN
        The call was sent, and the target may have run it.
    UNPROVEN
        The target's stream ended without an error, and nothing proves that it is
        complete.
    EMPTY
        The target's plain answer ended in order before its body, as confirmed ones of
        its service do.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    UNPROVEN = "unproven"
    EMPTY = "empty"


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one attempt to send a call to a target.

    Parameters
    ----------
    outcome : AttemptOutcome
        Outcome of the attempt.
    response : web.StreamResponse or None
        Response for the caller: complete for `ANSWERED`, the target's error for
        `FAILED`.
    fault : Fault or None
        Reason of a failure.
    is_refused_for_call : bool, default=False
        Whether the target refused a condition of the call, which tells nothing of the
        target.
    """

    outcome: AttemptOutcome
    response: web.StreamResponse | None = None
    fault: Fault | None = None
    is_refused_for_call: bool = False


class UnprovenEnd(msgspec.Struct, frozen=True, kw_only=True):
    """End of a stream that nothing proves to be complete.

    Parameters
    ----------
    target : Target
        Target that sent the stream.
    response : WatchedResponse
        Its answer.
    last_event_id : str
        Identifier of the last event.
    """

    target: Target
    response: WatchedResponse
    last_event_id: str
