"""Prompt parts that crash each target that begins an answer on them.

No two calls with such a part are alike, and they come at any gateway. Without a common
view of the part, every gateway loses targets to it, and a group of ranks stands still
after each crash; with a hasty one, sound calls that share its other parts are refused.
"""

import asyncio
import random

import pytest

from carobroute.gateway._part_evidence import PartEvidence
from carobroute.gateway._prompt_quarantine import PromptQuarantine
from carobroute.testing.poison_part_data import PartCall, PoisonedFleet
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import ManualClock

DIGEST_MS = 400.0
CONTACT_MS = 3_000.0
# Bounds of the users: calls with a bad part that reach targets later than the contact
# time after the fifth crash, and first attempts of sound calls that begin, against
# those before.
MAX_LATE_CALLS = 3
MIN_BEGUN_RATIO = 0.95
BOUND_CRASHES = 5
POISON_FROM_MS = 4_000.0
DURATION_MS = 30_000.0
CALLS_PER_S = 60.0
WARM_UP_MS = 1_000.0

GATEWAYS = [5, 35]
# Targets, and how many of them form a group.
TARGETS = [(12, 1), (24, 12), (63, 63), (129, 129)]
COMMON, RARE = 0.2, 0.005


def is_poisoned(parts):
    return any(part.startswith("bad") for part in parts)


def sound_parts(rng):
    return [rng.choice(["f0", "f0", "f1", "f2"]), f"s{rng.randrange(40)}"]


class Traffic:
    """Parts of calls, from some time on with a bad part in some of them."""

    def __init__(self, share, *, depth=1, bad=("bad",)):
        self._share = share
        self._depth = depth
        self._bad = bad

    def __call__(self, rng, now_ms):
        parts = sound_parts(rng)
        parts += [f"u{rng.randrange(10**9)}" for _ in range(self._depth - 1)]
        if now_ms > POISON_FROM_MS and rng.random() < self._share:
            parts.insert(self._depth, rng.choice(self._bad))
        return tuple(parts)


def play(
    make_parts,
    *,
    gateways=5,
    targets=(63, 63),
    seed=1,
    duration_ms=DURATION_MS,
    is_bad=is_poisoned,
    disturb=None,
    passes_digest=None,
):
    """Play a fleet in virtual time, and return it."""
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    fleets = []

    async def main():
        count, group_size = targets
        fleet = PoisonedFleet(
            clock=clock,
            random=random.Random(seed),
            gateways=gateways,
            targets=count,
            group_size=group_size,
            digest_ms=DIGEST_MS,
            is_bad=is_bad,
            passes_digest=passes_digest,
        )
        fleets.append(fleet)
        tasks = [asyncio.create_task(disturb(fleet))] if disturb else []
        await fleet.run(duration_ms, CALLS_PER_S, make_parts)
        for task in tasks:
            task.cancel()

    run_virtual(main(), loop)
    return fleets[0]


def find_bound_ms(fleet, contacts):
    crashes_ms = fleet.crash_times_ms
    last_ms = crashes_ms[min(BOUND_CRASHES, len(crashes_ms)) - 1]
    return last_ms + contacts * CONTACT_MS


def count_late_calls(fleet, out_of_touch=()):
    if len(fleet.crash_times_ms) < BOUND_CRASHES:
        return 0
    bound_ms = find_bound_ms(fleet, 1)
    return sum(
        sent_ms > bound_ms
        for call in fleet.calls
        if is_poisoned(call.parts) and call.gateway not in out_of_touch
        for sent_ms in call.sent_ms
    )


def begun_share(calls: list[PartCall]) -> float:
    return sum(call.has_begun for call in calls) / len(calls)


def check_bounds(fleet, out_of_touch=()):
    assert fleet.crash_times_ms, "no crash: the scenario has no bad part"
    assert count_late_calls(fleet, out_of_touch) <= MAX_LATE_CALLS
    sound = [
        call
        for call in fleet.calls
        if not is_poisoned(call.parts) and call.gateway not in out_of_touch
    ]
    before = [c for c in sound if WARM_UP_MS < c.at_ms < POISON_FROM_MS]
    bound_ms = find_bound_ms(fleet, 2)
    after = [c for c in sound if c.at_ms > bound_ms and not c.is_unlucky]
    assert begun_share(after) >= MIN_BEGUN_RATIO * begun_share(before)
    assert not any(call.is_refused for call in after)


@pytest.mark.parametrize("share", [COMMON, RARE], ids=["common", "rare"])
@pytest.mark.parametrize("targets", TARGETS, ids=["plain", "12", "63", "129"])
@pytest.mark.parametrize("gateways", GATEWAYS)
def test_a_bad_part_at_second_place_is_refused_and_nothing_else(
    gateways, targets, share
):
    fleet = play(
        Traffic(share), gateways=gateways, targets=targets, duration_ms=60_000.0
    )
    check_bounds(fleet)
    assert not any(c.is_refused for c in fleet.calls if not is_poisoned(c.parts))


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_a_bad_part_among_parts_that_no_other_call_has_is_found(gateways):
    fleet = play(Traffic(COMMON, depth=12), gateways=gateways)
    check_bounds(fleet)


