"""Targets that name a limit for the calls of all gateways together.

Each gateway sees only the answers that pass through it. If each kept to the limit
alone, a target would get as many times its limit as there are gateways.
"""

import random

import pytest

from carobroute.gateway._rate_tokens import RateTokens
from carobroute.testing.gateway_data import make_engine, make_service
from carobroute.testing.limited_fleet_data import LimitedFleet
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

# The bound of the users: from the contact time after a limit was first named, the
# calls in any window against the limit.
CONTACT_MS = 3_000.0
WINDOW_MS = 4_000.0
MAX_RATIO = 1.5
MAX_EXTRA_CALLS = 5
LIMITED_FROM_MS = 2_000.0
DURATION_MS = 20_000.0
GATEWAYS = [3, 14, 35]

PLAIN = make_service(name="orders")
MODEL = make_service(name="model", engine=make_engine())


def limit_all(per_s, count=1_000):
    """Return limits of the first targets, from some time on."""

    def limit_of(target, now_ms):
        is_limited = int(target.removeprefix("i-")) < count
        return per_s if is_limited and now_ms >= LIMITED_FROM_MS else None

    return limit_of


def play(
    limit_of,
    *,
    gateways=3,
    targets=3,
    slots=6,
    service=PLAIN,
    run_ms=45.0,
    calls_per_s=12.0,
    digest_ms=300.0,
    disturb=None,
    loses=None,
    seed=1,
    duration_ms=DURATION_MS,
):
    """Play a fleet in virtual time, and return it."""
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    fleets = []

    async def main():
        fleet = LimitedFleet(
            clock=clock,
            random=random.Random(seed),
            service=service,
            gateways=gateways,
            targets=targets,
            slots=slots,
            digest_ms=digest_ms,
            run_ms=run_ms,
            limit_of=limit_of,
            loses=loses,
        )
        fleets.append(fleet)
        if disturb is not None:
            loop.create_task(disturb(fleet))
        await fleet.run(duration_ms, calls_per_s)

    run_virtual(main(), loop)
    return fleets[0]


def find_excess(fleet, limit_of, out_of_touch=()):
    """Return each window with more calls than the users' bound allows."""
    excess = []
    for target in {call.target for call in fleet.calls if call.target}:
        times = sorted(
            call.sent_ms
            for call in fleet.calls
            if call.target == target
            and call.sent_ms >= LIMITED_FROM_MS + CONTACT_MS
            and call.gateway not in out_of_touch
        )
        for number, began_ms in enumerate(times):
            window = [t for t in times[number:] if t < began_ms + WINDOW_MS]
            limits = [
                limit_of(target, began_ms + step * 100.0 - CONTACT_MS)
                for step in range(int((WINDOW_MS + CONTACT_MS) / 100.0))
            ]
            if None in limits:
                continue
            allowed = MAX_RATIO * max(limits) * WINDOW_MS / 1_000 + MAX_EXTRA_CALLS
            if len(window) > allowed:
                excess.append((target, round(began_ms), len(window), allowed))
    return excess


def served_per_s(fleet, from_ms, to_ms):
    sent = [c for c in fleet.calls if c.target and from_ms <= c.sent_ms < to_ms]
    return len(sent) / (to_ms - from_ms) * 1_000


@pytest.mark.parametrize("gateways", GATEWAYS)
@pytest.mark.parametrize("per_s", [1.0, 2.5, 8.0])
def test_a_limit_holds_for_all_gateways_together_and_is_used(gateways, per_s):
    limit_of = limit_all(per_s)
    fleet = play(limit_of, gateways=gateways, calls_per_s=6 * per_s)
    assert not find_excess(fleet, limit_of)
    served = served_per_s(fleet, 5_000.0, DURATION_MS)
    assert 0.8 * 3 * per_s <= served <= 1.1 * 3 * per_s


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_a_burst_does_not_exceed_the_limit_of_one_target(gateways):
    limit_of = limit_all(1.0, count=1)
    fleet = play(
        limit_of,
        gateways=gateways,
        calls_per_s=lambda now_ms: 60.0 if 9_000.0 < now_ms < 13_000.0 else 4.0,
    )
    assert not find_excess(fleet, limit_of)
    assert all(call.target for call in fleet.calls)


