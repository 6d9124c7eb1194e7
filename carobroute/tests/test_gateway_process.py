"""The gateway as a process: start, signals, configuration, outages, strangers."""

import asyncio
import contextlib
import gzip
import os
import signal
import zlib

import msgspec
import pytest
from aiohttp import ClientOSError

from carobroute.domain import CallClass, ListedTargetState, ServiceShare, TeamProfile
from carobroute.platform import CONFIGURATION_KEY, CONFIGURATION_TABLE, TARGET_TABLE
from carobroute.standins._faults import Faults
from carobroute.testing import GatewayRun, wait_until
from carobroute.testing.foreign_data import HUGE, encode_entry, nest, odd_entries
from carobroute.testing.gateway_data import (
    make_configuration,
    make_route,
    make_service,
    make_target_entry,
)
from carobroute.testing.scripted_target import ScriptedTarget

STREAM = make_route(
    name="r-2",
    path_prefix="/chat/",
    call_class=CallClass.NON_IDEMPOTENT,
    streaming=True,
    timeout_ms=5_000.0,
    shares=[ServiceShare(service="model", weight=1.0)],
)
CONFIGURATION = make_configuration(
    routes=[make_route(), STREAM],
    services=[make_service(), make_service(name="model")],
)


class Desk:
    """A gateway process with one target of each service."""

    def __init__(self, run, orders, model):
        self.run = run
        self.orders = orders
        self.model = model
        self.go_on = asyncio.Event()
        self.others = []

    async def call(
        self, path="/orders/1", *, key="key-1", method="GET", deadline=2_000
    ):
        headers = {
            "Host": "shop.example",
            "Request-Id": f"r-{os.urandom(4).hex()}",
            "Deadline-Ms": str(deadline),
            "X-Api-Key": key,
        }
        async with self.run.session.request(
            method, self.run.url + path, headers=headers
        ) as answer:
            return answer.status, await answer.read(), answer.headers

    async def replace_orders(self):
        """Start another target of the orders; the first one leaves."""
        first = self.orders.address
        replacement = ScriptedTarget(self.answer)
        self.others.append(replacement)
        self.run.list_target(
            make_target_entry(incarnation="i-new", address=await replacement.start())
        )
        self.run.list_target(
            make_target_entry(
                incarnation="i-orders",
                address=first,
                condition=ListedTargetState.LEAVING,
            )
        )

        async def is_found():
            await self.call()
            return bool(replacement.calls)

        await wait_until(is_found, what="the new target has a call")

    async def answer(self, call):
        """Answer an order."""
        await call.answer(body=b"1 bell")


@pytest.fixture
async def desk(tmp_path, request):
    run = GatewayRun(
        directory=tmp_path,
        configuration=CONFIGURATION,
        revoke_ms=2_000.0,
        patch=getattr(request, "param", ""),
    )

    async def answer(call):
        await call.answer(body=b"1 bell")

    async def stream(call):
        await call.begin_stream(b"id: 1\ndata: a\n\n")
        await desk.go_on.wait()
        await call.send(b"id: 2\ndata: b\n\n")
        await call.end_stream()

    targets = [ScriptedTarget(answer), ScriptedTarget(stream)]
    for target, service in zip(targets, ("orders", "model"), strict=True):
        entry = make_target_entry(
            incarnation=f"i-{service}", service=service, address=await target.start()
        )
        run.list_target(entry)
    desk = Desk(run, *targets)
    await run.start()
    yield desk
    await run.stop()
    for target in (*targets, *desk.others):
        await target.close()


