"""Digests between gateways over loopback, and duties that one gateway holds."""

import asyncio
import io
import random

import pytest
import uvloop

from carobroute.gateway import ActiveConfiguration
from carobroute.gateway._digests import Digest, PeerState
from carobroute.gateway._peers import PeerProtocol
from carobroute.gateway._prompt_quarantine import PromptQuarantine
from carobroute.gateway._rate_limits import RateLimits
from carobroute.gateway._shared_reads import SharedReads, StoreKnowledge
from carobroute.gateway._stored_duty import StoredDuty
from carobroute.gateway._suspect_requests import SuspectRequests
from carobroute.gateway._targets import TargetDirectory
from carobroute.standins._reserved_ports import ReservedAddress
from carobroute.telemetry import EventLog
from carobroute.testing import wait_until
from carobroute.testing.foreign_data import nest
from carobroute.testing.gateway_data import make_cold_starts, make_target_entry
from carobroute.testing.row_store_data import MemoryRowStore
from carobroute.utils import Clock, ManualClock, TaskSet

GUARD_PORT = 9_000
PORT = 9_001


class Gateway:
    """The parts of a gateway that exchange digests."""

    def __init__(self, name, store, clock, *, log=None):
        self.gateway_counts = []
        self._reserved = ReservedAddress(guard_port=GUARD_PORT, datagram_ports=[PORT])
        self.peer_state = PeerState(
            clock=clock, calls_expiry_ms=1_200.0, gone_after_ms=700.0
        )
        self.directory = TargetDirectory(
            clock=clock,
            store_outage_ms=1_500.0,
            lapsed_grace_ms=2_200.0,
            peer_calls=self.peer_state.calls_at,
        )
        self.directory.update([make_target_entry()])
        self.target = self.directory.all_targets()[0]
        self.suspects = SuspectRequests(clock=clock, crash_limit=2)
        self.quarantine = PromptQuarantine(
            clock=clock,
            name=f"{name}~1",
            peer_trials=self.peer_state.trials_of,
            on_change=lambda: self.protocol.send_now(),
        )
        self.limits = RateLimits(clock=clock)
        self.tasks = TaskSet(on_failure=lambda task, error: None)
        self.protocol = PeerProtocol(
            incarnation=f"{name}~1",
            name=name,
            bind=f"{self._reserved.reserve()}:{PORT}",
            store=store,
            peer_state=self.peer_state,
            directory=self.directory,
            suspects=self.suspects,
            quarantine=self.quarantine,
            limits=self.limits,
            cold_starts=make_cold_starts(clock),
            calls_per_s=lambda: 0.0,
            shared=SharedReads(
                clock=clock,
                name=f"{name}~1",
                configuration=ActiveConfiguration(
                    clock=clock, revoke_ms=5_000.0, margin_ms=400.0
                ),
                directory=self.directory,
                peers=self.peer_state.knowledge,
            ),
            duties=lambda: [],
            capacity=100.0,
            data_centre="a",
            on_gateway_count=self.gateway_counts.append,
            events=EventLog(name=name, stream=log or io.StringIO(), clock=clock),
            clock=clock,
            random=random.Random(1),
            tasks=self.tasks,
            on_leaving=lambda run_id: self.directory.note_leaving(
                run_id, is_first_hand=False
            ),
        )

    async def stop(self):
        await self.tasks.close()
        await self.protocol.stop()
        self._reserved.release()


async def _check_that_two_gateways_exchange_digests():
    clock = Clock()
    store = MemoryRowStore(clock=clock)
    first, second = Gateway("a", store, clock), Gateway("b", store, clock)
    for gateway in (first, second):
        await gateway.protocol.start()
    try:
        first.target.in_flight = 3
        first.suspects.add_crash("f1", "run-1")
        first.protocol.note_change()
        await wait_until(lambda: second.target.other_calls == 3)
        await wait_until(lambda: first.peer_state.peer_count == 1)
        assert second.suspects.crashes_by_request() == {"f1": ["run-1"]}
        first.directory.note_leaving(first.target.run_id)
        first.protocol.note_change()
        await wait_until(lambda: not second.target.is_usable)
        # What a gateway has from a peer is not passed on again, and so expires.
        assert second.directory.leaving_runs == []
        await wait_until(lambda: second.gateway_counts[-1:] == [2])
    finally:
        await first.stop()
        await second.stop()
    assert not (await store.read("gateways")).unwrap().rows


