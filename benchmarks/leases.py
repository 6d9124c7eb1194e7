"""Effects of a holder that was paused at any of its awaits.

A holder takes a duty, renews it and orders effects with the product's own lease
keeper, over a table whose answers may be lost. It is paused once, before one of its
steps, for a time around the lease's length; meanwhile a second process takes the duty
over as soon as it may, tells the target its fence, reads the target's state and orders
effects of its own. Then the holder wakes and goes on as if nothing had happened. The
target keeps its own record. A stale effect is one that the target ran for a fence
below the highest that it had been told.

The pause before the holder's n-th step is enumerated over all its steps, which lie
between any two awaits, and over steps between its check and its sending.
"""

import argparse
import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import msgspec
from returns.result import Success

from carobroute.leases import FenceGate, Lease, LeaseManager, LeaseParameters
from carobroute.testing import FakeTable
from carobroute.utils import ManualClock

DUTY = "plan/group-1"
DURATION_MS = 1_000.0
PAUSES_MS = (50.0, 400.0, 900.0, 990.0, 1_010.0, 1_200.0, 2_500.0, 10_000.0)
EFFECTS = 6
MAX_STEPS = 2_000
RIVAL_STEP_MS = 25.0
LEAST_PAUSES = 1_000


class Order(msgspec.Struct, frozen=True):
    """One order as the target ran it."""

    holder: str
    fence: int
    told: int


class Target:
    """Target that keeps a record of its runs.

    Parameters
    ----------
    checks : bool
        Whether it refuses a fence below the highest that it was told.
    """

    def __init__(self, *, checks: bool):
        self._checks = checks
        self.highest = 0
        self.runs: list[Order] = []

    def tell(self, fence: int) -> None:
        """Note the fence of a new holder."""
        self.highest = max(self.highest, fence)

    def run(self, holder: str, fence: int) -> bool:
        """Run an order; return whether it was run."""
        told = self.highest
        if self._checks and fence < told:
            return False
        self.tell(fence)
        self.runs.append(Order(holder, fence, told))
        return True

    @property
    def stale(self) -> int:
        """Runs for a fence below the highest told before."""
        return sum(order.fence < order.told for order in self.runs)


class Scene(msgspec.Struct, frozen=True, kw_only=True):
    """How one trial is set up.

    Parameters
    ----------
    honours : bool
        Whether the engine refuses old fences itself; else the local process does.
    replaced : bool
        Whether the local process is replaced while the holder is paused.
    lost_answers : int
        Answers that the table loses first.
    fenced : bool
        False for the baseline in which nobody checks fences.
    guarded : bool
        False for the baseline in which the holder does not check its lease.
    """

    honours: bool
    replaced: bool = False
    lost_answers: int = 0
    fenced: bool = True
    guarded: bool = True


