"""The local process: fences orders, runs calls, buffers answers, drains."""

from carobroute.local._answers import Answer, AnswerHead, Delivery
from carobroute.local._attempts import Attempt, AttemptKey, AttemptTable
from carobroute.local._cache_news import CacheNews, CacheReporter
from carobroute.local._crashes import CrashWatch
from carobroute.local._early import refuse_early_calls
from carobroute.local._held import HeldAnswers
from carobroute.local._orders import (
    LinkAsk,
    OrderDone,
    OrderElsewhere,
    OrderOutcome,
    OrderParameters,
    OrderPermit,
    OrderRunner,
)
from carobroute.local._process import LocalParameters, LocalProcess
from carobroute.local._runner import CallRunner

__all__ = [
    "Answer",
    "AnswerHead",
    "Attempt",
    "AttemptKey",
    "AttemptTable",
    "CacheNews",
    "CacheReporter",
    "CallRunner",
    "CrashWatch",
    "Delivery",
    "HeldAnswers",
    "LinkAsk",
    "LocalParameters",
    "LocalProcess",
    "OrderDone",
    "OrderElsewhere",
    "OrderOutcome",
    "OrderParameters",
    "OrderPermit",
    "OrderRunner",
    "refuse_early_calls",
]
