"""Calls that a gateway makes to targets itself, beside answers to callers' requests.

A faulty target sends answers twice, late or with further bytes behind them, on the
connection of the first answer. Taken for the answer to an order, such bytes leave one
rank on an old expert map; taken for a report, they make a target look crashed.
"""

import asyncio
import io

import msgspec
import pytest
from returns.result import Success

from carobroute.domain import CallClass
from carobroute.experts import PassTimeEstimator
from carobroute.gateway import GatewayParameters
from carobroute.gateway._rank_groups import TargetRank
from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.platform import OrderAction, OrderResult, RankClient, RankOrder
from carobroute.telemetry import EventLog
from carobroute.testing.gateway_data import make_configuration, make_route
from carobroute.testing.scripted_target import ScriptedTarget, TargetCall

TIMEOUT_MS = 5_000.0
STARTED_MS = 1_000
PREPARE = RankOrder(action=OrderAction.PREPARE, epoch=1, version=7, layout=[[[0], [1]]])
ARM = RankOrder(action=OrderAction.ARM, epoch=1, version=7, step=40)


def encode_report(*, step, started_ms=STARTED_MS):
    """Return a rank's report."""
    report = {
        "group": {"epoch": 1, "state": "open"},
        "seq": 1,
        "step": step,
        "running": 1,
        "queued": 1,
        "born": started_ms,
    }
    return msgspec.json.encode(report)


OWN_BODIES = {
    "/api/report": encode_report(step=40),
    "/api/picked": msgspec.json.encode({"step": 40, "epoch": 1, "counts": [4]}),
    "/api/picked?lists=1": msgspec.json.encode(
        {"epoch": 1, "map": {"version": 40, "experts": [[0]]}}
    ),
}
# What a caller's answer may hold: it decodes as each of the answers above.
STALE_BODY = msgspec.json.encode(
    msgspec.json.decode(encode_report(step=3, started_ms=2_000))
    | {"epoch": 1, "counts": [9], "running": 0, "queued": 0, "map": 3}
)
STALE_HELD_BODY = msgspec.json.encode(
    {"epoch": 1, "map": {"version": 3, "experts": [[0]]}}
)


class DoublingTarget:
    """Script that sends chosen answers a second time on their connection.

    Parameters
    ----------
    caller_body : bytes, default=STALE_BODY
        Body of the answers to callers.
    copies_orders : bool, default=False
        Whether the answer to `prepare` is sent twice.
    copies_before_answer : bool, default=False
        Whether the second copies of callers' answers are sent when an own call has
        arrived, and not before.
    arm_status : int, default=200
        Status of the answer to an order to arm.
    """

    def __init__(
        self,
        *,
        caller_body: bytes = STALE_BODY,
        copies_orders: bool = False,
        copies_before_answer: bool = False,
        arm_status: int = 200,
    ):
        self._caller_body = caller_body
        self._copies_orders = copies_orders
        self._copies_before_answer = copies_before_answer
        self._arm_status = arm_status
        self._last_answers: dict[asyncio.StreamWriter, bytes] = {}
        self.orders: list[str] = []

    async def __call__(self, call: TargetCall) -> None:
        path = call.line.split(" ")[1]
        if path == "/api/order":
            await self._answer_order(call)
        elif path in OWN_BODIES:
            if self._copies_before_answer:
                self.send_copies()
            call.writer.write(encode_answer(200, OWN_BODIES[path]))
        elif path == "/turn":
            call.writer.write(encode_answer(200))
        else:
            answer = encode_answer(
                200, self._caller_body, "Request-Id: r-1", "Server-Seal: seal"
            )
            call.writer.write(answer)
            self._last_answers[call.writer] = answer
        await call.writer.drain()

    async def _answer_order(self, call: TargetCall) -> None:
        action = msgspec.json.decode(call.body)["op"]
        self.orders.append(action)
        if self._copies_before_answer:
            self.send_copies()
        answer = encode_answer(202 if action == "prepare" else self._arm_status)
        call.writer.write(answer)
        if self._copies_orders and action == "prepare":
            self._last_answers[call.writer] = answer

    def send_copies(self) -> None:
        """Send the last answer of each connection once more."""
        for writer, answer in self._last_answers.items():
            if not writer.is_closing():
                writer.write(answer)
        self._last_answers.clear()