async def test_a_call_and_a_stream_are_served_and_told(desk):
    desk.go_on.set()
    assert (await desk.call())[:2] == (200, b"1 bell")
    status, body, _ = await desk.call("/chat/1", method="POST")
    assert (status, body) == (200, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
    assert (await desk.call("/nowhere/"))[0] == 404
    assert (await desk.call(key="wrong"))[0] == 401
    async with desk.run.session.get(desk.run.metrics_url) as answer:
        text = await answer.text()
    assert "carobroute" in text


PLAIN_BODY = b'{"order": 7, "text": "bell bell bell"}'
# Values of Content-Encoding, and bodies that may have them or not.
ENCODED_BODIES = [
    ("gzip", gzip.compress(PLAIN_BODY)),
    ("x-gzip", gzip.compress(PLAIN_BODY)),
    ("gzip, gzip", gzip.compress(gzip.compress(PLAIN_BODY))),
    ("gzip", b"no gzip at all"),
    ("deflate", zlib.compress(PLAIN_BODY)),
    ("deflate", zlib.compress(PLAIN_BODY)[:-6]),
    ("br", b"\x8b\x12\x80" + PLAIN_BODY + b"\x03"),
    ("zstd", b"\x28\xb5\x2f\xfd\x04\x00" + PLAIN_BODY),
    ("deflate, br", b"\x00\xff" * 40),
    ("bells", PLAIN_BODY),
    ("identity", PLAIN_BODY),
]


@pytest.mark.parametrize("has_length", [True, False], ids=["length", "chunks"])
async def test_encoded_bodies_reach_their_target_as_they_were_sent(desk, has_length):
    """Targets ran requests that nobody had sent; others were refused with 400."""

    async def send_pieces(body):
        for start in range(0, len(body), 16):
            yield body[start : start + 16]

    statuses = []
    for encoding, body in ENCODED_BODIES:
        headers = {
            "Host": "shop.example",
            "Request-Id": f"r-{len(statuses)}",
            "Deadline-Ms": "2000",
            "X-Api-Key": "key-1",
            "Content-Encoding": encoding,
            "Connection": "close",
        }
        with contextlib.suppress(ClientOSError):
            async with desk.run.session.post(
                desk.run.url + "/orders/1",
                headers=headers,
                data=body if has_length else send_pieces(body),
            ) as answer:
                statuses.append(answer.status)
    received = [
        (call.headers["content-encoding"], call.body) for call in desk.orders.calls
    ]
    assert received == ENCODED_BODIES
    assert statuses == [200] * len(ENCODED_BODIES)


# Request targets that are passed on, and that are not.
PASSED_TARGETS = [
    b"/orders/a%2Fb%2f%7Euser/%41",
    b"/orders//a///b/",
    b"/orders/a?",
    b"/orders/?",
    b"/orders/a??",
    b"/orders/a?x=",
    b"/orders/a?x",
    b"/orders/a?&&x=1&x=1&=2",
    b"/orders/a?x=a+b%20c;y=%3D%26%23",
    b"/orders/a?x=/?:@[]",
    b"/orders/a;v=1/b;c,d=e!$'()*",
    b"/orders/a+b:c@d",
    b"/orders/a/../b/./c/..",
    b"/orders/%2e%2e/b",
    b"/orders/%00%0d%0a",
    b"/orders/%zz%",
    b"/orders/caf%C3%A9/%ff",
    b"/orders/a#",
    b"/orders/a#top",
    b"/orders/a?x=1#top?",
    b"/orders/a?#",
    b"/orders/" + b"a" * 3_000 + b"?" + b"b" * 3_000,
]
REFUSED_TARGETS = [
    b"*",
    b"orders/a",
    b"http://shop.example/orders/a",
    b"http://other.example/orders/a?",
    b"/orders/caf\xc3\xa9",
    b"/orders/\xff",
    b"/orders/a?x=\xe9",
    b"/orders/\x01",
    b"/orders/\x7f",
]


async def send_target(desk, target):
    """Send a request with a target as it is; return the status of its answer."""
    host, port = desk.run.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET " + target + b" HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\n"
        b"Deadline-Ms: 2000\r\nX-Api-Key: key-1\r\nConnection: close\r\n\r\n"
    )
    answer = await reader.read()
    writer.close()
    return int(answer.split(b" ")[1])


async def test_request_targets_arrive_as_they_were_sent_or_not_at_all(desk):
    """A path that ended in `?` arrived without it, and so did one with a fragment."""
    statuses = [await send_target(desk, target) for target in PASSED_TARGETS]
    received = [call.line.split(" ")[1].encode() for call in desk.orders.calls]
    assert received == PASSED_TARGETS
    assert statuses == [200] * len(PASSED_TARGETS)
    statuses = [await send_target(desk, target) for target in REFUSED_TARGETS]
    assert desk.orders.calls[len(PASSED_TARGETS) :] == []
    assert statuses == [400] * len(REFUSED_TARGETS)
    # No prefix of a route begins these, whatever a caller might resolve them to.
    assert await send_target(desk, b"//orders/a") == 404
    assert await send_target(desk, b"/../orders/a") == 404
    assert len(desk.orders.calls) == len(PASSED_TARGETS)


