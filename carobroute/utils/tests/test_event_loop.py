import subprocess
import sys

SCRIPT = """
import os
from carobroute.utils import run_event_loop

async def main():
    names = []
    for number in os.listdir("/proc/self/fd"):
        try:
            names.append(os.readlink(f"/proc/self/fd/{number}"))
        except OSError:
            pass  # the descriptor that listed the directory
    print(sorted(names))

run_event_loop(main())
"""


def test_event_loop_opens_no_ring():
    """uvloop set up an io_uring ring in every process, whatever its environment."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
    )
    assert "eventpoll" in done.stdout
    assert "io_uring" not in done.stdout
