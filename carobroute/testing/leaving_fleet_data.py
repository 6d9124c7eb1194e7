"""Gateways before targets that leave or pause by their answers, in virtual time."""

import asyncio
import random
from collections import defaultdict

import msgspec

from carobroute.domain import ListedTargetState, TargetEntry
from carobroute.gateway import Target, TargetDirectory
from carobroute.testing.gateway_data import make_target_entry
from carobroute.utils import Clock

DRAIN_MS = 2_000.0
PAUSE_MS = 4_000.0
# Calls within this time after the answer that asked for a pause do not count.
PAUSE_SLACK_MS = 500.0
LIST_INTERVAL_MS = 800.0
DIGEST_INTERVAL_MS = 300.0
ANSWER_MS = 10.0
MAX_QUEUE_MS = 1_500.0
TARGETS = 6


class SentCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call that has reached a target.

    Parameters
    ----------
    gateway : int
        Gateway that has sent it.
    run_id : str
        Run of the target.
    taken_ms, sent_ms : float
        When the gateway took it from its caller, and when it sent it.
    """

    gateway: int
    run_id: str
    taken_ms: float
    sent_ms: float


class CallingGateway:
    """A directory of targets, and calls to the usable ones.

    Parameters
    ----------
    fleet : LeavingFleet
        Fleet of the gateway.
    number : int
        Number of the gateway.
    """

    def __init__(self, *, fleet: "LeavingFleet", number: int):
        self._fleet = fleet
        self._number = number
        self.directory = TargetDirectory(
            clock=fleet.clock, store_outage_ms=5_000.0, lapsed_grace_ms=2_200.0
        )

    async def read_list(self) -> None:
        """Read the list of targets again and again."""
        while True:
            self.directory.update(list(self._fleet.entries.values()))
            for mistake in self._fleet.mistakes:
                mistake(self)
            await self._fleet.clock.sleep_ms(LIST_INTERVAL_MS)

    async def send_calls(self) -> None:
        """Take calls, which wait for a time before they are sent."""
        fleet = self._fleet
        while True:
            await fleet.clock.sleep_ms(fleet.random.uniform(*fleet.call_interval_ms))
            fleet.tasks.append(asyncio.ensure_future(self._call()))

    async def _call(self) -> None:
        fleet = self._fleet
        taken_ms = fleet.clock.now_ms()
        usable = [t for t in self.directory.all_targets() if t.is_usable]
        if not usable:
            return
        target = fleet.random.choice(usable)
        await fleet.clock.sleep_ms(fleet.random.uniform(0, MAX_QUEUE_MS))
        if fleet.checks_when_sent and not target.is_usable:
            return
        fleet.calls.append(
            SentCall(
                gateway=self._number,
                run_id=target.run_id,
                taken_ms=taken_ms,
                sent_ms=fleet.clock.now_ms(),
            )
        )
        await fleet.clock.sleep_ms(ANSWER_MS)
        self._read_answer(target)

    def _read_answer(self, target: Target) -> None:
        fleet = self._fleet
        told = (self._number, target.run_id)
        if target.run_id in fleet.leaving:
            fleet.told_ms.setdefault(told, fleet.clock.now_ms())
            self.directory.note_leaving(target.run_id)
        if told not in fleet.told_ms and target.run_id in fleet.pausing:
            fleet.told_ms[told] = fleet.clock.now_ms()
            target.pause(PAUSE_MS)


class LeavingFleet:
    """Gateways, the list that they read, and the digests between them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    size : int
        Number of gateways.
    """

    def __init__(self, *, clock: Clock, random: random.Random, size: int):
        self.clock = clock
        self.random = random
        self.entries = {
            f"i-{number}": make_target_entry(incarnation=f"i-{number}")
            for number in range(TARGETS)
        }
        self.gateways = [
            CallingGateway(fleet=self, number=number) for number in range(size)
        ]
        # Runs that say in each answer that they leave, or ask each gateway to pause.
        self.leaving: set[str] = set()
        self.pausing: set[str] = set()
        # When each gateway was told by each run.
        self.told_ms: dict[tuple[int, str], float] = {}
        self.calls: list[SentCall] = []
        self.tasks: list[asyncio.Future] = []
        # Shortest and longest time between two calls of a gateway.
        self.call_interval_ms = (20.0, 60.0)
        self.tells_peers = True
        self.checks_when_sent = True
        self.mistakes: list = []

    def list_target(self, name: str, **changes: object) -> TargetEntry:
        """Change a target's entry in the list, and return it."""
        entry = msgspec.structs.replace(self.entries[name], **changes)
        self.entries[name] = entry
        return entry

    async def run(self) -> None:
        """Read, call and send digests, until cancelled."""
        for gateway in self.gateways:
            self.tasks += [
                asyncio.ensure_future(gateway.read_list()),
                asyncio.ensure_future(gateway.send_calls()),
            ]
        try:
            while True:
                await self.clock.sleep_ms(DIGEST_INTERVAL_MS)
                if self.tells_peers:
                    self._spread()
        finally:
            for task in self.tasks:
                task.cancel()

    def _spread(self) -> None:
        for sender in self.gateways:
            for run_id in sender.directory.leaving_runs:
                for gateway in self.gateways:
                    gateway.directory.note_leaving(
                        run_id, is_first_hand=gateway is sender
                    )

    def calls_after_leaving(self) -> list[SentCall]:
        """Return the calls that a gateway must not have sent to a leaving target."""
        return [
            call
            for call in self.calls
            if call.run_id in self.leaving
            and call.taken_ms
            > self.told_ms.get((call.gateway, call.run_id), float("inf")) + DRAIN_MS
        ]

    def calls_after_first_word(self) -> list[SentCall]:
        """Return the calls taken later than the drain time after any gateway's word."""
        first_ms: dict[str, float] = {}
        for (_, run_id), told_ms in self.told_ms.items():
            first_ms[run_id] = min(told_ms, first_ms.get(run_id, told_ms))
        return [
            call
            for call in self.calls
            if call.run_id in self.leaving
            and call.taken_ms > first_ms.get(call.run_id, float("inf")) + DRAIN_MS
        ]

    def most_calls_in_a_pause(self) -> int:
        """Return the most calls of one gateway that reached a target in its pause."""
        counts: dict[tuple[int, str], int] = defaultdict(int)
        for call in self.calls:
            told = (call.gateway, call.run_id)
            since_ms = call.sent_ms - self.told_ms.get(told, float("inf"))
            if call.run_id in self.pausing and PAUSE_SLACK_MS < since_ms < PAUSE_MS:
                counts[told] += 1
        return max(counts.values(), default=0)


def take_list_at_its_word(gateway: CallingGateway) -> None:
    """Seeded mistake: an entry that says ready takes a target back."""
    gateway.directory._leaving_runs.clear()
    for target in gateway.directory.all_targets():
        target.entry = msgspec.structs.replace(
            target.entry, condition=ListedTargetState.READY
        )


def keep_over_new_starts(gateway: CallingGateway) -> None:
    """Seeded mistake: a target that left does so under each new start, too."""
    left = {run_id.partition("@")[0] for run_id in gateway.directory._leaving_runs}
    for target in gateway.directory.all_targets():
        if target.incarnation in left:
            gateway.directory.note_leaving(target.run_id)
