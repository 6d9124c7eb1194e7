"""Waiting on a condition in tests."""

import asyncio
from collections.abc import Callable

POLL_S = 0.005


async def wait_until(condition: Callable[[], object], *, timeout_s: float = 20.0):
    """Return once `condition()` is true; raise TimeoutError if it never is."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
