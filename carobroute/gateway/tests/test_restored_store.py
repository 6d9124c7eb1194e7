"""A store that comes back from an older copy, at the parts of a gateway that use it.

Versions of its rows go back and are given out again, and what was written after the
copy is gone until it is written again.
"""

import pytest

from carobroute.testing.shared_reads_data import StoreScenario, encode_configuration

PROOF_MS = 4_600.0


@pytest.fixture
def scenario():
    return StoreScenario()


def configure(scenario, version):
    scenario.store.put("op", "config", encode_configuration(version))


async def poll_for(scenario, duration_ms):
    """Watch the configuration for a time."""
    end_ms = scenario.clock.now_ms() + duration_ms
    while scenario.clock.now_ms() < end_ms:
        scenario.clock.advance_ms(await scenario.watcher.poll_once() + 1)


# Guards against a watch that goes on from a version of the store's past.
async def test_a_watch_misses_no_change_when_versions_are_given_out_again(scenario):
    configure(scenario, 4)
    copy = scenario.store.copy()
    for _ in range(5):
        scenario.store.put("other", "row", b"")
    await scenario.watcher.poll_once()
    scenario.store.restore(copy)
    configure(scenario, 9)
    for _ in range(5):
        scenario.store.put("other", "row", b"")
    for _ in range(2):
        await scenario.watcher.poll_once()
    assert scenario.active.version == 9
