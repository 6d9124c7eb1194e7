"""Adapters to what a local process stands beside: model engines and plain services."""

from carobroute.engines._answer_errors import BrokenAnswerError, describe_error
from carobroute.engines._answer_limits import (
    COSTLY_LIMITS,
    AnswerLimit,
    AnswerLimitError,
    exceeded_limit,
)
from carobroute.engines._connector import CleanConnector
from carobroute.engines._http import HttpTransport, end_to_end, is_writable
from carobroute.engines._interface import (
    CacheEvent,
    CacheEvents,
    Engine,
    EngineAnswer,
    EngineCall,
    EngineLoad,
    EngineOrder,
    EngineParameters,
    KvHandle,
    OrderAction,
    engine_adapters,
)
from carobroute.engines._openai import OpenAiEngine
from carobroute.engines._plain import PlainEngine
from carobroute.engines._prompt import (
    BLOCK_CHARS,
    CHARS_PER_TOKEN,
    block_hashes,
    count_tokens,
    prompt_text,
)
from carobroute.engines._sessions import open_session
from carobroute.engines._watched import Framing, WatchedResponse

__all__ = [
    "AnswerLimit",
    "AnswerLimitError",
    "BLOCK_CHARS",
    "BrokenAnswerError",
    "CHARS_PER_TOKEN",
    "COSTLY_LIMITS",
    "CacheEvent",
    "CacheEvents",
    "CleanConnector",
    "Engine",
    "EngineAnswer",
    "EngineCall",
    "EngineLoad",
    "EngineOrder",
    "EngineParameters",
    "Framing",
    "HttpTransport",
    "KvHandle",
    "OpenAiEngine",
    "OrderAction",
    "PlainEngine",
    "WatchedResponse",
    "block_hashes",
    "count_tokens",
    "describe_error",
    "end_to_end",
    "engine_adapters",
    "exceeded_limit",
    "is_writable",
    "open_session",
    "prompt_text",
]
