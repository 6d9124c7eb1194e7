"""What a test leaves open fails that test."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
TESTS = """
import asyncio
import gc

import pytest


class OpenStream:
    # Its end is scheduled on its loop, which refuses that once it is closed. Whether
    # a stream of the standard library does so depends on the version.
    def __init__(self):
        self._loop = asyncio.get_running_loop()
        # Nothing but the collector frees it.
        self._cycle = self

    def __del__(self):
        self._loop.call_soon(print)


async def leave_open():
    OpenStream()


async def test_before():
    pass


async def test_leaves_a_stream_open():
    await leave_open()


async def test_between():
    gc.collect()


@pytest.fixture
def stream_of_an_earlier_loop():
    with asyncio.Runner() as runner:
        runner.run(leave_open())


def test_collects_it_itself(stream_of_an_earlier_loop):
    gc.collect()


def test_after():
    gc.collect()
"""


# Guards against a failure of another test, that parses code as the collector runs.
@pytest.mark.parametrize("options", [[], ["-n", "1"]], ids=["alone", "beside"])
def test_a_stream_left_open_fails_the_test_that_left_it(tmp_path, options):
    (tmp_path / "test_streams.py").write_text(TESTS)
    configuration = ["-c", str(ROOT / "pyproject.toml"), "-p", "conftest"]
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-rA", *configuration, *options, tmp_path],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=100,
    )
    outcomes = {
        tuple(line.split(" - ")[0].split("test_streams.py::"))
        for line in run.stdout.splitlines()
        if line.startswith(("PASSED", "FAILED", "ERROR"))
    }
    assert {(kind.split()[0], name) for kind, name in outcomes} == {
        ("PASSED", "test_before"),
        ("PASSED", "test_leaves_a_stream_open"),
        ("ERROR", "test_leaves_a_stream_open"),
        ("PASSED", "test_between"),
        ("FAILED", "test_collects_it_itself"),
        ("PASSED", "test_after"),
    }, run.stdout + run.stderr