async def test_a_gateway_that_a_restored_store_has_lost_is_listed_again():
    """Gateways that start later find it there alone."""
    clock = Clock()
    store = MemoryRowStore(clock=clock)
    copy = store.copy()
    gateway = Gateway("a", store, clock)

    async def is_listed():
        return bool((await store.read("gateways")).unwrap().rows)

    await gateway.protocol.start()
    try:
        await wait_until(is_listed)
        store.restore(copy)
        await wait_until(is_listed)
    finally:
        await gateway.stop()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_gateway_learns_calls_and_suspects_of_its_peer(run):
    run(_check_that_two_gateways_exchange_digests())


def _duty(holder, store, clock, *, is_gone=lambda holder: False, **options):
    return StoredDuty(
        name="experts/g",
        holder=holder,
        store=store,
        events=EventLog(name=holder, stream=io.StringIO(), clock=clock),
        clock=clock,
        is_gone=is_gone,
        **options,
    )


async def test_the_store_is_not_asked_for_a_duty_that_a_live_peer_holds():
    """With many gateways, their questions would be most of the calls to the store."""
    clock = ManualClock()
    store = MemoryRowStore(clock=clock)
    holder = ["a"]
    duty = _duty("b", store, clock, find_holder=lambda name: holder[0])
    for _ in range(100):
        assert not await duty.acquire()
        clock.advance_ms(50)
    assert store.calls == 0
    holder[0] = ""
    assert await duty.acquire()


async def test_the_strongest_gateway_takes_a_free_duty_first():
    clock = ManualClock()
    store = MemoryRowStore(clock=clock)
    strong = _duty("a", store, clock, count_stronger=lambda: 0)
    weak = _duty("b", store, clock, count_stronger=lambda: 5)
    assert not await weak.acquire()
    assert await strong.acquire()
    assert store.calls == 2
    # It is taken by another one if the strongest does not act.
    await strong.release()
    clock.advance_ms(1_000)
    assert await weak.acquire()


def test_a_duty_is_left_to_live_peers_with_larger_links():
    clock = ManualClock()
    peer_state = PeerState(clock=clock, calls_expiry_ms=1_200, gone_after_ms=700)
    for name, capacity in (("a", 100.0), ("b", 20.0), ("c", 100.0)):
        digest = Digest(
            name,
            f"10.0.0.1:{ord(name)}",
            1,
            {},
            {},
            0.0,
            StoreKnowledge(),
            [],
            capacity,
        )
        peer_state.update(digest)
    assert peer_state.count_stronger("bb", 100.0) == 1
    assert peer_state.count_stronger("bb", 20.0) == 3
    clock.advance_ms(701)
    assert peer_state.count_stronger("bb", 20.0) == 0


async def test_a_duty_has_one_holder_until_its_term_ends():
    clock = ManualClock()
    store = MemoryRowStore(clock=clock)
    first, second = _duty("a", store, clock), _duty("b", store, clock)
    assert await first.acquire()
    assert not await second.acquire()
    clock.advance_ms(3_001)
    assert await second.acquire()
    assert not await first.acquire()


async def test_the_duty_of_a_gateway_that_is_gone_is_acquired_before_its_term_ends():
    clock = ManualClock()
    store = MemoryRowStore(clock=clock)
    first = _duty("a", store, clock)
    second = _duty("b", store, clock, is_gone=lambda holder: holder == "a")
    assert await first.acquire()
    assert await second.acquire()


async def test_a_duty_is_not_acquired_while_the_store_is_unavailable():
    clock = ManualClock()
    store = MemoryRowStore(clock=clock)
    duty = _duty("a", store, clock)
    store.is_unavailable = True
    assert not await duty.acquire()
    store.is_unavailable = False
    clock.advance_ms(401)
    assert await duty.acquire()


