"""Bodies of callers and answers of engines decode or are faults, whatever they are."""

import json

import pytest
from hypothesis import given
from returns.result import Failure, Success

from carobroute.engines._interface import CacheEvents, EngineLoad, KvHandle
from carobroute.engines._openai import _decoded
from carobroute.engines._prompt import block_hashes, count_tokens, prompt_text
from carobroute.testing.foreign_data import DEEP, documents, json_texts

PROMPT = {"prompt": "a bell", "messages": [{"role": "user", "content": "a bell"}]}
NESTED = {
    "unknown field": b'{"unknown":' + b"[" * DEEP + b"]" * DEEP + b"}",
    "prompt": b'{"prompt":' + b"[" * DEEP + b"]" * DEEP + b"}",
    "content": b'{"messages":[{"content":' + b'[{"a":' * DEEP,
}


@pytest.mark.parametrize("body", NESTED.values(), ids=NESTED)
def test_a_deeply_nested_body_has_no_prompt(body):
    """A caller's body raised RecursionError."""
    assert prompt_text(body) == ""


@given(documents(PROMPT) | json_texts())
def test_any_body_has_a_prompt_text_with_blocks(body):
    text = prompt_text(body)
    assert count_tokens(text) >= 1
    assert len(block_hashes(text)) <= len(text.encode("utf-8", "replace")) // 64


@pytest.mark.parametrize("kind", [EngineLoad, CacheEvents, KvHandle])
@given(json_texts())
def test_any_answer_of_an_engine_decodes_or_is_a_fault(kind, data):
    """Deep nesting in an engine's answer raised RecursionError."""
    nested = b'{"unknown":' + b"[" * DEEP
    assert isinstance(_decoded(Success(nested), kind), Failure)
    assert isinstance(_decoded(Success(data), kind), Failure | Success)


def test_a_sound_body_keeps_its_prompt():
    assert prompt_text(json.dumps(PROMPT).encode()) == "user: a bell\n"
