"""Headers of callers' requests and targets' answers, and their decoders."""

from collections.abc import Iterable, Mapping

import msgspec

REQUEST_ID_HEADER = "Request-Id"
DEADLINE_HEADER = "Deadline-Ms"
LAST_EVENT_HEADER = "Last-Event-Id"
API_KEY_HEADER = "X-Api-Key"
TEAM_HEADER = "Tenant"
EXPECTED_TARGET_HEADER = "Expect-Instance"
EXPECTED_VERSION_HEADER = "Expect-Version"
URGENCY_HEADER = "Request-Urgency"
# Marks an answer as the target's own, not one of a proxy; the value is opaque.
SEAL_HEADER = "Server-Seal"
NOT_RUN_HEADER = "Not-Run"
RETRY_AFTER_HEADER = "Retry-After"
LOAD_HEADER = "Server-Load"
LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
LEAVING_VALUE = "1"
COLD_HEADER = "Cold-Ms"
TOKEN_COUNTS_HEADER = "Token-Counts"
PROMPT_PREFIX_HEADER = "Prompt-Prefix"
LENGTH_HINT_HEADER = "Length-Hint"
CONTENT_ENCODING_HEADER = "Content-Encoding"
READY_PATH = "/api/ready"
MAX_TIME_LEFT_LENGTH = 12
# Longest text of a number of tokens or calls.
MAX_COUNT_LENGTH = 9
# Longest text of a rate limit; more digits than that are no decimal number of use.
MAX_LIMIT_LENGTH = 12
MAX_PAUSE_LENGTH = 24
MAX_COLD_LENGTH = 12
# Identifiers of prompt parts are kept in memory and sent to peers.
MAX_PART_NAME_LENGTH = 32

# The system drops these headers of a caller; it sends its own values or none.
_REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_HEADER,
        API_KEY_HEADER,
        TEAM_HEADER,
        EXPECTED_TARGET_HEADER,
        URGENCY_HEADER,
    )
)


class CallHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of a call, decoded from the caller's headers.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt of the caller; empty if the header is missing.
    key : str
        API key of the caller; empty if the header is missing.
    time_left_ms : float or None
        Time until the caller's deadline; None if the header is missing or invalid.
    last_event_id : str
        Identifier of the last event that the caller received; empty for none.
    prompt_tokens, output_tokens : int
        Size of the prompt and largest size of the answer; 0 if unknown.
    expected_output_tokens : int
        The caller's estimate of the answer's size; 0 for none.
    shared_parts : tuple of str
        Identifiers of the prompt's parts in order, without the last one, which belongs
        to this call or its session alone.
    expects_version : bool, default=False
        Whether only a target with a version of the weights that the caller names may
        run the call. Others refuse it as if another target had been meant.
    """

    request_id: str
    key: str
    time_left_ms: float | None
    last_event_id: str
    prompt_tokens: int
    output_tokens: int
    expected_output_tokens: int
    shared_parts: tuple[str, ...] = ()
    expects_version: bool = False


class ReportedLoad(msgspec.Struct, frozen=True):
    """Load that a target reports with an answer.

    Parameters
    ----------
    running, waiting : int
        Calls that run and calls that are queued at the target.
    slots : int
        Largest number of calls that the target runs at a time.
    """

    running: int
    waiting: int
    slots: int


class AnswerHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of an answer, decoded from the target's headers.

    Parameters
    ----------
    request_id : str
        Identifier of the call that is answered; empty if the header is missing.
    has_seal : bool
        Whether the answer carries the header that marks a target's own answers.
    not_run : bool
        Whether the target states that it did not run the call.
    is_encoded : bool
        Whether the body has a content encoding, which a proxy must have added.
    load : ReportedLoad or None
        Load of the target; None if the header is missing or invalid.
    limit_per_s : float or None
        Calls a second that the target takes from all gateways together; None if it
        names no limit, or an invalid one.
    has_invalid_limit : bool
        Whether it names a limit that is not a decimal number.
    is_leaving : bool
        Whether the target says that it leaves.
    has_invalid_leaving : bool
        Whether the header that says so has another value.
    pause_s : float or None
        Time for which the target wants no requests; None if it names none, or an
        invalid one.
    has_invalid_pause : bool
        Whether it names a time that is not a decimal number.
    cold_ms : float
        How much longer the target is cold; 0 if it does not say so.
    """

    request_id: str
    has_seal: bool
    not_run: bool
    is_encoded: bool
    load: ReportedLoad | None
    limit_per_s: float | None = None
    has_invalid_limit: bool = False
    is_leaving: bool = False
    has_invalid_leaving: bool = False
    pause_s: float | None = None
    has_invalid_pause: bool = False
    cold_ms: float = 0.0


