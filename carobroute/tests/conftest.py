"""Fleets of real processes behind the fault proxy, one for each test file."""

from pathlib import Path

import pytest

from carobroute.testing import FaultyFleet, FleetShape, Witness

EXAMPLES = Path(__file__).parents[2] / "examples"
QUICK_LINKS = {
    "ping_busy_ms": 200,
    "ping_idle_ms": 500,
    "silence_ms": 800,
    "reopen_ms": 20,
    "reopen_most_ms": 500,
}


def make_fleet(directory, *, desk="klangbjallra", seed=1, **shape):
    defaults = {
        "entries": 2,
        "models": 2,
        "plains": 2,
        "engine_options": ["--step-ms", "20"],
        "settings": {"links": QUICK_LINKS, "platform": {"timeout_ms": 1_000}},
        "seed": seed,
    }
    return FaultyFleet(
        desk=EXAMPLES / desk,
        directory=directory,
        shape=FleetShape(**{**defaults, **shape}),
        seed=seed,
    )


@pytest.fixture
async def fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        yield fleet


@pytest.fixture
async def witness(fleet):
    """A witness whose whole history must be without a broken promise."""
    witness = Witness(fleet=fleet)
    yield witness
    fleet.heal()
    assert await witness.violations() == []
