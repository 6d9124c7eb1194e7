"""Parts of the demonstration, which a user runs first.

The drain part failed beside load: it waited for a certain target to run streams that
had ended before the first look, or that routing had sent elsewhere.
"""

from benchmarks import demo
from carobroute.testing import Fleet, FleetShape


async def test_a_target_that_was_seen_at_work_is_drained(tmp_path):
    shape = FleetShape(entries=3)
    async with Fleet(desk=demo.DESK, directory=tmp_path, shape=shape) as fleet:
        assert await demo.show_drain(fleet)


async def test_a_stream_that_breaks_off_is_resumed_by_the_gateway(tmp_path):
    assert await demo.show_gateway(tmp_path)
