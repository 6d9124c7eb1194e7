"""Limits of what an answer of another program may cost before it is broken off."""

import enum

from carobroute.engines._answer_errors import BrokenAnswerError

# Interim answers, such as early hints, before a final one.
MAX_INTERIM_ANSWERS = 64
# Bytes that were read for each byte of content, from which on chunks count as small.
SMALL_CHUNK_RATIO = 4
# Body of an answer that is read as a whole, if its reader names no other limit.
MAX_BODY_BYTES = 16 << 20


class AnswerLimit(enum.StrEnum):
    """Limit that an answer exceeds.

    Attributes
    ----------
    INTERIM_ANSWERS
        Number of interim answers before the final one.
    OVERHEAD
        Bytes without content.
    BODY_SIZE
        Content of an answer that is buffered until it is complete.
    EVENT_SIZE
        Content of one event of a stream.
    SMALL_CHUNKS
        One of these two sizes, in chunks of a few bytes each.
    """

    INTERIM_ANSWERS = "interim_answers"
    OVERHEAD = "overhead"
    BODY_SIZE = "body_size"
    EVENT_SIZE = "event_size"
    SMALL_CHUNKS = "small_chunks"


# Limits that a target exceeds by the form of its answer, whatever it was asked.
COSTLY_LIMITS = frozenset(
    {AnswerLimit.INTERIM_ANSWERS, AnswerLimit.OVERHEAD, AnswerLimit.SMALL_CHUNKS}
)


class AnswerLimitError(BrokenAnswerError):
    """An answer was broken off, since it exceeds a limit.

    Parameters
    ----------
    limit : AnswerLimit
        The limit.
    detail : str
        What has come, and what is allowed.
    """

    def __init__(self, limit: AnswerLimit, detail: str):
        super().__init__(detail)
        self.limit = limit


def exceeded_limit(error: Exception) -> str:
    """Return the limit that an answer exceeds by an exception; empty for none."""
    return error.limit.value if isinstance(error, AnswerLimitError) else ""