def encode_answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Scripted", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class OwnCalls:
    """Own calls to a target, after calls of callers on kept connections.

    Parameters
    ----------
    script : DoublingTarget
        Script of the target.
    """

    def __init__(self, script: DoublingTarget):
        self._script = script
        route = make_route(call_class=CallClass.IDEMPOTENT, max_attempts=1)
        self._harness = GatewayHarness(
            configuration=make_configuration(routes=[route]),
            parameters=GatewayParameters(
                connect_timeout_ms=TIMEOUT_MS, keep_alive_ms=TIMEOUT_MS
            ),
        )
        self._client = RankClient(
            order_timeout_ms=TIMEOUT_MS, read_timeout_ms=TIMEOUT_MS
        )

    async def __aenter__(self) -> "OwnCalls":
        self._scripted: ScriptedTarget = (await self._harness.start(self._script))[0]
        self._target = self._harness.directory.all_targets()[0]
        self.rank = TargetRank(
            target=self._target,
            pool=self._harness.pool,
            client=self._client,
            events=EventLog(name="test", stream=io.StringIO()),
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._harness.stop()

    async def serve_callers(self) -> None:
        """Have the gateway keep several connections that have carried answers."""
        answers = [self._harness.call(Deadline_Ms="5000") for _ in range(4)]
        assert {status for status, _, _ in await asyncio.gather(*answers)} == {200}

    async def send_copies(self) -> None:
        """Send second copies, and wait until they have reached the gateway."""
        self._script.send_copies()
        reader, writer = await asyncio.open_connection(
            *self._scripted.address.split(":")
        )
        writer.write(b"GET /turn HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def has_crashed(self) -> bool:
        """Return whether the target looks crashed to the gateway."""
        entry = msgspec.structs.replace(self._target.entry, started_ms=STARTED_MS)
        self._target.entry = entry
        return await self._harness.context.crash_detector.has_crashed(self._target)

    async def is_stuck(self) -> bool:
        """Return whether a call looks lost at the target, which queues one."""
        clock = self._harness.clock
        return await self._harness.context.stuck_calls.is_stuck(
            self._target, None, PassTimeEstimator(clock=clock), 1e6
        )


@pytest.mark.parametrize("is_late", [True, False])
async def test_an_order_is_not_answered_by_a_callers_answer(is_late):
    """The order never left, and the group went on with this rank on the old map."""
    script = DoublingTarget(copies_before_answer=not is_late, arm_status=409)
    async with OwnCalls(script) as calls:
        await calls.serve_callers()
        if is_late:
            await calls.send_copies()
        assert await calls.rank.send_order(ARM) is OrderResult.REFUSED
    assert script.orders == ["arm"]


async def test_an_order_is_not_answered_by_the_answer_to_an_earlier_order():
    """A rank that has refused to arm would count as armed."""
    script = DoublingTarget(copies_orders=True, arm_status=409)
    async with OwnCalls(script) as calls:
        assert await calls.rank.send_order(PREPARE) is OrderResult.BEGUN
        await calls.send_copies()
        assert await calls.rank.send_order(ARM) is OrderResult.REFUSED
    assert script.orders == ["prepare", "arm"]


@pytest.mark.parametrize("is_late", [True, False])
@pytest.mark.parametrize(
    ("read", "caller_body", "expected"),
    [
        ("read_report", STALE_BODY, 40),
        ("read_counts", STALE_BODY, 40),
        ("read_held_experts", STALE_HELD_BODY, 40),
    ],
)
async def test_a_read_is_not_answered_by_a_callers_answer(
    read, caller_body, expected, is_late
):
    """A coordinator would plan for a state that no rank is in."""
    script = DoublingTarget(caller_body=caller_body, copies_before_answer=not is_late)
    async with OwnCalls(script) as calls:
        await calls.serve_callers()
        if is_late:
            await calls.send_copies()
        answer = await getattr(calls.rank, read)()
    assert answer is not None
    assert (answer.version if read == "read_held_experts" else answer.step) == expected


@pytest.mark.parametrize("is_late", [True, False])
async def test_a_target_has_not_crashed_by_a_callers_answer(is_late):
    """A target whose start time differs from its entry's counts as restarted."""
    script = DoublingTarget(copies_before_answer=not is_late)
    async with OwnCalls(script) as calls:
        await calls.serve_callers()
        if is_late:
            await calls.send_copies()
        assert not await calls.has_crashed()


@pytest.mark.parametrize("is_late", [True, False])
async def test_a_call_is_not_stuck_by_a_callers_answer(is_late):
    """A stream that waits its turn would be taken from its rank."""
    script = DoublingTarget(copies_before_answer=not is_late)
    async with OwnCalls(script) as calls:
        await calls.serve_callers()
        if is_late:
            await calls.send_copies()
        assert not await calls.is_stuck()


async def test_a_report_that_names_a_request_is_no_report():
    """It belongs to that request, whatever connection it comes on."""

    async def answer(call):
        await call.answer(200, OWN_BODIES["/api/report"], Request_Id="r-1")

    harness = GatewayHarness(configuration=make_configuration())
    await harness.start(answer)
    try:
        transport = await harness.pool.own_transport(harness.directory.all_targets()[0])
        answered = await RankClient().read_report(transport)
    finally:
        await harness.stop()
    assert not isinstance(answered, Success)
