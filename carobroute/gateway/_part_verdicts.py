"""Verdicts on prompt parts, from the crashes that they may have caused."""

import enum
from collections import Counter
from collections.abc import Collection, Iterable, Mapping

import msgspec

from carobroute.gateway._part_histories import PartHistories

# Crashes this close to each other may have one cause, such as the loss of a rack.
WAVE_MS = 1_000.0
# Waves of crashes after which a part is refused: fewer if it explains more than half
# of the crashes meanwhile.
MIN_WAVES = 2
MIN_WAVES_AMONG_OTHERS = 3
# The same for established parts. Traffic would stop if they were blamed wrongly.
ESTABLISHED_SUSPECT_WAVES = 3
ESTABLISHED_MIN_WAVES = 4
# Parts that come in at most this many times as many calls as another one explain the
# crashes that they share as well as that one.
AMBIGUOUS_ARRIVAL_RATIO = 2.0
# Time until a refused part is tried again, and its growth with each further crash.
QUARANTINE_MS = 60_000.0
ESTABLISHED_QUARANTINE_MS = 5_000.0
QUARANTINE_GROWTH = 4.0
MAX_QUARANTINE_MS = 3_600_000.0


class PartState(enum.StrEnum):
    """What the evidence says of a prompt part.

    Attributes
    ----------
    SUSPECTED
        The part may have crashed a target; it is tried in one call at a time.
    REFUSED
        The part has crashed targets; no call with it is sent.
    CLEARED
        The part was suspected, and the evidence no longer speaks against it.
    """

    SUSPECTED = "suspected"
    REFUSED = "refused"
    CLEARED = "cleared"


class TargetCrash:
    """Known crash of a target.

    Parameters
    ----------
    name : str
        Incarnation and start time of the target, on which all gateways agree.
    at_ms : float
        Boot time at which a gateway first saw the crash.
    reporter : str
        That gateway.
    """

    __slots__ = ("at_ms", "name", "parts", "reporter", "tried")

    def __init__(self, *, name: str, at_ms: float, reporter: str):
        self.name = name
        self.at_ms = at_ms
        self.reporter = reporter
        # Parts of the calls whose answer had not begun, and those on trial in them.
        self.parts: set[str] = set()
        self.tried: set[str] = set()


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Parts that explain crashes, any one of which may be the cause.

    Parameters
    ----------
    parts : frozenset of str
        Parts that came together in all of these crashes.
    crashes : tuple of TargetCrash
        Crashes that they explain, oldest first.
    decided_ms : float
        Boot time from which the other crashes of the last one's wave are known. Until
        then a call with the parts is neither refused nor tried.
    refused_until_ms : float
        Boot time until which a call with all of the parts is refused; 0 if the
        evidence does not suffice for that.
    """

    parts: frozenset[str]
    crashes: tuple[TargetCrash, ...]
    decided_ms: float
    refused_until_ms: float

    def is_refusing(self, parts: Collection[str], now_ms: float) -> bool:
        """Return whether a call with certain parts is refused at a boot time."""
        is_in_force = self.decided_ms <= now_ms < self.refused_until_ms
        return is_in_force and self.parts.issubset(parts)


def find_candidates(crash: TargetCrash, histories: PartHistories) -> frozenset[str]:
    """Return the parts that may have caused a crash.

    Established parts come into question only if there is no other one.
    """
    uncleared = {part for part in crash.parts if histories.begun_ms(part) < crash.at_ms}
    new = {part for part in uncleared if not histories.is_established(part)}
    return frozenset(new or uncleared)


def judge(crashes: Iterable[TargetCrash], histories: PartHistories) -> list[Verdict]:
    """Explain crashes by as few parts as possible.

    The part that explains most crashes is held to be their cause, and of several the
    one in the fewest calls. Crashes that it explains count against no other part.
    """
    known = {crash.name: crash for crash in crashes}
    candidates = {
        name: parts
        for name, crash in known.items()
        if (parts := find_candidates(crash, histories))
    }
    verdicts: list[Verdict] = []
    refused: set[str] = set()
    while candidates:
        parts = _find_best_explanation(candidates, histories)
        explained = {name for name in candidates if parts <= candidates[name]}
        candidates = {
            name: candidate
            for name, candidate in candidates.items()
            if name not in explained
        }
        others = [crash for name, crash in known.items() if name not in refused]
        verdict = _weigh(parts, [known[name] for name in explained], others, histories)
        if verdict is None:
            continue
        verdicts.append(verdict)
        if verdict.refused_until_ms:
            refused |= explained
    return verdicts


def _find_best_explanation(
    candidates: Mapping[str, frozenset[str]], histories: PartHistories
) -> frozenset[str]:
    """Return the parts of most crashes that can't be told apart."""
    counts = Counter(part for parts in candidates.values() for part in parts)
    most = max(counts.values())
    best = min(
        (part for part, count in counts.items() if count == most),
        key=lambda part: (
            histories.is_established(part),
            histories.arrivals(part),
            part,
        ),
    )
    crashes = [parts for parts in candidates.values() if best in parts]
    max_arrivals = AMBIGUOUS_ARRIVAL_RATIO * max(1.0, histories.arrivals(best))
    return frozenset(
        part
        for part in frozenset.intersection(*crashes)
        if counts[part] == most
        and histories.arrivals(part) <= max_arrivals
        and histories.is_established(part) == histories.is_established(best)
    )


