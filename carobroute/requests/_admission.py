"""Admission of requests within team limits, without a central counter."""

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
MIN_RATE_PER_S = 0.01


@message
class TeamDemand(Message, tag="team_demand"):
    """Request rates of teams at one entry, sent to the entry that sums them.

    Parameters
    ----------
    entry : str
        Entry that received the requests.
    rates : dict of str to float
        Requests per second by team.
    """

    entry: str
    rates: dict[str, float]


@message
class TeamTotals(Message, tag="team_totals"):
    """Request rates of teams over all entries; the reply to `TeamDemand`."""

    rates: dict[str, float]


class AdmissionParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of admission.

    Parameters
    ----------
    burst_s : float
        Capacity of a team's token bucket, in seconds of its allowed rate.
    equal_share_weight : float
        Fraction of a limit that is split equally, so that every entry has a share.
    averaging_ms : float
        Time over which request rates are averaged.
    max_demand_age_ms : float
        Age above which the rates reported by other entries are ignored.
    max_teams : int
        Maximum number of teams whose rates an entry sums for other entries.
    """

    burst_s: float = 1.0
    equal_share_weight: float = 0.1
    averaging_ms: float = 2_000.0
    max_demand_age_ms: float = 5_000.0
    max_teams: int = 8_192


class _TeamBucket:
    """Token bucket and request rate of one team with a limit at this entry."""

    __slots__ = (
        "aggregator",
        "limit_per_s",
        "others_rate_per_s",
        "rate_per_s",
        "refilled_ms",
        "requests_since_refill",
        "tokens",
        "totals_updated_ms",
    )

    def __init__(self, *, limit_per_s: float, now_ms: float):
        self.limit_per_s = limit_per_s
        self.refilled_ms = now_ms
        self.aggregator = ""
        self.tokens = 1.0
        self.requests_since_refill = 0.0
        self.rate_per_s = 0.0
        self.others_rate_per_s = 0.0
        self.totals_updated_ms: float | None = None


class Admission:
    """Admits a team's requests up to this entry's share of its limit.

    The share is in proportion to this entry's part of the team's request rate. The
    rates of each team are summed by an aggregator, the entry selected by a hash of the
    team's name. In each interval an entry sends one message to each aggregator, with
    the rates of the teams that sent requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator for the jitter of retry delays.
    name : str
        Name of this entry.
    parameters : AdmissionParameters, default=None
        Parameters of admission.

    Notes
    -----
    An entry sends at most `min(active teams, entries)` messages in an interval, of
    about 60 bytes and 20 more for each team.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_entries",
        "_name",
        "_parameters",
        "_random",
        "_reported_rates",
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
        self._buckets: dict[str, _TeamBucket] = {}
        self._entries: list[str] = [name]
        self._reported_rates: dict[str, dict[str, tuple[float, float]]] = {}

    def update_teams(self, teams: Iterable[TeamObject]) -> None:
        """Replace the teams in force; teams that remain keep their buckets."""
        limits_per_s = {
            team.name: team.requests_per_s for team in teams if team.requests_per_s > 0
        }
        for name in self._buckets.keys() - limits_per_s.keys():
            del self._buckets[name]
        now_ms = self._clock.now_ms()
        for name, limit_per_s in limits_per_s.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = _TeamBucket(limit_per_s=limit_per_s, now_ms=now_ms)
                self._buckets[name] = bucket
            bucket.limit_per_s = limit_per_s

    def update_entries(self, names: Sequence[str]) -> None:
        """Replace the names of all live entries."""
        self._entries = sorted({*names, self._name})
        for bucket in self._buckets.values():
            bucket.aggregator = ""

    def admit(self, team: str) -> Result[None, Fault]:
        """Admit one request of `team`, or refuse it with a `TEAM_LIMIT` fault."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return Success(None)
        self._refill(bucket)
        bucket.requests_since_refill += 1.0
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return Success(None)
        allowed_per_s = bucket.limit_per_s * self._share(bucket)
        return fail(
            ErrorKind.TEAM_LIMIT,
            f"team {team!r} exceeds its limit of {bucket.limit_per_s:g} requests per"
            f" second, of which this entry may admit {allowed_per_s:.2f}",
            retry_after_ms=jittered_retry_after_ms(
                self._random, self._retry_delay_ms(bucket)
            ),
        )

    def share(self, team: str) -> float:
        """Return this entry's share of a team's limit."""
        return self._share(self._buckets[team])

    def demand(self) -> dict[str, TeamDemand]:
        """Return the rates to send by aggregator, which may be this entry itself."""
        demands: dict[str, TeamDemand] = {}
        for team, bucket in self._buckets.items():
            self._refill(bucket)
            if bucket.rate_per_s <= MIN_RATE_PER_S:
                continue
            bucket.aggregator = bucket.aggregator or self._aggregator(team)
            demand = demands.setdefault(
                bucket.aggregator, TeamDemand(entry=self._name, rates={})
            )
            demand.rates[team] = round(bucket.rate_per_s, 3)
        return demands

    def note_demand(self, demand: TeamDemand) -> TeamTotals:
        """Add the rates of an entry; return the totals of the teams in its message."""
        now_ms = self._clock.now_ms()
        totals = {}
        for team, rate in demand.rates.items():
            if (
                team not in self._reported_rates
                and len(self._reported_rates) >= self._parameters.max_teams
            ):
                continue
            reported = self._reported_rates.setdefault(team, {})
            reported[demand.entry] = (rate, now_ms)
            oldest_ms = now_ms - self._parameters.max_demand_age_ms
            for entry in [
                other
                for other, (_, reported_ms) in reported.items()
                if reported_ms < oldest_ms
            ]:
                del reported[entry]
            totals[team] = sum(rate for rate, _ in reported.values())
        return TeamTotals(rates=totals)

    def note_totals(self, totals: TeamTotals) -> None:
        """Apply the totals received in reply to a `TeamDemand`."""
        now_ms = self._clock.now_ms()
        for team, total in totals.rates.items():
            bucket = self._buckets.get(team)
            if bucket is not None:
                bucket.others_rate_per_s = max(0.0, total - bucket.rate_per_s)
                bucket.totals_updated_ms = now_ms

    def _aggregator(self, team: str) -> str:
        return rendezvous_winner(team, self._entries) or self._name

    def _share(self, bucket: _TeamBucket) -> float:
        equal_share = 1.0 / len(self._entries)
        oldest_ms = self._clock.now_ms() - self._parameters.max_demand_age_ms
        if bucket.totals_updated_ms is None or bucket.totals_updated_ms < oldest_ms:
            return equal_share
        total = bucket.rate_per_s + bucket.others_rate_per_s
        demand_share = bucket.rate_per_s / total if total > 0 else equal_share
        equal_share_weight = self._parameters.equal_share_weight
        return (
            1.0 - equal_share_weight
        ) * demand_share + equal_share_weight * equal_share

    def _retry_delay_ms(self, bucket: _TeamBucket) -> float:
        """Return the retry delay at the current request rate, before jitter."""
        allowed_per_s = bucket.limit_per_s * self._share(bucket)
        return MS_PER_S * max(
            1.0, bucket.rate_per_s / max(allowed_per_s, MIN_RATE_PER_S)
        )

    def _refill(self, bucket: _TeamBucket) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - bucket.refilled_ms
        if elapsed_ms <= 0:
            return
        bucket.refilled_ms = now_ms
        weight = min(1.0, elapsed_ms / self._parameters.averaging_ms)
        rate_per_s = bucket.requests_since_refill * MS_PER_S / elapsed_ms
        bucket.rate_per_s += weight * (rate_per_s - bucket.rate_per_s)
        bucket.requests_since_refill = 0.0
        allowed_per_s = bucket.limit_per_s * self._share(bucket)
        capacity = max(1.0, allowed_per_s * self._parameters.burst_s)
        bucket.tokens = min(
            capacity, bucket.tokens + allowed_per_s * elapsed_ms / MS_PER_S
        )
