"""The soak of gateway processes: a short seeded run, and checks that can fail."""

import pytest

from benchmarks.gateway_soak import GatewaySoak, PlannedFault, make_plan, play

SEED = 5
SECONDS = 12.0
BELIEVE_CONNECTIONS = """
from carobroute.gateway import _event_framing, _stream_ends

async def judge(self, target, framing, *, is_resumable):
    return _stream_ends.EndVerdict.COMPLETE

_stream_ends.StreamEndJudge.judge = judge
"""
IGNORE_REQUEST_IDS = """
from carobroute.gateway._answer_inspector import AnswerInspector
AnswerInspector.find_defect = lambda self, head, response: ""
"""
# A rule, the answers that it is about, and a mistake in the gateways.
MISTAKES = {
    "ORDER": ("cut none before 3 close", "model", BELIEVE_CONNECTIONS),
    "MIXED": ("answer repeated", "orders", IGNORE_REQUEST_IDS),
    "REFUSED": ("refusal of another request", "orders", IGNORE_REQUEST_IDS),
    "TWICE": ("refusal of another request", "orders", IGNORE_REQUEST_IDS),
    "RECOVER": (
        "error",
        "orders",
        "from carobroute.gateway import Target\n"
        "Target.is_usable = property(lambda self: False)",
    ),
}


async def test_a_short_run_breaks_no_rule():
    violations, summary = await play(SEED, SECONDS)
    assert not violations, summary


@pytest.mark.parametrize("rule", list(MISTAKES))
async def test_the_check_catches_a_seeded_mistake(tmp_path, rule):
    how, service, mistake = MISTAKES[rule]
    which = range(3) if service == "orders" else range(3, 7)
    plan = [
        PlannedFault(
            number=number, at_s=0.5, for_s=3.0, kind="answers", which=target, how=how
        )
        for number, target in enumerate(which)
    ]
    soak = GatewaySoak(
        directory=tmp_path, seed=SEED, plan=plan, mistake=mistake, recovery_s=0.5
    )
    violations = await soak.run()
    assert rule in {violation.split()[0] for violation in violations}


def test_a_plan_is_drawn_from_its_seed():
    assert make_plan(3, 60.0) == make_plan(3, 60.0)
    assert make_plan(3, 60.0) != make_plan(4, 60.0)