def _weigh(
    parts: frozenset[str],
    explained: Iterable[TargetCrash],
    others: Iterable[TargetCrash],
    histories: PartHistories,
) -> Verdict | None:
    """Return the verdict on parts that explain crashes; None if it is too early.

    Parameters
    ----------
    parts : frozenset of str
        Parts that can't be told apart.
    explained : iterable of TargetCrash
        Crashes that they explain.
    others : iterable of TargetCrash
        All crashes that no refused part explains.
    histories : PartHistories
        Arrivals and answers of parts.
    """
    crashes = sorted(explained, key=lambda crash: crash.at_ms)
    waves = _count_waves(crashes, parts)
    needed, quarantine_ms = MIN_WAVES, QUARANTINE_MS
    if any(histories.is_established(part) for part in parts):
        needed, quarantine_ms = ESTABLISHED_MIN_WAVES, ESTABLISHED_QUARANTINE_MS
        if waves < ESTABLISHED_SUSPECT_WAVES:
            return None
    else:
        first_ms = crashes[0].at_ms - WAVE_MS
        meanwhile = [crash for crash in others if crash.at_ms >= first_ms]
        if len(meanwhile) >= 2 * len(crashes):
            needed = MIN_WAVES_AMONG_OTHERS
    last_ms = crashes[-1].at_ms
    decided_ms = refused_until_ms = 0.0
    if waves >= needed:
        decided_ms = last_ms + WAVE_MS
        quarantine_ms *= QUARANTINE_GROWTH ** (waves - needed)
        refused_until_ms = last_ms + min(quarantine_ms, MAX_QUARANTINE_MS)
    return Verdict(
        parts=parts,
        crashes=tuple(crashes),
        decided_ms=decided_ms,
        refused_until_ms=refused_until_ms,
    )


def _count_waves(crashes: Iterable[TargetCrash], parts: frozenset[str]) -> int:
    """Return the number of waves of crashes; one in a trial of the parts counts apart.

    Parameters
    ----------
    crashes : iterable of TargetCrash
        Crashes, oldest first.
    parts : frozenset of str
        Parts that explain them.
    """
    count, last_ms = 0, float("-inf")
    for crash in crashes:
        if crash.at_ms - last_ms > WAVE_MS or parts & crash.tried:
            count += 1
        last_ms = crash.at_ms
    return count
