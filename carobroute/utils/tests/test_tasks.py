"""Tasks that the process can't do without run again after an exception."""

import random

import pytest

from carobroute.testing import wait_until
from carobroute.utils import Backoff, Clock, TaskSet


def make_backoff():
    return Backoff(random=random.Random(1), min_ms=1.0, max_ms=2.0)


async def test_a_task_runs_again_after_each_failure_until_it_returns():
    """A task that ended by an exception was logged and not started again."""
    failures, runs = [], []
    tasks = TaskSet(on_failure=lambda name, error: failures.append((name, str(error))))

    async def run():
        runs.append(len(runs))
        if len(runs) < 4:
            raise RecursionError(f"run {len(runs)}")

    task = tasks.keep_running(run, name="watch", backoff=make_backoff(), clock=Clock())
    # A task that has ended leaves the set in the next turn of the event loop.
    await wait_until(lambda: len(tasks) == 0, what="the task has ended and left")
    assert task.done()
    assert len(runs) == 4
    assert failures == [("watch", f"run {number}") for number in (1, 2, 3)]


@pytest.mark.parametrize("fails", [False, True])
async def test_a_task_that_is_closed_does_not_run_again(fails):
    runs = []
    tasks = TaskSet(on_failure=lambda name, error: None)

    async def run():
        runs.append(len(runs))
        if fails:
            raise ValueError("again")
        await Clock().sleep_ms(60_000.0)

    tasks.keep_running(run, name="watch", backoff=make_backoff(), clock=Clock())
    await wait_until(lambda: runs)
    await tasks.close()
    assert len(tasks) == 0
