"""A pipe that takes nothing more, as one that nobody reads."""

import contextlib
import os
from collections.abc import Iterator

FIRST_SIZE = 65_536


@contextlib.contextmanager
def open_full_pipe() -> Iterator[int]:
    """Open a pipe, fill it, and give its writing end, which blocks."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    size = FIRST_SIZE
    while size:
        try:
            os.write(writer, b"x" * size)
        except BlockingIOError:
            size //= 2
    os.set_blocking(writer, True)
    try:
        yield writer
    finally:
        os.close(reader)
        os.close(writer)
