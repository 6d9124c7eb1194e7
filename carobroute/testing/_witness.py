"""Callers that remember what they were told, and its comparison with the records.

The comparison reads what the stand-ins recorded themselves; nothing that the system
counts is taken as proof.
"""

import asyncio
import itertools
from typing import Any

import aiohttp
import msgspec

from carobroute.domain import ServiceKind
from carobroute.engines import prompt_text
from carobroute.standins._engine_batch import answer_token
from carobroute.testing._fleet import Fleet
from carobroute.utils import content_hash

OUTCOME_HEADER = "X-Carobroute-Outcome"
REQUEST_HEADER = "X-Request-Id"
NOT_RUN = "not_run"

_numbers = itertools.count(1)


class Answer(msgspec.Struct, kw_only=True):
    """What one caller was told.

    Parameters
    ----------
    team, key : str
        Who asked, and with which idempotency key.
    body : bytes
        What was asked.
    status : int
        HTTP status; 0 if the connection broke before one came.
    request_id, outcome : str
        Headers of the answer.
    data : bytes
        Body as far as it came.
    broken : str
        The error that the client saw, or empty.
    took_s : float
        Time from the call to its end.
    """

    team: str
    key: str
    body: bytes
    status: int = 0
    request_id: str = ""
    outcome: str = ""
    data: bytes = b""
    broken: str = ""
    took_s: float = 0.0

    @property
    def text(self) -> str:
        """Text of a stream's chunks."""
        parts = []
        for line in self.data.split(b"\n"):
            if line.startswith(b'data: {"id"'):
                event = msgspec.json.decode(line.removeprefix(b"data: "))
                parts.append(event["choices"][0]["delta"].get("content", ""))
        return "".join(parts)

    @property
    def told(self) -> str:
        """What the caller can conclude, in a word or two."""
        if self.error:
            return f"{self.outcome or 'stream'}: {self.error}"
        if self.broken:
            return f"broken: {self.broken}"
        if self.ended or (self.status == 200 and self.key):
            return "whole"
        return f"status {self.status}"

    @property
    def ended(self) -> bool:
        """Whether a stream came to its regular end."""
        return self.status == 200 and self.data.endswith(b"data: [DONE]\n\n")

    @property
    def error(self) -> str:
        """Kind of the error that the caller was told, or empty."""
        for line in self.data.split(b"\n"):
            line = line.removeprefix(b"data: ")
            if line.startswith(b'{"error"'):
                return msgspec.json.decode(line)["error"]["code"]
        return ""


