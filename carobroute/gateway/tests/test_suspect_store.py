"""Requests that crash their targets, kept in the store.

Their callers send them again. Gateways have no disk, so after a restart of all of them
such a request would crash as many targets as before.
"""

import asyncio
import io
import random

import pytest

from carobroute.gateway import SuspectRequests
from carobroute.gateway._suspect_requests import CRASH_RETENTION_MS
from carobroute.gateway._suspect_store import SUSPECT_TABLE, SuspectStore
from carobroute.telemetry import EventLog
from carobroute.testing.row_store_data import MemoryRowStore
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import Backoff


class Gateway:
    """Suspect requests of one gateway, and their rows in a store."""

    def __init__(self, *, clock, store, stronger=0):
        self.log = io.StringIO()
        self.suspects = SuspectRequests(clock=clock, crash_limit=2)
        self._suspect_store = SuspectStore(
            store=store,
            suspects=self.suspects,
            count_stronger=lambda: stronger,
            events=EventLog(name="g", stream=self.log, clock=clock),
            clock=clock,
            backoff=Backoff(random=random.Random(1), min_ms=100.0, max_ms=800.0),
        )
        self.task = asyncio.ensure_future(self._suspect_store.run())


def play(scenario):
    """Run a scenario that is given a clock and an empty store."""
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    run_virtual(scenario(clock, MemoryRowStore(clock=clock)), loop)


@pytest.mark.parametrize(("later_ms", "expected"), [(60_000.0, True), (5e5, False)])
def test_a_refused_request_stays_refused_when_all_gateways_restart(later_ms, expected):
    async def scenario(clock, store):
        first = Gateway(clock=clock, store=store)
        first.suspects.add_crash("f1", "i-1")
        first.suspects.add_crash("f1", "i-2")
        first.suspects.add_crash("once", "i-2")
        await clock.sleep_ms(1_000.0)
        first.task.cancel()
        await clock.sleep_ms(CRASH_RETENTION_MS - 500_000.0 + later_ms)
        second = Gateway(clock=clock, store=store)
        await clock.sleep_ms(100.0)
        assert second.suspects.is_refused("f1") is expected
        assert not second.suspects.is_refused("once")

    play(scenario)


def test_the_row_of_a_request_that_was_answered_is_removed():
    async def scenario(clock, store):
        gateway = Gateway(clock=clock, store=store)
        for incarnation in ("i-1", "i-2"):
            gateway.suspects.add_crash("f1", incarnation)
        await clock.sleep_ms(1_000.0)
        assert (await store.read(SUSPECT_TABLE)).unwrap().rows
        gateway.suspects.clear("f1")
        await clock.sleep_ms(1_000.0)
        assert not (await store.read(SUSPECT_TABLE)).unwrap().rows

    play(scenario)


def test_a_row_that_cannot_be_read_is_reported_and_removed():
    async def scenario(clock, store):
        store.put(SUSPECT_TABLE, "f1", b"{")
        gateway = Gateway(clock=clock, store=store)
        await clock.sleep_ms(1_000.0)
        assert "crashing_request_unreadable" in gateway.log.getvalue()
        assert not (await store.read(SUSPECT_TABLE)).unwrap().rows

    play(scenario)


def test_requests_are_stored_and_read_once_the_store_is_back():
    async def scenario(clock, store):
        first = Gateway(clock=clock, store=store)
        await clock.sleep_ms(100.0)
        store.is_unavailable = True
        for incarnation in ("i-1", "i-2"):
            first.suspects.add_crash("f1", incarnation)
        await clock.sleep_ms(5_000.0)
        second = Gateway(clock=clock, store=store)
        await clock.sleep_ms(5_000.0)
        store.is_unavailable = False
        await clock.sleep_ms(3_000.0)
        third = Gateway(clock=clock, store=store, stronger=9)
        await clock.sleep_ms(100.0)
        assert third.suspects.is_refused("f1")
        assert second.log.getvalue().count("dependency_lost") == 1

    play(scenario)


def test_a_calm_gateway_reads_once_and_writes_nothing():
    async def scenario(clock, store):
        Gateway(clock=clock, store=store)
        await clock.sleep_ms(60_000.0)
        assert store.calls == 1

    play(scenario)


def test_requests_that_a_restored_store_has_lost_are_written_again():
    async def scenario(clock, store):
        first = Gateway(clock=clock, store=store)
        copy = store.copy()
        first.suspects.add_crash("f1", "i-1")
        first.suspects.add_crash("f1", "i-2")
        await clock.sleep_ms(1_000.0)
        store.restore(copy)
        await clock.sleep_ms(1_000.0)
        first.task.cancel()
        second = Gateway(clock=clock, store=store)
        await clock.sleep_ms(100.0)
        assert second.suspects.is_refused("f1")

    play(scenario)


def test_a_request_that_is_back_in_a_restored_store_stays_no_longer():
    async def scenario(clock, store):
        first = Gateway(clock=clock, store=store)
        first.suspects.add_crash("f1", "i-1")
        first.suspects.add_crash("f1", "i-2")
        await clock.sleep_ms(CRASH_RETENTION_MS - 500.0)
        copy = store.copy()
        await clock.sleep_ms(2_000.0)
        assert not (await store.read(SUSPECT_TABLE)).unwrap().rows
        store.restore(copy)
        await clock.sleep_ms(1_000.0)
        assert not (await store.read(SUSPECT_TABLE)).unwrap().rows

    play(scenario)
