"""Waiting on a condition in tests."""

import asyncio
import inspect
from collections.abc import Callable
from typing import Any

POLL_S = 0.005


async def wait_until(
    condition: Callable[[], Any],
    *,
    what: str = "the condition holds",
    timeout_s: float = 30.0,
) -> Any:
    """Wait until `condition` returns something true, and return it.

    Parameters
    ----------
    condition : callable
        Plain or coroutine function without arguments.
    what : str, default="the condition holds"
        What is waited for, for the error message.
    timeout_s : float, default=30.0
        Longest wait.

    Raises
    ------
    AssertionError
        If the condition did not hold in time.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while True:
        value = condition()
        if inspect.isawaitable(value):
            value = await value
        if value:
            return value
        if loop.time() > end_s:
            raise AssertionError(f"waited {timeout_s:.0f} s in vain until {what}")
        await asyncio.sleep(POLL_S)