def decode_call_headers(headers: Mapping[str, str]) -> CallHeaders:
    """Decode a caller's headers; missing and invalid ones give empty values.

    Examples
    --------
    >>> head = decode_call_headers({"Token-Counts": "1460,80", "Deadline-Ms": "8050"})
    >>> head.prompt_tokens, head.output_tokens, head.time_left_ms
    (1460, 80, 8050.0)
    >>> decode_call_headers({"Deadline-Ms": "soon"}).time_left_ms is None
    True
    >>> prompt = {"Prompt-Prefix": "5c1e:800, 91bd:410,e440:250"}
    >>> decode_call_headers(prompt).shared_parts
    ('5c1e', '91bd')
    """
    counts = headers.get(TOKEN_COUNTS_HEADER, "").split(",")
    return CallHeaders(
        expects_version=EXPECTED_VERSION_HEADER in headers,
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        key=headers.get(API_KEY_HEADER, ""),
        time_left_ms=_decode_time_left(headers.get(DEADLINE_HEADER, "")),
        last_event_id=headers.get(LAST_EVENT_HEADER, ""),
        prompt_tokens=_decode_count(counts[0]),
        output_tokens=_decode_count(counts[1]) if len(counts) > 1 else 0,
        expected_output_tokens=_decode_count(headers.get(LENGTH_HINT_HEADER, "")),
        shared_parts=_decode_shared_parts(headers.get(PROMPT_PREFIX_HEADER, "")),
    )


def decode_answer_headers(headers: Mapping[str, str]) -> AnswerHeaders:
    """Decode a target's headers; missing and invalid ones give empty values.

    Examples
    --------
    >>> decode_answer_headers({"Server-Load": "3,0,8"}).load
    ReportedLoad(running=3, waiting=0, slots=8)
    >>> [decode_answer_headers({"Server-Limit": text}).limit_per_s
    ...  for text in ("2.5", "0", "-1", "nan", "1e9")]
    [2.5, 0.0, None, None, None]
    """
    limit = headers.get(LIMIT_HEADER)
    limit_per_s = None if limit is None else _decode_decimal(limit, MAX_LIMIT_LENGTH)
    pause = headers.get(RETRY_AFTER_HEADER)
    pause_s = None if pause is None else _decode_decimal(pause, MAX_PAUSE_LENGTH)
    leaving = headers.get(LEAVING_HEADER, "").strip()
    encoding = headers.get(CONTENT_ENCODING_HEADER, "identity").strip().lower()
    return AnswerHeaders(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        has_seal=SEAL_HEADER in headers,
        not_run=NOT_RUN_HEADER in headers,
        is_encoded=encoding not in ("", "identity"),
        load=_decode_load(headers.get(LOAD_HEADER, "")),
        limit_per_s=limit_per_s,
        has_invalid_limit=limit is not None and limit_per_s is None,
        is_leaving=leaving == LEAVING_VALUE,
        has_invalid_leaving=leaving not in ("", LEAVING_VALUE),
        pause_s=pause_s,
        has_invalid_pause=pause is not None and pause_s is None,
        cold_ms=_decode_decimal(headers.get(COLD_HEADER, ""), MAX_COLD_LENGTH) or 0.0,
    )


def is_replaced_header(name: str) -> bool:
    """Return whether a caller's header is not forwarded to targets.

    Examples
    --------
    >>> is_replaced_header("x-api-key"), is_replaced_header("Token-Counts")
    (True, False)
    """
    return name.lower() in _REPLACED_HEADERS


def build_call_headers(
    *, deadline_ms: float, incarnation: str, team: str, last_event_id: str, urgency: int
) -> Iterable[tuple[str, str]]:
    """Return the headers that the system adds to a call.

    Parameters
    ----------
    deadline_ms : float
        Time left for the answer, in milliseconds.
    incarnation : str
        Run of the target that may answer the call.
    team, last_event_id : str
        Team of the caller, and identifier of the last event that it received;
        empty for none.
    urgency : int
        Urgency of the call, 0 to 9; 0 is the most urgent.
    """
    yield DEADLINE_HEADER, str(max(1, int(deadline_ms)))
    yield EXPECTED_TARGET_HEADER, incarnation
    yield URGENCY_HEADER, str(urgency)
    if team:
        yield TEAM_HEADER, team
    if last_event_id:
        yield LAST_EVENT_HEADER, last_event_id


def _decode_count(text: str) -> int:
    return _parse_count(text) or 0


def _parse_count(text: str) -> int | None:
    text = text.strip()
    is_count = text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_LENGTH
    return int(text) if is_count else None


def _decode_shared_parts(text: str) -> tuple[str, ...]:
    """Return the identifiers of all parts but the last, each once.

    An entry without a valid identifier is left out.
    """
    entries = text.split(",")[:-1]
    names = (entry.partition(":")[0].strip().lower() for entry in entries)
    valid = (name for name in names if _is_part_name(name))
    return tuple(dict.fromkeys(valid))


def _is_part_name(name: str) -> bool:
    """Whether digests and rows of the store can carry a name."""
    # Bytes that are not UTF-8 have been decoded to surrogates, which are not printable.
    return name.isprintable() and 0 < len(name) <= MAX_PART_NAME_LENGTH


def _decode_time_left(text: str) -> float | None:
    return _decode_decimal(text, MAX_TIME_LEFT_LENGTH)


def _decode_decimal(text: str, max_length: int) -> float | None:
    """Return a decimal number without sign or exponent, or None."""
    text = text.strip()
    digits = text.replace(".", "", 1)
    if not (digits.isascii() and digits.isdigit()) or len(text) > max_length:
        return None
    return float(text)


def _decode_load(text: str) -> ReportedLoad | None:
    counts = [_parse_count(part) for part in text.split(",")]
    if len(counts) != 3:
        return None
    running, waiting, slots = counts
    if running is None or waiting is None or slots is None:
        return None
    return ReportedLoad(running, waiting, slots)
