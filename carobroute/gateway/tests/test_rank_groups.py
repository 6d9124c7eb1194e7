"""Requests of a gateway to ranks that do not answer."""

import io

import pytest
from returns.result import Success

from carobroute.errors import ErrorKind, fail
from carobroute.gateway._rank_groups import TargetRank
from carobroute.telemetry import EventLog
from carobroute.testing.gateway_data import make_rank_report
from carobroute.utils import ManualClock


class RankClientStub:
    """Client that returns the same answer or fault for every request."""

    def __init__(self, answer):
        self._answer = answer

    async def read_report(self, transport):
        return self._answer

    read_counts = read_held_experts = read_report


class EmptyPool:
    """Pool without connections."""

    async def own_transport(self, target):
        return None


class TargetStub:
    """Target with an incarnation, which keeps the slowdowns that it is told."""

    incarnation = "i-1~1"

    def __init__(self):
        self.slowdowns = []

    def note_slowdown(self, slowdown):
        self.slowdowns.append(slowdown)


REPORT = make_rank_report(slowdown=3.0)


@pytest.mark.parametrize("read", ["read_report", "read_counts", "read_held_experts"])
@pytest.mark.parametrize(
    ("answer", "expected", "is_logged"),
    [
        (Success(REPORT), REPORT, False),
        (fail(ErrorKind.TARGET_FAILED, "reset by peer"), None, True),
    ],
)
async def test_a_rank_without_an_answer_gives_none_and_is_logged(
    read, answer, expected, is_logged
):
    lines = io.StringIO()
    target = TargetStub()
    rank = TargetRank(
        target=target,
        pool=EmptyPool(),
        client=RankClientStub(answer),
        events=EventLog(name="a", stream=lines, clock=ManualClock()),
    )
    assert await getattr(rank, read)() == expected
    assert ("rank_not_known" in lines.getvalue()) is is_logged
    assert ("reset by peer" in lines.getvalue()) is is_logged
    is_noted = expected is not None and read == "read_report"
    assert target.slowdowns == ([3.0] if is_noted else [])