@pytest.mark.parametrize(
    ("gateways", "ranks", "slots"), [(3, 12, 6), (14, 63, 5), (35, 129, 3)]
)
def test_most_ranks_of_a_group_name_a_limit(gateways, ranks, slots):
    limit_of = limit_all(1.0, count=round(0.7 * ranks))
    fleet = play(
        limit_of,
        gateways=gateways,
        targets=ranks,
        slots=slots,
        service=MODEL,
        run_ms=1_000.0,
        calls_per_s=1.2 * ranks,
    )
    assert not find_excess(fleet, limit_of)
    refused = [c for c in fleet.calls if not c.target and c.at_ms > 5_000.0]
    assert len(refused) <= 0.02 * len(fleet.calls)


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_gateways_that_restart_in_turn_keep_to_the_limit(gateways):
    async def restart_in_turn(fleet):
        await fleet.clock.sleep_ms(7_000.0)
        for index in range(gateways):
            fleet.restart(index)
            await fleet.clock.sleep_ms(8_000.0 / gateways)

    limit_of = limit_all(2.0)
    fleet = play(limit_of, gateways=gateways, disturb=restart_in_turn)
    assert not find_excess(fleet, limit_of)


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_gateways_that_freeze_or_end_leave_the_limit_to_others(gateways):
    """Whoever issues a target's tokens, some target loses its issuer."""

    async def freeze(fleet):
        await fleet.clock.sleep_ms(8_000.0)
        for gateway in fleet.gateways[: max(1, gateways // 3)]:
            gateway.frozen_until_ms = fleet.clock.now_ms() + 4_000.0

    limit_of = limit_all(2.0)
    fleet = play(limit_of, gateways=gateways, disturb=freeze)
    assert not find_excess(fleet, limit_of)
    # Their silence is noticed after 1.2 s.
    assert served_per_s(fleet, 9_500.0, 12_000.0) >= 0.5 * 6.0


def test_lost_messages_cost_tokens_and_exceed_no_limit():
    rng = random.Random(5)
    limit_of = limit_all(2.0)
    fleet = play(
        limit_of, gateways=14, loses=lambda sender, receiver: rng.random() < 0.3
    )
    assert not find_excess(fleet, limit_of)
    assert served_per_s(fleet, 5_000.0, DURATION_MS) >= 0.4 * 6.0


def test_a_limit_that_falls_rises_and_ends_is_followed():
    def limit_of(target, now_ms):
        if now_ms < LIMITED_FROM_MS or now_ms >= 22_000.0:
            return None
        return 6.0 if now_ms < 8_000.0 else 1.0 if now_ms < 16_000.0 else 5.0

    fleet = play(limit_of, gateways=5, calls_per_s=20.0, duration_ms=30_000.0)
    assert not find_excess(fleet, limit_of)
    assert served_per_s(fleet, 18_000.0, 22_000.0) >= 0.8 * 15.0
    assert all(call.target for call in fleet.calls if call.at_ms > 24_000.0)


def test_a_target_that_takes_nothing_is_asked_seldom_until_it_does():
    def limit_of(target, now_ms):
        return 0.0 if LIMITED_FROM_MS <= now_ms < 14_000.0 else None

    fleet = play(limit_of, duration_ms=30_000.0)
    assert not find_excess(fleet, limit_of)
    assert all(call.target for call in fleet.calls if call.at_ms > 19_000.0)


def test_a_call_that_no_target_may_take_is_refused_at_once_with_a_true_delay():
    limit_of = limit_all(1.0)
    fleet = play(limit_of, calls_per_s=12.0)
    refused = [c for c in fleet.calls if not c.target and c.at_ms > 4_000.0]
    assert refused
    held_ms = sorted(call.ended_ms - call.at_ms for call in refused)
    assert held_ms[round(0.9 * len(held_ms))] <= 60.0
    assert all(call.retry_after_ms > 0.0 for call in refused)
    # Calls that come back find tokens at different times.
    delays = {round(call.at_ms + call.retry_after_ms, -1) for call in refused}
    assert len(delays) >= 0.5 * len(refused)


# Seeded mistakes: each is caught by the check on the limit.


class OwnIssuer(RateTokens):
    """Issues all tokens of this gateway itself."""

    __slots__ = ()

    def _find_issuer(self, target, now_ms):
        return self._name


class LimitIgnored(RateTokens):
    """Sends calls without a token."""

    __slots__ = ()

    def is_ready(self, target):
        return True


@pytest.mark.parametrize("mistake", [OwnIssuer, LimitIgnored])
def test_a_seeded_mistake_is_caught(monkeypatch, mistake):
    limit_of = limit_all(2.5)
    monkeypatch.setattr("carobroute.testing.limited_fleet_data.RateTokens", mistake)
    fleet = play(limit_of, gateways=14, calls_per_s=60.0)
    assert find_excess(fleet, limit_of)
