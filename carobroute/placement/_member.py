"""The member of a group: one local process with the ranks that it hosts.

The names of states and transitions are those of `spec/expert_map.py`.
"""

import asyncio
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault
from carobroute.links import Message, Nack, Ok
from carobroute.placement._engine_orders import EngineOrders
from carobroute.placement._epoch import EpochJoin
from carobroute.placement._interface import EngineStatus, GroupPeers, RankEngine
from carobroute.placement._map import NO_ATTEMPT, Attempt, ExpertMap, MapVersion
from carobroute.placement._messages import (
    AskJoin,
    AskOutcome,
    Decide,
    FetchMap,
    JoinReply,
    LoadMap,
    LoadReply,
    MapReply,
    OutcomeReply,
    Prepare,
    PrepareReply,
    Probe,
    ProbeReply,
    SwitchOutcome,
)
from carobroute.placement._settlement import Settlement
from carobroute.utils import Clock, TaskSet


class MemberParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a member.

    Parameters
    ----------
    poll_ms : float
        Interval at which the engine's status is read.
    call_ms : float
        Longest wait for another member's reply.
    settle_after_ms : float
        Time that a promise waits for its coordinator before the members settle.
    retry_ms : float
        Pause before a call or an order is sent again.
    """

    poll_ms: float = 50.0
    call_ms: float = 150.0
    settle_after_ms: float = 180.0
    retry_ms: float = 20.0


class Promise:
    """An open promise not to pass `step` before the attempt's outcome is known."""

    __slots__ = ("attempt", "given", "settlement", "settling", "step", "version")

    def __init__(self, *, attempt: Attempt, version: MapVersion, step: int):
        self.attempt = attempt
        self.version = version
        self.step = step
        self.given = False
        self.settling = False
        self.settlement: asyncio.Task | None = None