async def test_sigterm_leaves_the_rotation_and_cuts_nothing(desk):
    streaming = asyncio.create_task(desk.call("/chat/1", method="POST", deadline=5_000))
    await wait_until(lambda: desk.model.calls, what="the stream has begun")
    desk.run.signal(signal.SIGTERM)

    async def has_left():
        return not await desk.run.is_ready()

    await wait_until(has_left, what="the gateway is not ready")
    # It still answers what comes, and says that the connection ends.
    status, _, headers = await desk.call()
    assert status == 200 and headers["Connection"].lower() == "close"
    await asyncio.sleep(0.5)
    assert not streaming.done()
    desk.go_on.set()
    assert (await streaming)[1].endswith(b"data: b\n\n")
    assert await desk.run.wait_ended() == 0
    events = [line for line in desk.run.lines if "event=sto" in line]
    assert "event=stopping" in events[0] and "event=stopped" in events[-1]


async def test_sighup_reads_the_settings_again_and_cuts_nothing(desk):
    streaming = asyncio.create_task(desk.call("/chat/1", method="POST", deadline=5_000))
    await wait_until(lambda: desk.model.calls, what="the stream has begun")
    desk.run.signal(signal.SIGHUP)
    await wait_until(
        lambda: any("event=reloaded" in line for line in desk.run.lines),
        what="the settings are read",
    )
    desk.go_on.set()
    assert (await streaming)[0] == 200
    assert await desk.run.is_ready()


async def test_a_new_configuration_is_in_force_soon_and_a_key_is_gone(desk):
    new_key = TeamProfile(name="lund", keys=["key-2"], priority=None)
    added = make_route(name="r-3", path_prefix="/stock/")
    desk.run.configure(
        msgspec.structs.replace(
            CONFIGURATION, version=9, teams=[new_key], routes=[STREAM, added]
        )
    )

    async def is_in_force():
        return (await desk.call("/stock/1", key="key-2"))[0] == 200

    await wait_until(is_in_force, what="the added route is served")
    assert (await desk.call("/stock/1", key="key-1"))[0] == 401
    assert (await desk.call("/orders/1", key="key-2"))[0] == 404


async def test_a_history_that_is_gone_is_read_anew(desk):
    desk.run.platform.rows.forget_changes()
    added = make_route(name="r-3", path_prefix="/stock/")
    desk.run.configure(
        msgspec.structs.replace(CONFIGURATION, version=9, routes=[added])
    )

    async def is_in_force():
        return (await desk.call("/stock/1"))[0] == 200

    await wait_until(is_in_force, what="the added route is served")


async def test_keys_open_nothing_once_the_store_is_away_too_long_and_then_again(desk):
    """Without proof a key may have been taken away, so its calls have not run."""
    desk.run.platform.faults.faults = Faults(outage=True)

    async def is_refused():
        status, _, headers = await desk.call()
        assert status in (200, 503)
        return status == 503 and "Retry-After" in headers

    await wait_until(is_refused, what="calls are refused", timeout_s=10)
    before = len(desk.orders.calls)
    assert (await desk.call())[0] == 503
    assert len(desk.orders.calls) == before
    desk.run.platform.faults.faults = Faults()

    async def is_served():
        return (await desk.call())[0] == 200

    await wait_until(is_served, what="calls are served again", timeout_s=10)
    for name in ("dependency_lost", "dependency_found"):
        await wait_until(
            lambda name=name: any(f"event={name}" in x for x in desk.run.lines),
            what=f"the log tells {name}",
        )


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe\x00",
        b"[]",
        b'{"service":"orders"}',
        encode_entry(service=7),
        encode_entry(state="odd"),
        encode_entry(address="nowhere"),
        encode_entry(address="127.0.0.1:99999"),
        encode_entry(address="127.0.0.1:" + "9" * 5_000),
        encode_entry(address="127.0.0.1:²"),
        encode_entry(address="h" * 300 + ":80"),
        encode_entry(address="a..b:80"),
        encode_entry(slots=HUGE),
        nest("models"),
        nest("models", is_closed=False),
    ],
    ids=lambda data: repr(data[:90]),
)
async def test_an_entry_of_a_stranger_names_no_target_and_harms_none(desk, data):
    """Some ended the reading of the list, or had calls answered with 500."""
    desk.run.list_stranger("i-stranger", data)
    await wait_until(
        lambda: any("target_entry_unreadable" in line for line in desk.run.lines),
        what="the entry is reported",
    )
    assert {(await desk.call())[0] for _ in range(5)} == {200}
    await desk.replace_orders()
    assert {(await desk.call())[0] for _ in range(5)} == {200}
    assert not any("event=task_failed" in line for line in desk.run.lines)


