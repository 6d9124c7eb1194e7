"""The local process."""

import asyncio

from returns.result import Failure

from carobroute.daemon._gauges import expose_local, expose_process
from carobroute.daemon._process import Process
from carobroute.daemon._ranks import RankHost
from carobroute.domain import (
    Instance,
    InstanceRole,
    InstanceState,
    ServiceKind,
    TargetState,
)
from carobroute.engines import Engine, engine_adapters
from carobroute.local import (
    CacheReporter,
    CallRunner,
    CrashWatch,
    LinkAsk,
    LocalParameters,
    LocalProcess,
    OrderRunner,
    refuse_early_calls,
)
from carobroute.requests import FairQueue, Ledger, LedgerParameters
from carobroute.settings import Settings
from carobroute.tickets import TargetObject

DEFAULT_CONCURRENCY = 8
LEAVE_BY_TICKET = "ticket"
LEAVE_BY_LIST = "list"
LEAVE_BY_SHUTDOWN = "shutdown"
MOVE_MARGIN_MS = 2_000.0
DEFAULT_RETENTION_S = 86_400
LOAD_INTERVAL_MS = 250.0
LOAD_RETRY_MS = 5_000.0
DEFAULT_MODEL_ENGINE = "openai"
DEFAULT_PLAIN_ENGINE = "plain"
MS_PER_S = 1_000


