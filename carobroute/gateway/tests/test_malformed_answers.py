"""Answers of targets whose head is invalid, and sound ones that are unusual."""

import pytest

from carobroute.gateway.tests.malformed_answer_scripts import (
    CHUNKED_EVENT,
    EVENT,
    FIELD_COUNT,
    INTERIM_ANSWER,
    ORDER,
    ROUTES,
    call_targets,
    make_head,
    make_script,
    serve,
)
from carobroute.testing.gateway_data import make_route

CALL_COUNT = 12
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
# Content that looks like a head, or like broken ones.
HEADLIKE_BODY = b" 000\r\n\r\nHTTP/1.1 000 \r\n X: 1\r\nX Y: 1\r\n\r\n id: 1\r\n"


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
