import pytest

from carobroute.errors import ErrorKind
from carobroute.links import End
from carobroute.local import LocalParameters, LocalProcess
from carobroute.requests import BlameMessage, BlameRecord, Quarantine
from carobroute.telemetry import EventLog
from carobroute.testing import FakeEndpoint, FakePeer, make_submit, wait_until
from carobroute.tickets import Configuration
from carobroute.utils import ManualClock

SUSPECT = "poison"


class FakeRunner:
    """Notes the calls that it is asked to run."""

    running = 0
    queued = 0

    def __init__(self):
        self.asked = []

    async def run(self, submit, answer):
        self.asked.append(submit)
        answer.close()


@pytest.fixture
def quarantine():
    return Quarantine(clock=ManualClock())


@pytest.fixture
def runner():
    return FakeRunner()


@pytest.fixture
def process(quarantine, runner):
    submit = make_submit()
    return LocalProcess(
        parameters=LocalParameters(target=submit.target, service=submit.service),
        endpoint=FakeEndpoint(),
        engine=None,
        runner=runner,
        quarantine=quarantine,
        configuration=Configuration,
        wait_until_in_force=None,
        clock=ManualClock(),
        events=EventLog(name="local", level="error"),
    )


def blame(crash, *, alone=False):
    return BlameMessage(
        entries=[BlameRecord(fingerprint=SUSPECT, crash=crash, alone=alone)]
    )


def suspicious_submit():
    submit = make_submit()
    submit.suspect_id = SUSPECT
    submit.incarnation = ""
    return submit


async def test_request_that_crashed_two_targets_is_refused_here_too(
    process, quarantine, runner
):
    """An entry that has not heard of the blame yet sent it to a third target."""
    quarantine.merge(blame("a"))
    quarantine.merge(blame("b", alone=True))
    peer = FakePeer()
    process._on_submit(peer, suspicious_submit())
    assert [e.fault.kind for e in peer.of_kind(End)] == [ErrorKind.QUARANTINED]
    assert runner.asked == []


async def test_suspect_runs_alone_though_the_entry_did_not_ask(
    process, quarantine, runner
):
    quarantine.merge(blame("a"))
    process._on_submit(FakePeer(), suspicious_submit())
    await wait_until(lambda: runner.asked)
    assert [submit.alone for submit in runner.asked] == [True]
