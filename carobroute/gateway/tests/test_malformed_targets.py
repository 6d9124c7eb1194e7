"""Targets that answer with invalid heads: what is believed, told and done."""

import asyncio

import pytest

from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.gateway.tests.malformed_answer_scripts import (
    ORDER,
    ROUTES,
    call_raw,
    call_targets,
    make_head,
    make_script,
    serve,
)
from carobroute.health import OutlierParameters
from carobroute.testing.gateway_data import make_configuration

FAILURE_RUN = OutlierParameters().min_failure_run
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


def find_lines(harness, event):
    """Return the lines of the log that tell an event."""
    return [line for line in harness.log.getvalue().splitlines() if event in line]


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
