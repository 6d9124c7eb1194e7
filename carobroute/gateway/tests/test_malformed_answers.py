"""Targets whose answers have a head that is no valid HTTP."""

import asyncio

import pytest

from carobroute.domain import CallClass
from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.health import OutlierParameters
from carobroute.testing.gateway_data import make_configuration, make_route

ORDER = make_route(
    call_class=CallClass.NON_IDEMPOTENT, max_attempts=3, timeout_ms=10_000.0
)
LOOKUP = make_route(max_attempts=3, timeout_ms=10_000.0)
STREAM = make_route(streaming=True, max_attempts=3, timeout_ms=10_000.0)
ROUTES = {"order": ORDER, "lookup": LOOKUP, "stream": STREAM}
EVENT = b"id: 1\ndata: bell\n\n"
CALL_COUNT = 12
FAILURE_RUN = OutlierParameters().min_failure_run
INVALID_STATUSES = ["000", "001", "020", "099", "101", "600", "700", "999"]
INVALID_LINES = [
    " X-Bad: 1",
    "\tX-Bad: 1",
    " X\x01Bad: 1",
    " Content-Length: 2",
    " Transfer-Encoding: chunked",
    " ",
    "X Bad: 1",
    "X\tBad: 1",
    "X-Bad : 1",
    "X-Bad\t: 1",
    "\x01X-Bad: 1",
    "X\x01Bad: 1",
    "X\x00Bad: 1",
    "X-Bad\x7f: 1",
    "\x0bX-Bad: 1",
    "X(Bad): 1",
    "X-B\xe9: 1",
    ": 1",
    "X-Bad",
]
FIELD_COUNT = 3
# Values of Transfer-Encoding with which chunks are not all that has to be removed, or
# with which the HTTP library does not remove them.
OTHER_CODINGS = [
    "gzip",
    "chunked, gzip",
    "gzip, chunked",
    "xchunked",
    "\x0bchunked",
    "chunked;x=1",
    "chunked,",
    "chunked, chunked",
    "chunked, identity",
]
CHUNKED_ONLY = ["chunked", "Chunked", " chunked ", ", chunked", "identity, chunked"]
INTERIM_ANSWER = b"HTTP/1.1 103 Early Hints\r\nLink: </bell>\r\n\r\n"
CHUNKED_EVENT = b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENT), EVENT)
# Content that looks like a head, or like broken ones.
HEADLIKE_BODY = b" 000\r\n\r\nHTTP/1.1 000 \r\n X: 1\r\nX Y: 1\r\n\r\n id: 1\r\n"


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


# A head for each defect that an operator is told.
DEFECTS = {
    "status": make_head("000"),
    "folded_line": make_head("200", " X-Bad: 1"),
    "field_name": make_head("200", "X Bad: 1"),
    "transfer_coding": make_head("200", framing="Transfer-Encoding: gzip"),
    "unparsable": make_head("200", "Content-Length: 1"),
}
SECRET = "of-another-caller"
# What a target sends, with a text that may belong to another call.
FOREIGN_TEXTS = {
    "no head": f"{SECRET}\r\n\r\n".encode(),
    "a status": make_head(f"000 {SECRET}"),
    "a name": make_head("200", f"X {SECRET}: 1"),
    "a folded line": make_head("200", f" {SECRET}"),
    "a value": make_head("200", f"X: {SECRET}\0"),
    "a length": make_head("200", f"Content-Length: {SECRET}"),
    "a coding": make_head("200", framing=f"Transfer-Encoding: {SECRET}"),
    "half of a head": make_head("200", f"X: {SECRET}")[:-4],
    "a size of a chunk": make_head("200", framing="Transfer-Encoding: chunked")
    + f"{SECRET}\r\n".encode(),
}


async def serve(call):
    await call.answer(body=EVENT)


def find_lines(harness, event):
    """Return the lines of the log that tell an event."""
    return [line for line in harness.log.getvalue().splitlines() if event in line]


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


# Guards against a line that is passed on although its name is none, and against a
# field, such as the seal or the length, to which it is joined.
@pytest.mark.parametrize("place", range(FIELD_COUNT + 1))
@pytest.mark.parametrize("line", INVALID_LINES)
async def test_a_head_with_an_invalid_line_is_no_answer(line, place):
    script = make_script(make_head("200", line, place=place))
    [(status_line, rest)], _ = await call_targets(ORDER, script)
    assert status_line.startswith("HTTP/1.1 502 ")
    assert b"Server-Seal" not in rest


@pytest.mark.parametrize(
    "options", [{"interim": INTERIM_ANSWER}, {"is_dripping": True}], ids=str
)
@pytest.mark.parametrize("route", list(ROUTES))
@pytest.mark.parametrize("line", INVALID_LINES)
async def test_an_invalid_line_is_found_however_it_is_read(line, route, options):
    script = make_script(make_head("200", line), **options)
    [(status_line, rest)], _ = await call_targets(ROUTES[route], script)
    assert status_line.startswith("HTTP/1.1 502 ")
    assert b"Server-Seal" not in rest


