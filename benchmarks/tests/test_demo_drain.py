"""The drain part of the demonstration, which a user runs first.

It failed beside load: it waited for a certain target to run streams that had ended
before the first look, or that routing had sent elsewhere.
"""

from benchmarks import demo
from carobroute.testing import Fleet, FleetShape


async def test_a_target_that_was_seen_at_work_is_drained(tmp_path):
    shape = FleetShape(entries=3)
    async with Fleet(desk=demo.DESK, directory=tmp_path, shape=shape) as fleet:
        assert await demo.show_drain(fleet)
