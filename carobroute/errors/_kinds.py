"""Error kinds, their answers to callers, and the faults that functions return."""

import enum
from typing import Any

import msgspec
from returns.result import Failure, Result


class Outcome(enum.StrEnum):
    """Outcome of a request, as far as it is known to the caller."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """Closed list of error kinds."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    TEAM_LIMIT = "team_limit"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_TARGET = "no_target"
    LEAVING = "leaving"
    SHUTTING_DOWN = "shutting_down"
    QUARANTINED = "quarantined"
    STORE_UNAVAILABLE = "store_unavailable"
    STALE_CONFIGURATION = "stale_configuration"
    STALE_FENCE = "stale_fence"
    CONFLICT = "conflict"
    INVALID_TICKET = "invalid_ticket"
    NOT_FOUND = "not_found"
    TARGET_FAILED = "target_failed"
    STREAM_BROKEN = "stream_broken"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PEER_LOST = "peer_lost"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a caller for one error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    outcome : Outcome
        Outcome of the request. `NOT_RUN` guarantees that the request did not run.
    resend : bool
        Whether the caller may send the request again unchanged.
    retry_after : bool
        Whether the answer carries a `Retry-After` header.
    """

    status: int
    outcome: Outcome
    resend: bool
    retry_after: bool = False


def _not_run(status: int, *, resend: bool, retry_after: bool = False) -> Answer:
    return Answer(
        status=status, outcome=Outcome.NOT_RUN, resend=resend, retry_after=retry_after
    )


def _unknown(status: int) -> Answer:
    return Answer(status=status, outcome=Outcome.UNKNOWN, resend=False)


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: _not_run(400, resend=False),
    ErrorKind.TOO_LARGE: _not_run(413, resend=False),
    ErrorKind.UNAUTHENTICATED: _not_run(401, resend=False),
    ErrorKind.FORBIDDEN: _not_run(403, resend=False),
    ErrorKind.UNKNOWN_SERVICE: _not_run(404, resend=False),
    ErrorKind.KEY_REQUIRED: _not_run(400, resend=False),
    ErrorKind.KEY_REUSED: _not_run(422, resend=False),
    ErrorKind.TEAM_LIMIT: _not_run(429, resend=True, retry_after=True),
    ErrorKind.OVERLOADED: _not_run(503, resend=True, retry_after=True),
    ErrorKind.DEADLINE: _not_run(504, resend=True),
    ErrorKind.NO_TARGET: _not_run(503, resend=True, retry_after=True),
    ErrorKind.LEAVING: _not_run(503, resend=True),
    ErrorKind.SHUTTING_DOWN: _not_run(503, resend=True, retry_after=True),
    ErrorKind.QUARANTINED: _not_run(422, resend=False, retry_after=True),
    ErrorKind.STORE_UNAVAILABLE: _not_run(503, resend=True, retry_after=True),
    ErrorKind.STALE_CONFIGURATION: _not_run(503, resend=True),
    ErrorKind.STALE_FENCE: _not_run(409, resend=False),
    ErrorKind.CONFLICT: _not_run(409, resend=False),
    ErrorKind.INVALID_TICKET: _not_run(422, resend=False),
    ErrorKind.NOT_FOUND: _not_run(404, resend=False),
    ErrorKind.TARGET_FAILED: _unknown(502),
    ErrorKind.STREAM_BROKEN: _unknown(502),
    ErrorKind.OUTCOME_UNKNOWN: _unknown(500),
    ErrorKind.PEER_LOST: _unknown(504),
    ErrorKind.TIMEOUT: _unknown(504),
    ErrorKind.CANCELLED: _unknown(499),
    ErrorKind.INTERNAL: _unknown(500),
}


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One error, with a message for callers and logs.

    Parameters
    ----------
    kind : ErrorKind
        Error kind.
    detail : str
        Received value and expected one, in one sentence.
    retry_after_ms : float, default=0.0
        Recommended delay before a resend, in milliseconds; 0 for none.
    exceeded : str, default=""
        Limit that another program's answer has exceeded; empty for none.
    defect : str, default=""
        What is invalid in the head of another program's answer; empty for nothing.
    """

    kind: ErrorKind
    detail: str
    retry_after_ms: float = 0.0
    exceeded: str = ""
    defect: str = ""

    @property
    def answer(self) -> Answer:
        """Answer to a caller for this kind."""
        return ANSWERS[self.kind]

    @property
    def not_run(self) -> bool:
        """Whether this fault guarantees that the request did not run."""
        return self.answer.outcome is Outcome.NOT_RUN

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.detail}"


class FaultError(Exception):
    """Exception that carries a fault through code that cannot return a `Result`.

    Parameters
    ----------
    fault : Fault
        Fault that the exception carries.
    """

    def __init__(self, fault: Fault):
        super().__init__(str(fault))
        self.fault = fault


def fail(
    kind: ErrorKind,
    detail: str,
    *,
    retry_after_ms: float = 0.0,
    exceeded: str = "",
    defect: str = "",
) -> Result[Any, Fault]:
    """Return a `Failure` with a fault of `kind`.

    Examples
    --------
    >>> fail(ErrorKind.NO_TARGET, "service 'x' has no serving target").failure().kind
    <ErrorKind.NO_TARGET: 'no_target'>
    """
    return Failure(
        Fault(
            kind=kind,
            detail=detail,
            retry_after_ms=retry_after_ms,
            exceeded=exceeded,
            defect=defect,
        )
    )