class LocalDaemon(Process):
    """Stands beside one target.

    Parameters
    ----------
    settings : Settings
        Checked settings of role `local`.
    """

    def __init__(self, *, settings: Settings):
        super().__init__(settings=settings)
        assert settings.local is not None
        self._local = settings.local
        refuse_early_calls(self.endpoint)
        self._process: LocalProcess
        self._engine: Engine
        self._queue: FairQueue
        self._ranks: RankHost
        self._ranks_due = asyncio.Event()
        self._orders: OrderRunner

    @property
    def in_flight(self) -> int:
        """Attempts in hand."""
        return self._process.in_flight if self.ready else 0

    def own_instance(self, address: str) -> Instance:
        """Return the entry of this process for the instance list."""
        instance = self.settings.instance
        return Instance(
            name=instance.name,
            incarnation=self.incarnation,
            role=InstanceRole.LOCAL,
            data_centre=instance.data_centre,
            region=instance.region,
            address=self.settings.links.announce or address,
            target=self._local.target,
            service=self._local.service,
        )

    async def begin(self) -> None:
        """Take calls for the target."""
        self._engine = self._make_engine()
        await self._engine.start()
        self._queue = FairQueue(
            concurrency=self._concurrency(), clock=self.clock, random=self.random
        )
        self._orders = self._make_orders()
        runner = CallRunner(
            engine=self._engine,
            queue=self._queue,
            crashes=CrashWatch(
                engine=self._engine,
                incarnation=self.incarnation,
                is_leaving=lambda: self._process.leaving,
            ),
            orders=self._orders,
            configuration=lambda: self.keeper.current,
            clock=self.clock,
            events=self.telemetry.log,
            on_trial=self.blames.announce_trial,
        )
        self._process = LocalProcess(
            parameters=LocalParameters(
                target=self._local.target,
                service=self._local.service,
                retain_ms=self._local.answer_keep_ms,
            ),
            endpoint=self.endpoint,
            engine=self._engine,
            runner=runner,
            quarantine=self.quarantine,
            configuration=lambda: self.keeper.current,
            wait_until_in_force=self.keeper.wait_until_in_force,
            clock=self.clock,
            events=self.telemetry.log,
        )
        self._process.start()
        self.telemetry.dump.register("local", self._process.dump)
        expose_process(self)
        expose_local(self, self._process, self._orders)
        self.telemetry.dump.register("orders", self._orders.dump)
        self.keeper.on_change(lambda _: self._ticket_changed())
        self.directory.on_change(self._follow_list)
        self._ranks = RankHost(
            process=self,
            target=self._local.target,
            ranks_url=self._local.ranks_url,
        )
        self.telemetry.dump.register("ranks", self._ranks.dump)
        self._follow_ticket()
        await self._ranks.follow_ticket()
        self.tasks.spawn(self._follow_ranks(), name="ranks")
        self.tasks.spawn(self._watch_load(), name="engine-load")
        cache = CacheReporter(
            target=self._local.target,
            engine=self._engine,
            endpoint=self.endpoint,
            clock=self.clock,
        )
        self.tasks.spawn(cache.run(), name="engine-cache-events")

    async def finish(self) -> None:
        """Take no new work, end what runs and see its answers delivered."""
        self._process.leave(LEAVE_BY_SHUTDOWN)
        own = self.instance
        self.directory.mark_leaving(own.name, own.incarnation, LEAVE_BY_SHUTDOWN)
        if not await self._process.drain(self.calls_end_ms - MOVE_MARGIN_MS):
            await self._process.move_streams()
            if not await self._process.drain(self.calls_end_ms):
                self._process.end_calls("the local process stops")
                await self._process.drain(self.answers_end_ms)
        await self._ranks.stop()
        await self._orders.close()
        await self.poller.stop(withdraw=True)
        await self._process.stop()
        await self._engine.stop()

    def _make_engine(self) -> Engine:
        service = self.keeper.current.service(self._local.service)
        name = self._local.engine
        if not name and service is not None:
            name = service.engine
            if service.kind is ServiceKind.PLAIN and name == DEFAULT_MODEL_ENGINE:
                name = DEFAULT_PLAIN_ENGINE
        return engine_adapters.get(name or DEFAULT_MODEL_ENGINE)(
            address=self._local.url, clock=self.clock
        )

    def _make_orders(self) -> OrderRunner:
        honours = self._honours_fencing
        ledger = Ledger(
            table=self.platform.table,
            objects=self.platform.objects,
            clock=self.clock,
            target=self._local.target,
            incarnation=self.incarnation,
            address=self.instance.address,
            parameters=LedgerParameters(longest_call_ms=self._local.longest_call_ms),
            honours_fencing=honours,
            send_claim_query=LinkAsk(endpoint=self.endpoint),
            on_event=self.telemetry.log.event,
        )
        orders = OrderRunner(
            ledger=ledger,
            clock=self.clock,
            retention_s=self._retention_s,
            honours_fencing=honours,
            on_event=self.telemetry.log.event,
        )
        orders.start(self.endpoint)
        return orders

    def _honours_fencing(self) -> bool:
        target = self._own_target()
        return target is not None and target.honours_fencing

    def _retention_s(self, service: str) -> float:
        found = self.keeper.current.service(service)
        return found.retention_s if found is not None else DEFAULT_RETENTION_S

    def _own_target(self) -> TargetObject | None:
        return self.keeper.current.target(self._local.target)

    def _concurrency(self) -> int:
        target = self._own_target()
        return target.concurrency if target is not None else DEFAULT_CONCURRENCY

    def _ticket_changed(self) -> None:
        self._follow_ticket()
        self._ranks_due.set()

    async def _follow_ranks(self) -> None:
        """Take up groups and ranks one ticket after the other."""
        while True:
            await self._ranks_due.wait()
            self._ranks_due.clear()
            await self._ranks.follow_ticket()

    def _follow_ticket(self) -> None:
        """Serve or drain as the ticket in force says."""
        target = self._own_target()
        self._queue.resize(self._concurrency())
        if target is not None and target.state is TargetState.SERVING:
            self._process.return_to_service(LEAVE_BY_TICKET)
            return
        if LEAVE_BY_TICKET not in self._process.reasons:
            self._process.leave(LEAVE_BY_TICKET)
            if target is not None and target.leave_within_s:
                wait_ms = target.leave_within_s * MS_PER_S - MOVE_MARGIN_MS
                self.tasks.spawn(self._move_after(wait_ms), name="move-streams")

    def _follow_list(self) -> None:
        """Leave for good once the platform lists this run as leaving."""
        listed = self.directory.by_name(self.settings.instance.name)
        if listed is None or listed.incarnation != self.incarnation:
            return
        if listed.state is InstanceState.LEAVING:
            self._process.leave(LEAVE_BY_LIST)

    async def _move_after(self, wait_ms: float) -> None:
        await self.clock.sleep_ms(wait_ms)
        if self._process.leaving:
            await self._process.move_streams()

    async def _watch_load(self) -> None:
        while True:
            loaded = await self._engine.load()
            if isinstance(loaded, Failure):
                await self.clock.sleep_ms(LOAD_RETRY_MS)
                continue
            self._process.note_load(loaded.unwrap())
            await self.clock.sleep_ms(LOAD_INTERVAL_MS)