@pytest.mark.parametrize("targets", TARGETS, ids=["plain", "12", "63", "129"])
def test_two_bad_parts_at_once_are_both_refused(targets):
    fleet = play(
        Traffic(COMMON, bad=("bad-1", "bad-2")),
        targets=targets,
        duration_ms=60_000.0,
    )
    check_bounds(fleet)
    assert {part for call in fleet.calls if call.is_refused for part in call.parts} >= {
        "bad-1",
        "bad-2",
    }


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_a_neighbour_of_a_bad_part_is_served_once_it_comes_without_it(gateways):
    alone_from_ms = 20_000.0

    def make_parts(rng, now_ms):
        parts = sound_parts(rng)
        if now_ms > POISON_FROM_MS and rng.random() < COMMON:
            parts[1:1] = ["neighbour", "bad"]
        elif now_ms > alone_from_ms and rng.random() < COMMON:
            parts.insert(1, "neighbour")
        return tuple(parts)

    fleet = play(make_parts, gateways=gateways)
    check_bounds(fleet)
    alone = [c for c in fleet.calls if "neighbour" in c.parts and "bad" not in c.parts]
    assert alone
    assert not any(call.is_refused for call in alone)


def check_no_refusal_in_waves(targets, seed):
    async def crash_in_waves(fleet):
        rng = random.Random(seed)
        # The first wave hits gateways to which every part is new.
        for wait_ms in (300.0, 6_500.0, 400.0, 7_000.0, 5_500.0):
            await fleet.clock.sleep_ms(wait_ms)
            count = max(1, round(0.15 * len(fleet.targets)))
            for target in rng.sample(fleet.targets, count):
                fleet.crash(target)

    fleet = play(
        lambda rng, now_ms: (*sound_parts(rng), f"u{rng.randrange(500)}"),
        targets=targets,
        seed=seed,
        disturb=crash_in_waves,
    )
    assert not any(call.is_refused for call in fleet.calls)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("targets", TARGETS, ids=["plain", "12", "63", "129"])
def test_no_part_is_refused_when_targets_crash_without_a_bad_one(targets, seed):
    """Waves of crashes interrupt calls with parts that are new or shared."""
    check_no_refusal_in_waves(targets, seed)


def test_a_gateway_that_is_cut_off_loses_few_targets_and_learns_later():
    """It knows only the crashes of its own calls until its peers reach it again."""

    async def cut_off(fleet):
        fleet.gateways[0].is_cut_off = True
        await fleet.clock.sleep_ms(15_000.0)
        fleet.gateways[0].is_cut_off = False

    fleet = play(Traffic(COMMON), targets=(12, 1), disturb=cut_off)
    check_bounds(fleet, out_of_touch=("g-0",))
    sent = [
        sent_ms
        for call in fleet.calls
        if is_poisoned(call.parts) and call.gateway == "g-0"
        for sent_ms in call.sent_ms
    ]
    assert len(sent) <= BOUND_CRASHES + MAX_LATE_CALLS


def test_a_gateway_that_was_frozen_does_not_try_a_part_that_peers_refuse():
    """It wakes with old evidence, and hears of the rest with the next digest."""

    async def freeze(fleet):
        await fleet.clock.sleep_ms(POISON_FROM_MS + 250.0)
        fleet.gateways[0].frozen_until_ms = fleet.clock.now_ms() + 8_000.0

    fleet = play(Traffic(COMMON), targets=(12, 1), disturb=freeze)
    check_bounds(fleet)


def test_a_restarted_gateway_learns_the_part_before_it_serves():
    async def restart(fleet):
        await fleet.clock.sleep_ms(15_000.0)
        fleet.restart(0)

    fleet = play(Traffic(COMMON), targets=(12, 1), disturb=restart)
    check_bounds(fleet)
    restarted = [
        call
        for call in fleet.calls
        if call.gateway == "g-0-restarted" and is_poisoned(call.parts)
    ]
    assert restarted
    assert not any(call.sent_ms for call in restarted)


@pytest.mark.parametrize("targets", TARGETS, ids=["plain", "12", "63", "129"])
def test_a_bad_part_stays_refused_when_all_gateways_restart(targets):
    """Guards against evidence that is lost with the memory of the last gateway."""

    async def restart_all(fleet):
        await fleet.clock.sleep_ms(15_000.0)
        for index in range(len(fleet.gateways)):
            fleet.restart(index)

    fleet = play(Traffic(COMMON), targets=targets, disturb=restart_all)
    check_bounds(fleet)
    restarted = [
        call
        for call in fleet.calls
        if call.gateway.endswith("-restarted") and is_poisoned(call.parts)
    ]
    assert restarted
    assert not any(call.sent_ms for call in restarted)


