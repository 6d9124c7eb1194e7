"""Configuration and targets of a gateway while the store changes or is unavailable."""

import pytest

from carobroute.gateway import (
    GatewayParameters,
)
from carobroute.testing.shared_reads_data import (
    StoreScenario,
    encode_configuration,
    encode_entry,
)


@pytest.fixture
def scenario():
    return StoreScenario()


async def test_a_change_is_active_after_the_watch_that_returns_it(scenario):
    scenario.store.put("op", "config", encode_configuration(4))
    await scenario.watcher.poll_once()
    assert scenario.active.table.version == 4
    scenario.store.put("op", "config", encode_configuration(9))
    await scenario.watcher.poll_once()
    assert scenario.active.table.version == 9


async def test_keys_are_not_accepted_before_the_first_configuration(scenario):
    began_ms = scenario.clock.now_ms()
    for _ in range(2):
        assert await scenario.watcher.poll_once() == 0
        assert not scenario.active.accepts_keys
    # The store is not asked again and again: the second call waits for a change.
    assert scenario.clock.now_ms() - began_ms >= 1_000


async def test_a_first_configuration_is_active_as_soon_as_it_is_written(scenario):
    await scenario.watcher.poll_once()
    scenario.store.put("op", "config", encode_configuration(4))
    await scenario.watcher.poll_once()
    assert scenario.active.table.version == 4


async def test_a_watch_without_changes_gives_a_proof_as_old_as_its_start(scenario):
    scenario.store.put("op", "config", encode_configuration(4))
    await scenario.watcher.poll_once()
    sent_ms = scenario.clock.now_ms()
    await scenario.watcher.poll_once()
    waited_ms = scenario.clock.now_ms() - sent_ms
    assert waited_ms == GatewayParameters().max_watch_ms
    assert scenario.active.proof_age_ms == waited_ms


async def test_failed_calls_do_not_renew_the_proof_and_are_logged_once(scenario):
    scenario.store.put("op", "config", encode_configuration(4))
    await scenario.watcher.poll_once()
    scenario.store.is_unavailable = True
    for _ in range(10):
        scenario.clock.advance_ms(await scenario.watcher.poll_once())
        scenario.clock.advance_ms(500)
    assert not scenario.active.accepts_keys
    assert scenario.log.getvalue().count("dependency_lost") == 1
    scenario.store.is_unavailable = False
    await scenario.watcher.poll_once()
    assert scenario.active.accepts_keys
    assert "dependency_found" in scenario.log.getvalue()


async def test_the_first_call_after_a_failure_renews_the_proof_at_once(scenario):
    scenario.store.put("op", "config", encode_configuration(4))
    await scenario.watcher.poll_once()
    scenario.store.is_unavailable = True
    await scenario.watcher.poll_once()
    scenario.store.is_unavailable = False
    scenario.clock.advance_ms(2_000)
    await scenario.watcher.poll_once()
    assert scenario.active.proof_age_ms == 0


async def test_the_row_is_read_again_if_the_store_has_dropped_the_watched_history(
    scenario,
):
    scenario.store.put("op", "config", encode_configuration(4))
    await scenario.watcher.poll_once()
    scenario.store.put("op", "config", encode_configuration(5))
    scenario.store.history_from = scenario.store.version
    assert await scenario.watcher.poll_once() == 0
    await scenario.watcher.poll_once()
    assert scenario.active.table.version == 5


async def test_an_unreadable_configuration_does_not_renew_the_proof_of_the_old_one(
    scenario,
):
    scenario.store.put("op", "config", encode_configuration(4))
    await scenario.watcher.poll_once()
    scenario.clock.advance_ms(1_000)
    scenario.store.put("op", "config", b"{")
    await scenario.watcher.poll_once()
    assert scenario.active.table.version == 4
    assert scenario.active.proof_age_ms == 1_000


async def test_unreadable_entries_are_logged_once_and_affect_no_other_target(scenario):
    scenario.store.put("servers", "i-1", encode_entry())
    scenario.store.put("servers", "i-2", b"\xff\xfe")
    scenario.store.put("servers", "i-3", encode_entry(state=None))
    for _ in range(3):
        await scenario.poller.poll_once()
    assert [target.incarnation for target in scenario.directory.all_targets()] == [
        "i-1"
    ]
    assert scenario.log.getvalue().count("target_entry_unreadable") == 2


async def test_the_removal_of_an_entry_is_reported_once(scenario):
    scenario.store.put("servers", "i-1", encode_entry())
    await scenario.poller.poll_once()
    scenario.store.remove("servers", "i-1")
    for _ in range(3):
        scenario.clock.advance_ms(700)
        await scenario.poller.poll_once()
    assert [change.gone for change in scenario.changes] == [[], ["i-1"], [], []]
