"""Which requests were in flight at which crashes."""

import msgspec

from carobroute.utils import Clock

MAX_CRASHES_PER_REQUEST = 8
MAX_REQUESTS_PER_CRASH = 512


class BlameEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One request's part in one crash.

    Parameters
    ----------
    fingerprint : str
        The request.
    crash : str
        The crash.
    alone : bool
        Whether nothing else was running.
    cleared : bool
        Whether the request has since run to its end.
    age_ms : float
        Time since the crash, as far as the sender knows.
    """

    fingerprint: str
    crash: str
    alone: bool = False
    cleared: bool = False
    age_ms: float = 0.0


class _Strike:
    __slots__ = ("alone", "at_ms", "cleared")

    def __init__(self, *, at_ms: float):
        self.at_ms = at_ms
        self.alone = False
        self.cleared = False


class BlameTable:
    """Union of all blame entries heard of, with bounds.

    Parameters
    ----------
    clock : Clock
        Source of time.
    forget_ms : float
        How long an entry is kept.
    max_fingerprints, max_crashes : int
        Bounds on what is kept; the oldest goes first.
    """

    __slots__ = (
        "_clock",
        "_crashes",
        "_forget_ms",
        "_max_crashes",
        "_max_fingerprints",
        "_strikes",
    )

    def __init__(
        self, *, clock: Clock, forget_ms: float, max_fingerprints: int, max_crashes: int
    ):
        self._clock = clock
        self._forget_ms = forget_ms
        self._max_fingerprints = max_fingerprints
        self._max_crashes = max_crashes
        self._strikes: dict[str, dict[str, _Strike]] = {}
        self._crashes: dict[str, set[str]] = {}

    def suspects(self) -> list[str]:
        """Return the fingerprints with a crash that they are not cleared of."""
        return [fp for fp in self._strikes if self.strikes(fp)]

    def strikes(self, fingerprint: str) -> int:
        """Return the number of crashes that a request is not cleared of."""
        return len(self._held(fingerprint))

    def convicted_age_ms(self, fingerprint: str) -> float | None:
        """Return the time since the last crash of a convicted request, or None."""
        held = {
            crash: strike
            for crash, strike in self._held(fingerprint).items()
            if not self._explained(crash, fingerprint)
        }
        if len(held) < 2:
            return None
        alone = any(strike.alone for strike in held.values())
        if not alone and not self._only_in_common(fingerprint, list(held)):
            return None
        return self._clock.now_ms() - max(strike.at_ms for strike in held.values())

    def merge(self, entries: list[BlameEntry]) -> list[BlameEntry]:
        """Add entries and return those that were news."""
        now_ms = self._clock.now_ms()
        news = [entry for entry in entries if self._add(entry, now_ms)]
        self._trim(now_ms)
        return news

    def clear(self, fingerprint: str) -> list[BlameEntry]:
        """Clear a request of all its crashes, unless it is convicted."""
        if not self.strikes(fingerprint):
            return []
        if self.convicted_age_ms(fingerprint) is not None:
            return []
        for strike in self._strikes[fingerprint].values():
            strike.cleared = True
        return self.entries(fingerprint)

    def entries(self, fingerprint: str | None = None) -> list[BlameEntry]:
        """Return all entries, or those of one request."""
        now_ms = self._clock.now_ms()
        names = self._strikes if fingerprint is None else [fingerprint]
        return [
            BlameEntry(
                fingerprint=name,
                crash=crash,
                alone=strike.alone,
                cleared=strike.cleared,
                age_ms=now_ms - strike.at_ms,
            )
            for name in names
            for crash, strike in self._strikes.get(name, {}).items()
        ]

    def _held(self, fingerprint: str) -> dict[str, _Strike]:
        limit_ms = self._clock.now_ms() - self._forget_ms
        strikes = self._strikes.get(fingerprint, {})
        return {
            crash: strike
            for crash, strike in strikes.items()
            if not strike.cleared and strike.at_ms >= limit_ms
        }

    def _explained(self, crash: str, fingerprint: str) -> bool:
        """Whether another request is held to have caused a crash.

        What shares the crashes of several such requests is not convicted for that.
        """
        return any(
            other != fingerprint and self._tried(other)
            for other in self._crashes.get(crash, ())
        )

    def _tried(self, fingerprint: str) -> bool:
        held = self._held(fingerprint)
        return len(held) > 1 and any(strike.alone for strike in held.values())

    def _only_in_common(self, fingerprint: str, crashes: list[str]) -> bool:
        """Whether two crashes have no other request in common."""
        for index, one in enumerate(crashes):
            for two in crashes[index + 1 :]:
                both = self._crashes.get(one, set()) & self._crashes.get(two, set())
                if both == {fingerprint}:
                    return True
        return False

    def _add(self, entry: BlameEntry, now_ms: float) -> bool:
        if entry.age_ms > self._forget_ms:
            return False
        strikes = self._strikes.setdefault(entry.fingerprint, {})
        strike = strikes.get(entry.crash)
        news = strike is None
        if strike is None:
            if len(strikes) >= MAX_CRASHES_PER_REQUEST:
                return False
            strike = strikes[entry.crash] = _Strike(at_ms=now_ms - entry.age_ms)
            members = self._crashes.setdefault(entry.crash, set())
            if len(members) < MAX_REQUESTS_PER_CRASH:
                members.add(entry.fingerprint)
        news |= (entry.alone, entry.cleared) > (strike.alone, strike.cleared)
        strike.alone |= entry.alone
        strike.cleared |= entry.cleared
        return news

    def _trim(self, now_ms: float) -> None:
        limit_ms = now_ms - self._forget_ms
        while len(self._crashes) > self._max_crashes:
            self._drop_crash(next(iter(self._crashes)))
        if len(self._strikes) <= self._max_fingerprints:
            return
        for name, strikes in list(self._strikes.items()):
            if all(s.cleared or s.at_ms < limit_ms for s in strikes.values()):
                del self._strikes[name]
        while len(self._strikes) > self._max_fingerprints:
            del self._strikes[self._least_blamed()]

    def _least_blamed(self) -> str:
        """Return the oldest request with the fewest crashes."""
        return min(self._strikes, key=self.strikes)

    def _drop_crash(self, crash: str) -> None:
        for name in self._crashes.pop(crash):
            strikes = self._strikes.get(name, {})
            strikes.pop(crash, None)
            if not strikes:
                self._strikes.pop(name, None)
