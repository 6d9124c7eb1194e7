"""Targets whose answers have any head, and callers that take what comes."""

import asyncio

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
# Fields of a target in each head.
FIELD_COUNT = 3
INTERIM_ANSWER = b"HTTP/1.1 103 Early Hints\r\nLink: </bell>\r\n\r\n"
CHUNKED_EVENT = b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENT), EVENT)


def make_script(head, body=EVENT, *, interim=b"", is_dripping=False, closes=False):
    """Return the script of a target that answers with the bytes of a head and a body.

    Parameters
    ----------
    head : bytes
        Head in which `%s` stands for the request's id.
    body : bytes
        What follows it.
    interim : bytes, default=b""
        What comes before it, in the same write.
    is_dripping : bool, default=False
        Whether each byte is a write of its own.
    closes : bool, default=False
        Whether the end of the connection ends the body.
    """

    async def answer(call):
        request_id = call.headers.get("request-id", "").encode()
        data = interim + head.replace(b"%s", request_id) + body
        size = 1 if is_dripping else len(data)
        for begin in range(0, len(data), size):
            call.writer.write(data[begin : begin + size])
            await call.writer.drain()
            await asyncio.sleep(0)
        if closes:
            call.disconnect()

    return answer


def make_head(status="200", *lines, place=FIELD_COUNT, framing=""):
    """Return a head with the fields of a target's answer.

    Parameters
    ----------
    status : str, default="200"
        What stands in place of the status.
    lines : str
        Further lines.
    place : int, default=3
        Number of the target's fields before them.
    framing : str, default=""
        Line that tells the length; empty for the length of `EVENT`.
    """
    fields = [
        framing or f"Content-Length: {len(EVENT)}",
        "Request-Id: %s",
        "Server-Seal: seal",
    ]
    fields[place:place] = lines
    head = [f"HTTP/1.1 {status} Scripted", *fields]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1")


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