async def test_a_held_duty_needs_no_store_call_until_it_must_be_renewed():
    clock = ManualClock()
    store = MemoryRowStore(clock=clock)
    duty = _duty("a", store, clock)
    assert await duty.acquire()
    calls = store.calls
    clock.advance_ms(1_000)
    assert await duty.acquire()
    assert store.calls == calls
    clock.advance_ms(1_000)
    assert await duty.acquire()
    assert store.calls > calls


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"{",
        b'{"holder": 7}',
        b"[]",
        b'{"holder": "b", "until_ms": 1e308}',
        nest("holder"),
        nest("until_ms", is_closed=False),
    ],
    ids=lambda value: repr(value[:40]),
)
async def test_a_duty_with_an_unreadable_row_is_free_and_logged(value):
    clock, lines = ManualClock(), io.StringIO()
    store = MemoryRowStore(clock=clock)
    store.put("duties", "experts/g", value)
    duty = StoredDuty(
        name="experts/g",
        holder="a",
        store=store,
        events=EventLog(name="a", stream=lines, clock=clock),
        clock=clock,
        is_gone=lambda holder: False,
    )
    assert await duty.acquire()
    assert "duty_unreadable" in lines.getvalue()


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"{",
        b'{"address": "nowhere"}',
        b'{"address": "127.0.0.1:99999"}',
        b'{"address": "peer:80"}',
        nest("address"),
    ],
    ids=lambda value: repr(value[:40]),
)
async def test_an_unreadable_row_of_a_gateway_is_logged_and_affects_no_other(value):
    clock, lines = Clock(), io.StringIO()
    store = MemoryRowStore(clock=clock)
    store.put("gateways", "a-stranger", value)
    first = Gateway("a", store, clock, log=lines)
    second = Gateway("b", store, clock)
    for gateway in (first, second):
        await gateway.protocol.start()
    try:
        await wait_until(lambda: "gateway_entry_unreadable" in lines.getvalue())
        await wait_until(lambda: first.peer_state.peer_count == 1)
    finally:
        await first.stop()
        await second.stop()


async def test_a_duty_is_acquired_as_soon_as_its_holder_is_known_to_be_gone():
    """A gateway must not wait for its next attempt if the holder is gone by then."""
    clock, gone = ManualClock(), set()
    store = MemoryRowStore(clock=clock)
    first = _duty("a", store, clock)
    second = _duty("b", store, clock, is_gone=gone.__contains__)
    assert await first.acquire()
    assert not await second.acquire()
    clock.advance_ms(100)
    calls = store.calls
    assert not await second.acquire()
    assert store.calls == calls
    gone.add("a")
    assert await second.acquire()


async def test_a_released_duty_is_free_at_once_and_not_released_twice():
    clock = ManualClock()
    store = MemoryRowStore(clock=clock)
    first, second = _duty("a", store, clock), _duty("b", store, clock)
    assert await first.acquire()
    await first.release()
    assert await second.acquire()
    # A second release must not take the duty from its new holder.
    await first.release()
    assert not await first.acquire()


def test_ejections_of_a_peer_count_until_it_takes_the_target_back_or_is_silent():
    clock = ManualClock()
    peer_state = PeerState(clock=clock, calls_expiry_ms=1_200.0, gone_after_ms=700.0)

    def hear(name, number, **hints):
        digest = Digest(name, f"10.0.0.1:{ord(name)}", number, {}, {}, **hints)
        assert peer_state.update(digest)

    hear("a", 1, ejected=["i-1@1"])
    hear("b", 1, ejected=["i-1@1", "i-2@1"])
    assert peer_state.count_ejections("i-1@1") == 2
    assert not peer_state.has_returned("i-1@1")
    hear("b", 2, returned=["i-1@1"])
    assert peer_state.count_ejections("i-1@1") == 1
    assert peer_state.count_ejections("i-2@1") == 0
    assert peer_state.has_returned("i-1@1")
    clock.advance_ms(1_201)
    peer_state.drop_silent()
    assert peer_state.count_ejections("i-1@1") == 0
    assert not peer_state.has_returned("i-1@1")


def test_a_silent_gateway_is_gone_before_its_calls_expire():
    clock = ManualClock()
    peer_state = PeerState(clock=clock, calls_expiry_ms=1_200.0, gone_after_ms=700.0)
    assert peer_state.update(Digest("a", "10.0.0.1:7000", 1, {"run-1": 2}, {}))
    clock.advance_ms(600)
    assert not peer_state.is_gone("a")
    clock.advance_ms(200)
    assert peer_state.is_gone("a")
    assert peer_state.calls_at("run-1") == 2
    # A gateway without any digest is gone once there was time for one.
    assert peer_state.is_gone("b")
    assert not PeerState(
        clock=clock, calls_expiry_ms=1_200.0, gone_after_ms=700.0
    ).is_gone("b")


async def test_a_gateway_that_wakes_knows_that_another_one_has_its_duty():
    """Its term ends while it stands still; before that, the peer is out of date."""
    clock, holders = ManualClock(), []
    store = MemoryRowStore(clock=clock)
    duty = _duty("a", store, clock, find_holder=lambda name: "".join(holders))
    assert await duty.acquire()
    holders.append("b")
    assert not duty.is_superseded
    clock.advance_ms(3_001)
    assert duty.is_superseded
    holders.clear()
    assert not duty.is_superseded