async def test_a_gateway_that_starts_beside_strange_entries_finds_the_targets(desk):
    """A gateway that started beside a nested entry refused all calls."""
    desk.run.signal(signal.SIGKILL)
    await desk.run.wait_ended()
    for number, data in enumerate(odd_entries().values()):
        desk.run.list_stranger(f"a-{number}", data)
        desk.run.list_stranger(f"z-{number}", data)
    await desk.run.restart()

    async def is_served():
        return (await desk.call())[0] == 200

    await wait_until(is_served, what="the targets are found")
    assert {(await desk.call())[0] for _ in range(20)} == {200}
    await desk.replace_orders()
    assert {(await desk.call())[0] for _ in range(20)} == {200}


FAIL_FOR_A_ROW = """
from carobroute.gateway import _store_watch
def fail_for_a_row(decode):
    def decode_or_fail(*row):
        if b"seeded" in row[-1]:
            raise RuntimeError("a seeded mistake")
        return decode(*row)
    return decode_or_fail
for name in ("decode_target_entry", "decode_configuration"):
    setattr(_store_watch, name, fail_for_a_row(getattr(_store_watch, name)))
"""


@pytest.mark.parametrize("desk", [FAIL_FOR_A_ROW], indirect=True, ids=["seeded"])
async def test_the_list_is_followed_again_after_an_exception(desk):
    """An exception ended the reading of the list for good."""

    def count_failures():
        return sum(
            "event=task_failed" in line and "watch targets" in line
            for line in desk.run.lines
        )

    desk.run.list_stranger("i-odd", b"seeded")
    await wait_until(lambda: count_failures() > 1, what="the task has failed twice")
    assert {(await desk.call())[0] for _ in range(5)} == {200}
    async with desk.run.session.get(desk.run.metrics_url) as answer:
        assert 'failed_tasks_total{task="watch targets"}' in await answer.text()
    desk.run.platform.write(TARGET_TABLE, "i-odd", None)
    await desk.replace_orders()
    assert {(await desk.call())[0] for _ in range(5)} == {200}


@pytest.mark.parametrize("desk", [FAIL_FOR_A_ROW], indirect=True, ids=["seeded"])
async def test_the_configuration_is_followed_again_after_an_exception(desk):
    """An exception ended the watch of the configuration for good."""
    desk.run.platform.write(CONFIGURATION_TABLE, CONFIGURATION_KEY, b"seeded")
    await wait_until(
        lambda: any(
            "event=task_failed" in line and "watch configuration" in line
            for line in desk.run.lines
        ),
        what="the task has failed",
    )
    added = make_route(name="r-3", path_prefix="/stock/")
    desk.run.configure(
        msgspec.structs.replace(CONFIGURATION, version=9, routes=[added])
    )

    async def is_in_force():
        return (await desk.call("/stock/1"))[0] == 200

    await wait_until(is_in_force, what="the added route is served")


FAIL_WITHIN_A_ROW = """
from carobroute.platform import _configuration_decoding as decoding
build = decoding._build_entry
def build_or_fail(incarnation, wire):
    if wire.version == "seeded":
        raise RuntimeError("a seeded mistake")
    return build(incarnation, wire)
decoding._build_entry = build_or_fail
"""


# Guards against a list that is not followed while one row stands whose decoding fails
# in a way that nobody has thought of (DRAIN).
@pytest.mark.parametrize("desk", [FAIL_WITHIN_A_ROW], indirect=True, ids=["seeded"])
async def test_the_list_is_followed_beside_a_row_that_raises_anything(desk):
    desk.run.list_stranger("i-odd", encode_entry(version="seeded"))
    await wait_until(
        lambda: any("a seeded mistake" in line for line in desk.run.lines),
        what="the row is reported",
    )
    await desk.replace_orders()
    assert {(await desk.call())[0] for _ in range(5)} == {200}
    assert any("event=target_entry_unreadable" in line for line in desk.run.lines)


