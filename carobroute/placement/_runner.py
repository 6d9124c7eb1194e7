"""A group at one local process: its member, and the duty to plan for the group."""

import asyncio
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import Fault
from carobroute.leases import Lease
from carobroute.links import Endpoint
from carobroute.placement._coordinator import CoordinatorParameters, SwitchCoordinator
from carobroute.placement._group_plan import GroupPlan
from carobroute.placement._interface import GroupMember, RankEngine
from carobroute.placement._map import ExpertMap, MapVersion, initial_map
from carobroute.placement._member import RankMember
from carobroute.placement._messages import ProbeReply, ReplaceRanks
from carobroute.placement._promise import MemberParameters
from carobroute.placement._service import LinkPeers, SwitchService
from carobroute.placement._stragglers import RankHealth, StragglerParameters
from carobroute.tickets import Configuration, GroupObject
from carobroute.utils import Clock, TaskSet

EMPTY_GROUP = GroupObject(name="", service="", ranks=1, layers=1, experts=1)


class RunnerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and budget of a group's runner.

    Parameters
    ----------
    observe_ms : float
        Interval at which popularity and rank times are read.
    plan_ms : float
        Interval at which a new map is considered.
    moves_per_s : float
        Expert copies a second that the group may load, on average.
    most_moves : float
        Expert copies that may be saved up.
    stragglers : StragglerParameters
        When a rank is shed and replaced.
    """

    observe_ms: float = 1_000.0
    plan_ms: float = 30_000.0
    moves_per_s: float = 50.0
    most_moves: float = 100_000.0
    stragglers: StragglerParameters = StragglerParameters()


class GroupRunner:
    """Takes part in a group for the ranks beside one local process.

    Parameters
    ----------
    group, target : str
        Names of the group, and of the target whose ranks are hosted here.
    service : SwitchService
        Delivers messages to the member; one for all groups of the process.
    endpoint : Endpoint
        Links to the other members.
    engine : RankEngine
        Orders to the ranks of the target.
    configuration : callable
        Returns the configuration in force.
    address_of : callable
        Returns the link address of a target's local process, or an empty string.
    incarnation : str
        Run of this process.
    clock : Clock
        Source of time.
    parameters : RunnerParameters, default=None
        Times and budget.
    member, coordinator : MemberParameters, CoordinatorParameters, default=None
        Times of the switch.
    on_event : callable, default=None
        Called with an event name and fields, for the log.

    Notes
    -----
    `start` makes this process a member. `run_duty` plans for the whole group and is
    given to `carobroute.leases.Duties.add`, so that one process at a time runs it.
    Call `follow_ticket` when a ticket comes into force. When a ticket gives the target
    other ranks, stop the runner and start another with an engine for these ranks.
    """

    def __init__(
        self,
        *,
        group: str,
        target: str,
        service: SwitchService,
        endpoint: Endpoint,
        engine: RankEngine,
        configuration: Callable[[], Configuration],
        address_of: Callable[[str], str],
        incarnation: str,
        clock: Clock,
        parameters: RunnerParameters | None = None,
        member: MemberParameters | None = None,
        coordinator: CoordinatorParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._group = group
        self._target = target
        self._service = service
        self._engine = engine
        self._configuration = configuration
        self._address_of = address_of
        self._incarnation = incarnation
        self._clock = clock
        self._parameters = parameters or RunnerParameters()
        self._member_parameters = member
        self._coordinator_parameters = coordinator
        self._on_event = on_event or (lambda *args, **fields: None)
        self._peers = LinkPeers(endpoint=endpoint, members=self.members)
        self._tasks = TaskSet(on_failure=self._task_failed)
        self._member: RankMember | None = None
        self._plan: GroupPlan | None = None
        self._switching: asyncio.Task | None = None
        self._followed = 0

    @property
    def member(self) -> RankMember | None:
        """The member, once started."""
        return self._member

    def members(self) -> list[GroupMember]:
        """Return the local processes that host the group's ranks."""
        return [
            GroupMember(
                name=target.name,
                address=self._address_of(target.name),
                ranks=tuple(target.ranks),
            )
            for target in self._configuration().targets()
            if target.group == self._group and target.ranks
        ]

    def start(self) -> None:
        """Become a member of the group with the ranks that the ticket gives."""
        target = self._configuration().target(self._target)
        self._member = RankMember(
            group=self._group,
            name=self._target,
            incarnation=self._incarnation,
            ranks=target.ranks if target is not None else [],
            engine=self._engine,
            peers=self._peers,
            clock=self._clock,
            initial=self._initial,
            parameters=self._member_parameters,
            on_event=self._on_event,
        )
        self._service.add(self._member)
        self._followed = self._ticket()
        self._member.start()

    async def stop(self) -> None:
        """Leave the group; its ranks then take no part until another run attaches."""
        await self._tasks.close()
        self._service.remove(self._group)
        if self._member is not None:
            await self._member.stop()

    def dump(self) -> dict[str, object]:
        """Return the state for an operator's dump."""
        member = self._member.dump() if self._member is not None else {}
        plan = self._plan.dump() if self._plan is not None else {}
        return {"member": member, "plan": plan}

    def follow_ticket(self) -> None:
        """Stop at once what a new ticket for the group has overridden."""
        ticket = self._ticket()
        if ticket <= self._followed:
            return
        self._followed = ticket
        if self._switching is not None:
            self._switching.cancel()
        if self._member is not None:
            self._member.stop_loads_below(MapVersion(ticket, 0))

    async def run_duty(self, lease: Lease) -> None:
        """Plan for the group until cancelled, under the lease of the duty."""
        coordinator = SwitchCoordinator(
            group=self._group,
            incarnation=self._incarnation,
            fence=lambda: lease.fence,
            may_act=lambda: lease.held,
            peers=self._peers,
            clock=self._clock,
            parameters=self._coordinator_parameters,
            on_event=self._on_event,
        )
        try:
            await self._plan_for_ever(coordinator, lease)
        finally:
            if self._switching is not None:
                self._switching.cancel()
            await coordinator.stop()

    async def _plan_for_ever(
        self, coordinator: SwitchCoordinator, lease: Lease
    ) -> None:
        planned_ms = self._clock.now_ms()
        self._plan = None
        while True:
            await self._clock.sleep_ms(self._parameters.observe_ms)
            group = self._configuration().group(self._group)
            states = await coordinator.probe()
            if group is None or isinstance(states, Failure) or self._member is None:
                continue
            plan = self._plan_of(group)
            await self._observe(plan, states.unwrap())
            if not lease.held:
                continue
            await self._replace_stragglers(plan, states.unwrap())
            now_ms = self._clock.now_ms()
            overridden = self._member.in_force.version.ticket < self._ticket()
            due = now_ms - planned_ms >= self._parameters.plan_ms
            if not due and not (overridden and group.pinned is not None):
                continue
            budget = plan.earn(now_ms - planned_ms)
            planned_ms = now_ms
            wanted = plan.next_map(
                self._member.in_force, ticket=self._ticket(), budget_moves=budget
            )
            if wanted is not None:
                await self._switch(coordinator, plan, wanted)

    async def _switch(
        self, coordinator: SwitchCoordinator, plan: GroupPlan, wanted: ExpertMap
    ) -> None:
        before = self._member.in_force if self._member is not None else wanted
        self._switching = self._tasks.spawn(
            coordinator.switch(wanted), name="switch map"
        )
        done = await asyncio.wait([self._switching])
        task: asyncio.Task[Result] = next(iter(done[0]))
        self._switching = None
        if task.cancelled() or task.exception() is not None:
            return
        report = task.result()
        if isinstance(report, Success):
            plan.note_switch(before, wanted)
        detail = "done" if isinstance(report, Success) else str(report.failure())
        self._on_event("map_plan", group=self._group, outcome=detail, **plan.reasons())

    async def _observe(self, plan: GroupPlan, states: list[ProbeReply]) -> None:
        now_ms = self._clock.now_ms()
        reports = await self._engine.popularity(plan.sequence)
        if isinstance(reports, Success):
            for report in reports.unwrap():
                plan.observe_popularity(report, now_ms)
        if self._member is None or not self._member.in_effect:
            return
        work_ms: dict[int, float] = {}
        for state in states:
            work_ms.update(state.work_ms)
        plan.observe_work(self._member.in_force, work_ms, now_ms)

    async def _replace_stragglers(
        self, plan: GroupPlan, states: list[ProbeReply]
    ) -> None:
        """Have the ranks of one member replaced, if one of them is to be."""
        for member in self.members():
            lost = [r for r in member.ranks if plan.health[r] is RankHealth.REPLACE]
            if not lost:
                continue
            order = ReplaceRanks(group=self._group, epoch=states[0].epoch)
            self._on_event("ranks_replaced", group=self._group, ranks=str(lost))
            answer: Result[object, Fault] = await self._peers.call(
                member, order, timeout_ms=1_000.0
            )
            if isinstance(answer, Success):
                plan.forget_ranks(member.ranks)
            return

    def _plan_of(self, group: GroupObject) -> GroupPlan:
        if self._plan is None or self._plan.group != group:
            self._plan = GroupPlan(
                group=group,
                moves_per_s=self._parameters.moves_per_s,
                most_moves=self._parameters.most_moves,
                stragglers=self._parameters.stragglers,
            )
        return self._plan

    def _ticket(self) -> int:
        entry = self._configuration().objects.get(f"group/{self._group}")
        return entry.number if entry is not None else 0

    def _initial(self) -> ExpertMap:
        group = self._configuration().group(self._group) or EMPTY_GROUP
        return initial_map(group, ticket=self._ticket())

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))
