"""A simulated fleet before targets that crash at one part of a prompt.

Calls have no body and no connection; gateways keep their real quarantine and exchange
real digests, each of which arrives after a fixed time.
"""

import asyncio
import io
import random
from collections.abc import Callable

import msgspec
from returns.result import Failure

from carobroute.gateway._digests import Digest, PeerState
from carobroute.gateway._evidence_store import EvidenceStore
from carobroute.gateway._prompt_quarantine import PromptQuarantine, Trial
from carobroute.platform import RowStore
from carobroute.telemetry import EventLog
from carobroute.testing.row_store_data import MemoryRowStore
from carobroute.utils import Backoff, Clock

SERVICE = "model"
READ_MS = 180.0
EVENT_GAP_MS = 60.0
EVENTS = 12
RESTART_MS = 4_000.0
FORMING_MS = 600.0
# Time in which a gateway finds out that a target has crashed.
DETECTION_MS = 5.0
MAX_ATTEMPTS = 2
MAX_WAIT_MS = 8_000.0


class PartCall(msgspec.Struct, kw_only=True):
    """One call and what became of it.

    Parameters
    ----------
    at_ms : float
        Time of its arrival.
    gateway : str
        Gateway that received it.
    parts : tuple of str
        Parts of its prompt, without the last one.
    sent_ms : list of float
        Times at which it was sent to a target.
    is_refused : bool
        Whether the quarantine refused it.
    is_unlucky : bool
        Whether it found no target, or its target failed for another reason.
    has_begun : bool
        Whether its first attempt began an answer.
    """

    at_ms: float
    gateway: str
    parts: tuple[str, ...]
    sent_ms: list[float] = []
    is_refused: bool = False
    is_unlucky: bool = False
    has_begun: bool = False


class PartTarget:
    """Target that may be down, in a group or on its own."""

    __slots__ = ("down_until_ms", "group", "incarnation", "name")

    def __init__(self, *, name: str, group: int):
        self.name = name
        self.group = group
        self.incarnation = 1
        self.down_until_ms = 0.0

    @property
    def crash(self) -> str:
        """Name of the crash of the current incarnation."""
        return f"{self.name}@{self.incarnation}"


class PartGateway:
    """Gateway of the simulated fleet."""

    __slots__ = (
        "clock",
        "digest_number",
        "evidence_store",
        "frozen_until_ms",
        "is_cut_off",
        "name",
        "peer_state",
        "quarantine",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        name: str,
        on_change: Callable[[], None],
        store: RowStore,
        random: random.Random,
    ):
        self.clock = clock
        self.name = name
        self.peer_state = PeerState(
            clock=clock, calls_expiry_ms=1_200.0, gone_after_ms=1_200.0
        )
        self.quarantine = PromptQuarantine(
            clock=clock,
            name=name,
            peer_trials=self.peer_state.trials_of,
            on_change=on_change,
        )
        self.evidence_store = EvidenceStore(
            store=store,
            quarantine=self.quarantine,
            count_stronger=lambda: self.peer_state.count_stronger(name, 0.0),
            events=EventLog(name=name, stream=io.StringIO(), clock=clock),
            clock=clock,
            backoff=Backoff(random=random, min_ms=100.0, max_ms=800.0),
        )
        self.digest_number = 0
        self.is_cut_off = False
        self.frozen_until_ms = 0.0

    def make_digest(self) -> Digest:
        """Return a digest with the evidence and the trials."""
        self.digest_number += 1
        part_evidence, is_complete = self.quarantine.make_reports()
        return Digest(
            self.name,
            f"10.0.0.1:{self.name}",
            self.digest_number,
            {},
            {},
            part_evidence=part_evidence,
            trials=self.quarantine.trials,
            is_evidence_complete=is_complete,
        )


