"""The entry process."""

import asyncio

from aiohttp import web
from returns.result import Failure

from carobroute.daemon._duties import make_duties
from carobroute.daemon._gauges import expose_entry, expose_process
from carobroute.daemon._operator import operator_error, order_record
from carobroute.daemon._process import Process, load_tls
from carobroute.domain import Instance, InstanceRole
from carobroute.entry import (
    CallerInterface,
    CallerParameters,
    CallParser,
    DemandExchange,
    ExchangeTable,
    RelayParameters,
    RelayServices,
    TargetFeed,
)
from carobroute.errors import ErrorKind, Fault
from carobroute.leases import DutyScheduler
from carobroute.requests import Admission, RetryPolicy, Router, read_order
from carobroute.settings import Settings
from carobroute.web import WebSite

DRAIN_CHECK_MS = 20.0
GIVE_BACK_TIMEOUT_S = 5.0
MAX_LINE_BYTES = 8 * 1024


class EntryDaemon(Process):
    """Takes callers' requests, admits, routes and streams answers back.

    Parameters
    ----------
    settings : Settings
        Checked settings of role `entry`.
    """

    def __init__(self, *, settings: Settings):
        super().__init__(settings=settings)
        assert settings.entry is not None
        self._entry = settings.entry
        self._http_address = ""
        self._exchanges = ExchangeTable(
            endpoint=self.endpoint, clock=self.clock, tasks=self.tasks
        )
        self._router = Router(
            clock=self.clock,
            random=self.random,
            name=settings.instance.name,
            data_centre=settings.instance.data_centre,
        )
        self._admission = Admission(
            clock=self.clock, random=self.random, name=settings.instance.name
        )
        self._retries = RetryPolicy(clock=self.clock)
        self._callers: CallerInterface
        self._feed: TargetFeed
        self._site: WebSite
        self._duties: DutyScheduler

    @property
    def in_flight(self) -> int:
        """Calls being served."""
        return self._callers.in_flight if self.ready else 0

    def own_instance(self, address: str) -> Instance:
        """Return the entry of this process for the instance list."""
        instance = self.settings.instance
        return Instance(
            name=instance.name,
            incarnation=self.incarnation,
            role=InstanceRole.ENTRY,
            data_centre=instance.data_centre,
            region=instance.region,
            address=self.settings.links.announce or address,
            http_address=self._http_address,
        )

    async def begin(self) -> None:
        """Serve callers."""
        self._feed = TargetFeed(
            router=self._router,
            endpoint=self.endpoint,
            directory=self.directory,
            configuration=lambda: self.keeper.current,
        )
        self._exchanges.start()
        self._feed.start()
        self.keeper.on_change(lambda _: self._follow_changes())
        self.directory.on_change(self._follow_changes)
        self._follow_changes()
        self._callers = self._make_callers()
        self._site = WebSite(
            application=self._callers.application(),
            bind=self._entry.http_bind,
            tls=load_tls(self._entry.tls_certificate_file, self._entry.tls_key_file),
            max_connections=self._entry.max_connections,
            header_timeout_ms=self._entry.body_timeout_ms,
            options={
                "max_line_size": MAX_LINE_BYTES,
                "max_field_size": self._entry.max_header_bytes,
            },
        )
        self._http_address = await self._site.start()
        self.directory.set_own(self.own_instance(self.endpoint.address))
        demand = DemandExchange(
            admission=self._admission,
            endpoint=self.endpoint,
            directory=self.directory,
            clock=self.clock,
            random=self.random,
        )
        self.tasks.spawn(demand.run(), name="team-demand")
        self._duties = make_duties(self)
        await self._duties.start()
        expose_process(self)
        expose_entry(self, self._exchanges.counts)
        dump = self.telemetry.dump
        dump.register("duties", lambda: self._duties.held)
        dump.register("exchanges", self._dump_exchanges)
        dump.register("targets", self._feed.dump)
        dump.register("http_counts", lambda: dict(self._site.counts))
        dump.register("exchange_counts", lambda: dict(self._exchanges.counts))

    def _follow_changes(self) -> None:
        """Take up what tickets and the instance list have changed."""
        self._feed.refresh()
        entries = self.directory.instances(role=InstanceRole.ENTRY)
        own = self.settings.instance.data_centre
        self._router.update_entries([e.name for e in entries if e.data_centre == own])
        self._admission.update_entries([entry.name for entry in entries])
        self._admission.update_teams(self.keeper.current.teams())

    async def finish(self) -> None:
        """Fail the health check, serve through the balancer's lag, then finish."""
        self._callers.begin_stop(self.calls_end_ms)
        own = self.own_instance(self.endpoint.address)
        self.directory.mark_leaving(own.name, own.incarnation, "shutdown")
        # Giving leases back must not keep callers waiting, nor fail their answers.
        giving_back = self.tasks.spawn(self._duties.stop(), name="duties-stop")
        lag_ms = min(
            self._entry.balancer_lag_ms, self.calls_end_ms - self.clock.now_ms()
        )
        await self.clock.sleep_ms(max(0.0, lag_ms))
        await self._site.stop_accepting()
        while self._callers.in_flight and self.clock.now_ms() < self.calls_end_ms:
            await self.clock.sleep_ms(DRAIN_CHECK_MS)
        if self._callers.in_flight:
            ended = self._exchanges.end_all("the entry stops")
            self.telemetry.log.event("calls_ended", level="warning", count=ended)
        await self._site.stop(max(0.0, self.answers_end_ms - self.clock.now_ms()))
        await asyncio.wait([giving_back], timeout=GIVE_BACK_TIMEOUT_S)
        await self.poller.stop(withdraw=True)

    def ready_line(self) -> str:
        """Return the line that tells where the process listens."""
        return f"{super().ready_line()} http={self._http_address}"

    def operator_routes(self) -> list[web.RouteDef]:
        """Return the operators' routes of an entry."""
        return [
            *super().operator_routes(),
            web.get("/operator/targets", self._targets),
            web.get("/operator/orders/{team}/{key}", self._order),
        ]

    async def _order(self, request: web.Request) -> web.Response:
        """Answer with the record of one order, without the caller's text."""
        team, key = request.match_info["team"], request.match_info["key"]
        found = await read_order(self.platform.table, team, key)
        if isinstance(found, Failure):
            return operator_error(found.failure())
        row = found.unwrap()
        if row is None:
            fault = Fault(
                kind=ErrorKind.NOT_FOUND,
                detail=f"team {team!r} has no order with key {key!r}",
            )
            return operator_error(fault)
        return web.json_response(order_record(row))

    async def _targets(self, request: web.Request) -> web.Response:
        return web.json_response(self._feed.dump() if self.ready else [])

    def _make_callers(self) -> CallerInterface:
        entry = self._entry
        services = RelayServices(
            parameters=RelayParameters(data_centre=self.settings.instance.data_centre),
            endpoint=self.endpoint,
            exchanges=self._exchanges,
            directory=self.directory,
            router=self._router,
            retries=self._retries,
            quarantine=self.quarantine,
            blames=self.blames,
            clock=self.clock,
            decisions=self.telemetry.decisions,
        )
        return CallerInterface(
            parameters=CallerParameters(
                max_body_bytes=entry.max_body_bytes,
                body_timeout_ms=entry.body_timeout_ms,
                write_timeout_ms=entry.write_timeout_ms,
                max_in_flight=entry.max_in_flight,
            ),
            parser=CallParser(
                clock=self.clock,
                incarnation=self.incarnation,
                default_deadline_ms=entry.default_deadline_ms,
            ),
            admission=self._admission,
            services=services,
            configuration=lambda: self.keeper.current,
            clock=self.clock,
            events=self.telemetry.log,
            metrics=self.telemetry.metrics,
        )

    def _dump_exchanges(self) -> list[dict[str, object]]:
        return [exchange.dump() for exchange in self._exchanges]
