"""A simulated fleet of gateways, some of whose targets answer badly."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import cast

import msgspec
from returns.result import Success

from carobroute.gateway import (
    Dispatcher,
    DispatchRequest,
    RetryBudget,
    Target,
    TargetDirectory,
)
from carobroute.gateway._digests import Digest, PeerState
from carobroute.health import (
    AnswerQuality,
    AnswerRecord,
    HealthParameters,
    RecordChange,
    TargetHealth,
)
from carobroute.testing.gateway_data import make_service, make_target_entry
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import Clock

DEFAULT_SEED = 5
SLOTS = 4
RUN_MS = 200.0
FIRST_BYTE_MS = 30.0
SLOW_FIRST_BYTE_MS = 1_000.0
LATENCY_TARGET_MS = 250.0
# Load as a share of what all targets can serve.
LOAD = 0.4
MAX_ATTEMPTS = 2
# The targets answer well up to this time.
BEGIN_MS = 3_000.0
END_MS = 20_000.0
# Period and length of the refusals of a target that refuses at times.
PERIOD_MS, BAD_PERIOD_MS = 10_000.0, 2_000.0
RECOVERY_MS = 9_000.0
# Gateways, targets, and the interval of digests at that size.
FLEETS = {3: (6, 24.0), 14: (14, 156.0), 35: (36, 408.0)}
SERVICE = make_service(name="model")

Behaviour = Callable[[float, random.Random], AnswerQuality]


class Pattern(msgspec.Struct, frozen=True, kw_only=True):
    """How some targets answer.

    Parameters
    ----------
    behaviour : callable
        Returns how a target answers at a time in milliseconds.
    bad_share : float, default=0.0
        Share of the targets that answer so; 0 for a single one.
    max_running : float, default=inf
        Calls that these targets take at a time, whatever the list says.
    """

    behaviour: Behaviour
    bad_share: float = 0.0
    max_running: float = math.inf

    def bad_count(self, target_count: int) -> int:
        """Return the number of targets that answer so."""
        return max(1, math.floor(self.bad_share * target_count))


def always(quality: AnswerQuality) -> Behaviour:
    """Return the behaviour of a target that answers all calls in one way."""
    return lambda now_ms, rng: quality


def refuses_half(now_ms: float, rng: random.Random) -> AnswerQuality:
    """Refuse each second call at random."""
    return AnswerQuality.REFUSED if rng.random() < 0.5 else AnswerQuality.SERVED


def refuses_at_times(now_ms: float, rng: random.Random) -> AnswerQuality:
    """Refuse for the first part of each period."""
    is_bad = (now_ms - BEGIN_MS) % PERIOD_MS < BAD_PERIOD_MS
    return AnswerQuality.REFUSED if is_bad else AnswerQuality.SERVED


def recovers(now_ms: float, rng: random.Random) -> AnswerQuality:
    """Refuse until a time, and serve all calls after it."""
    return AnswerQuality.REFUSED if now_ms < RECOVERY_MS else AnswerQuality.SERVED


PATTERNS = {
    "refuses_all": Pattern(behaviour=always(AnswerQuality.REFUSED)),
    "refuses_half": Pattern(behaviour=refuses_half),
    "refuses_at_times": Pattern(behaviour=refuses_at_times),
    "resets": Pattern(behaviour=always(AnswerQuality.INTERRUPTED)),
    "errors": Pattern(behaviour=always(AnswerQuality.ERROR)),
    "slow_first_byte": Pattern(behaviour=always(AnswerQuality.SLOW)),
    "third_refuses": Pattern(behaviour=always(AnswerQuality.REFUSED), bad_share=0.34),
    "all_refuse": Pattern(behaviour=always(AnswerQuality.REFUSED), bad_share=1.0),
    "recovers": Pattern(behaviour=recovers),
    "full_but_sound": Pattern(behaviour=always(AnswerQuality.SERVED), max_running=2),
}


class FleetOutcome(msgspec.Struct, kw_only=True):
    """What became of the calls.

    Parameters
    ----------
    call_count, unserved_count : int
        Calls, and those of them that callers saw fail.
    first_byte_ms : list of float
        Times until the first byte of the calls that were served.
    arrivals_ms : dict of str to list of float
        Times at which calls arrived at each target.
    """

    call_count: int = 0
    unserved_count: int = 0
    first_byte_ms: list[float] = []
    arrivals_ms: dict[str, list[float]] = {}

    @property
    def mean_first_byte_ms(self) -> float:
        """Mean time until the first byte of the calls that were served."""
        times_ms = self.first_byte_ms
        return sum(times_ms) / len(times_ms) if times_ms else 0.0

    @property
    def unserved_share(self) -> float:
        """Share of the calls that callers saw fail."""
        return self.unserved_count / self.call_count

    def bad_arrivals(self, begin_ms: float, end_ms: float) -> int:
        """Return the number of calls that the first target got in a time."""
        return sum(begin_ms <= at < end_ms for at in self.arrivals_ms["i-0"])

    def share(self, begin_ms: float, end_ms: float) -> float:
        """Return the calls of the first target relative to the mean of the others."""
        counts = {
            name: sum(begin_ms <= at < end_ms for at in times_ms)
            for name, times_ms in self.arrivals_ms.items()
        }
        own = counts.pop("i-0")
        return own * len(counts) / max(1, sum(counts.values()))


class RandomDispatcher(Dispatcher):
    """Sends each call to a random target with a free slot."""

    __slots__ = ()

    def _select_target(self, request: DispatchRequest) -> Target | None:
        free = self._free(request)
        return self._random.choice(free) if free else None

    def _free(self, request: DispatchRequest) -> list[Target]:
        return [
            target
            for target in self._candidates(request)
            if target.load + 1 <= self._max_calls(target, request.service)
        ]


class LeastLoadDispatcher(RandomDispatcher):
    """Sends each call to the target with the lowest known load."""

    __slots__ = ()

    def _select_target(self, request: DispatchRequest) -> Target | None:
        free = self._free(request)
        self._random.shuffle(free)
        return min(free, key=lambda target: target.load, default=None)


class FailuresOnlyHealth(TargetHealth):
    """Ejection by a timer after failures, which takes no notice of refusals."""

    __slots__ = ()

    is_returning = False

    def note(
        self,
        quality: AnswerQuality,
        *,
        sent_ms: float = 0.0,
        is_ejected_elsewhere: bool = False,
    ) -> RecordChange | None:
        """Record how a call was answered."""
        if quality in (AnswerQuality.SERVED, AnswerQuality.SLOW):
            self.note_success()
        elif quality is AnswerQuality.REFUSED_FULL:
            return None
        elif quality is not AnswerQuality.REFUSED and self.note_failure():
            self.eject()
        return None

    def trial_due_ms(self, interval_ms: float, spread: float) -> float:
        """Return that no trial is due, since ejections end by themselves."""
        return -1.0


class FailuresOnlyDispatcher(Dispatcher):
    """Chooses targets by load, and leaves out those with failures for a time."""

    __slots__ = ()


DISPATCHERS: dict[str, type[Dispatcher]] = {
    "answer_record": Dispatcher,
    "failures_only": FailuresOnlyDispatcher,
    "random": RandomDispatcher,
    "least_load": LeastLoadDispatcher,
}


class OutlierGateway:
    """Gateway with its own directory, dispatcher and retry budget.

    Parameters
    ----------
    fleet : OutlierFleet
        Fleet of the gateway.
    name : str
        Incarnation of the gateway.
    """

    def __init__(self, *, fleet: "OutlierFleet", name: str):
        self.name = name
        self.peer_state = PeerState(
            clock=fleet.clock, calls_expiry_ms=1_200.0, gone_after_ms=1_200.0
        )
        self.directory = TargetDirectory(
            clock=fleet.clock,
            store_outage_ms=1e9,
            lapsed_grace_ms=2_200.0,
            peer_calls=self.peer_state.calls_at,
            peer_ejections=self.peer_state.count_ejections
            if fleet.policy == "answer_record"
            else None,
        )
        self.directory.update(fleet.entries)
        dispatcher = DISPATCHERS[fleet.policy]
        if dispatcher is FailuresOnlyDispatcher:
            for target in self.directory.all_targets():
                health = FailuresOnlyHealth(
                    clock=fleet.clock, parameters=HealthParameters()
                )
                target.health = cast(AnswerRecord, health)
        self.dispatcher = dispatcher(
            clock=fleet.clock,
            random=fleet.random,
            data_centre="a",
            directory=self.directory,
            unseen_ms=self.peer_state.sum_ages_ms,
            gateway_count=lambda: self.peer_state.peer_count + 1,
            has_returned=self.peer_state.has_returned,
        )
        self.retry_budget = RetryBudget(
            clock=fleet.clock, window_ms=10_000.0, share=0.2, slack=20.0
        )
        self.retry_budget.set_gateway_count(fleet.gateway_count)
        self._digest_number = 0

    def make_digest(self) -> Digest:
        """Return a digest of the calls in flight and of targets taken back."""
        self._digest_number += 1
        calls = {
            target.incarnation: target.in_flight
            for target in self.directory.all_targets()
            if target.in_flight
        }
        return Digest(
            self.name,
            f"10.0.0.1:{self.name}",
            self._digest_number,
            calls,
            {},
            ejected=self.directory.ejected_runs,
            returned=self.directory.returned_runs,
        )


class OutlierFleet:
    """Gateways that exchange digests, and targets of which some answer badly.

    Parameters
    ----------
    clock : Clock
        Source of time.
    pattern : Pattern
        How the bad targets answer.
    policy : str
        Name of a way to choose targets.
    gateway_count : int
        Number of gateways.
    seed : int, default=5
        Seed of the calls and choices.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pattern: Pattern,
        policy: str,
        gateway_count: int,
        seed: int = DEFAULT_SEED,
    ):
        self.clock = clock
        self.random = random.Random(seed)
        # All ways to choose get the same calls.
        self._arrivals = random.Random(seed)
        self.policy = policy
        self.gateway_count = gateway_count
        target_count, self._digest_interval_ms = FLEETS[gateway_count]
        self._pattern = pattern
        names = [f"i-{number}" for number in range(target_count)]
        self._bad = set(names[: pattern.bad_count(target_count)])
        self.entries = [
            make_target_entry(incarnation=name, service=SERVICE.name, slots=SLOTS)
            for name in names
        ]
        self._slots = {name: asyncio.Semaphore(SLOTS) for name in names}
        self._running = dict.fromkeys(names, 0)
        self.outcome = FleetOutcome(arrivals_ms={name: [] for name in names})
        self.gateways = [
            OutlierGateway(fleet=self, name=f"{number}")
            for number in range(gateway_count)
        ]

    async def run(self) -> FleetOutcome:
        """Send calls at random times, and return what became of them."""
        background = [
            asyncio.create_task(job(gateway))
            for gateway in self.gateways
            for job in (self._send_digests, self._check_queue)
        ]
        mean_gap_ms = RUN_MS / (LOAD * SLOTS * len(self.entries))
        calls = []
        while self.clock.now_ms() < END_MS:
            await self.clock.sleep_ms(self._arrivals.expovariate(1 / mean_gap_ms))
            gateway = self._arrivals.choice(self.gateways)
            calls.append(asyncio.create_task(self._call(gateway)))
        await asyncio.gather(*calls)
        for task in background:
            task.cancel()
        return self.outcome

    async def _call(self, gateway: OutlierGateway) -> None:
        self.outcome.call_count += 1
        began_ms = self.clock.now_ms()
        gateway.retry_budget.note_call(SERVICE.name)
        tried: set[str] = set()
        while len(tried) < MAX_ATTEMPTS:
            has_budget = gateway.retry_budget.remaining(SERVICE.name) >= 1.0
            request = DispatchRequest(
                request_id="r",
                service=SERVICE,
                priority=1,
                latency_target_ms=LATENCY_TARGET_MS,
                remaining_ms=4_000.0,
                excluded_targets=frozenset(tried),
                may_try=has_budget and not tried,
            )
            acquired = await gateway.dispatcher.acquire(request)
            if not isinstance(acquired, Success):
                break
            grant = acquired.unwrap()
            target, sent_ms = grant.target, self.clock.now_ms()
            quality = await self._answer(target.incarnation, began_ms)
            gateway.dispatcher.release(grant)
            if quality is AnswerQuality.REFUSED and target.load >= SLOTS:
                quality = AnswerQuality.REFUSED_FULL
            target.health.note(
                quality,
                sent_ms=sent_ms,
                is_ejected_elsewhere=target.peer_ejections > 0,
            )
            if quality in (AnswerQuality.SERVED, AnswerQuality.SLOW):
                return
            tried.add(target.incarnation)
            if len(tried) < MAX_ATTEMPTS and not gateway.retry_budget.try_spend(
                SERVICE.name
            ):
                break
        self.outcome.unserved_count += 1

    async def _answer(self, name: str, began_ms: float) -> AnswerQuality:
        """Run a call at a target, and return how it was answered."""
        now_ms = self.clock.now_ms()
        self.outcome.arrivals_ms[name].append(now_ms)
        quality, is_bad = AnswerQuality.SERVED, name in self._bad
        if is_bad and now_ms >= BEGIN_MS:
            quality = self._pattern.behaviour(now_ms, self.random)
            if self._running[name] >= self._pattern.max_running:
                quality = AnswerQuality.REFUSED
        if quality not in (AnswerQuality.SERVED, AnswerQuality.SLOW):
            await self.clock.sleep_ms(1.0)
            return quality
        self._running[name] += 1
        async with self._slots[name]:
            is_slow = quality is AnswerQuality.SLOW
            wait_ms = SLOW_FIRST_BYTE_MS if is_slow else FIRST_BYTE_MS
            await self.clock.sleep_ms(wait_ms)
            self.outcome.first_byte_ms.append(self.clock.now_ms() - began_ms)
            run_ms = RUN_MS * self.random.uniform(0.4, 1.6)
            await self.clock.sleep_ms(max(0.0, run_ms - FIRST_BYTE_MS))
        self._running[name] -= 1
        return quality

    async def _send_digests(self, gateway: OutlierGateway) -> None:
        await self.clock.sleep_ms(self.random.uniform(0.0, self._digest_interval_ms))
        while True:
            digest = gateway.make_digest()
            for other in self.gateways:
                if other is not gateway:
                    other.peer_state.update(digest)
            await self.clock.sleep_ms(self._digest_interval_ms)

    async def _check_queue(self, gateway: OutlierGateway) -> None:
        while True:
            await self.clock.sleep_ms(gateway.dispatcher.queue_check_interval_ms)
            gateway.dispatcher.dispatch_all_queued()


def play_pattern(
    name: str, policy: str, gateway_count: int, *, seed: int = DEFAULT_SEED
) -> FleetOutcome:
    """Return what became of the calls with one pattern and one way to choose."""
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)

    async def main() -> FleetOutcome:
        fleet = OutlierFleet(
            clock=clock,
            pattern=PATTERNS[name],
            policy=policy,
            gateway_count=gateway_count,
            seed=seed,
        )
        return await fleet.run()

    return run_virtual(main(), loop)
