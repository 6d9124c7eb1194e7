"""Closed list of error kinds, and how each is answered to callers."""

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