@pytest.mark.parametrize("targets", TARGETS, ids=["plain", "12", "63", "129"])
def test_a_bad_part_is_found_although_all_gateways_restart_after_each_crash(targets):
    """Guards against evidence that is lost before it suffices to refuse a part."""

    async def restart_all_often(fleet):
        await fleet.clock.sleep_ms(POISON_FROM_MS + 2_500.0)
        for _ in range(4):
            for index in range(len(fleet.gateways)):
                fleet.restart(index)
            await fleet.clock.sleep_ms(5_500.0)

    fleet = play(
        Traffic(COMMON),
        targets=targets,
        disturb=restart_all_often,
        duration_ms=40_000.0,
    )
    check_bounds(fleet)


def test_sound_calls_that_share_all_parts_but_one_are_served():
    """The caller, the first part and all other parts are those of the bad calls."""

    def make_parts(rng, now_ms):
        parts = ["f0", "shared-1", "shared-2", "shared-3"]
        if now_ms > POISON_FROM_MS and rng.random() < COMMON:
            parts.insert(3, "bad")
        return tuple(parts)

    for targets in TARGETS:
        fleet = play(make_parts, targets=targets)
        check_bounds(fleet)


def test_a_refused_part_that_no_longer_crashes_is_served_after_a_trial():
    mended_ms = 20_000.0
    fleets = []

    async def remember(fleet):
        fleets.append(fleet)

    def is_bad(parts):
        return is_poisoned(parts) and fleets[0].clock.now_ms() < mended_ms

    fleet = play(
        Traffic(COMMON),
        targets=(12, 1),
        duration_ms=90_000.0,
        is_bad=is_bad,
        disturb=remember,
    )
    late = [c for c in fleet.calls if c.at_ms > 75_000.0 and is_poisoned(c.parts)]
    assert begun_share(late) == 1.0


# Seeded mistakes: with each of them, some check above fails.


class FirstPartBlamed(PartEvidence):
    """Holds the first part of each call for the cause of a crash."""

    __slots__ = ()

    def note_crash(self, name, parts, tried=(), reporter=""):
        super().note_crash(name, list(parts)[:1], tried, reporter)


class BegunDoesNotClear(PartEvidence):
    """Clears no part when an answer begins on it."""

    __slots__ = ()

    def note_begun(self, parts):
        return False


def is_caught(monkeypatch, mistake):
    monkeypatch.setattr("carobroute.gateway._prompt_quarantine.PartEvidence", mistake)
    try:
        for targets in TARGETS:
            check_bounds(play(Traffic(COMMON), targets=targets))
            check_no_refusal_in_waves(targets, seed=0)
    except AssertionError:
        return True
    return False


@pytest.mark.parametrize("mistake", [FirstPartBlamed, BegunDoesNotClear])
def test_a_seeded_mistake_is_caught(monkeypatch, mistake):
    assert not is_caught(monkeypatch, PartEvidence)
    assert is_caught(monkeypatch, mistake)


def test_reports_that_are_not_passed_on_are_caught():
    fleet = play(
        Traffic(COMMON),
        gateways=35,
        targets=(129, 1),
        passes_digest=lambda sender, receiver: False,
    )
    assert count_late_calls(fleet) > MAX_LATE_CALLS


def test_memory_is_bounded_when_every_call_brings_new_parts():
    clock = VirtualClock(loop=VirtualLoop())
    quarantine = PromptQuarantine(
        clock=clock, name="g", peer_trials=lambda part: {}, on_change=lambda: None
    )
    for number in range(20_000):
        parts = tuple(f"u{number}-{n}" for n in range(4))
        quarantine.note_arrival("model", parts)
        quarantine.note_begun("model", parts)
        quarantine.note_interrupted("model", f"i-{number}@1", parts)
        quarantine.note_target_lost(f"i-{number}@1")
    evidence = quarantine._of("model")
    assert len(evidence._histories) <= 4_096
    assert len(evidence._crashes) <= 32
    reports, _ = quarantine.make_reports()
    assert sum(len(crash.parts) for crash in reports["model"].crashes) <= 400


def test_interruptions_at_a_target_that_never_crashes_are_forgotten():
    clock = ManualClock()
    quarantine = PromptQuarantine(
        clock=clock, name="g", peer_trials=lambda part: {}, on_change=lambda: None
    )
    for _ in range(1_000):
        clock.advance_ms(100.0)
        quarantine.note_interrupted("model", "i-1@1", ("part",))
    assert len(quarantine._interruptions["i-1@1"]) <= 80


def test_a_restarted_gateway_does_not_take_the_word_of_another_one():
    """Reports are complete only from gateways that have heard from peers."""
    clock = ManualClock()
    started, other = (
        PromptQuarantine(
            clock=clock, name=name, peer_trials=lambda part: {}, on_change=lambda: None
        )
        for name in ("g-1", "g-2")
    )
    assert not other.make_reports()[1]
    clock.advance_ms(701.0)
    other.request_complete_report()
    reports, is_complete = other.make_reports()
    assert is_complete
    started.merge(reports, is_complete=is_complete)
