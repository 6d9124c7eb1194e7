"""The member of a group: one local process with the ranks that it hosts.

The names of states and transitions are those of `spec/expert_map.py`.
"""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from carobroute.errors import ErrorKind, Fault
from carobroute.links import Message, Nack, Ok
from carobroute.placement._engine_orders import EngineOrders
from carobroute.placement._engine_watch import EngineWatch
from carobroute.placement._epoch import EpochJoin
from carobroute.placement._interface import EngineStatus, GroupPeers, RankEngine
from carobroute.placement._loads import MapLoads
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
    ReplaceRanks,
    SwitchOutcome,
)
from carobroute.placement._promise import MemberParameters, Promise
from carobroute.placement._settlement import Settlement
from carobroute.utils import Clock, TaskSet


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
        self._retired = False
        self._in_force: ExpertMap | None = None
        self._in_force_step = 0
        self._in_force_attempt = NO_ATTEMPT
        self._promise: Promise | None = None
        self._high_water = NO_ATTEMPT
        self._loads = MapLoads(load=engine.load, tasks=self._tasks)
        self._watch = EngineWatch(member=self, loads=self._loads, orders=self._orders)
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
    def in_force_step(self) -> int:
        """First step of the map in force, 0 for the one that the epoch began with."""
        return self._in_force_step

    @property
    def in_effect(self) -> bool:
        """Whether the ranks have finished a step with the map in force."""
        return self._joined and self._status.step > self._in_force_step + 1

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
        self._tasks.spawn(self._watch.run(), name=f"member {self.group}")

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

    def stop_loads_below(self, version: MapVersion) -> None:
        """Stop a load that a ticket has overridden."""
        self._loads.stop_below(version)

    # Handlers of messages.

    async def on_probe(self, entry: Probe) -> Message:
        """Answer with the member's state."""
        await self._watch.read_status()
        return ProbeReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            joined=self._joined,
            version=self.in_force.version,
            step=self._status.step,
            step_ms=self._status.step_ms,
            high_water=self._high_water,
            undecided=self._promise is not None,
            work_ms=self._status.work_ms,
        )

    def on_replace_ranks(self, entry: ReplaceRanks) -> Message:
        """Start the ranks anew; they join with the map in force before a step."""
        if entry.epoch == self._epoch and self._joined:
            self._joined = False
            self._loads.forget_loaded()
            self._tasks.spawn(self._watch.attach(), name="replace ranks")
        return Ok()

    async def on_load(self, entry: LoadMap) -> Message:
        """Load a map beside the one in force; answers at once with how far it is."""
        await self._watch.read_status()
        version = entry.expert_map.version
        refusal = self._load_obstacle(entry)
        if not refusal and version not in self._loads:
            refusal = self._loads.begin(entry.expert_map)
        return LoadReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            step=self._status.step,
            step_ms=self._status.step_ms,
            loaded=not refusal and version in self._loads,
            refusal=refusal,
        )

    async def on_prepare(self, entry: Prepare) -> Message:
        """Promise not to pass a step before the attempt's outcome is known."""
        self.notice_epoch(entry.epoch)
        promise = self._promise
        if promise is not None and promise.given and promise.answers(entry):
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
        self.notice_epoch(entry.epoch)
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
        self.notice_epoch(entry.epoch)
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
        self.notice_epoch(entry.epoch)
        return JoinReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            version=self.in_force.version,
        )

    def on_fetch_map(self, entry: FetchMap) -> Message:
        """Answer with the content of a map."""
        return MapReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            expert_map=self.known_map(entry.version),
        )

    def refusal(self) -> Message | None:
        """Return a refusal if this incarnation does not own the ranks."""
        if self._watch.attached and not self._retired:
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
        if entry.version not in self._loads:
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
        self._in_force = self._loads.known(promise.version)
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

    def _load_obstacle(self, entry: LoadMap) -> str:
        version = entry.expert_map.version
        if entry.epoch != self._epoch or not self._joined:
            return f"in epoch {self._epoch}, joined {self._joined}"
        if version <= self.in_force.version:
            return f"version {version} is not above the one in force"
        if self._promise is not None and version not in self._loads:
            return f"attempt {self._promise.attempt} is undecided"
        return self._loads.obstacle(version)

    # Epochs.

    def notice_status(self, status: EngineStatus) -> None:
        """Take in a status read from the engine."""
        if status.epoch >= self._status.epoch:
            self._status = status
        self.notice_epoch(status.epoch)
        owners = {status.roster.get(rank) for rank in self.ranks}
        if status.epoch == self._epoch and owners != {self.incarnation}:
            self._retire()

    def notice_epoch(self, epoch: int) -> None:
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
        self._loads.add(adopted)
        if await self._orders.join(adopted.version, epoch=epoch):
            self._joined = True
            self.on_event("epoch_joined", group=self.group, epoch=epoch)

    def learn(self, expert_map: ExpertMap) -> None:
        """Take over a higher map that another member had in force in this epoch."""
        if not self._joined and expert_map.version > self.in_force.version:
            self._in_force = expert_map
            self._in_force_step = 0
            self._in_force_attempt = NO_ATTEMPT

    def known_map(self, version: MapVersion) -> ExpertMap | None:
        """Return a map whose content this member has."""
        if self.in_force.version == version:
            return self.in_force
        return self._loads.known(version)

    def _retire(self) -> None:
        if not self._retired:
            self._retired = True
            self._joined = False
            self._promise = None
            self.on_event("member_retired", level="warning", group=self.group)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self.on_event("task_failed", level="error", task=name, error=repr(error))
