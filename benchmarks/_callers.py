"""Callers that benchmarks use: ordinary HTTP clients of an entry."""

from typing import Any

import msgspec

from carobroute.engines import prompt_text
from carobroute.standins._engine_batch import answer_token
from carobroute.testing import Fleet

END_OF_STREAM = b"data: [DONE]\n\n"
ERROR_EVENT = b'data: {"error"'


class CallerAnswer(msgspec.Struct, kw_only=True):
    """What a caller got.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Headers, their names in lower case.
    pieces : list of bytes
        Body, in the pieces in which it arrived.
    """

    status: int
    headers: dict[str, str]
    pieces: list[bytes]

    @property
    def body(self) -> bytes:
        """Whole body."""
        return b"".join(self.pieces)

    @property
    def request_id(self) -> str:
        """Identifier that the entry gave the request."""
        return self.headers.get("x-request-id", "")

    @property
    def is_whole_stream(self) -> bool:
        """Whether a streamed answer arrived to its end without an error event."""
        body = self.body
        whole = self.status == 200 and body.endswith(END_OF_STREAM)
        return whole and ERROR_EVENT not in body


async def send_example(
    fleet: Fleet, entry: int, request: dict[str, Any], **headers: str
) -> CallerAnswer:
    """Send a request of `requests.yaml` to an entry and read the whole answer."""
    body = request.get("body")
    async with fleet.session.request(
        request["method"],
        fleet.entry_url(entry) + request["path"],
        data=None if body is None else msgspec.json.encode(body),
        headers={
            "Content-Type": "application/json",
            **fleet.headers(request["team"]),
            **request.get("headers", {}),
            **headers,
        },
    ) as response:
        pieces = [piece async for piece in response.content.iter_any()]
        names = {name.lower(): value for name, value in response.headers.items()}
        return CallerAnswer(status=response.status, headers=names, pieces=pieces)


def expected_text(request: dict[str, Any], tokens: int) -> str:
    """Return the whole text that the stand-in engine answers to `request`."""
    prompt = prompt_text(msgspec.json.encode(request["body"]))
    return "".join(answer_token(prompt, index) for index in range(tokens))


def streamed_text(answer: CallerAnswer) -> str:
    """Return the text in the events of a streamed chat answer."""
    text = []
    for line in answer.body.split(b"\n\n"):
        if line.startswith(b"data: {"):
            event = msgspec.json.decode(line[len(b"data: ") :])
            for choice in event.get("choices", []):
                text.append(choice["delta"].get("content", ""))
    return "".join(text)
