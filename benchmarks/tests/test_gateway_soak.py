"""The soak of gateway processes: a short seeded run, and checks that can fail."""

import msgspec
import pytest

from benchmarks._soak_targets import Framings
from benchmarks.gateway_soak import GatewaySoak, PlannedFault, SoakPlan, make_plan, play
from carobroute.testing import GatewayRun

SEED = 5
SECONDS = 12.0
# Planned work beside answers without framing.
UNFRAMED_SEED, UNFRAMED_SECONDS = 58, 8.0
ORDER_TARGETS, MODEL_TARGETS = range(3), range(3, 7)
ALL_UNFRAMED = Framings(by="call", ratio=1.0)
BELIEVE_CONNECTIONS = """
from carobroute.gateway import _event_framing, _stream_ends

async def judge(self, target, framing, *, is_resumable):
    return _stream_ends.EndVerdict.COMPLETE

_stream_ends.StreamEndJudge.judge = judge
"""
BELIEVE_NO_CONNECTION = """
from carobroute.engines import Framing
from carobroute.gateway._stream_ends import EndVerdict, StreamEndJudge

async def judge(self, target, framing, *, is_resumable):
    return EndVerdict.BROKEN if framing is Framing.CONNECTION else EndVerdict.COMPLETE

StreamEndJudge.judge = judge
"""
IGNORE_EVACUATIONS = """
from carobroute.gateway._targets import TargetDirectory
TargetDirectory.set_evacuated = lambda self, data_centres: None
"""
IGNORE_REQUEST_IDS = """
from carobroute.gateway._answer_inspector import AnswerInspector
AnswerInspector.find_defect = lambda self, head, response: ""
"""
CUT_CONNECTIONS = """
import asyncio
import gc
from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._process import GatewayProcess
from carobroute.gateway._shutdown import Shutdown
from carobroute.web._connection import ClientConnection

def cut_connections(*_):
    for one in gc.get_objects():
        if isinstance(one, ClientConnection) and one.transport is not None:
            one.transport.abort()

def cut_after(function, *delays_s):
    def call(self, *args):
        for delay_s in delays_s:
            asyncio.get_running_loop().call_later(delay_s, cut_connections)
        return function(self, *args)

    return call
"""
CUT_IN_STOP = f"""{CUT_CONNECTIONS}
Shutdown.begin = cut_after(Shutdown.begin, 0.2, 0.4, 0.8, 1.2, 1.6)
"""
CUT_AT_HANGUP = f"{CUT_CONNECTIONS}\nGatewayProcess._reload = cut_connections"
CUT_AT_CONFIGURATION = f"""{CUT_CONNECTIONS}
ActiveConfiguration.apply = cut_after(ActiveConfiguration.apply, 0.0)
"""
CUT_KEPT = f"""{CUT_CONNECTIONS}
note_request = ClientConnection.note_request

def note_and_cut(self, *args):
    note_request(self, *args)
    if self.begun_count > 1:
        asyncio.get_running_loop().call_later(0.005, self.transport.abort)

ClientConnection.note_request = note_and_cut
"""
SECOND_SIGNAL_ENDS = """
import os
from carobroute.gateway._process import GatewayProcess

begin_stop = GatewayProcess._begin_stop

def begin_or_end(self):
    if self._context.is_stopping:
        os._exit(0)
    begin_stop(self)

GatewayProcess._begin_stop = begin_or_end
"""
FAIL_IN_STOP = """
import os
from carobroute.gateway._process import GatewayProcess
GatewayProcess._begin_stop = lambda self: os._exit(1)
"""
BREAK_WITHOUT_RETRIES = """
from carobroute.engines import Framing
from carobroute.gateway._retry_budget import RetryBudget
from carobroute.gateway._stream_ends import EndVerdict, StreamEndJudge

has_spare = RetryBudget.has_spare

async def judge(self, target, framing, *, is_resumable):
    return EndVerdict.BROKEN if framing is Framing.CONNECTION else EndVerdict.COMPLETE

def find_spare(self, service, *, reserve_ratio):
    is_spare = has_spare(self, service, reserve_ratio=reserve_ratio)
    if not is_spare:
        StreamEndJudge.judge = judge
    return is_spare

RetryBudget.has_spare = find_spare
"""
CUT_AFTER_SILENCE = f"""{CUT_CONNECTIONS}
note_request = ClientConnection.note_request

def note_and_watch(self, *args):
    note_request(self, *args)
    count = self.begun_count

    def cut():
        if self.begun_count == count and self.is_serving and self.transport is not None:
            self.transport.abort()

    asyncio.get_running_loop().call_later(2.2, cut)

ClientConnection.note_request = note_and_watch
"""
END_IN_ORDER = """
from carobroute.web import _connection
assert len(_connection.RESET_ON_CLOSE) == 8
_connection.RESET_ON_CLOSE = bytes(8)
"""


class Mistake(msgspec.Struct, frozen=True, kw_only=True):
    """A mistake in the gateways, and a run that shows it.

    Parameters
    ----------
    rule : str
        Rule that is broken, with the planned work around which it is, if any.
    code : str
        Code that seeds the mistake.
    kinds : tuple of str
        Kinds of the plan's faults.
    how : str
        Spoiled answer, or kinds of several faults at once.
    which : range
        Targets or gateways that they meet.
    gap_s, for_s : float
        Time from one to the next, and how long they last.
    has_retries : bool
        Whether the retry budget holds any.
    framings : Framings
        Framings of whole answers.
    way : str
        How all callers call; each in its own way if empty.
    """

    rule: str
    code: str
    kinds: tuple[str, ...] = ("answers",)
    how: str = ""
    which: range = range(3)
    gap_s: float = 0.0
    for_s: float = 3.0
    has_retries: bool = True
    framings: Framings = Framings()
    way: str = ""


