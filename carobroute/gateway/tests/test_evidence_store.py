"""Evidence on prompt parts in the store.

Gateways have no disk. Without the store, a restart of all of them makes a part that
crashed targets unknown again, and it crashes as many as before.
"""

import asyncio
import io
import random

import msgspec
import pytest

from carobroute.gateway._evidence_store import (
    CLEARING_DELAY_MS,
    EVIDENCE_TABLE,
    EvidenceStore,
    StoredEvidence,
)
from carobroute.gateway._part_verdicts import PartState
from carobroute.gateway._prompt_quarantine import PromptQuarantine
from carobroute.telemetry import EventLog
from carobroute.testing.row_store_data import MemoryRowStore
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import Backoff


class Gateway:
    """Quarantine of one gateway, and its evidence in a store."""

    def __init__(self, *, clock, store, name="g-1", stronger=0):
        self.log = io.StringIO()
        self.quarantine = PromptQuarantine(
            clock=clock, name=name, peer_trials=lambda part: {}, on_change=lambda: None
        )
        self._evidence_store = EvidenceStore(
            store=store,
            quarantine=self.quarantine,
            count_stronger=lambda: stronger,
            events=EventLog(name=name, stream=self.log, clock=clock),
            clock=clock,
            backoff=Backoff(random=random.Random(1), min_ms=100.0, max_ms=800.0),
        )
        self.task = asyncio.ensure_future(self._evidence_store.run())

    def crash(self, name, parts):
        self.quarantine.note_interrupted("model", name, parts)
        self.quarantine.note_target_lost(name)

    def state_of(self, *parts):
        if self.quarantine.find_refusal("model", parts) is not None:
            return PartState.REFUSED
        verdict = self.quarantine.find_verdict("model", parts)
        return None if verdict is None else PartState.SUSPECTED


def play(scenario):
    """Run a scenario that is given a clock and an empty store."""
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    run_virtual(scenario(clock, MemoryRowStore(clock=clock)), loop)


def stored_parts(store):
    rows = [row for (table, _), row in store._kept.items() if table == EVIDENCE_TABLE]
    return {
        part
        for row in rows
        for _, part in msgspec.json.decode(
            row.value, type=StoredEvidence
        ).report.open_suspicions()
    }


def test_a_refusal_keeps_its_age_over_a_restart():
    async def scenario(clock, store):
        first = Gateway(clock=clock, store=store)
        first.crash("i-1@1", ("bad", "other"))
        await clock.sleep_ms(5_000.0)
        first.crash("i-2@1", ("bad",))
        await clock.sleep_ms(2_000.0)
        first.task.cancel()
        await clock.sleep_ms(40_000.0)
        second = Gateway(clock=clock, store=store, name="g-2")
        await clock.sleep_ms(100.0)
        assert second.state_of("bad") is PartState.REFUSED
        refusal = second.quarantine.find_refusal("model", ("bad",))
        assert refusal.retry_after_ms == pytest.approx(17_900.0, abs=20.0)

    play(scenario)


def test_a_part_that_was_cleared_is_not_suspected_again_after_a_restart():
    async def scenario(clock, store):
        first = Gateway(clock=clock, store=store)
        first.crash("i-1@1", ("sound", "bad"))
        await clock.sleep_ms(1_000.0)
        assert stored_parts(store) == {"sound", "bad"}
        first.quarantine.note_begun("model", ("sound",))
        await clock.sleep_ms(CLEARING_DELAY_MS + 500.0)
        assert stored_parts(store) == {"bad"}
        second = Gateway(clock=clock, store=store, name="g-2")
        await clock.sleep_ms(100.0)
        assert second.state_of("sound") is None
        assert second.state_of("bad") is PartState.SUSPECTED

    play(scenario)


def test_evidence_that_a_restored_store_has_lost_is_written_again():
    async def scenario(clock, store):
        first = Gateway(clock=clock, store=store)
        copy = store.copy()
        first.crash("i-1@1", ("bad", "other"))
        await clock.sleep_ms(5_000.0)
        first.crash("i-2@1", ("bad",))
        await clock.sleep_ms(1_000.0)
        assert "bad" in stored_parts(store)
        store.restore(copy)
        await clock.sleep_ms(1_000.0)
        assert "bad" in stored_parts(store)
        first.task.cancel()
        second = Gateway(clock=clock, store=store, name="g-2")
        await clock.sleep_ms(100.0)
        assert second.state_of("bad") is PartState.REFUSED

    play(scenario)


def test_gateways_that_write_at_the_same_time_lose_nothing():
    async def scenario(clock, store):
        gateways = [
            Gateway(clock=clock, store=store, name=f"g-{n}", stronger=n)
            for n in range(5)
        ]
        await clock.sleep_ms(100.0)
        for number, gateway in enumerate(gateways):
            gateway.crash(f"i-{number}@1", (f"part-{number}",))
        await clock.sleep_ms(3_000.0)
        assert stored_parts(store) == {f"part-{n}" for n in range(5)}

    play(scenario)


def test_evidence_is_stored_and_read_once_the_store_is_back():
    async def scenario(clock, store):
        first = Gateway(clock=clock, store=store)
        await clock.sleep_ms(100.0)
        store.is_unavailable = True
        first.crash("i-1@1", ("bad",))
        await clock.sleep_ms(10_000.0)
        store.is_unavailable = False
        await clock.sleep_ms(2_000.0)
        assert stored_parts(store) == {"bad"}
        assert first.log.getvalue().count("dependency_lost") == 1
        store.is_unavailable = True
        second = Gateway(clock=clock, store=store, name="g-2")
        await clock.sleep_ms(5_000.0)
        assert second.state_of("bad") is None
        store.is_unavailable = False
        await clock.sleep_ms(1_000.0)
        assert second.state_of("bad") is PartState.SUSPECTED

    play(scenario)


def test_a_row_that_cannot_be_read_is_reported_and_replaced():
    async def scenario(clock, store):
        store.put(EVIDENCE_TABLE, "model", b"{")
        gateway = Gateway(clock=clock, store=store)
        gateway.crash("i-1@1", ("bad",))
        await clock.sleep_ms(2_000.0)
        assert "part_evidence_unreadable" in gateway.log.getvalue()
        assert stored_parts(store) == {"bad"}

    play(scenario)


def test_a_calm_fleet_calls_the_store_once_for_each_gateway():
    async def scenario(clock, store):
        gateways = [
            Gateway(clock=clock, store=store, name=f"g-{n}", stronger=n)
            for n in range(35)
        ]
        for gateway in gateways:
            gateway.quarantine.note_arrival("model", ("sound",))
        await clock.sleep_ms(60_000.0)
        assert store.calls == 35
        # A crash costs calls of the gateway that saw it and of those that keep it all.
        gateways[20].crash("i-1@1", ("bad",))
        await clock.sleep_ms(5_000.0)
        assert store.calls <= 35 + 2

    play(scenario)