async def test_an_invalid_line_in_an_interim_answer_is_no_answer():
    interim = INTERIM_ANSWER.replace(b"Link", b" Link")
    script = make_script(make_head(), interim=interim)
    [(status_line, _)], _ = await call_targets(ORDER, script)
    assert status_line.startswith("HTTP/1.1 502 ")


# Guards against the sizes of chunks that reach a caller as content.
@pytest.mark.parametrize("line", [" Content-Length: 2", "\tchunked"])
@pytest.mark.parametrize("route", list(ROUTES))
async def test_a_folded_length_of_a_chunked_body_is_no_answer(route, line):
    head = make_head("200", line, place=1, framing="Transfer-Encoding: chunked")
    script = make_script(head, CHUNKED_EVENT, closes=True)
    [(status_line, _)], _ = await call_targets(ROUTES[route], script)
    assert status_line.startswith("HTTP/1.1 502 ")


# Guards against coded content, or the sizes of chunks, that reach a caller as content.
@pytest.mark.parametrize("route", list(ROUTES))
@pytest.mark.parametrize("codings", OTHER_CODINGS)
async def test_an_answer_with_other_transfer_codings_is_no_answer(codings, route):
    head = make_head("200", framing=f"Transfer-Encoding: {codings}")
    script = make_script(head, CHUNKED_EVENT, closes=True)
    [(status_line, rest)], _ = await call_targets(ROUTES[route], script)
    assert status_line.startswith("HTTP/1.1 502 ")
    assert b"Server-Seal" not in rest


@pytest.mark.parametrize("codings", CHUNKED_ONLY)
async def test_chunks_are_removed_however_they_are_named(codings):
    head = make_head("200", framing=f"Transfer-Encoding: {codings}")
    script = make_script(head, CHUNKED_EVENT, closes=True)
    [(status_line, rest)], _ = await call_targets(ORDER, script)
    assert status_line.startswith("HTTP/1.1 200 ")
    assert rest.endswith(b"\r\n\r\n" + EVENT)


# Parsers disagree on whether a tab there is a blank. Those that don't take it for one
# leave the sizes of chunks in the content.
async def test_a_tab_behind_a_coding_leaves_no_sizes_in_the_content():
    head = make_head("200", framing="Transfer-Encoding: chunked\t")
    script = make_script(head, CHUNKED_EVENT, closes=True)
    [(status_line, rest)], _ = await call_targets(ORDER, script)
    is_whole = rest.endswith(b"\r\n\r\n" + EVENT)
    assert status_line.startswith("HTTP/1.1 200 " if is_whole else "HTTP/1.1 502 ")


@pytest.mark.parametrize("codings", ["", "identity", "Identity"])
async def test_content_without_a_transfer_coding_is_passed_on(codings):
    head = make_head("200", framing=f"Transfer-Encoding: {codings}")
    script = make_script(head, closes=True)
    [(status_line, rest)], _ = await call_targets(ORDER, script)
    assert status_line.startswith("HTTP/1.1 200 ")
    assert rest.endswith(b"\r\n\r\n" + EVENT)


# Guards against a stream whose first target breaks off, and whose rest comes from an
# answer that is none.
@pytest.mark.parametrize("status", ["000", "200"])
async def test_a_malformed_resumption_is_not_joined_to_a_stream(status):
    lines = ["Content-Type: text/event-stream", "X-Note: 1", " X-Bad: 1"]
    head = make_head(status, *lines)
    route = make_route(
        streaming=True, resumable=True, max_attempts=3, timeout_ms=10_000.0
    )

    async def answer(call):
        if "last-event-id" in call.headers:
            await make_script(head, b"id: 2\ndata: gong\n\n")(call)
            return
        await call.begin_stream(EVENT)
        call.disconnect()

    [(status_line, rest)], asked = await call_targets(route, answer, answer, answer)
    assert status_line.startswith("HTTP/1.1 200 ")
    assert sum(asked) > 1
    assert EVENT in rest
    assert b"gong" not in rest
    assert not rest.endswith(b"0\r\n\r\n")


