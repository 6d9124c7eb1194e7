import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from carobroute.errors import ErrorKind
from carobroute.requests import (
    BlameMessage,
    Isolation,
    Quarantine,
    QuarantineParameters,
    TrialMessage,
)
from carobroute.utils import ManualClock

TARGETS = [f"runner-{n}" for n in range(12)]


@pytest.fixture
def clock():
    return ManualClock(start_ms=1_000)


def verdict(quarantine, fingerprint):
    checked = quarantine.check(fingerprint)
    return checked.unwrap() if isinstance(checked, Success) else checked.failure().kind


def test_request_is_refused_for_a_time_after_second_crash_while_alone(clock):
    quarantine = Quarantine(clock=clock)
    for fingerprint in ("poison", "innocent"):
        assert quarantine.begin(fingerprint, "runner-1").unwrap() is Isolation.SHARED
    quarantine.note_crash("runner-1", "crash-1")
    assert verdict(quarantine, "poison") is Isolation.ALONE
    quarantine.begin("poison", "runner-2")
    quarantine.note_crash("runner-2", "crash-2", alone="poison")
    refused = quarantine.begin("poison", "runner-3").failure()
    assert refused.kind is ErrorKind.QUARANTINED and refused.not_run
    dumped = {entry["fingerprint"]: entry for entry in quarantine.dump()}
    assert dumped["poison"]["refused"] and not dumped["innocent"]["refused"]
    assert verdict(quarantine, "innocent") is Isolation.ALONE
    clock.advance_ms(QuarantineParameters().quarantine_ms + 1)
    assert verdict(quarantine, "poison") is Isolation.ALONE


def test_completed_suspect_is_cleared_and_stays_cleared_by_late_messages(clock):
    entries = [Quarantine(clock=clock) for _ in range(2)]
    late_messages = []
    for crash in ("crash-1", "crash-2"):
        for fingerprint in ("poison", "popular", "other"):
            entries[0].begin(fingerprint, "runner-1")
        late_messages.append(entries[0].note_crash("runner-1", crash))
        entries[1].merge(late_messages[-1])
    # Being in flight twice with the same other requests confirms no cause.
    assert verdict(entries[1], "popular") is Isolation.ALONE
    entries[1].begin("popular", "runner-2")
    news = entries[1].end_completed("popular", "runner-2")
    entries[0].merge(news)
    for entry in entries:
        for message in late_messages:
            entry.merge(message)
        assert verdict(entry, "popular") is Isolation.SHARED


def test_only_request_in_common_to_two_crashes_is_refused(clock):
    quarantine = Quarantine(clock=clock)
    for crash, others in (("crash-1", "ab"), ("crash-2", "cd")):
        for fingerprint in ("poison", *others):
            quarantine.begin(fingerprint, "runner-1")
        quarantine.note_crash("runner-1", crash)
    assert verdict(quarantine, "poison") is ErrorKind.QUARANTINED
    assert verdict(quarantine, "a") is Isolation.ALONE


def test_request_in_flight_at_crashes_of_two_confirmed_causes_is_not_refused(clock):
    quarantine = Quarantine(clock=clock)
    for number in (1, 2):
        for fingerprint in (f"poison-{number}", "unlucky", f"other-{number}"):
            quarantine.begin(fingerprint, "runner-1")
        quarantine.note_crash("runner-1", f"shared-{number}")
        poison = f"poison-{number}"
        quarantine.begin(poison, "runner-2")
        quarantine.note_crash("runner-2", f"trial-{number}", alone=poison)
        assert verdict(quarantine, poison) is ErrorKind.QUARANTINED
    assert verdict(quarantine, "unlucky") is Isolation.ALONE


