"""Targets whose answers have a head that is no valid HTTP."""

import asyncio

import pytest

from carobroute.domain import CallClass
from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.testing.gateway_data import make_configuration, make_route

ORDER = make_route(
    call_class=CallClass.NON_IDEMPOTENT, max_attempts=3, timeout_ms=10_000.0
)
LOOKUP = make_route(max_attempts=3, timeout_ms=10_000.0)
STREAM = make_route(streaming=True, max_attempts=3, timeout_ms=10_000.0)
ROUTES = {"order": ORDER, "lookup": LOOKUP, "stream": STREAM}
EVENT = b"id: 1\ndata: bell\n\n"
CALL_COUNT = 12
INVALID_STATUSES = ["000", "001", "020", "099", "101", "600", "700", "999"]


def make_script(head, body=EVENT):
    """Return the script of a target that answers with the bytes of a head and a body.

    In the head, `%s` stands for the request's id.
    """

    async def answer(call):
        request_id = call.headers.get("request-id", "").encode()
        call.writer.write(head.replace(b"%s", request_id) + body)
        await call.writer.drain()

    return answer


def make_head(status="200", *lines):
    """Return a head with the fields of a target's answer, and further lines."""
    fields = [
        "HTTP/1.1 " + status + " Scripted",
        f"Content-Length: {len(EVENT)}",
        "Request-Id: %s",
        "Server-Seal: seal",
        *lines,
    ]
    return ("\r\n".join(fields) + "\r\n\r\n").encode("latin-1")


async def serve(call):
    await call.answer(body=EVENT)


async def call_raw(harness, number=0):
    """Send a request; return the status line and all that follows."""
    host, port = harness.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET /orders/%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-%d\r\n"
        b"Deadline-Ms: 10000\r\nX-Api-Key: key-1\r\nConnection: close\r\n\r\n"
        % (number, number)
    )
    answer = await reader.read()
    writer.close()
    status_line, _, rest = answer.partition(b"\r\n")
    return status_line.decode(), rest


async def call_targets(route, *scripts, count=1):
    """Send requests one after the other to a gateway with targets.

    Returns
    -------
    answers : list of tuple of str and bytes
        What `call_raw` returns for each.
    asked : list of int
        How often each target was asked.
    """
    harness = GatewayHarness(configuration=make_configuration(routes=[route]))
    targets = await harness.start(*scripts)
    try:
        answers = [await call_raw(harness, number) for number in range(count)]
    finally:
        await harness.stop()
    return answers, [len(target.calls) for target in targets]


# Guards against an answer that is no HTTP, or a refusal that is not true.
@pytest.mark.parametrize("route", list(ROUTES))
@pytest.mark.parametrize("fields", [(), ("Not-Run: 1",)], ids=["plain", "not run"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_invalid_status_is_no_answer(status, fields, route):
    script = make_script(make_head(status, *fields))
    [(status_line, rest)], _ = await call_targets(ROUTES[route], script)
    assert status_line.startswith("HTTP/1.1 502 ")
    assert b"Server-Seal" not in rest


# Guards against an order that runs twice, and against a refusal that is not true.
@pytest.mark.parametrize("fields", [(), ("Not-Run: 1",)], ids=["plain", "not run"])
async def test_an_order_is_not_sent_again_after_an_invalid_status(fields):
    bad = make_script(make_head("000", *fields))
    answers, asked = await call_targets(ORDER, bad, serve, serve, count=CALL_COUNT)
    assert sum(asked) == CALL_COUNT
    failures = [line for line, _ in answers if line.startswith("HTTP/1.1 502 ")]
    assert len(failures) == asked[0] > 0
    assert sum(line.startswith("HTTP/1.1 200 ") for line, _ in answers) == sum(
        asked[1:]
    )


# Guards against a caller who gets an error although another target has the answer.
@pytest.mark.parametrize("route", ["lookup", "stream"])
async def test_another_target_is_asked_after_an_invalid_status(route):
    bad = make_script(make_head("000"))
    answers, asked = await call_targets(
        ROUTES[route], bad, serve, serve, count=CALL_COUNT
    )
    assert asked[0] > 0
    assert all(
        line.startswith("HTTP/1.1 200 ") and EVENT in rest for line, rest in answers
    )


# Guards against answers of a target's own that are taken for invalid ones.
@pytest.mark.parametrize("status", ["200", "299", "400", "404", "499", "500", "599"])
@pytest.mark.parametrize("reason", ["", " ", " 000", " Bells & 101 more"])
async def test_a_valid_status_is_passed_on(status, reason):
    head = make_head(status).replace(b" Scripted", reason.encode())
    [(status_line, rest)], _ = await call_targets(ORDER, make_script(head))
    assert status_line.startswith(f"HTTP/1.1 {status} ")
    assert rest.endswith(EVENT)
