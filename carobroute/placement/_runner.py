"""Participation of one local process in a group, as member and as planner."""

import asyncio
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import Fault
from carobroute.leases import Lease
from carobroute.links import Endpoint
from carobroute.placement._coordinator import CoordinatorParameters, SwitchCoordinator
from carobroute.placement._group_planner import GroupPlanner
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
    """Intervals and move budget of a group's planning.

    Parameters
    ----------
    observe_ms : float
        Interval at which expert popularity and rank work times are read.
    plan_ms : float
        Interval between plans.
    moves_per_s : float
        Rate at which the group's move budget grows, in expert copies a second.
    max_move_budget : float
        Maximum of the move budget, in expert copies.
    stragglers : StragglerParameters
        Thresholds of the straggler detection.
    """

    observe_ms: float = 1_000.0
    plan_ms: float = 30_000.0
    moves_per_s: float = 50.0
    max_move_budget: float = 100_000.0
    stragglers: StragglerParameters = StragglerParameters()


class GroupRunner:
    """Runs the member of a group for one target's ranks, and the planning duty.

    Parameters
    ----------
    group, target : str
        Names of the group, and of the target whose ranks this process hosts.
    service : SwitchService
        Delivers messages to the member; shared by all groups of the process.
    endpoint : Endpoint
        Links to the other members.
    engine : RankEngine
        Engine of the target's ranks.
    configuration : callable
        Returns the configuration in force.
    link_address_of : callable
        Returns the link address of a target's local process, or an empty string.
    incarnation : str
        Incarnation of this process.
    clock : Clock
        Source of time.
    parameters : RunnerParameters, default=None
        Intervals and move budget of the planning.
    member, coordinator : MemberParameters, CoordinatorParameters, default=None
        Timeouts and intervals of the switch.
    on_event : callable, default=None
        Called with an event name and fields, for the log.

    Notes
    -----
    `start` makes this process a member. `run_duty` plans for the whole group; pass it
    to `carobroute.leases.DutyScheduler.add`, so that one process at a time runs it.
    Call `follow_ticket` when a ticket comes into force. If a ticket gives the target
    other ranks, stop the runner and start a new one with an engine for these ranks.
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
        link_address_of: Callable[[str], str],
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
        self._link_address_of = link_address_of
        self._incarnation = incarnation
        self._clock = clock
        self._parameters = parameters or RunnerParameters()
        self._member_parameters = member
        self._coordinator_parameters = coordinator
        self._on_event = on_event or (lambda *args, **fields: None)
        self._peers = LinkPeers(endpoint=endpoint, members=self.members)
        self._tasks = TaskSet(on_failure=self._task_failed)
        self._member: RankMember | None = None
        self._group_planner: GroupPlanner | None = None
        self._switch_task: asyncio.Task | None = None
        self._followed_ticket = 0

    @property
    def member(self) -> RankMember | None:
        """The member; None until `start`."""
        return self._member

    def members(self) -> list[GroupMember]:
        """Return the local processes that host the group's ranks."""
        return [
            GroupMember(
                name=target.name,
                address=self._link_address_of(target.name),
                ranks=tuple(target.ranks),
            )
            for target in self._configuration().targets()
            if target.group == self._group and target.ranks
        ]

    def start(self) -> None:
        """Become a member of the group, with the target's ranks from the ticket."""
        target = self._configuration().target(self._target)
        self._member = RankMember(
            group=self._group,
            name=self._target,
            incarnation=self._incarnation,
            ranks=target.ranks if target is not None else [],
            engine=self._engine,
            peers=self._peers,
            clock=self._clock,
            initial_map=self._initial_map,
            parameters=self._member_parameters,
            on_event=self._on_event,
        )
        self._service.add(self._member)
        self._followed_ticket = self._ticket_number()
        self._member.start()

    async def stop(self) -> None:
        """Leave the group; the ranks keep their map and any hold.

        They take no part in switches until a new incarnation attaches them.
        """
        await self._tasks.close()
        self._service.remove(self._group)
        if self._member is not None:
            await self._member.stop()

    def dump(self) -> dict[str, object]:
        """Return the state for an operator's dump."""
        member = self._member.dump() if self._member is not None else {}
        group_planner = (
            self._group_planner.dump() if self._group_planner is not None else {}
        )
        return {"member": member, "plan": group_planner}

    def follow_ticket(self) -> None:
        """Cancel a switch and a load that a new ticket for the group overrides."""
        ticket = self._ticket_number()
        if ticket <= self._followed_ticket:
            return
        self._followed_ticket = ticket
        if self._switch_task is not None:
            self._switch_task.cancel()
        if self._member is not None:
            self._member.cancel_loads_below(MapVersion(ticket, 0))

    async def run_duty(self, lease: Lease) -> None:
        """Plan for the group and switch its maps until cancelled.

        Parameters
        ----------
        lease : Lease
            Lease of the planning duty.
        """
        coordinator = SwitchCoordinator(
            group=self._group,
            incarnation=self._incarnation,
            fence=lambda: lease.fence,
            is_lease_held=lambda: lease.is_held,
            peers=self._peers,
            clock=self._clock,
            parameters=self._coordinator_parameters,
            on_event=self._on_event,
        )
        try:
            await self._plan_until_cancelled(coordinator, lease)
        finally:
            if self._switch_task is not None:
                self._switch_task.cancel()
            await coordinator.stop()

    async def _plan_until_cancelled(
        self, coordinator: SwitchCoordinator, lease: Lease
    ) -> None:
        planned_ms = self._clock.now_ms()
        self._group_planner = None
        while True:
            await self._clock.sleep_ms(self._parameters.observe_ms)
            group = self._configuration().group(self._group)
            states = await coordinator.probe()
            if group is None or isinstance(states, Failure) or self._member is None:
                continue
            group_planner = self._group_planner_for(group)
            await self._observe(group_planner, states.unwrap())
            if not lease.is_held:
                continue
            await self._replace_stragglers(group_planner, states.unwrap())
            now_ms = self._clock.now_ms()
            is_overridden = self._member.in_force.version.ticket < self._ticket_number()
            is_due = now_ms - planned_ms >= self._parameters.plan_ms
            if not is_due and not (is_overridden and group.pinned is not None):
                continue
            budget = group_planner.refill_move_budget(now_ms - planned_ms)
            planned_ms = now_ms
            new_map = group_planner.next_map(
                self._member.in_force, ticket=self._ticket_number(), budget_moves=budget
            )
            if new_map is not None:
                await self._switch(coordinator, group_planner, new_map)

    async def _switch(
        self,
        coordinator: SwitchCoordinator,
        group_planner: GroupPlanner,
        new_map: ExpertMap,
    ) -> None:
        old_map = self._member.in_force if self._member is not None else new_map
        self._switch_task = self._tasks.spawn(
            coordinator.switch(new_map), name="switch map"
        )
        done = await asyncio.wait([self._switch_task])
        task: asyncio.Task[Result] = next(iter(done[0]))
        self._switch_task = None
        if task.cancelled() or task.exception() is not None:
            return
        report = task.result()
        if isinstance(report, Success):
            group_planner.charge_switch(old_map, new_map)
        outcome = "done" if isinstance(report, Success) else str(report.failure())
        self._on_event(
            "map_plan",
            group=self._group,
            outcome=outcome,
            **group_planner.last_decision(),
        )

    async def _observe(
        self, group_planner: GroupPlanner, states: list[ProbeReply]
    ) -> None:
        now_ms = self._clock.now_ms()
        reports = await self._engine.popularity(group_planner.last_sequence)
        if isinstance(reports, Success):
            for report in reports.unwrap():
                group_planner.observe_popularity(report, now_ms)
        if self._member is None or not self._member.is_map_in_effect:
            return
        work_ms: dict[int, float] = {}
        for state in states:
            work_ms.update(state.work_ms)
        group_planner.observe_work_times(self._member.in_force, work_ms, now_ms)

    async def _replace_stragglers(
        self, group_planner: GroupPlanner, states: list[ProbeReply]
    ) -> None:
        """Replace the ranks of the first member that has a rank to replace."""
        for member in self.members():
            slow_ranks = [
                r for r in member.ranks if group_planner.health[r] is RankHealth.REPLACE
            ]
            if not slow_ranks:
                continue
            order = ReplaceRanks(group=self._group, epoch=states[0].epoch)
            self._on_event("ranks_replaced", group=self._group, ranks=str(slow_ranks))
            reply: Result[object, Fault] = await self._peers.call(
                member, order, timeout_ms=1_000.0
            )
            if isinstance(reply, Success):
                group_planner.reset_ranks(member.ranks)
            return

    def _group_planner_for(self, group: GroupObject) -> GroupPlanner:
        if self._group_planner is None or self._group_planner.group != group:
            self._group_planner = GroupPlanner(
                group=group,
                moves_per_s=self._parameters.moves_per_s,
                max_move_budget=self._parameters.max_move_budget,
                stragglers=self._parameters.stragglers,
            )
        return self._group_planner

    def _ticket_number(self) -> int:
        entry = self._configuration().objects.get(f"group/{self._group}")
        return entry.number if entry is not None else 0

    def _initial_map(self) -> ExpertMap:
        group = self._configuration().group(self._group) or EMPTY_GROUP
        return initial_map(group, ticket=self._ticket_number())

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))