# Guards against answers of a target's own that are taken for invalid ones.
@pytest.mark.parametrize("interim", [b"", INTERIM_ANSWER * 3])
@pytest.mark.parametrize("is_dripping", [False, True])
@pytest.mark.parametrize(
    "line",
    [
        "!#$%&'*+-.^_`|~09azAZ: 1",
        "X-Empty:",
        "X-Blank: \t ",
        "X-Padded:   a\t b  ",
        "X-Colons::a: b:",
        "X-Text: caf\xc3\xa9",
        "X:1",
    ],
)
async def test_a_valid_line_is_passed_on(line, is_dripping, interim):
    head = make_head("200", line)
    script = make_script(head, interim=interim, is_dripping=is_dripping)
    [(status_line, rest)], _ = await call_targets(ORDER, script)
    assert status_line.startswith("HTTP/1.1 200 ")
    name, _, value = line.partition(":")
    assert f"{name}: {value.strip()}\r\n".encode("latin-1") in rest
    assert rest.endswith(EVENT)


# Guards against content that is taken for a head.
@pytest.mark.parametrize("is_dripping", [False, True])
@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
@pytest.mark.parametrize("framing", ["length", "chunks", "none"])
async def test_content_may_look_like_a_head(framing, version, is_dripping):
    line, body = f"Content-Length: {len(HEADLIKE_BODY)}", HEADLIKE_BODY
    if framing == "chunks":
        line, body = (
            "Transfer-Encoding: Chunked",
            b"%x\r\n%b\r\n0\r\n\r\n"
            % (
                len(body),
                body,
            ),
        )
    elif framing == "none":
        line = "Connection: close"
    head = make_head("200", framing=line).replace(b"HTTP/1.1", version)
    script = make_script(
        head, body, is_dripping=is_dripping, closes=framing != "length"
    )
    [(status_line, rest)], _ = await call_targets(ORDER, script)
    assert status_line.startswith("HTTP/1.1 200 ")
    assert rest.endswith(b"\r\n\r\n" + HEADLIKE_BODY)


# Guards against a target that gets a share of the orders to the end, since its fast
# answers count as served. It is ejected after a run of failures, or gets no calls
# while the others are as free.
@pytest.mark.parametrize("count_at_once", [1, 10])
@pytest.mark.parametrize("defect", list(DEFECTS))
async def test_a_target_with_malformed_answers_is_avoided(defect, count_at_once):
    harness = GatewayHarness(configuration=make_configuration(routes=[ORDER]))
    targets = await harness.start(make_script(DEFECTS[defect]), serve, serve)
    try:
        for begin in range(0, 60, count_at_once):
            numbers = range(begin, begin + count_at_once)
            await asyncio.gather(*(call_raw(harness, number) for number in numbers))
    finally:
        await harness.stop()
    _, *others = harness.directory.all_targets()
    assert not any(target.health.is_ejected for target in others)
    trials = len(find_lines(harness, "target_tried "))
    in_flight = count_at_once - 1
    assert len(targets[0].calls) <= FAILURE_RUN + in_flight + trials


# Guards against an operator who is not told why a target is avoided.
@pytest.mark.parametrize("route", list(ROUTES))
@pytest.mark.parametrize("defect", list(DEFECTS))
async def test_the_defect_and_its_target_are_logged(defect, route):
    harness = GatewayHarness(configuration=make_configuration(routes=[ROUTES[route]]))
    await harness.start(make_script(DEFECTS[defect]))
    try:
        await call_raw(harness)
    finally:
        await harness.stop()
    [line] = find_lines(harness, "answer_malformed ")
    assert f"defect={defect} " in line
    assert "target=i-0" in line
    assert "request=r-0" in line


# Guards against what a broken head says of its target.
@pytest.mark.parametrize("defect", list(DEFECTS))
async def test_nothing_in_a_malformed_head_is_believed(defect):
    statements = (
        b"Server-Leaving: 1\r\nServer-Limit: 1\r\nServer-Load: 6\r\n"
        b"Cold-Ms: 5000\r\nRetry-After: 30\r\nNot-Run: 1\r\n\r\n"
    )
    head = DEFECTS[defect].removesuffix(b"\r\n") + statements
    harness = GatewayHarness(configuration=make_configuration(routes=[ORDER]))
    await harness.start(make_script(head.replace(b" 200 ", b" 503 ")))
    try:
        status_line, rest = await call_raw(harness)
    finally:
        await harness.stop()
    assert status_line.startswith("HTTP/1.1 502 ")
    assert b"Retry-After" not in rest
    [target] = harness.directory.all_targets()
    assert target.is_usable
    assert target.load == 0
    for event in ("target_leaving", "target_paused", "target_cold", "target_limit"):
        assert not find_lines(harness, event)


# Guards against an error that tells a caller what a target has sent: it may belong to
# another call.
@pytest.mark.parametrize("route", list(ROUTES))
@pytest.mark.parametrize("name", list(FOREIGN_TEXTS))
async def test_an_error_does_not_show_what_a_target_has_sent(name, route):
    script = make_script(FOREIGN_TEXTS[name], b"", closes=True)
    [(status_line, rest)], _ = await call_targets(ROUTES[route], script)
    assert status_line.startswith("HTTP/1.1 502 ")
    assert SECRET.encode() not in rest