def test_queued_suspect_is_not_blamed_for_crash_of_another_trial(clock):
    """A local process crashes during a trial while another suspect is queued."""
    entries = [Quarantine(clock=clock) for _ in range(2)]
    for fingerprint in ("poison", "queued"):
        entries[0].begin(fingerprint, "runner-1")
    entries[1].merge(entries[0].note_crash("runner-1", "shared"))
    entries[0].begin("queued", "runner-2")
    entries[1].begin("poison", "runner-2")
    for entry in entries:
        entry.note_trial(TrialMessage(incarnation="local-2~a", fingerprint="queued"))
        entry.note_trial(TrialMessage(incarnation="local-2~a", fingerprint=""))
        entry.note_trial(TrialMessage(incarnation="local-2~a", fingerprint="poison"))
    for first, second in (entries, entries[::-1]):
        alone = first.trial_fingerprint("local-2~a")
        news = first.note_crash("runner-2", "local-2~a", alone=alone)
        if news is not None:
            second.merge(news)
    for entry in entries:
        assert verdict(entry, "poison") is ErrorKind.QUARANTINED
        assert verdict(entry, "queued") is Isolation.ALONE


def test_crash_reported_repeatedly_counts_once(clock):
    quarantine = Quarantine(clock=clock)
    for _ in range(3):
        quarantine.begin("slow", "runner-1")
        quarantine.note_crash("runner-1", "crash-1")
    assert verdict(quarantine, "slow") is Isolation.ALONE


@pytest.mark.parametrize("seed", range(5))
def test_resends_through_several_entries_crash_at_most_two_targets(clock, seed):
    """Blame arrives late, twice and out of order, but before the resend."""
    source = random.Random(seed)
    entries = [Quarantine(clock=clock) for _ in range(3)]
    others = [f"other-{n}" for n in range(20)]
    crashed = set()
    for number in range(12):
        entry = source.choice(entries)
        names = [name for name in TARGETS if name not in crashed]
        checked = entry.check("poison")
        if not isinstance(checked, Success):
            continue
        alone = checked.unwrap() is Isolation.ALONE
        target = source.choice(names)
        if alone:
            targets_chosen = {e.trial_target("poison", names) for e in entries}
            assert len(targets_chosen) == 1
            target = targets_chosen.pop()
        entry.begin("poison", target)
        if not alone:
            for fingerprint in source.sample(others, 4):
                entry.begin(fingerprint, target)
        crashed.add(target)
        news = entry.note_crash(
            target, f"crash-{number}", alone="poison" if alone else ""
        )
        receivers = [e for e in entries if e is not entry] * 2
        source.shuffle(receivers)
        for other in receivers:
            other.merge(news)
    assert len(crashed) == 2
    for entry in entries:
        assert verdict(entry, "poison") is ErrorKind.QUARANTINED


CRASHES_AND_CLEARINGS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.sampled_from(["1", "2", "3"]),
        st.sampled_from(["blame", "alone", "clear"]),
    ),
    max_size=12,
)


@settings(max_examples=60, deadline=None)
@given(steps=CRASHES_AND_CLEARINGS, order=st.randoms(use_true_random=False))
def test_merge_is_independent_of_message_order_and_repetition(steps, order):
    clock = ManualClock(start_ms=1_000)
    source = Quarantine(clock=clock)
    messages = []
    for fingerprint, crash, step in steps:
        if step == "clear":
            news = source.end_completed(fingerprint, "runner-1")
        else:
            source.begin(fingerprint, "runner-1")
            alone = fingerprint if step == "alone" else ""
            news = source.note_crash("runner-1", crash, alone=alone)
        messages += [news] if news else []
    shuffled = messages * 2
    order.shuffle(shuffled)
    receiver = Quarantine(clock=clock)
    for message in shuffled:
        receiver.merge(message)
    for fingerprint in ("a", "b", "c"):
        assert verdict(receiver, fingerprint) == verdict(source, fingerprint)


def test_snapshot_transfers_all_entries_and_table_is_bounded(clock):
    parameters = QuarantineParameters(max_fingerprints=50, max_crashes=8)
    quarantine = Quarantine(clock=clock, parameters=parameters)
    for number in range(40):
        for call in range(10):
            quarantine.begin(f"call-{number}-{call}", "runner-1")
        quarantine.note_crash("runner-1", f"crash-{number}")
    assert len(quarantine.suspects) <= 50
    fresh = Quarantine(clock=clock)
    fresh.merge(BlameMessage(entries=quarantine.snapshot().entries))
    assert sorted(fresh.suspects) == sorted(quarantine.suspects)
