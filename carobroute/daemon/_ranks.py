"""The ranks beside a local process, in the group that the ticket in force names."""

from carobroute.daemon._process import Process
from carobroute.domain import InstanceState
from carobroute.leases import DutyScheduler, LeaseManager
from carobroute.placement import GroupRunner, HttpRankEngine, SwitchService
from carobroute.tickets import TargetObject

DUTY_PREFIX = "plan/"


class RankHost:
    """Keeps the target's ranks in their group, and takes part in planning for it.

    Parameters
    ----------
    process : Process
        The local process.
    target : str
        Target whose ranks are hosted.
    ranks_url : str
        Where the ranks take orders; empty for a target without any.
    """

    def __init__(self, *, process: Process, target: str, ranks_url: str):
        self._process = process
        self._target = target
        self._ranks_url = ranks_url
        self._service = SwitchService(endpoint=process.endpoint)
        self._duties: DutyScheduler | None = None
        self._engine: HttpRankEngine | None = None
        self._runner: GroupRunner | None = None
        self._group = ""
        self._ranks: list[int] = []

    async def follow_ticket(self) -> None:
        """Take up the group and ranks of the ticket in force."""
        target = self._process.keeper.current.target(self._target)
        group = target.group if target is not None and self._ranks_url else ""
        ranks = list(target.ranks) if target is not None else []
        if (group, ranks) != (self._group, self._ranks):
            await self.stop()
            self._group, self._ranks = group, ranks
            if group and ranks:
                await self._start()
        elif self._runner is not None:
            self._runner.follow_ticket()

    async def stop(self) -> None:
        """Leave the group and give its duty back."""
        if self._duties is not None:
            await self._duties.stop()
            self._duties = None
        if self._runner is not None:
            await self._runner.stop()
            self._runner = None
        if self._engine is not None:
            await self._engine.close()
            self._engine = None

    def dump(self) -> dict[str, object]:
        """Return the state for a dump, in plain data."""
        if self._runner is None or self._duties is None:
            return {"group": ""}
        return {
            "group": self._group,
            "ranks": self._ranks,
            "duties": self._duties.held,
            **self._runner.dump(),
        }

    async def _start(self) -> None:
        process = self._process
        self._engine = HttpRankEngine(
            address=self._ranks_url, ranks=self._ranks, owner=process.incarnation
        )
        self._runner = GroupRunner(
            group=self._group,
            target=self._target,
            service=self._service,
            endpoint=process.endpoint,
            engine=self._engine,
            configuration=lambda: process.keeper.current,
            link_address_of=self._link_address_of,
            incarnation=process.incarnation,
            clock=process.clock,
            on_event=process.telemetry.log.event,
        )
        self._runner.start()
        self._duties = DutyScheduler(
            leases=LeaseManager(
                table=process.platform.table,
                clock=process.clock,
                incarnation=process.incarnation,
                on_event=process.telemetry.log.event,
            ),
            name=self._target,
            clock=process.clock,
            random=process.random,
            on_event=process.record_duty,
        )
        duty = DUTY_PREFIX + self._group
        self._duties.add(duty, self._runner.run_duty, self._candidates)
        await self._duties.start()

    def _candidates(self) -> list[str]:
        """Return the targets of the group whose local process is live."""
        found = [target.name for target in self._members() if self._is_live(target)]
        return found or [self._target]

    def _members(self) -> list[TargetObject]:
        targets = self._process.keeper.current.targets()
        return [target for target in targets if target.group == self._group]

    def _is_live(self, target: TargetObject) -> bool:
        instance = self._process.directory.by_target(target.name)
        return instance is not None and instance.state is InstanceState.LIVE

    def _link_address_of(self, target: str) -> str:
        instance = self._process.directory.by_target(target)
        return instance.address if instance is not None else ""
