import os

import pytest

from carobroute.testing import Child, ProcessGroup, wait_until

SERVE = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *a: sys.exit(7))
print("READY address=http://127.0.0.1:1 extra=2", flush=True)
print("trouble", file=sys.stderr, flush=True)
while True:
    time.sleep(0.01)
"""


def is_alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


async def test_ready_line_stop_and_stderr():
    async with ProcessGroup() as group:
        child = await group.start("server", "-c", SERVE)
        assert child.address == "http://127.0.0.1:1"
        assert child.ready["extra"] == "2"
        await wait_until(lambda: child.errors, what="stderr is read")
        assert await child.stop() == 7


async def test_paused_process_is_killed_at_the_end():
    async with ProcessGroup() as group:
        child = await group.start("server", "-c", SERVE)
        child.pause()
        pid = child.pid
    assert not is_alive(pid)


async def test_process_that_ends_before_ready_is_an_error_with_its_stderr():
    child = Child(name="bad", arguments=["-c", "raise SystemExit('no settings')"])
    with pytest.raises(AssertionError, match="no settings"):
        await child.start()


async def test_wait_until_names_what_did_not_come():
    with pytest.raises(AssertionError, match="the moon"):
        await wait_until(lambda: False, what="the moon", timeout_s=0.05)
