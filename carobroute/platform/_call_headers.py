"""Header names of callers' requests and targets' answers, decoded into types."""

from collections.abc import Iterable, Mapping

import msgspec

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
LAST_EVENT = "Last-Event-Id"
KEY = "X-Api-Key"
TEAM = "Tenant"
EXPECTED_TARGET = "Expect-Instance"
URGENCY = "Request-Urgency"
# Marks that an answer is a target's own; its content means nothing to the system.
SEAL = "Server-Seal"
NOT_RUN = "Not-Run"
RETRY_AFTER = "Retry-After"
LOAD = "Server-Load"
TOKEN_COUNTS = "Token-Counts"
PROMPT_PARTS = "Prompt-Prefix"
LENGTH_HINT = "Length-Hint"
CONTENT_ENCODING = "Content-Encoding"
READY_PATH = "/api/ready"

# Set by the system, whatever the caller sent, or not passed on at all.
_OWN = frozenset(
    name.lower() for name in (DEADLINE, KEY, TEAM, EXPECTED_TARGET, URGENCY)
)


class CallHead(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller's headers say of the call.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt of the caller; empty where none was sent.
    key : str
        The caller's key; empty where none was sent.
    patience_ms : float or None
        How long the caller will wait; None where it does not say.
    last_event : str
        Last event of a stream that the caller has; empty for none.
    prompt_tokens, output_tokens : int
        Size of the prompt and largest size of the answer; 0 where unknown.
    expected_output_tokens : int
        The caller's own guess of the answer's size; 0 for none.
    """

    request_id: str
    key: str
    patience_ms: float | None
    last_event: str
    prompt_tokens: int
    output_tokens: int
    expected_output_tokens: int


class LoadReading(msgspec.Struct, frozen=True):
    """Load that a target told with an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Calls that run and wait there, and how many it runs at a time.
    """

    running: int
    waiting: int
    slots: int


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """What a target's headers say of its answer.

    Parameters
    ----------
    request_id : str
        Call that the answer belongs to.
    sealed : bool
        Whether the answer is marked as a target's own.
    not_run : bool
        Whether the target says that it did not run the call.
    encoded : bool
        Whether something re-coded the body on the way.
    load : LoadReading or None
        The target's load.
    """

    request_id: str
    sealed: bool
    not_run: bool
    encoded: bool
    load: LoadReading | None


def decode_call(headers: Mapping[str, str]) -> CallHead:
    """Return what a caller's headers say.

    Examples
    --------
    >>> head = decode_call({"Token-Counts": "1460,80", "Deadline-Ms": "8050"})
    >>> head.prompt_tokens, head.output_tokens, head.patience_ms
    (1460, 80, 8050.0)
    >>> decode_call({"Deadline-Ms": "soon"}).patience_ms is None
    True
    """
    counts = headers.get(TOKEN_COUNTS, "").split(",")
    return CallHead(
        request_id=headers.get(REQUEST_ID, ""),
        key=headers.get(KEY, ""),
        patience_ms=_patience(headers.get(DEADLINE, "")),
        last_event=headers.get(LAST_EVENT, ""),
        prompt_tokens=_count(counts[0]),
        output_tokens=_count(counts[1]) if len(counts) > 1 else 0,
        expected_output_tokens=_count(headers.get(LENGTH_HINT, "")),
    )


def decode_answer(headers: Mapping[str, str]) -> AnswerHead:
    """Return what a target's headers say.

    Examples
    --------
    >>> decode_answer({"Server-Load": "3,0,8"}).load
    LoadReading(running=3, waiting=0, slots=8)
    """
    encoding = headers.get(CONTENT_ENCODING, "identity").strip().lower()
    return AnswerHead(
        request_id=headers.get(REQUEST_ID, ""),
        sealed=SEAL in headers,
        not_run=NOT_RUN in headers,
        encoded=encoding not in ("", "identity"),
        load=_load(headers.get(LOAD, "")),
    )


def is_own_header(name: str) -> bool:
    """Return whether a caller's header is left out of what targets get.

    Examples
    --------
    >>> is_own_header("x-api-key"), is_own_header("Token-Counts")
    (True, False)
    """
    return name.lower() in _OWN


def call_headers(
    *, deadline_ms: float, incarnation: str, team: str, last_event: str, urgency: int
) -> Iterable[tuple[str, str]]:
    """Return the headers that the system adds to a call.

    Parameters
    ----------
    deadline_ms : float
        Time that is left for the answer, in milliseconds.
    incarnation : str
        Run of the target that is meant.
    team, last_event : str
        Team of the caller, and the last event that it has; empty for none.
    urgency : int
        Rank among calls, 0 to 9; 0 comes first.
    """
    yield DEADLINE, str(max(1, int(deadline_ms)))
    yield EXPECTED_TARGET, incarnation
    yield URGENCY, str(urgency)
    if team:
        yield TEAM, team
    if last_event:
        yield LAST_EVENT, last_event


def _count(text: str) -> int:
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0


def _patience(text: str) -> float | None:
    text = text.strip()
    digits = text.replace(".", "", 1)
    if not (digits.isascii() and digits.isdigit()) or len(text) > 12:
        return None
    return float(text)


def _load(text: str) -> LoadReading | None:
    parts = text.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return LoadReading(*(int(part) for part in parts))
