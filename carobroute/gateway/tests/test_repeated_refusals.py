"""Refusals that belong to another request, and what their callers are told.

A faulty target may write an earlier refusal once more, where the answer to another
request is due. That request has been sent, and may run.
"""

import pytest

from carobroute.domain import CallClass
from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.testing.gateway_data import make_configuration, make_route

ORDER = make_route(call_class=CallClass.NON_IDEMPOTENT, max_attempts=2)
LOOKUP = make_route(max_attempts=2)
STATUSES = pytest.mark.parametrize("status", [429, 503, 408, 421])
# Answers by which a gateway says that a request has not run.
PROMISES = {408, 421, 429, 503}


class Refusals:
    """Script of a target whose refusals name a request of their own."""

    def __init__(self, status, request_id):
        self._status = status
        self._request_id = request_id

    async def __call__(self, call):
        await call.begin(
            self._status,
            {
                "Request-Id": self._request_id,
                "Not-Run": "1",
                "Content-Length": "0",
            },
        )


class RepeatedRefusals:
    """Script that refuses, and repeats its last refusal on a kept connection."""

    def __init__(self, *, names_request):
        self._names_request = names_request
        self._refused = {}

    async def __call__(self, call):
        request_id = self._refused.setdefault(call.writer, call.headers["request-id"])
        fields = {"Not-Run": "1", "Content-Length": "0"}
        if self._names_request:
            fields["Request-Id"] = request_id
        await call.begin(503, fields)
        if request_id != call.headers["request-id"]:
            await call.answer()


async def run_gateway(route, *scripts):
    harness = GatewayHarness(configuration=make_configuration(routes=[route]))
    await harness.start(*scripts)
    return harness


# Guards against "not run, try again" for an order that a target is running.
@STATUSES
async def test_a_refusal_of_another_request_is_no_promise(status):
    harness = await run_gateway(ORDER, Refusals(status, "r-other"))
    try:
        answered, _, _ = await harness.call("POST", body=b"1 bell")
    finally:
        await harness.stop()
    assert answered not in PROMISES


# Guards against a second run of such an order at another target.
@STATUSES
async def test_an_order_is_not_sent_again_after_a_refusal_of_another_one(status):
    script = Refusals(status, "r-other")
    harness = GatewayHarness(configuration=make_configuration(routes=[ORDER]))
    targets = await harness.start(script, script)
    try:
        await harness.call("POST", body=b"1 bell")
    finally:
        await harness.stop()
    assert sum(len(target.calls) for target in targets) == 1


@pytest.mark.parametrize("request_id", ["r-1", ""])
async def test_a_refusal_on_a_new_connection_is_believed(request_id):
    harness = await run_gateway(ORDER, Refusals(503, request_id))
    try:
        answered, _, _ = await harness.call("POST", body=b"1 bell")
    finally:
        await harness.stop()
    assert answered == 503


@pytest.mark.parametrize("names_request", [True, False])
async def test_a_repeated_refusal_on_a_kept_connection_is_no_promise(names_request):
    script = RepeatedRefusals(names_request=names_request)
    harness = await run_gateway(LOOKUP, script)
    try:
        first, _, _ = await harness.call(Request_Id="r-1")
        second, _, _ = await harness.call(Request_Id="r-2")
        # The answer that came after it is not waited for on that connection.
        third, _, _ = await harness.call(Request_Id="r-3")
    finally:
        await harness.stop()
    assert first == 503
    assert second not in PROMISES
    assert third == 503