class Trial:
    """One holder, one rival, one pause."""

    def __init__(self, *, scene: Scene, pause_at: int, pause_ms: float):
        self._scene = scene
        self._pause_at = pause_at
        self._pause_ms = pause_ms
        self._clock = ManualClock()
        self._table = FakeTable(clock=self._clock)
        self._table.lose_answers = scene.lost_answers
        self.target = Target(checks=scene.fenced and scene.honours)
        self._gate = FenceGate(table=self._table)
        self.steps = 0
        self.paused = False
        self.taken_over = False

    def run(self) -> None:
        """Drive the holder step by step, with the pause before one of the steps."""
        holder = self._act("first", EFFECTS)
        while self.steps < MAX_STEPS:
            if self.steps == self._pause_at and not self.paused:
                self._pause()
            self.steps += 1
            if not _step(holder):
                return
            self._clock.advance_ms(1.0)

    def _pause(self) -> None:
        """Let the time pass for all but the holder."""
        self.paused = True
        if self._scene.replaced:
            self._gate = FenceGate(table=self._table)
        rival = self._act("second", 2)
        end_ms = self._clock.now_ms() + self._pause_ms
        while self._clock.now_ms() < end_ms:
            self._clock.advance_ms(RIVAL_STEP_MS)
            if not _step(rival):
                self.taken_over = True
                return self._clock.advance_ms(max(0.0, end_ms - self._clock.now_ms()))
        rival.close()

    def _keeper(self, name: str) -> LeaseManager:
        parameters = LeaseParameters(duration_ms=DURATION_MS, settle_ms=400.0)
        return LeaseManager(
            table=self._table,
            clock=self._clock,
            incarnation=name,
            parameters=parameters,
        )

    async def _act(self, name: str, effects: int) -> None:
        """Take the duty, announce the fence, then order effects until it is lost."""
        keeper = self._keeper(name)
        lease = await self._take(keeper)
        await self._order(name, lease, told_only=True)
        for _ in range(effects):
            # What the order is worked out from; the lease is checked after it.
            await self._table.read("plans", DUTY)
            await self._order(name, lease)
            await keeper.renew(lease)
            await asyncio.sleep(0)

    async def _take(self, keeper: LeaseManager) -> Lease:
        while True:
            taken = await keeper.acquire(DUTY)
            if isinstance(taken, Success):
                return taken.unwrap()
            await asyncio.sleep(0)

    async def _order(self, name: str, lease: Lease, *, told_only: bool = False) -> None:
        """Send one order through the local process, with pauses where they can be."""
        await self._gate.load_fence(DUTY)
        if self._scene.guarded and not isinstance(lease.fence_if_held(), Success):
            return
        # A pause between the check and the sending: no await of the product is here.
        await asyncio.sleep(0)
        gate = self._gate
        if self._scene.fenced and not self._scene.honours:
            if gate.highest(DUTY) is None:
                await gate.load_fence(DUTY)
            if not isinstance(gate.check_fence(DUTY, lease.fence), Success):
                return
        if told_only:
            self.target.tell(lease.fence)
        else:
            self.target.run(name, lease.fence)


def _step(coroutine: Coroutine[Any, Any, None]) -> bool:
    """Run up to the next await; return whether there is more."""
    try:
        coroutine.send(None)
    except StopIteration:
        return False
    return True


class Tally(msgspec.Struct, kw_only=True):
    """Sums over the trials of one kind."""

    pauses: int = 0
    taken_over: int = 0
    stale: int = 0
    orders: int = 0


def run_scene(scene: Scene, pauses_ms: tuple[float, ...]) -> Tally:
    """Pause the holder before each of its steps, for each length."""
    tally = Tally()
    for pause_ms in pauses_ms:
        at = 0
        while True:
            trial = Trial(scene=scene, pause_at=at, pause_ms=pause_ms)
            trial.run()
            if not trial.paused:
                break
            tally.pauses += 1
            tally.taken_over += trial.taken_over
            tally.stale += trial.target.stale
            tally.orders += len(trial.target.runs)
            at += 1
    return tally


SCENES = {
    "engine honours fences": Scene(honours=True),
    "engine ignores, local process checks": Scene(honours=False),
    "the same, local process replaced": Scene(honours=False, replaced=True),
    "honours, answers lost": Scene(honours=True, lost_answers=3),
    "ignores, answers lost": Scene(honours=False, lost_answers=3),
}
BASELINES = {
    "baseline: lease check alone": Scene(honours=False, fenced=False),
    "baseline: no check at all": Scene(honours=False, fenced=False, guarded=False),
}


def main() -> None:
    """Run the benchmark and print its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    choices = random.Random(arguments.seed)
    more = 2 if arguments.quick else 20
    drawn = [choices.uniform(1.0, 3 * DURATION_MS) for _ in range(more)]
    pauses_ms = (*PAUSES_MS, *drawn)
    print(f"{'':42}{'pauses':>8}{'taken over':>12}{'orders':>8}{'stale':>7}")
    total = Tally()
    for name, scene in {**SCENES, **BASELINES}.items():
        tally = run_scene(scene, pauses_ms)
        print(
            f"{name:42}{tally.pauses:8}{tally.taken_over:12}{tally.orders:8}"
            f"{tally.stale:7}"
        )
        if name in SCENES:
            total.pauses += tally.pauses
            total.stale += tally.stale
    met = total.stale == 0 and total.pauses >= LEAST_PAUSES
    print(f"pauses of the product's ways {total.pauses}, expected {LEAST_PAUSES}")
    print(
        f"RESULT name=leases value={total.stale} target=0 met={'yes' if met else 'no'}"
    )


if __name__ == "__main__":
    main()