# Guards against calls that reach a data centre which operators have emptied (EVAC), and
# against callers that wait although nothing can serve them.
async def test_an_evacuated_data_centre_gets_nothing_new_and_ends_what_runs(desk):
    async def is_evacuated():
        return any("event=evacuation_began" in line for line in desk.run.lines)

    async def is_served():
        return (await desk.call())[0] == 200

    streaming = asyncio.create_task(desk.call("/chat/1", deadline=20_000))
    await wait_until(lambda: _has_call(desk.model), what="the stream runs")
    desk.run.evacuate("a")
    await wait_until(is_evacuated, what="the gateway knows of the evacuation")
    arrived = len(desk.orders.calls)
    for _ in range(3):
        status, _, headers = await desk.call()
        assert status == 503
        assert float(headers["Retry-After"]) > 0
    assert len(desk.orders.calls) == arrived
    url = f"http://{desk.run.operators_address}/operator/dump"
    async with desk.run.session.get(url) as answer:
        state = await answer.json()
    assert state["evacuated"]["data_centres"] == ["a"]
    assert not any(target["usable"] for target in state["targets"])
    assert sum(target["calls"] for target in state["targets"]) == 1
    desk.go_on.set()
    status, body, _ = await streaming
    assert status == 200
    assert body.endswith(b"data: b\n\n")
    desk.run.evacuate("a", is_over=True)
    await wait_until(is_served, what="calls are sent there again")


async def _has_call(target):
    return bool(target.calls)


async def test_a_leaving_target_gets_nothing_more(desk):
    entry = make_target_entry(
        incarnation="i-orders",
        address=desk.orders.address,
        condition=ListedTargetState.LEAVING,
    )
    desk.run.list_target(entry)
    await wait_until(
        lambda: any("event=target_leaving" in line for line in desk.run.lines),
        what="the gateway knows",
    )
    before = len(desk.orders.calls)
    assert (await desk.call(deadline=600))[0] == 503
    assert len(desk.orders.calls) == before


# What another program may write over the entry of a target, ready by its words.
OVERWRITING = {
    "no start": lambda address: encode_entry(without="born", address=address),
    "no sequence": lambda address: encode_entry(without="seq", address=address),
    "no text": lambda address: b"\xff",
}


async def overwrite_orders(desk, data):
    """Write over the entry of the orders' target; return once the gateway has read."""
    desk.run.list_stranger("i-orders", data)
    name = f"i-{len(desk.run.lines)}"
    sentinel = make_target_entry(incarnation=name, service="none")
    desk.run.list_target(sentinel)
    await wait_until(
        lambda: any(f"target={name} " in line for line in desk.run.lines),
        what="the gateway has read the list",
    )


# Guards against orders to a leaving target (DRAIN) after one row of another program.
@pytest.mark.parametrize("overwriting", OVERWRITING.values(), ids=OVERWRITING)
async def test_a_leaving_target_whose_entry_is_overwritten_gets_nothing(
    desk, overwriting
):
    address = desk.orders.address
    leaving = make_target_entry(
        incarnation="i-orders", address=address, condition=ListedTargetState.LEAVING
    )
    desk.run.list_target(leaving)
    await overwrite_orders(desk, overwriting(address))
    for _ in range(5):
        assert (await desk.call(deadline=300))[0] == 503
    assert desk.orders.calls == []
    desk.run.list_target(leaving)
    await overwrite_orders(desk, overwriting(address))
    assert (await desk.call(deadline=300))[0] == 503
    assert desk.orders.calls == []


# Guards against a living target that counts as crashed while it runs calls.
@pytest.mark.parametrize("overwriting", OVERWRITING.values(), ids=OVERWRITING)
async def test_a_call_in_flight_outlives_the_overwriting_of_its_targets_entry(
    desk, overwriting
):
    own = make_target_entry(incarnation="i-orders", address=desk.orders.address)
    for number in range(1, 4):
        streaming = asyncio.create_task(desk.call("/chat/1", method="POST"))
        await wait_until(
            lambda count=number: len(desk.model.calls) == count, what="it has begun"
        )
        entry = make_target_entry(
            incarnation="i-model", service="model", address=desk.model.address
        )
        desk.run.list_stranger("i-model", overwriting(desk.model.address))
        await overwrite_orders(desk, overwriting(desk.orders.address))
        desk.go_on.set()
        assert (await streaming)[0] == 200
        desk.go_on.clear()
        desk.run.list_target(entry)
        desk.run.list_target(own)

        async def is_served():
            return (await desk.call(deadline=500))[0] == 200

        await wait_until(is_served, what="the target is used again")
    assert not any("event=target_gone" in line for line in desk.run.lines)


async def test_a_kill_and_a_new_start_lose_no_configuration(desk):
    desk.run.signal(signal.SIGKILL)
    assert await desk.run.wait_ended() == -signal.SIGKILL
    with contextlib.suppress(OSError):
        await desk.call()
    await desk.run.restart()
    assert (await desk.call())[0] == 200