class RankMember:
    """Takes part in the switches of one group for the ranks hosted beside it.

    Parameters
    ----------
    group : str
        Name of the group.
    name, incarnation : str
        Slot and run of this process.
    ranks : sequence of int
        Ranks hosted here.
    engine : RankEngine
        Orders to those ranks.
    peers : GroupPeers
        Calls to the other members.
    clock : Clock
        Source of time.
    initial : callable
        Returns the map of a group that has never switched, from the ticket in force.
    parameters : MemberParameters, default=None
        Times.
    on_event : callable, default=None
        Called with an event name and fields, for the log.

    Notes
    -----
    A promise binds in memory only. That is enough, because a member that loses its
    memory is a new incarnation, which attaches its ranks anew and so begins a new
    epoch; a promise or decision of one epoch means nothing in the next, and the map
    of an epoch is the highest that any of its members had in force on entering it.
    """

    def __init__(
        self,
        *,
        group: str,
        name: str,
        incarnation: str,
        ranks: Sequence[int],
        engine: RankEngine,
        peers: GroupPeers,
        clock: Clock,
        initial: Callable[[], ExpertMap],
        parameters: MemberParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self.group = group
        self.name = name
        self.incarnation = incarnation
        self.ranks = tuple(ranks)
        self.engine = engine
        self.peers = peers
        self.clock = clock
        self.parameters = parameters or MemberParameters()
        self.on_event = on_event or (lambda *args, **fields: None)
        self._initial = initial
        self._orders = EngineOrders(member=self)
        self._tasks = TaskSet(on_failure=self._task_failed)
        self._epoch = 0
        self._joined = False
        self._attached = False
        self._retired = False
        self._in_force: ExpertMap | None = None
        self._in_force_step = 0
        self._in_force_attempt = NO_ATTEMPT
        self._promise: Promise | None = None
        self._high_water = NO_ATTEMPT
        self._known: dict[MapVersion, ExpertMap] = {}
        self._loaded: set[MapVersion] = set()
        self._load: asyncio.Task | None = None
        self._load_version: MapVersion | None = None
        self._load_refusal = ""
        self._join: asyncio.Task | None = None
        self._status = EngineStatus(epoch=0, step=0, step_ms=0.0, roster={})

    @property
    def epoch(self) -> int:
        """Epoch of the rank group that this member is in."""
        return self._epoch

    @property
    def joined(self) -> bool:
        """Whether the member takes part in its epoch."""
        return self._joined

    @property
    def retired(self) -> bool:
        """Whether another incarnation owns the ranks."""
        return self._retired

    @property
    def in_force(self) -> ExpertMap:
        """Map in force here; the initial one until the member has joined."""
        if self._in_force is None:
            return self._initial()
        return self._in_force

    @property
    def promise(self) -> Promise | None:
        """The open promise, if there is one."""
        return self._promise

    @property
    def status(self) -> EngineStatus:
        """Last status read from the engine."""
        return self._status

    def start(self) -> None:
        """Attach the ranks and follow the engine until `stop`."""
        self._tasks.spawn(self._run(), name=f"member {self.group}")

    async def stop(self) -> None:
        """End the member's tasks; the ranks keep what they were last told."""
        await self._tasks.close()

    def dump(self) -> dict[str, object]:
        """Return the state for an operator's dump."""
        promise = self._promise
        return {
            "group": self.group,
            "ranks": list(self.ranks),
            "epoch": self._epoch,
            "joined": self._joined,
            "retired": self._retired,
            "in_force": msgspec.to_builtins(self.in_force.version),
            "step": self._status.step,
            "high_water": msgspec.to_builtins(self._high_water),
            "promised": msgspec.to_builtins(promise.attempt) if promise else None,
            "settling": bool(promise and promise.settling),
        }

    # Handlers of messages.

    async def on_probe(self, entry: Probe) -> Message:
        """Answer with the member's state."""
        await self._read_status()
        return ProbeReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            joined=self._joined,
            version=self.in_force.version,
            step=self._status.step,
            step_ms=self._status.step_ms,
            high_water=self._high_water,
            undecided=self._promise is not None,
        )

    async def on_load(self, entry: LoadMap) -> Message:
        """Load a map beside the one in force; answers at once with how far it is."""
        await self._read_status()
        version = entry.expert_map.version
        refusal = self._load_obstacle(entry)
        if not refusal and version not in self._loaded:
            refusal = self._begin_load(entry.expert_map)
        return LoadReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            step=self._status.step,
            step_ms=self._status.step_ms,
            loaded=not refusal and version in self._loaded,
            refusal=refusal,
        )

    async def on_prepare(self, entry: Prepare) -> Message:
        """Promise not to pass a step before the attempt's outcome is known."""
        self._notice_epoch(entry.epoch)
        promise = self._promise
        if promise and promise.attempt == entry.attempt and promise.given:
            return self._prepare_reply(entry)
        refusal = self._prepare_obstacle(entry)
        if refusal:
            return self._prepare_reply(entry, refusal)
        self._high_water = entry.attempt
        promise = Promise(attempt=entry.attempt, version=entry.version, step=entry.step)
        self._promise = promise
        held = await self._orders.hold_before(entry.step, epoch=entry.epoch)
        if self._promise is not promise:
            return self._prepare_reply(entry, "overtaken while the ranks were held")
        if not held:
            self._abort(promise)
            return self._prepare_reply(entry, f"step {entry.step} has begun")
        promise.given = True
        self._tasks.spawn(self._await_decision(promise), name="await decision")
        return self._prepare_reply(entry)

    def on_decide(self, entry: Decide) -> Message:
        """Follow the coordinator's decision."""
        self._notice_epoch(entry.epoch)
        if entry.epoch != self._epoch:
            return Ok()
        promise = self._promise
        if promise is None or promise.attempt != entry.attempt:
            if not entry.switch:
                self._high_water = max(self._high_water, entry.attempt)
        elif entry.switch and promise.given:
            self._switch(promise)
        elif not entry.switch and not promise.settling:
            self._abort(promise)
        return Ok()

    def on_ask_outcome(self, entry: AskOutcome) -> Message:
        """Answer what is known about an attempt, and be bound by the answer."""
        self._notice_epoch(entry.epoch)
        outcome = SwitchOutcome.UNKNOWN
        if entry.epoch == self._epoch and self._joined:
            outcome = self._bound_outcome(entry.attempt)
        return OutcomeReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            attempt=entry.attempt,
            outcome=outcome,
        )

    def on_ask_join(self, entry: AskJoin) -> Message:
        """Answer with the map that was in force when this member entered the epoch."""
        self._notice_epoch(entry.epoch)
        return JoinReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            version=self.in_force.version,
        )

    def on_fetch_map(self, entry: FetchMap) -> Message:
        """Answer with the content of a map."""
        known = {self.in_force.version: self.in_force, **self._known}
        return MapReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            expert_map=known.get(entry.version),
        )

    def refusal(self) -> Message | None:
        """Return a refusal if this incarnation does not own the ranks."""
        if self._attached and not self._retired:
            return None
        detail = f"{self.incarnation} does not own ranks {list(self.ranks)}"
        return Nack(fault=Fault(kind=ErrorKind.STALE_FENCE, detail=detail))

    # Switching.

    def _prepare_reply(self, entry: Prepare, refusal: str = "") -> PrepareReply:
        return PrepareReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            attempt=entry.attempt,
            promised=not refusal,
            step=self._status.step,
            refusal=refusal,
        )

    def _prepare_obstacle(self, entry: Prepare) -> str:
        if entry.epoch != self._epoch or not self._joined:
            return f"in epoch {self._epoch}, joined {self._joined}"
        if entry.attempt <= self._high_water:
            return f"attempt {entry.attempt} is not above {self._high_water}"
        if self._promise is not None:
            self._begin_settlement(self._promise)
            return f"attempt {self._promise.attempt} is undecided"
        if entry.version <= self.in_force.version:
            return f"version {entry.version} is not above the one in force"
        if entry.version not in self._loaded:
            return f"version {entry.version} is not loaded"
        if self._status.step < self._in_force_step:
            return f"the map in force takes effect at step {self._in_force_step}"
        return ""

    def _bound_outcome(self, attempt: Attempt) -> SwitchOutcome:
        promise = self._promise
        if promise is not None and promise.attempt == attempt:
            if promise.given:
                self._begin_settlement(promise)
                return SwitchOutcome.PROMISED
            self._abort(promise)
        elif self._in_force_attempt == attempt:
            return SwitchOutcome.SWITCHED
        self._high_water = max(self._high_water, attempt)
        return SwitchOutcome.ABORTED

    def _switch(self, promise: Promise) -> None:
        self._promise = None
        self._in_force = self._known[promise.version]
        self._in_force_step = promise.step
        self._in_force_attempt = promise.attempt
        self.on_event("map_switch", group=self.group, step=promise.step)
        order = self._orders.set_map(
            promise.version, epoch=self._epoch, step=promise.step
        )
        self._tasks.spawn(order, name="set map")

    def _abort(self, promise: Promise) -> None:
        self._promise = None
        self.on_event("map_switch_aborted", group=self.group, step=promise.step)
        order = self._orders.release_hold(epoch=self._epoch)
        self._tasks.spawn(order, name="release hold")

    async def _await_decision(self, promise: Promise) -> None:
        await self.clock.sleep_ms(self.parameters.settle_after_ms)
        self._begin_settlement(promise)

    def _begin_settlement(self, promise: Promise) -> None:
        """Stop to obey an abort, and ask the others for the outcome."""
        if self._promise is not promise or not promise.given or promise.settling:
            return
        promise.settling = True
        promise.settlement = self._tasks.spawn(self._settle(promise), name="settle")

    async def _settle(self, promise: Promise) -> None:
        """Find the outcome among the members, without the coordinator."""
        self.on_event("map_settlement", level="warning", group=self.group)
        settlement = Settlement(
            member=self, attempt=promise.attempt, roster=self._status.roster
        )
        while self._promise is promise:
            outcome = await settlement.ask_all()
            if self._promise is not promise:
                return
            if outcome is SwitchOutcome.SWITCHED:
                self._switch(promise)
            elif outcome is SwitchOutcome.ABORTED:
                self._abort(promise)
            else:
                await self.clock.sleep_ms(self.parameters.retry_ms)

    # Loading.

    def _load_obstacle(self, entry: LoadMap) -> str:
        version = entry.expert_map.version
        if entry.epoch != self._epoch or not self._joined:
            return f"in epoch {self._epoch}, joined {self._joined}"
        if version <= self.in_force.version:
            return f"version {version} is not above the one in force"
        if self._load_version is not None and version < self._load_version:
            return f"version {self._load_version} is being loaded"
        return ""

    def _begin_load(self, expert_map: ExpertMap) -> str:
        """Load `expert_map`; a load of a lower version is stopped at once.

        Returns why the load failed or cannot begin, or an empty string.
        """
        if self._load_version == expert_map.version:
            refusal = self._load_refusal
            if refusal:
                self._load_version = None
            return refusal
        if self._promise is not None:
            return f"attempt {self._promise.attempt} is undecided"
        if self._load is not None:
            self._load.cancel()
        self._load_version = expert_map.version
        self._load_refusal = ""
        self._known[expert_map.version] = expert_map
        self._load = self._tasks.spawn(self._load_map(expert_map), name="load map")
        return ""

    async def _load_map(self, expert_map: ExpertMap) -> None:
        result = await self.engine.load(expert_map)
        if isinstance(result, Success):
            self._loaded.add(expert_map.version)
        else:
            self._load_refusal = str(result.failure())

    # Epochs.

    def notice_status(self, status: EngineStatus) -> None:
        """Take in a status read from the engine."""
        if status.epoch >= self._status.epoch:
            self._status = status
        self._notice_epoch(status.epoch)
        owners = {status.roster.get(rank) for rank in self.ranks}
        if status.epoch == self._epoch and owners != {self.incarnation}:
            self._retire()

    def _notice_epoch(self, epoch: int) -> None:
        """Enter a higher epoch; an open promise ends with the old one."""
        if epoch <= self._epoch or self._retired:
            return
        self._epoch = epoch
        self._joined = False
        self._promise = None
        self._in_force = self.in_force
        if self._join is not None:
            self._join.cancel()
        self._join = self._tasks.spawn(self._enter(epoch), name="join epoch")

    async def _enter(self, epoch: int) -> None:
        join = EpochJoin(member=self, epoch=epoch)
        adopted = await join.adopt()
        if adopted is None or self._epoch != epoch:
            return
        self._in_force = adopted
        self._in_force_step = 0
        self._in_force_attempt = NO_ATTEMPT
        self._known[adopted.version] = adopted
        self._loaded.add(adopted.version)
        if await self._orders.join(adopted.version, epoch=epoch):
            self._joined = True
            self.on_event("epoch_joined", group=self.group, epoch=epoch)

    def known_map(self, version: MapVersion) -> ExpertMap | None:
        """Return a map whose content this member has."""
        if self.in_force.version == version:
            return self.in_force
        return self._known.get(version)

    def _retire(self) -> None:
        if not self._retired:
            self._retired = True
            self._joined = False
            self._promise = None
            self.on_event("member_retired", level="warning", group=self.group)

    # Following the engine.

    async def _run(self) -> None:
        await self._attach()
        while not self._retired:
            await self.clock.sleep_ms(self.parameters.poll_ms)
            status = await self._read_status()
            if status is not None and self._joined:
                await self._tidy(status)

    async def _attach(self) -> None:
        while True:
            epoch = await self.engine.attach()
            if isinstance(epoch, Success):
                self._attached = True
                self._notice_epoch(epoch.unwrap())
                return
            await self.clock.sleep_ms(self.parameters.retry_ms)

    async def _read_status(self) -> EngineStatus | None:
        result: Result[EngineStatus, Fault] = await self.engine.status()
        if not isinstance(result, Success):
            return None
        self.notice_status(result.unwrap())
        return result.unwrap()

    async def _tidy(self, status: EngineStatus) -> None:
        """Release a stray hold, and free experts that no map needs any more."""
        if status.held and self._promise is None and not self._orders.busy:
            await self._orders.release_hold(epoch=self._epoch)
        if status.step < self._in_force_step or self._promise is not None:
            return
        in_force = self.in_force.version
        kept = {in_force}
        if self._load_version is not None and self._load_version > in_force:
            kept.add(self._load_version)
        else:
            self._load_version = None
        if self._loaded <= kept:
            return
        self._loaded &= kept
        self._known = {v: m for v, m in self._known.items() if v in kept}
        await self.engine.unload(sorted(kept))

    def _task_failed(self, name: str, error: BaseException) -> None:
        self.on_event("task_failed", level="error", task=name, error=repr(error))
