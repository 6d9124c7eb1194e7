"""Member of a group: the part of a local process that switches its ranks' map.

States and transitions have the names that they have in `spec/expert_map.py`.
"""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from carobroute.errors import ErrorKind, Fault
from carobroute.links import Message, Nack, Ok
from carobroute.placement._engine_monitor import EngineMonitor
from carobroute.placement._engine_orders import EngineOrderSender
from carobroute.placement._epoch_join import EpochJoin
from carobroute.placement._interface import EngineStatus, GroupPeers, RankEngine
from carobroute.placement._map import NO_ATTEMPT, Attempt, ExpertMap, MapVersion
from carobroute.placement._map_loader import MapLoader
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
    """Participant in the map switches of one group, for the ranks that it hosts.

    Parameters
    ----------
    group : str
        Name of the group.
    name, incarnation : str
        Name of the member, and incarnation of this process.
    ranks : sequence of int
        Ranks hosted by this process.
    engine : RankEngine
        Engine that runs the ranks.
    peers : GroupPeers
        Calls to the other members.
    clock : Clock
        Source of time.
    initial_map : callable
        Returns the map of a group that has never switched, from the ticket in force.
    parameters : MemberParameters, default=None
        Timeouts and intervals.
    on_event : callable, default=None
        Called with an event name and fields, for the log.

    Notes
    -----
    Promises are kept in memory only. This is safe because a member that loses its
    memory restarts as a new incarnation, which attaches its ranks and so begins a new
    epoch. Promises and decisions are valid within one epoch. The map of an epoch is the
    highest that any of its members had in force on entering it.
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
        initial_map: Callable[[], ExpertMap],
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
        self._initial_map = initial_map
        self._order_sender = EngineOrderSender(member=self)
        self._tasks = TaskSet(on_failure=self._task_failed)
        self._epoch = 0
        self._is_joined = False
        self._is_retired = False
        self._in_force: ExpertMap | None = None
        self._in_force_step = 0
        self._in_force_attempt = NO_ATTEMPT
        self._promise: Promise | None = None
        self._high_water = NO_ATTEMPT
        self._map_loader = MapLoader(load=engine.load, tasks=self._tasks)
        self._engine_monitor = EngineMonitor(
            member=self, map_loader=self._map_loader, order_sender=self._order_sender
        )
        self._join_task: asyncio.Task | None = None
        self._status = EngineStatus(epoch=0, step=0, step_ms=0.0, roster={})

    @property
    def epoch(self) -> int:
        """Epoch of the rank group that the member is in."""
        return self._epoch

    @property
    def is_joined(self) -> bool:
        """Whether the member has joined its epoch."""
        return self._is_joined

    @property
    def is_retired(self) -> bool:
        """Whether another incarnation owns the ranks."""
        return self._is_retired

    @property
    def in_force(self) -> ExpertMap:
        """Map in force at the member; the initial map before any other is known."""
        if self._in_force is None:
            return self._initial_map()
        return self._in_force

    @property
    def in_force_step(self) -> int:
        """First step of the map in force; 0 for the map with which the epoch began."""
        return self._in_force_step

    @property
    def is_map_in_effect(self) -> bool:
        """Whether the ranks have completed a step with the map in force."""
        return self._is_joined and self._status.step > self._in_force_step + 1

    @property
    def promise(self) -> Promise | None:
        """Open promise, or None."""
        return self._promise

    @property
    def status(self) -> EngineStatus:
        """Status last read from the engine."""
        return self._status

    def start(self) -> None:
        """Attach the ranks, and poll the engine until `stop`."""
        self._tasks.spawn(self._engine_monitor.run(), name=f"member {self.group}")

    async def stop(self) -> None:
        """End the member's tasks; the ranks keep their map and any hold."""
        await self._tasks.close()

    def dump(self) -> dict[str, object]:
        """Return the state for an operator's dump."""
        promise = self._promise
        return {
            "group": self.group,
            "ranks": list(self.ranks),
            "epoch": self._epoch,
            "joined": self._is_joined,
            "retired": self._is_retired,
            "in_force": msgspec.to_builtins(self.in_force.version),
            "step": self._status.step,
            "high_water": msgspec.to_builtins(self._high_water),
            "promised": msgspec.to_builtins(promise.attempt) if promise else None,
            "settling": bool(promise and promise.is_settling),
        }

    def cancel_loads_below(self, version: MapVersion) -> None:
        """Cancel and refuse loads below `version`, which a new ticket overrides."""
        self._map_loader.cancel_below(version)

    # Message handlers.

    async def on_probe(self, request: Probe) -> Message:
        """Return the member's state."""
        await self._engine_monitor.read_status()
        return ProbeReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            joined=self._is_joined,
            version=self.in_force.version,
            step=self._status.step,
            step_ms=self._status.step_ms,
            high_water=self._high_water,
            undecided=self._promise is not None,
            work_ms=self._status.work_ms,
        )

    def on_replace_ranks(self, request: ReplaceRanks) -> Message:
        """Replace the ranks; they join the new epoch with the map in force."""
        if request.epoch == self._epoch and self._is_joined:
            self._is_joined = False
            self._map_loader.clear_loaded()
            self._tasks.spawn(self._engine_monitor.attach(), name="replace ranks")
        return Ok()

    async def on_load(self, request: LoadMap) -> Message:
        """Start or continue to load a map, and return the progress at once."""
        await self._engine_monitor.read_status()
        version = request.expert_map.version
        refusal = self._load_refusal(request)
        if not refusal and version not in self._map_loader:
            refusal = self._map_loader.start(request.expert_map)
        return LoadReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            step=self._status.step,
            step_ms=self._status.step_ms,
            loaded=not refusal and version in self._map_loader,
            refusal=refusal,
        )

    async def on_prepare(self, request: Prepare) -> Message:
        """Promise not to begin a step before the attempt's outcome is known."""
        self.enter_newer_epoch(request.epoch)
        promise = self._promise
        if promise is not None and promise.is_given and promise.matches(request):
            return self._prepare_reply(request)
        refusal = self._prepare_refusal(request)
        if refusal:
            return self._prepare_reply(request, refusal)
        self._high_water = request.attempt
        promise = Promise(
            attempt=request.attempt, version=request.version, step=request.step
        )
        self._promise = promise
        held = await self._order_sender.hold_before(request.step, epoch=request.epoch)
        if self._promise is not promise:
            return self._prepare_reply(request, "promise ended while setting the hold")
        if not held:
            self._abort(promise)
            return self._prepare_reply(
                request, f"step {request.step} has begun or the hold failed"
            )
        promise.is_given = True
        self._tasks.spawn(self._await_decision(promise), name="await decision")
        return self._prepare_reply(request)

    def on_decide(self, request: Decide) -> Message:
        """Apply the coordinator's decision."""
        self.enter_newer_epoch(request.epoch)
        if request.epoch != self._epoch:
            return Ok()
        promise = self._promise
        if promise is None or promise.attempt != request.attempt:
            if not request.switch:
                self._high_water = max(self._high_water, request.attempt)
        elif request.switch and promise.is_given:
            self._switch(promise)
        elif not request.switch and not promise.is_settling:
            self._abort(promise)
        return Ok()

    def on_ask_outcome(self, request: AskOutcome) -> Message:
        """Return the outcome of an attempt, as far as known; the reply is binding."""
        self.enter_newer_epoch(request.epoch)
        outcome = SwitchOutcome.UNKNOWN
        if request.epoch == self._epoch and self._is_joined:
            outcome = self._binding_outcome(request.attempt)
        return OutcomeReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            attempt=request.attempt,
            outcome=outcome,
        )

    def on_ask_join(self, request: AskJoin) -> Message:
        """Return the version in force when this member entered the epoch."""
        self.enter_newer_epoch(request.epoch)
        return JoinReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            version=self.in_force.version,
        )

    def on_fetch_map(self, request: FetchMap) -> Message:
        """Return the content of a map."""
        return MapReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            expert_map=self.known_map(request.version),
        )

    def ownership_refusal(self) -> Message | None:
        """Return a refusal of all messages unless this incarnation owns the ranks."""
        if self._engine_monitor.is_attached and not self._is_retired:
            return None
        detail = f"{self.incarnation} does not own ranks {list(self.ranks)}"
        return Nack(fault=Fault(kind=ErrorKind.STALE_FENCE, detail=detail))

    # Switching.

    def _prepare_reply(self, request: Prepare, refusal: str = "") -> PrepareReply:
        return PrepareReply(
            incarnation=self.incarnation,
            epoch=self._epoch,
            attempt=request.attempt,
            promised=not refusal,
            step=self._status.step,
            refusal=refusal,
        )

    def _prepare_refusal(self, request: Prepare) -> str:
        if request.epoch != self._epoch or not self._is_joined:
            return f"member is in epoch {self._epoch}, joined {self._is_joined}"
        if request.attempt <= self._high_water:
            return (
                f"attempt {request.attempt} is not above"
                f" the highest seen {self._high_water}"
            )
        if self._promise is not None:
            self._start_settlement(self._promise)
            return f"attempt {self._promise.attempt} is undecided"
        if request.version <= self.in_force.version:
            return f"version {request.version} is not above the one in force"
        if request.version not in self._map_loader:
            return f"version {request.version} is not loaded"
        if self._status.step < self._in_force_step:
            return f"the map in force takes effect at step {self._in_force_step}"
        return ""

    def _binding_outcome(self, attempt: Attempt) -> SwitchOutcome:
        promise = self._promise
        if promise is not None and promise.attempt == attempt:
            if promise.is_given:
                self._start_settlement(promise)
                return SwitchOutcome.PROMISED
            self._abort(promise)
        elif self._in_force_attempt == attempt:
            return SwitchOutcome.SWITCHED
        self._high_water = max(self._high_water, attempt)
        return SwitchOutcome.ABORTED

    def _switch(self, promise: Promise) -> None:
        self._promise = None
        self._in_force = self._map_loader.known_map(promise.version)
        self._in_force_step = promise.step
        self._in_force_attempt = promise.attempt
        self.on_event("map_switch", group=self.group, step=promise.step)
        order = self._order_sender.set_map(
            promise.version, epoch=self._epoch, step=promise.step
        )
        self._tasks.spawn(order, name="set map")

    def _abort(self, promise: Promise) -> None:
        self._promise = None
        self.on_event("map_switch_aborted", group=self.group, step=promise.step)
        order = self._order_sender.release_hold(epoch=self._epoch)
        self._tasks.spawn(order, name="release hold")

    async def _await_decision(self, promise: Promise) -> None:
        await self.clock.sleep_ms(self.parameters.settle_after_ms)
        self._start_settlement(promise)

    def _start_settlement(self, promise: Promise) -> None:
        """Ask the other members for the outcome; ignore the coordinator's abort."""
        if self._promise is not promise or not promise.is_given or promise.is_settling:
            return
        promise.is_settling = True
        promise.settlement = self._tasks.spawn(self._settle(promise), name="settle")

    async def _settle(self, promise: Promise) -> None:
        """Find the outcome from the other members, without the coordinator."""
        self.on_event("map_settlement", level="warning", group=self.group)
        settlement = Settlement(
            member=self, attempt=promise.attempt, roster=self._status.roster
        )
        while self._promise is promise:
            outcome = await settlement.ask_members()
            if self._promise is not promise:
                return
            if outcome is SwitchOutcome.SWITCHED:
                self._switch(promise)
            elif outcome is SwitchOutcome.ABORTED:
                self._abort(promise)
            else:
                await self.clock.sleep_ms(self.parameters.retry_ms)

    def _load_refusal(self, request: LoadMap) -> str:
        version = request.expert_map.version
        if request.epoch != self._epoch or not self._is_joined:
            return f"member is in epoch {self._epoch}, joined {self._is_joined}"
        if version <= self.in_force.version:
            return f"version {version} is not above the one in force"
        if self._promise is not None and version not in self._map_loader:
            return f"attempt {self._promise.attempt} is undecided"
        return self._map_loader.refusal_reason(version)

    # Epochs.

    def update_status(self, status: EngineStatus) -> None:
        """Record a status read from the engine; retire if another owns the ranks."""
        if status.epoch >= self._status.epoch:
            self._status = status
        self.enter_newer_epoch(status.epoch)
        owners = {status.roster.get(rank) for rank in self.ranks}
        if status.epoch == self._epoch and owners != {self.incarnation}:
            self._retire()

    def enter_newer_epoch(self, epoch: int) -> None:
        """Enter `epoch` if it is above the current one, which ends any promise."""
        if epoch <= self._epoch or self._is_retired:
            return
        self._epoch = epoch
        self._is_joined = False
        self._promise = None
        self._in_force = self.in_force
        if self._join_task is not None:
            self._join_task.cancel()
        self._join_task = self._tasks.spawn(self._join_epoch(epoch), name="join epoch")

    async def _join_epoch(self, epoch: int) -> None:
        join = EpochJoin(member=self, epoch=epoch)
        agreed_map = await join.load_agreed_map()
        if agreed_map is None or self._epoch != epoch:
            return
        self._in_force = agreed_map
        self._in_force_step = 0
        self._in_force_attempt = NO_ATTEMPT
        self._map_loader.mark_loaded(agreed_map)
        if await self._order_sender.join(agreed_map.version, epoch=epoch):
            self._is_joined = True
            self.on_event("epoch_joined", group=self.group, epoch=epoch)

    def adopt_map(self, expert_map: ExpertMap) -> None:
        """Adopt a higher map that another member reports for this epoch."""
        if not self._is_joined and expert_map.version > self.in_force.version:
            self._in_force = expert_map
            self._in_force_step = 0
            self._in_force_attempt = NO_ATTEMPT

    def known_map(self, version: MapVersion) -> ExpertMap | None:
        """Return the map with `version`, or None if its content is not known here."""
        if self.in_force.version == version:
            return self.in_force
        return self._map_loader.known_map(version)

    def _retire(self) -> None:
        if not self._is_retired:
            self._is_retired = True
            self._is_joined = False
            self._promise = None
            self.on_event("member_retired", level="warning", group=self.group)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self.on_event("task_failed", level="error", task=name, error=repr(error))