class Witness:
    """Sends requests to a fleet and keeps every answer.

    Parameters
    ----------
    fleet : Fleet
        Fleet that is called.
    timeout_s : float, default=60.0
        Longest time of one call.
    """

    def __init__(self, *, fleet: Fleet, timeout_s: float = 60.0):
        self._fleet = fleet
        self.timeout_s = timeout_s
        self.streams: list[Answer] = []
        self.orders: list[Answer] = []
        self.lookups: list[Answer] = []

    async def stream(self, entry: int, *, tokens: int = 40, text: str = "") -> Answer:
        """Ask the model for a streamed answer to a text that nobody else asks."""
        example = next(r for r in self._fleet.requests if r["body"].get("stream"))
        text = text or f"draft {next(_numbers)} of {self._fleet.desk.name}"
        body = {**example["body"], "max_tokens": tokens}
        body["messages"] = [*body["messages"], {"role": "user", "content": text}]
        answer = Answer(team=example["team"], key="", body=msgspec.json.encode(body))
        self.streams.append(answer)
        return await self._send(answer, entry, "POST", example["path"])

    async def order(self, entry: int, *, key: str = "", body: bytes = b"") -> Answer:
        """Place an order; with the same key and body it is a resend."""
        example = next(r for r in self._fleet.requests if "Idempotency" in str(r))
        number = next(_numbers)
        answer = Answer(
            team=example["team"],
            key=key or f"order-{number}",
            body=body or msgspec.json.encode({**example["body"], "line": number}),
        )
        self.orders.append(answer)
        return await self._send(answer, entry, "POST", example["path"])

    async def lookup(self, entry: int) -> Answer:
        """Look stock up."""
        example = next(r for r in self._fleet.requests if "/stock/" in r["path"])
        answer = Answer(team=example["team"], key="", body=b"")
        self.lookups.append(answer)
        return await self._send(answer, entry, "GET", example["path"])

    async def violations(self) -> list[str]:
        """Return each promise that was broken, in words."""
        found = [fault for answer in self.streams for fault in stream_faults(answer)]
        runs = await self.order_runs()
        return found + order_faults(self.orders, runs)

    async def order_runs(self) -> list[dict[str, Any]]:
        """Return all runs that the order stand-ins recorded."""
        runs = []
        for target in self._fleet.targets_of(ServiceKind.PLAIN):
            record = await self._fleet.read_json(target.stand_in.address, "/_record")
            runs += record["runs"]
        return runs

    async def _send(self, answer: Answer, entry: int, method: str, path: str) -> Answer:
        headers = self._fleet.headers(answer.team)
        headers["Content-Type"] = "application/json"
        if answer.key:
            headers["Idempotency-Key"] = answer.key
        started_s = asyncio.get_running_loop().time()
        try:
            async with self._fleet.session.request(
                method,
                self._fleet.entry_url(entry) + path,
                data=answer.body or None,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=self.timeout_s),
            ) as response:
                answer.status = response.status
                answer.request_id = response.headers.get(REQUEST_HEADER, "")
                answer.outcome = response.headers.get(OUTCOME_HEADER, "")
                async for piece in response.content.iter_any():
                    answer.data += piece
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer.broken = repr(error)
        answer.took_s = asyncio.get_running_loop().time() - started_s
        return answer


def stream_faults(answer: Answer) -> list[str]:
    """Return what is wrong with a streamed answer.

    An error is no fault if the caller was told of it; a wrong text, a text that is
    cut and passed off as whole, and an end without a word are.
    """
    prompt = prompt_text(answer.body)
    tokens = msgspec.json.decode(answer.body)["max_tokens"]
    expected = "".join(answer_token(prompt, index) for index in range(tokens))
    if answer.status != 200:
        return []
    if not expected.startswith(answer.text):
        return [f"stream {answer.request_id} has another's or a garbled text"]
    if answer.ended and not answer.error and answer.text != expected:
        return [f"stream {answer.request_id} was cut and passed off as whole"]
    if not answer.ended and not answer.error and not answer.broken:
        return [f"stream {answer.request_id} ended without a word"]
    return []


def order_faults(orders: list[Answer], runs: list[dict[str, Any]]) -> list[str]:
    """Return what is wrong with answers to orders, given the recorded runs."""
    found = []
    by_key: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for run in runs:
        by_key.setdefault((run["team"], run["key"]), []).append(run)
    for (team, key), same in by_key.items():
        if len(same) > 1:
            found.append(f"order {team}/{key} ran {len(same)} times")
    ran = {run["request_id"] for run in runs}
    for answer in orders:
        same = by_key.get((answer.team, answer.key), [])
        if answer.outcome == NOT_RUN and answer.request_id in ran:
            found.append(f"order {answer.key} was told 'not run' and ran")
        if answer.status == 200 and not answer.broken:
            found += _answer_faults(answer, same)
    return found


def _answer_faults(answer: Answer, runs: list[dict[str, Any]]) -> list[str]:
    told = msgspec.json.decode(answer.data)
    own = content_hash(answer.body)
    if told["key"] != answer.key or told["body_hash"] != own:
        return [f"order {answer.key} got the answer of {told['key']}"]
    if not any(run["request_id"] == told["request_id"] for run in runs):
        return [f"order {answer.key} was told 'done' and has no run"]
    return []
