"""What a gateway believes while the store changes, forgets, and goes away."""

import io
import json
import random

import pytest

from carobroute.gateway import (
    ActiveConfiguration,
    GatewayParameters,
    TargetDirectory,
)
from carobroute.gateway._store_watch import ConfigurationWatcher, TargetListPoller
from carobroute.telemetry import EventLog
from carobroute.testing.row_store_data import MemoryRowStore
from carobroute.utils import ManualClock


def _configuration(version):
    route = {
        "name": "r",
        "host": "a.example",
        "pathPrefix": "/x/",
        "kind": "safe",
        "service": "one",
    }
    return json.dumps(
        {"version": version, "routes": [route], "services": [{"name": "one"}]}
    ).encode()


def _entry(**changes):
    fields = {
        "service": "one",
        "address": "10.0.0.1:80",
        "zone": "a",
        "state": "ready",
        "slots": 2,
    }
    return json.dumps({**fields, **changes}).encode()


class Scene:
    """A store, and the watches over it."""

    def __init__(self):
        self.clock = ManualClock(start_ms=100_000)
        self.store = MemoryRowStore(clock=self.clock)
        self.log = io.StringIO()
        self.in_force = ActiveConfiguration(
            clock=self.clock, revoke_ms=5_000.0, margin_ms=400.0
        )
        self.directory = TargetDirectory(
            clock=self.clock, store_outage_ms=1_500.0, lapsed_grace_ms=2_200.0
        )
        self.changes = []
        shared = {
            "store": self.store,
            "parameters": GatewayParameters(),
            "events": EventLog(name="t", stream=self.log, clock=self.clock),
            "clock": self.clock,
            "random": random.Random(1),
        }
        self.configuration = ConfigurationWatcher(
            configuration=self.in_force, wait_ms=1_800.0, **shared
        )
        self.targets = TargetListPoller(
            directory=self.directory,
            on_change=self.changes.append,
            interval_ms=800.0,
            **shared,
        )


@pytest.fixture
def scene():
    return Scene()


async def test_a_change_is_in_force_after_the_watch_that_brings_it(scene):
    scene.store.put("op", "config", _configuration(4))
    await scene.configuration.step()
    assert scene.in_force.table.version == 4
    scene.store.put("op", "config", _configuration(9))
    await scene.configuration.step()
    assert scene.in_force.table.version == 9


async def test_there_is_no_proof_before_the_first_configuration(scene):
    wait_ms = await scene.configuration.step()
    assert wait_ms > 0
    assert not scene.in_force.accepts_keys


async def test_a_watch_without_changes_proves_as_of_when_it_was_sent(scene):
    scene.store.put("op", "config", _configuration(4))
    await scene.configuration.step()
    sent_ms = scene.clock.now_ms()
    await scene.configuration.step()
    waited_ms = scene.clock.now_ms() - sent_ms
    assert waited_ms == GatewayParameters().max_watch_ms
    assert scene.in_force.proof_age_ms == waited_ms


async def test_a_failed_call_proves_nothing(scene):
    scene.store.put("op", "config", _configuration(4))
    await scene.configuration.step()
    scene.store.is_away = True
    for _ in range(10):
        scene.clock.advance_ms(await scene.configuration.step())
        scene.clock.advance_ms(500)
    assert not scene.in_force.accepts_keys
    assert scene.log.getvalue().count("dependency_lost") == 1
    scene.store.is_away = False
    await scene.configuration.step()
    assert scene.in_force.accepts_keys
    assert "dependency_found" in scene.log.getvalue()


async def test_after_a_failure_the_proof_does_not_wait_for_a_watch(scene):
    scene.store.put("op", "config", _configuration(4))
    await scene.configuration.step()
    scene.store.is_away = True
    await scene.configuration.step()
    scene.store.is_away = False
    scene.clock.advance_ms(2_000)
    await scene.configuration.step()
    assert scene.in_force.proof_age_ms == 0


async def test_a_watch_whose_history_is_gone_reads_the_row_again(scene):
    scene.store.put("op", "config", _configuration(4))
    await scene.configuration.step()
    scene.store.put("op", "config", _configuration(5))
    scene.store.history_from = scene.store.version
    assert await scene.configuration.step() == 0
    await scene.configuration.step()
    assert scene.in_force.table.version == 5


async def test_an_unreadable_configuration_leaves_the_old_one_unproved(scene):
    scene.store.put("op", "config", _configuration(4))
    await scene.configuration.step()
    scene.clock.advance_ms(1_000)
    scene.store.put("op", "config", b"{")
    await scene.configuration.step()
    assert scene.in_force.table.version == 4
    assert scene.in_force.proof_age_ms == 1_000


async def test_entries_of_other_writers_harm_no_target(scene):
    scene.store.put("servers", "i-1", _entry())
    scene.store.put("servers", "i-2", b"\xff\xfe")
    scene.store.put("servers", "i-3", _entry(state=None))
    for _ in range(3):
        await scene.targets.step()
    assert [target.incarnation for target in scene.directory.all_targets()] == ["i-1"]
    assert scene.log.getvalue().count("target_entry_unreadable") == 2


async def test_a_removed_entry_is_told_once(scene):
    scene.store.put("servers", "i-1", _entry())
    await scene.targets.step()
    scene.store.remove("servers", "i-1")
    for _ in range(3):
        scene.clock.advance_ms(700)
        await scene.targets.step()
    assert [change.gone for change in scene.changes] == [[], ["i-1"], [], []]