MISTAKES = {
    "ORDER": Mistake(
        rule="ORDER",
        code=BELIEVE_CONNECTIONS,
        how="cut none before 3 close",
        which=MODEL_TARGETS,
    ),
    "ORDER in HTTP/1.0": Mistake(
        rule="ORDER",
        code=END_IN_ORDER,
        how="cut chunks before 3 reset",
        which=MODEL_TARGETS,
        way="http10",
    ),
    "MIXED": Mistake(rule="MIXED", code=IGNORE_REQUEST_IDS, how="answer repeated"),
    "REFUSED": Mistake(
        rule="REFUSED", code=IGNORE_REQUEST_IDS, how="refusal of another request"
    ),
    "TWICE": Mistake(
        rule="TWICE", code=IGNORE_REQUEST_IDS, how="refusal of another request"
    ),
    "RECOVER": Mistake(
        rule="RECOVER",
        code="from carobroute.gateway import Target\n"
        "Target.is_usable = property(lambda self: False)",
        how="error",
    ),
    "LOST without framing": Mistake(
        rule="LOST around stop",
        code=BELIEVE_NO_CONNECTION,
        kinds=("planned stop",),
        framings=ALL_UNFRAMED,
    ),
    "ENDED": Mistake(
        rule="ENDED", code=FAIL_IN_STOP, kinds=("planned stop",), which=range(1)
    ),
    "LOST without retries": Mistake(
        rule="LOST around stop",
        code=BREAK_WITHOUT_RETRIES,
        kinds=("planned stop",),
        framings=ALL_UNFRAMED,
        has_retries=False,
    ),
    "LOST at a second signal": Mistake(
        rule="LOST around stop",
        code=SECOND_SIGNAL_ENDS,
        kinds=("several",),
        how="planned",
        which=range(6),
        for_s=0.5,
    ),
    "LOST while a target is silent": Mistake(
        rule="LOST around stop",
        code=CUT_AFTER_SILENCE,
        kinds=("target suspend", "planned stop"),
    ),
    "ORDER when a process is killed": Mistake(
        rule="ORDER",
        code=BELIEVE_CONNECTIONS,
        kinds=("target kill",),
        which=range(1, 25, 2),
        gap_s=1.2,
        for_s=0.3,
        framings=ALL_UNFRAMED,
    ),
    "LOST in a stop": Mistake(
        rule="LOST around stop", code=CUT_IN_STOP, kinds=("planned stop",)
    ),
    "LOST at SIGHUP": Mistake(
        rule="LOST around SIGHUP", code=CUT_AT_HANGUP, kinds=("hangup",)
    ),
    "LOST beside configurations": Mistake(
        rule="LOST around configuration",
        code=CUT_AT_CONFIGURATION,
        kinds=("configuration",),
    ),
    "EVAC": Mistake(
        rule="EVAC",
        code=IGNORE_EVACUATIONS,
        kinds=("evacuate",),
        which=range(1),
        for_s=8.0,
    ),
    "LOST on kept connections": Mistake(
        rule="LOST around kept connection", code=CUT_KEPT, kinds=(), way="kept"
    ),
}


async def test_a_short_run_breaks_no_rule():
    result = await play(SEED, SECONDS)
    assert not result.violations, result.summary


# Seed 714 of the soak ended with an exception instead of a verdict.
async def test_a_signal_meets_a_process_that_has_just_ended(tmp_path, monkeypatch):
    def refuse(self, number):
        raise ProcessLookupError

    monkeypatch.setattr(GatewayRun, "is_running", True)
    monkeypatch.setattr(GatewayRun, "signal", refuse)
    soak = GatewaySoak(
        directory=tmp_path,
        seed=SEED,
        plan=SoakPlan(framings=Framings(), faults=[]),
        gateways=1,
    )
    fault = PlannedFault(number=0, at_s=0.0, for_s=0.0, kind="hangup", which=0)
    await soak._play(fault, 0.0)


# Whole answers without framing were cut, also around planned work (issue 50).
async def test_planned_work_loses_no_answer_without_framing():
    result = await play(UNFRAMED_SEED, UNFRAMED_SECONDS)
    assert not result.violations, result.summary


@pytest.mark.parametrize("name", list(MISTAKES))
async def test_the_check_catches_a_seeded_mistake(tmp_path, name):
    mistake = MISTAKES[name]
    faults = [
        PlannedFault(
            number=number,
            at_s=0.5 + mistake.gap_s * number,
            for_s=mistake.for_s,
            kind=kind,
            which=which,
            how=mistake.how,
        )
        for kind in mistake.kinds
        for number, which in enumerate(mistake.which)
    ]
    soak = GatewaySoak(
        directory=tmp_path,
        seed=SEED,
        plan=SoakPlan(
            framings=mistake.framings,
            has_retries=mistake.has_retries,
            faults=faults,
        ),
        mistake=mistake.code,
        recovery_s=0.5,
        way=mistake.way,
    )
    violations = await soak.run()
    rule, _, work = mistake.rule.partition(" ")
    assert any(
        violation.split()[0] == rule and violation.endswith(work)
        for violation in violations
    ), violations[:10]


def test_a_plan_is_drawn_from_its_seed():
    assert make_plan(3, 60.0) == make_plan(3, 60.0)
    assert make_plan(3, 60.0) != make_plan(4, 60.0)


# Seeds that failed are played as they were.
def test_a_plan_keeps_the_faults_that_its_seed_always_had():
    plain = make_plan(3, 60.0, has_further=False)
    assert make_plan(3, 60.0).faults[: len(plain.faults)] == plain.faults
    assert plain.has_retries
