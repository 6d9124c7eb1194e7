import pytest

from carobroute.domain import CallClass
from carobroute.entry import Exchange, ExchangeParameters
from carobroute.errors import ErrorKind
from carobroute.links import Ack, Attach, Cancel, Chunk, End, Start, Submit
from carobroute.testing import FakePeer, make_call
from carobroute.utils import ManualClock

PARAMETERS = ExchangeParameters(
    connect_ms=100.0, lost_ms=1_000.0, lost_repeatable_ms=300.0, grace_ms=50.0
)


@pytest.fixture
def clock():
    return ManualClock(start_ms=1_000)


def make_exchange(clock, peer, **fields):
    exchange = Exchange(
        call=make_call(clock, **fields),
        attempt=1,
        target="runner-1",
        peer=peer,
        clock=clock,
        parameters=PARAMETERS,
    )
    exchange.submit(alone=False, resume_state=b"")
    return exchange


def start():
    return Start(request_id="r1", attempt=1, status=200, headers={})


def chunk(index):
    return Chunk(request_id="r1", attempt=1, index=index, data=str(index).encode())


def end(chunks):
    return End(request_id="r1", attempt=1, chunks=chunks)


async def test_duplicates_are_dropped_and_a_gap_is_asked_for(clock):
    peer = FakePeer()
    exchange = make_exchange(clock, peer)
    taken = [exchange.push(m) for m in (start(), start(), chunk(0), chunk(0), chunk(2))]
    assert taken == [True, False, True, False, False]
    assert [a.index for a in peer.of_kind(Attach)] == [1]
    assert exchange.push(chunk(1))
    assert exchange.push(chunk(2))


async def test_end_before_the_last_chunk_does_not_end_the_answer(clock):
    peer = FakePeer()
    exchange = make_exchange(clock, peer)
    exchange.push(start())
    assert not exchange.push(end(chunks=1))
    assert [a.index for a in peer.of_kind(Attach)] == [0]
    exchange.push(chunk(0))
    assert exchange.push(end(chunks=1))


async def test_call_that_was_never_sent_is_not_run(clock):
    peer = FakePeer()
    peer.up = False
    exchange = make_exchange(clock, peer)
    clock.advance_ms(PARAMETERS.connect_ms)
    exchange.check(clock.now_ms())
    ended = await exchange.next()
    assert ended.fault.kind is ErrorKind.NO_TARGET
    assert ended.fault.not_run
    assert peer.unsent == []


@pytest.mark.parametrize(
    ("call_class", "lost_ms"),
    [(CallClass.IDEMPOTENT, 300.0), (CallClass.NON_IDEMPOTENT, 1_000.0)],
)
async def test_call_that_was_sent_to_a_lost_peer_is_unknown(clock, call_class, lost_ms):
    peer = FakePeer()
    exchange = make_exchange(clock, peer, call_class=call_class)
    clock.advance_ms(lost_ms - 1)
    peer.silent_ms = lost_ms - 1
    exchange.check(clock.now_ms())
    assert not exchange._messages
    clock.advance_ms(1)
    peer.silent_ms = lost_ms
    exchange.check(clock.now_ms())
    ended = await exchange.next()
    assert ended.fault.kind is ErrorKind.PEER_LOST
    assert not ended.fault.not_run


async def test_other_incarnation_behind_the_link_is_a_lost_peer(clock):
    peer = FakePeer()
    exchange = make_exchange(clock, peer)
    peer.incarnation = "local~2"
    exchange.link_reopened()
    ended = await exchange.next()
    assert ended.fault.kind is ErrorKind.PEER_LOST
    assert peer.of_kind(Attach) == []


async def test_new_connection_to_the_same_run_goes_on_at_the_missing_chunk(clock):
    peer = FakePeer()
    exchange = make_exchange(clock, peer)
    for message in (start(), chunk(0), chunk(1)):
        exchange.push(message)
    clock.advance_ms(30)
    exchange.link_reopened()
    attach = peer.of_kind(Attach)[0]
    assert (attach.index, attach.started, attach.age_ms) == (2, True, 30)
    assert attach.incarnation == "local~1"


async def test_submit_names_the_run_that_it_is_meant_for(clock):
    peer = FakePeer()
    make_exchange(clock, peer)
    assert peer.of_kind(Submit)[0].incarnation == "local~1"


async def test_deadline_without_a_word_is_unknown_and_cancelled(clock):
    peer = FakePeer()
    exchange = make_exchange(clock, peer, deadline_ms=1_500.0)
    clock.advance_ms(500 + PARAMETERS.grace_ms)
    exchange.check(clock.now_ms())
    ended = await exchange.next()
    assert ended.fault.kind is ErrorKind.TIMEOUT
    exchange.finish(ended)
    assert len(peer.of_kind(Cancel)) == 1
    assert peer.of_kind(Ack) == []


async def test_chunks_that_wait_are_passed_on_together(clock):
    peer = FakePeer()
    exchange = make_exchange(clock, peer)
    for message in (start(), chunk(0), chunk(1), chunk(2), end(chunks=3)):
        exchange.push(message)
    await exchange.next()
    first = await exchange.next()
    assert exchange.join_ready(first) == b"012"
    assert exchange.taken == 3
    assert isinstance(await exchange.next(), End)


async def test_a_chunk_that_overtakes_the_start_is_asked_for_again(clock):
    """The start was lost with a silent connection; the chunk came on the next one."""
    peer = FakePeer()
    exchange = make_exchange(clock, peer)
    assert not exchange.push(chunk(0))
    assert not exchange.push(end(chunks=0))
    asked = peer.of_kind(Attach)
    assert [(a.index, a.started) for a in asked] == [(0, False)] * 2
    taken = [exchange.push(m) for m in (start(), chunk(0), end(chunks=1))]
    assert taken == [True, True, True]
    assert isinstance(await exchange.next(), Start)
