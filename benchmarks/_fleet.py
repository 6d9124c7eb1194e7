"""Fakes of runners, groups and entries in virtual time, for the routing benchmark."""

import asyncio
import random
from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec
from returns.result import Failure

from carobroute.domain import CallClass
from carobroute.engines import CacheEvent, CacheEvents
from carobroute.links import LoadReport
from carobroute.requests import (
    FairQueue,
    RetryPolicy,
    RouteQuery,
    Router,
    TargetView,
)
from carobroute.testing.virtual_time import VirtualClock
from carobroute.utils import Clock

FIRST_TOKEN_MS = 360.0
BETWEEN_TOKENS_MS = 73.0
BLOCK_TOKENS = 16


class FleetShape(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and speeds of the fakes."""

    data_centres: tuple[str, ...]
    runners: int = 12
    group_size: int = 4
    entries: int = 3
    concurrency: int = 8
    step_ms: float = 18.0
    step_ms_per_stream: float = 1.2
    prefill_ms_per_token: float = 0.12
    prefill_budget: int = 256
    cache_blocks: int = 900
    report_ms: float = 250.0
    report_lag_ms: float = 150.0
    event_ms: float = 500.0
    event_loss: float = 0.05
    link_ms: float = 0.5


class Call(msgspec.Struct, kw_only=True):
    """One request and what became of it."""

    team: str
    arrived_ms: float
    blocks: list[int]
    tokens: int
    output: int
    priority: int = 5
    prefill_left: int = 0
    produced: int = 0
    first_ms: float = 0.0
    last_ms: float = 0.0
    gaps: list[float] = []
    on_first: Callable[[], None] | None = None
    outcome: str = "open"
    target: str = ""

    @property
    def took_ms(self) -> float:
        """Time from arrival to the first token."""
        return self.first_ms - self.arrived_ms

    @property
    def good(self) -> bool:
        """Whether the call made both latency targets."""
        if self.outcome != "done" or self.took_ms > FIRST_TOKEN_MS:
            return False
        gaps = sorted(self.gaps)
        return not gaps or gaps[int(0.95 * len(gaps))] <= BETWEEN_TOKENS_MS


class Runner:
    """A target: its prefix cache, its running calls, its fair queue."""

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        shape: FleetShape,
        clock: Clock,
        random: random.Random,
    ):
        self.name = name
        self.data_centre = data_centre
        self.shape = shape
        self.slow_factor = 1.0
        self.leaving = False
        self.incarnation = 1
        self.calls: list[tuple[Call, asyncio.Future]] = []
        self.known: dict[int, int] = {}
        self.sequence = 0
        self.queue = FairQueue(
            concurrency=shape.concurrency, clock=clock, random=random
        )
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=2_000)
        self._random = random
        self._seq = 0

    @property
    def run_name(self) -> str:
        """Name of this run of the runner."""
        return f"{self.name}~{self.incarnation}"

    def restart(self) -> None:
        """Come back with an empty cache."""
        self.incarnation += 1
        self.leaving = False
        self._cache.clear()
        self._events.clear()
        self._seq = 0
        self.sequence = 0

    def begin(self, call: Call) -> asyncio.Future:
        """Start a call that holds a slot."""
        call.prefill_left = max(1, call.tokens - self._use(call.blocks) * BLOCK_TOKENS)
        future = asyncio.get_running_loop().create_future()
        self.calls.append((call, future))
        return future

    def prefill(self) -> float:
        """Do one step's share of prefill and return the time that it takes."""
        budget = self.shape.prefill_budget
        for call, _ in sorted(self.calls, key=lambda pair: -pair[0].priority):
            part = min(budget, call.prefill_left)
            call.prefill_left -= part
            budget -= part
        done = self.shape.prefill_budget - budget
        return done * self.shape.prefill_ms_per_token

    def produce(self, now_ms: float) -> None:
        """Give each call whose prefill is done one token."""
        for call, future in self.calls:
            if call.prefill_left:
                continue
            if call.produced == 0:
                call.first_ms = now_ms
                if call.on_first is not None:
                    call.on_first()
            else:
                call.gaps.append(now_ms - call.last_ms)
            call.last_ms = now_ms
            call.produced += 1
            if call.produced >= call.output:
                future.set_result(None)
        self.calls = [(c, f) for c, f in self.calls if not f.done()]

    def events(self, after: int) -> CacheEvents:
        """Return cache events as an engine publishes them."""
        found = [event for event in self._events if event.seq > after]
        return CacheEvents(incarnation=self.run_name, events=found)

    def _use(self, blocks: list[int]) -> int:
        hits = 0
        while hits < len(blocks) and blocks[hits] in self._cache:
            hits += 1
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        removed = []
        while len(self._cache) > self.shape.cache_blocks:
            removed.append(self._cache.popitem(last=False)[0])
        if blocks[hits:] or removed:
            self._seq += 1
            event = CacheEvent(seq=self._seq, stored=blocks[hits:], removed=removed)
            if self._random.random() >= self.shape.event_loss:
                self._events.append(event)
        return hits


class Group:
    """Runners whose ranks make their steps together: the slowest sets the pace."""

    def __init__(self, *, name: str, runners: list[Runner], clock: Clock):
        self.name = name
        self.runners = runners
        self.step_ms = 0.0
        self._clock = clock

    async def run(self) -> None:
        """Make steps for ever."""
        while True:
            if not any(runner.calls for runner in self.runners):
                await self._clock.sleep_ms(1.0)
                continue
            self.step_ms = max(self._pace(runner) for runner in self.runners)
            await self._clock.sleep_ms(self.step_ms)
            now_ms = self._clock.now_ms()
            for runner in self.runners:
                runner.produce(now_ms)

    def _pace(self, runner: Runner) -> float:
        shape = runner.shape
        running = shape.step_ms + shape.step_ms_per_stream * len(runner.calls)
        return (running + runner.prefill()) * runner.slow_factor


class Fleet:
    """All fakes together.

    Parameters
    ----------
    shape : FleetShape
        Sizes and speeds.
    policy : str
        Routing policy of every entry.
    seed : int
        Seed of all chance.
    clock : VirtualClock
        Virtual time.
    """

    def __init__(
        self, *, shape: FleetShape, policy: str, seed: int, clock: VirtualClock
    ):
        self.shape = shape
        self.clock = clock
        self.random = random.Random(f"fleet {seed}")
        self.calls: list[Call] = []
        self.new_work_after_leaving = 0
        self.runners = {r.name: r for r in self._make_runners(seed)}
        self.groups = self._make_groups()
        self.routers = [
            self._make_router(n, policy, seed) for n in range(shape.entries)
        ]
        self.retries = [RetryPolicy(clock=clock) for _ in range(shape.entries)]
        self.show_targets()

    def show_targets(self) -> None:
        """Give every router the targets as they are now."""
        group_of = {r.name: g.name for g in self.groups for r in g.runners}
        views = [
            TargetView(
                name=r.name,
                service="model",
                data_centre=r.data_centre,
                region="home",
                group=group_of[r.name],
                concurrency=self.shape.concurrency,
                incarnation=r.run_name,
            )
            for r in self.runners.values()
        ]
        for router in self.routers:
            router.update_targets(views)

    async def leave(self, name: str) -> None:
        """Mark a runner as leaving; the entries hear of it with the next report."""
        self.runners[name].leaving = True

    async def come_back(self, name: str) -> None:
        """Have a runner return, with an empty cache."""
        self.runners[name].restart()
        self.show_targets()

    async def submit(self, call: Call, entry: int) -> None:
        """Send one call through an entry, with retries, and wait for its end."""
        self.calls.append(call)
        router = self.routers[entry]
        tried: set[str] = set()
        while True:
            left_ms = FIRST_TOKEN_MS - (self.clock.now_ms() - call.arrived_ms)
            query = RouteQuery(
                service="model",
                team=call.team,
                prompt_blocks=call.blocks,
                tokens=call.tokens,
                data_centre=self.shape.data_centres[
                    entry % len(self.shape.data_centres)
                ],
                excluded=frozenset(tried),
                deadline_ms=left_ms,
            )
            chosen = router.choose(query)
            if isinstance(chosen, Failure):
                call.outcome = "refused"
                return
            target = chosen.unwrap().target
            fault = await self._attempt(call, entry, target, query, left_ms)
            if fault is None:
                call.outcome = "done"
                self.retries[entry].note_success(call.team)
                return
            tried.add(target)
            left_ms = FIRST_TOKEN_MS - (self.clock.now_ms() - call.arrived_ms)
            decision = self.retries[entry].decide(
                fault, CallClass.IDEMPOTENT, len(tried), left_ms, call.team
            )
            if not decision.retry:
                call.outcome = "refused"
                return

    async def _attempt(
        self, call: Call, entry: int, target: str, query, left_ms: float
    ):
        router = self.routers[entry]
        runner = self.runners[target]
        sent_ms = self.clock.now_ms()
        sent = router.note_sent(target, query)
        await self.clock.sleep_ms(self.shape.link_ms)
        runner.known[entry] = runner.known.get(entry, 0) + 1
        try:
            got = await runner.queue.acquire(
                team=call.team, cost=call.tokens, deadline_ms=left_ms
            )
            if isinstance(got, Failure):
                router.note_end(sent, False)
                return got.failure()
            slot = got.unwrap()
            call.target = target
            call.priority = slot.engine_priority
            call.on_first = lambda: router.note_first_byte(
                sent, self.clock.now_ms() - sent_ms
            )
            try:
                await runner.begin(call)
            finally:
                slot.release()
        finally:
            runner.known[entry] -= 1
        router.note_end(sent, True, self.clock.now_ms() - sent_ms)
        return None

    async def report(self) -> None:
        """Have every runner report its load, late."""
        while True:
            await self.clock.sleep_ms(self.shape.report_ms)
            for group in self.groups:
                for runner in group.runners:
                    runner.sequence += 1
                    for entry, router in enumerate(self.routers):
                        self._send_report(runner, group, entry, router)

    def _send_report(self, runner: Runner, group: Group, entry: int, router: Router):
        report = LoadReport(
            target=runner.name,
            running=runner.queue.running,
            queued=runner.queue.queued,
            concurrency=self.shape.concurrency,
            step_ms=group.step_ms,
            tokens_queued=int(runner.queue.queued_cost)
            + sum(c.prefill_left for c, _ in runner.calls),
            leaving=runner.leaving,
            known=runner.known.get(entry, 0),
            sequence=runner.sequence,
        )
        loop = asyncio.get_running_loop()
        lag_s = self.shape.report_lag_ms / 1_000
        loop.call_later(lag_s, router.note_report, report)

    async def publish(self) -> None:
        """Pass cache events on to the entries, late and with gaps."""
        while True:
            await self.clock.sleep_ms(self.shape.event_ms)
            for router in self.routers:
                for runner in self.runners.values():
                    after = router.prefixes.position(runner.name)
                    router.note_cache_events(runner.name, runner.events(after))

    def _make_runners(self, seed: int) -> list[Runner]:
        centres = self.shape.data_centres
        return [
            Runner(
                name=f"runner-{n:02d}",
                data_centre=centres[n % len(centres)],
                shape=self.shape,
                clock=self.clock,
                random=random.Random(f"runner {seed} {n}"),
            )
            for n in range(self.shape.runners)
        ]

    def _make_groups(self) -> list[Group]:
        """Put runners of one data centre into a group."""
        runners = sorted(self.runners.values(), key=lambda r: (r.data_centre, r.name))
        size = self.shape.group_size
        return [
            Group(
                name=f"group-{n // size}",
                runners=runners[n : n + size],
                clock=self.clock,
            )
            for n in range(0, len(runners), size)
        ]

    def _make_router(self, number: int, policy: str, seed: int) -> Router:
        centres = self.shape.data_centres
        router = Router(
            clock=self.clock,
            random=random.Random(f"router {seed} {number}"),
            name=f"entry-{number}",
            data_centre=centres[number % len(centres)],
        )
        router.set_policy("model", policy)
        return router
