"""Team limits at thin entries, without a central counter."""

import random
from collections.abc import Iterable, Sequence

import msgspec
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Message, message
from carobroute.requests._retry_after import jittered_retry_after_ms
from carobroute.tickets import TeamObject
from carobroute.utils import Clock, rendezvous_winner

MS_PER_S = 1_000
LEAST_TOLD_PER_S = 0.01


@message
class TeamDemand(Message, tag="team_demand"):
    """How often teams ask at one entry, told to the entry that adds them up.

    Parameters
    ----------
    entry : str
        Entry that was asked.
    rates : dict of str to float
        Requests a second by team.
    """

    entry: str
    rates: dict[str, float]


@message
class TeamTotals(Message, tag="team_totals"):
    """How often teams ask at all entries together; answers `TeamDemand`."""

    rates: dict[str, float]


class AdmissionParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of admission.

    Parameters
    ----------
    burst_s : float
        Requests that a team may save up, in seconds of its share.
    even_share : float
        Part of a limit that is split evenly, so that no entry is left with none.
    window_ms : float
        Time over which demand is averaged.
    stale_ms : float
        Age at which others' demand counts no more.
    max_teams : int
        Teams that an entry adds up for others.
    """

    burst_s: float = 1.0
    even_share: float = 0.1
    window_ms: float = 2_000.0
    stale_ms: float = 5_000.0
    max_teams: int = 8_192


class _Account:
    """One limited team at this entry."""

    __slots__ = (
        "asked",
        "keeper",
        "limit",
        "others",
        "others_ms",
        "rate",
        "tokens",
        "updated_ms",
    )

    def __init__(self, *, limit: float, now_ms: float):
        self.limit = limit
        self.updated_ms = now_ms
        self.keeper = ""
        self.tokens = 1.0
        self.asked = 0.0
        self.rate = 0.0
        self.others = 0.0
        self.others_ms: float | None = None


class Admission:
    """Admits a team's requests up to this entry's share of its limit.

    The share is this entry's part of the team's demand. Each team's demand is added
    up by the entry that a hash of its name picks; an entry sends one message to each
    such entry in an interval, about the teams that it was asked by meanwhile.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance, to spread returns.
    name : str
        Name of this entry.
    parameters : AdmissionParameters, default=None
        Times and bounds.

    Notes
    -----
    An entry sends at most `min(active teams, entries)` messages in an interval, of
    some 60 bytes and 20 more for each team.
    """

    __slots__ = (
        "_accounts",
        "_clock",
        "_entries",
        "_name",
        "_parameters",
        "_random",
        "_sums",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        name: str,
        parameters: AdmissionParameters | None = None,
    ):
        self._clock = clock
        self._random = random
        self._name = name
        self._parameters = parameters or AdmissionParameters()
        self._accounts: dict[str, _Account] = {}
        self._entries: list[str] = [name]
        self._sums: dict[str, dict[str, tuple[float, float]]] = {}

    def update_teams(self, teams: Iterable[TeamObject]) -> None:
        """Take the teams in force; what is known of those that stay is kept."""
        limits = {t.name: t.requests_per_s for t in teams if t.requests_per_s > 0}
        for name in self._accounts.keys() - limits.keys():
            del self._accounts[name]
        now_ms = self._clock.now_ms()
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if account is None:
                account = _Account(limit=limit, now_ms=now_ms)
                self._accounts[name] = account
            account.limit = limit

    def update_entries(self, names: Sequence[str]) -> None:
        """Take the names of all live entries."""
        self._entries = sorted({*names, self._name})
        for account in self._accounts.values():
            account.keeper = ""

    def admit(self, team: str) -> Result[None, Fault]:
        """Admit one request of `team`, or refuse it with a `TEAM_LIMIT` fault."""
        account = self._accounts.get(team)
        if account is None:
            return Success(None)
        self._refill(account)
        account.asked += 1.0
        if account.tokens >= 1.0:
            account.tokens -= 1.0
            return Success(None)
        rate = account.limit * self._share(account)
        return fail(
            ErrorKind.TEAM_LIMIT,
            f"team {team!r} is above {account.limit:g} requests a second,"
            f" of which this entry has {rate:.2f}",
            retry_after_ms=jittered_retry_after_ms(
                self._random, self._excess_ms(account)
            ),
        )

    def share(self, team: str) -> float:
        """Return this entry's share of a team's limit."""
        return self._share(self._accounts[team])

    def demand(self) -> dict[str, TeamDemand]:
        """Return what to tell, by the entry that adds it up (own name included)."""
        told: dict[str, TeamDemand] = {}
        for team, account in self._accounts.items():
            self._refill(account)
            if account.rate <= LEAST_TOLD_PER_S:
                continue
            account.keeper = account.keeper or self._keeper(team)
            demand = told.setdefault(
                account.keeper, TeamDemand(entry=self._name, rates={})
            )
            demand.rates[team] = round(account.rate, 3)
        return told

    def note_demand(self, demand: TeamDemand) -> TeamTotals:
        """Add up what an entry tells; return the totals of the teams that it named."""
        now_ms = self._clock.now_ms()
        totals = {}
        for team, rate in demand.rates.items():
            if team not in self._sums and len(self._sums) >= self._parameters.max_teams:
                continue
            known = self._sums.setdefault(team, {})
            known[demand.entry] = (rate, now_ms)
            limit_ms = now_ms - self._parameters.stale_ms
            for entry in [e for e, (_, at) in known.items() if at < limit_ms]:
                del known[entry]
            totals[team] = sum(rate for rate, _ in known.values())
        return TeamTotals(rates=totals)

    def note_totals(self, totals: TeamTotals) -> None:
        """Take the totals that answer a `TeamDemand`."""
        now_ms = self._clock.now_ms()
        for team, total in totals.rates.items():
            account = self._accounts.get(team)
            if account is not None:
                account.others = max(0.0, total - account.rate)
                account.others_ms = now_ms

    def _keeper(self, team: str) -> str:
        return rendezvous_winner(team, self._entries) or self._name

    def _share(self, account: _Account) -> float:
        even = 1.0 / len(self._entries)
        stale_ms = self._clock.now_ms() - self._parameters.stale_ms
        if account.others_ms is None or account.others_ms < stale_ms:
            return even
        total = account.rate + account.others
        asked = account.rate / total if total > 0 else even
        even_share = self._parameters.even_share
        return (1.0 - even_share) * asked + even_share * even

    def _excess_ms(self, account: _Account) -> float:
        """Return how long a refused request should stay away at this demand."""
        allowed = account.limit * self._share(account)
        return MS_PER_S * max(1.0, account.rate / max(allowed, LEAST_TOLD_PER_S))

    def _refill(self, account: _Account) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - account.updated_ms
        if elapsed_ms <= 0:
            return
        account.updated_ms = now_ms
        weight = min(1.0, elapsed_ms / self._parameters.window_ms)
        rate = account.asked * MS_PER_S / elapsed_ms
        account.rate += weight * (rate - account.rate)
        account.asked = 0.0
        allowed = account.limit * self._share(account)
        most = max(1.0, allowed * self._parameters.burst_s)
        account.tokens = min(most, account.tokens + allowed * elapsed_ms / MS_PER_S)