class PoisonedFleet:
    """Gateways that exchange late digests before targets that crash at bad parts.

    Parameters
    ----------
    clock : Clock
        Source of time, whose sleeps take virtual time.
    random : random.Random
        Random number generator.
    gateways, targets : int
        Numbers of gateways and of targets.
    group_size : int
        Targets in each group; 1 for targets on their own.
    digest_ms : float
        Interval between digests, and the time that each takes.
    is_bad : callable
        Returns whether a target crashes that begins an answer on these parts.
    passes_digest : callable, default=None
        Returns whether a digest arrives at a peer; None if all do.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        gateways: int,
        targets: int,
        group_size: int,
        digest_ms: float,
        is_bad: Callable[[tuple[str, ...]], bool],
        passes_digest: Callable[[PartGateway, PartGateway], bool] | None = None,
    ):
        self.clock = clock
        self._random = random
        self._digest_ms = digest_ms
        self._is_bad = is_bad
        self._passes_digest = passes_digest or (lambda sender, receiver: True)
        self.store = MemoryRowStore(clock=clock)
        self.targets = [
            PartTarget(name=f"i-{n}", group=n // group_size) for n in range(targets)
        ]
        self._group_size = group_size
        self._broken_until_ms: dict[int, float] = {}
        self.gateways = [self._make_gateway(f"g-{n}") for n in range(gateways)]
        self._background: dict[PartGateway, list[asyncio.Task[None]]] = {}
        self.calls: list[PartCall] = []
        self.crash_times_ms: list[float] = []

    async def run(
        self,
        duration_ms: float,
        calls_per_s: float,
        make_parts: Callable[[random.Random, float], tuple[str, ...]],
    ) -> None:
        """Send calls at random times to random gateways."""
        for gateway in self.gateways:
            self._start(gateway)
        calls = []
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(self._random.expovariate(calls_per_s / 1_000))
            gateway = self._random.choice(self.gateways)
            now_ms = self.clock.now_ms()
            if now_ms < gateway.frozen_until_ms:
                continue
            call = PartCall(
                at_ms=now_ms,
                gateway=gateway.name,
                parts=make_parts(self._random, now_ms),
                sent_ms=[],
            )
            self.calls.append(call)
            calls.append(asyncio.create_task(self._call(gateway, call)))
        await asyncio.gather(*calls)
        for gateway in list(self._background):
            self._stop(gateway)

    def restart(self, index: int) -> PartGateway:
        """Replace a gateway by one that knows nothing."""
        self._stop(self.gateways[index])
        gateway = self._make_gateway(f"{self.gateways[index].name}-restarted")
        self.gateways[index] = gateway
        self._start(gateway)
        return gateway

    def crash(self, target: PartTarget) -> None:
        """Crash a target, and with it the passes of its group."""
        now_ms = self.clock.now_ms()
        target.incarnation += 1
        target.down_until_ms = now_ms + RESTART_MS
        if self._group_size > 1:
            self._broken_until_ms[target.group] = now_ms + RESTART_MS + FORMING_MS

    def is_up(self, target: PartTarget) -> bool:
        """Whether a target takes calls."""
        now_ms = self.clock.now_ms()
        broken_until_ms = self._broken_until_ms.get(target.group, 0.0)
        return now_ms >= max(target.down_until_ms, broken_until_ms)

    # One call.

    async def _call(self, gateway: PartGateway, call: PartCall) -> None:
        gateway.quarantine.note_arrival(SERVICE, call.parts)
        for attempt in range(MAX_ATTEMPTS):
            admitted = await gateway.quarantine.admit(
                SERVICE,
                call.parts,
                MAX_WAIT_MS,
                lambda: any(self.is_up(target) for target in self.targets),
            )
            if isinstance(admitted, Failure):
                call.is_refused = True
                return
            trial = admitted.unwrap()
            if gateway.quarantine.find_obstacle(SERVICE, call.parts, trial):
                call.is_unlucky = True
                return
            try:
                has_ended = await self._attempt(gateway, call, trial, attempt)
            finally:
                trial.end()
            if has_ended:
                return

    async def _attempt(
        self, gateway: PartGateway, call: PartCall, trial: Trial, attempt: int
    ) -> bool:
        """Send a call once; return whether it needs no further attempt."""
        usable = [target for target in self.targets if self.is_up(target)]
        if not usable:
            call.is_unlucky = True
            return True
        target = self._random.choice(usable)
        crash = target.crash
        call.sent_ms.append(self.clock.now_ms())
        await self.clock.sleep_ms(self._random.uniform(0.5, 1.5) * READ_MS)
        if target.crash != crash:
            await self._note_crash(gateway, call, trial, crash)
            call.is_unlucky = True
            return False
        if not self.is_up(target):
            # Another rank of the group has crashed; this one says "not run".
            call.is_unlucky = True
            return True
        if self._is_bad(call.parts):
            self.crash(target)
            self.crash_times_ms.append(self.clock.now_ms())
            await self._note_crash(gateway, call, trial, crash)
            return False
        call.has_begun = attempt == 0
        for number in range(EVENTS):
            await self.clock.sleep_ms(EVENT_GAP_MS)
            if target.crash != crash or not self.is_up(target):
                return True
            if number == 0:
                gateway.quarantine.note_begun(SERVICE, call.parts)
                trial.end()
        return True

    async def _note_crash(
        self, gateway: PartGateway, call: PartCall, trial: Trial, crash: str
    ) -> None:
        await self.clock.sleep_ms(DETECTION_MS)
        gateway.quarantine.note_interrupted(SERVICE, crash, call.parts, trial.parts)
        gateway.quarantine.note_target_lost(crash)

    # Digests.

    def _make_gateway(self, name: str) -> PartGateway:
        return PartGateway(
            clock=self.clock,
            name=name,
            on_change=lambda: None,
            store=self.store,
            random=self._random,
        )

    def _start(self, gateway: PartGateway) -> None:
        self._background[gateway] = [
            asyncio.create_task(self._send_digests(gateway)),
            asyncio.create_task(gateway.evidence_store.run()),
        ]

    def _stop(self, gateway: PartGateway) -> None:
        for task in self._background.pop(gateway, []):
            task.cancel()

    async def _send_digests(self, gateway: PartGateway) -> None:
        await self.clock.sleep_ms(self._random.uniform(0.0, self._digest_ms))
        while True:
            await self._send_digest(gateway)
            await self.clock.sleep_ms(self._digest_ms)

    async def _send_digest(self, gateway: PartGateway) -> None:
        if self.clock.now_ms() < gateway.frozen_until_ms:
            return
        digest = gateway.make_digest()
        for other in self.gateways:
            if (
                other is not gateway
                and not (gateway.is_cut_off or other.is_cut_off)
                and self.clock.now_ms() >= other.frozen_until_ms
                and self._passes_digest(gateway, other)
            ):
                self._deliver(digest, other)

    def _deliver(self, digest: Digest, receiver: PartGateway) -> None:
        receiver.peer_state.drop_silent()
        is_new = not receiver.peer_state.is_known(digest.incarnation)
        if receiver.peer_state.update(digest):
            if is_new:
                receiver.quarantine.request_complete_report()
            receiver.quarantine.merge(
                digest.part_evidence, is_complete=digest.is_evidence_complete
            )
