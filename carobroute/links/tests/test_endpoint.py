import asyncio

import pytest
import zmq.asyncio

from carobroute.links import Cancel, Endpoint, LinkParameters, Ok
from carobroute.utils import Clock

FAST = LinkParameters(ping_busy_ms=20, ping_idle_ms=50, silence_ms=80, reopen_ms=5)


def make_endpoint(name):
    return Endpoint(
        name=name,
        role="entry",
        data_centre="suva",
        incarnation=f"{name}~1",
        clock=Clock(),
        parameters=FAST,
    )


@pytest.fixture
async def pair():
    first, second = make_endpoint("a"), make_endpoint("b")
    await first.start()
    await second.start()
    yield first, second
    await first.stop()
    await second.stop()


async def test_call_gets_its_reply(pair):
    first, second = pair
    seen = []

    def on_cancel(peer, entry):
        seen.append((peer.name, entry.request_id))
        return Ok()

    second.handle(Cancel, on_cancel)
    reply = await first.peer(second.address).call(
        Cancel(request_id="r", attempt=1), timeout_ms=5_000
    )
    assert isinstance(reply.unwrap(), Ok)
    assert seen == [("a", "r")]


async def test_call_without_answer_is_peer_lost(pair):
    first, _ = pair
    reply = await first.peer("tcp://127.0.0.1:9").call(
        Cancel(request_id="r", attempt=1), timeout_ms=50
    )
    assert reply.failure().kind.value == "peer_lost"


async def test_silent_connection_is_replaced(pair):
    """A peer that accepts but never answers is given up for a new socket."""
    first, _ = pair
    context = zmq.asyncio.Context()
    mute = context.socket(zmq.ROUTER)
    port = mute.bind_to_random_port("tcp://127.0.0.1")
    peer = first.peer(f"tcp://127.0.0.1:{port}")
    peer.hold()
    ids = set()
    async with asyncio.timeout(20):
        while len(ids) < 3:
            ids.add((await mute.recv_multipart())[0])
    assert peer.reopened >= 2
    context.destroy(linger=0)


async def test_a_peer_that_does_not_answer_costs_no_busy_loop(pair, monkeypatch):
    """The link waits between its pings, also before the peer was first heard."""
    first, _ = pair
    waits = []
    wait = Endpoint._wait

    async def count(self, peer, timeout_ms):
        waits.append(timeout_ms)
        await wait(self, peer, timeout_ms)

    monkeypatch.setattr(Endpoint, "_wait", count)
    context = zmq.asyncio.Context()
    mute = context.socket(zmq.ROUTER)
    port = mute.bind_to_random_port("tcp://127.0.0.1")
    peer = first.peer(f"tcp://127.0.0.1:{port}")
    async with asyncio.timeout(20):
        while peer.reopened < 3:
            await asyncio.wait_for(mute.recv_multipart(), 20)
    context.destroy(linger=0)
    # Three attempts of 80 ms with a ping interval of 20 ms.
    assert len(waits) < 100


async def test_idle_link_pings_at_the_idle_interval(pair):
    """An answered ping does not leave the link at the interval of busy ones."""
    first, second = pair
    peer = first.peer(second.address)
    async with asyncio.timeout(20):
        while not peer.up:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        sent = first.counts["frames_sent"]
        start_ms = first.clock.now_ms()
        while first.counts["frames_sent"] < sent + 8:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
    # Eight pings take at least seven idle intervals of 50 ms, not busy ones of 20.
    assert first.clock.now_ms() - start_ms >= 7 * FAST.ping_idle_ms * 0.9
