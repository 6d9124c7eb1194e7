"""The closed list of error kinds and the answer that each one gives a caller."""

from carobroute.errors._documents import encode_error
from carobroute.errors._kinds import (
    ANSWERS,
    Answer,
    ErrorKind,
    Fault,
    FaultError,
    Outcome,
    fail,
)

__all__ = [
    "ANSWERS",
    "Answer",
    "ErrorKind",
    "Fault",
    "FaultError",
    "Outcome",
    "encode_error",
    "fail",
]
