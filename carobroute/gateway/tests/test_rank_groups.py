"""What a gateway knows of the ranks of a group."""

import io

import pytest
from returns.result import Success

from carobroute.errors import ErrorKind, fail
from carobroute.gateway._rank_groups import TargetRank
from carobroute.telemetry import EventLog
from carobroute.utils import ManualClock


class SilentClient:
    """Client of ranks that do not answer, or all answer with a number."""

    def __init__(self, answer):
        self._answer = answer

    async def report(self, transport):
        return self._answer

    counts = held = report


class NoPool:
    """Hands out no connections."""

    async def transport(self, target):
        return None


class NamedTarget:
    """A target of which only the name matters."""

    name = "i-1~1"


@pytest.mark.parametrize("read", ["report", "counts", "held"])
@pytest.mark.parametrize(
    ("answer", "known", "logged"),
    [
        (Success(7), 7, False),
        (fail(ErrorKind.TARGET_FAILED, "reset by peer"), None, True),
    ],
)
async def test_a_rank_that_does_not_answer_is_logged(read, answer, known, logged):
    lines = io.StringIO()
    rank = TargetRank(
        target=NamedTarget(),
        pool=NoPool(),
        client=SilentClient(answer),
        events=EventLog(name="a", stream=lines, clock=ManualClock()),
    )
    assert await getattr(rank, read)() == known
    assert ("rank_not_known" in lines.getvalue()) is logged
    assert ("reset by peer" in lines.getvalue()) is logged
