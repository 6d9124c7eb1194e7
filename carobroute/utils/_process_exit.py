"""The end of a process whose work is done."""

import contextlib
import os
import sys
from typing import NoReturn


def exit_process(status: int) -> NoReturn:
    """End the process at once, without the teardown of the interpreter.

    The teardown takes processor time that a process may not have left before it is
    killed, if it shares its core with others. Exit handlers don't run.

    Parameters
    ----------
    status : int
        Exit status.
    """
    for stream in (sys.stdout, sys.stderr):
        # Whoever reads them may have gone.
        with contextlib.suppress(OSError, ValueError):
            stream.flush()
    os._exit(status)
