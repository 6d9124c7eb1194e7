"""Duties that any entry may hold, one at a time for the whole fleet."""

from returns.result import Failure

from carobroute.daemon._process import Process
from carobroute.domain import InstanceRole, InstanceState
from carobroute.leases import DutyScheduler, Lease, LeaseManager
from carobroute.requests import LedgerCleaner
from carobroute.tickets import TicketCompactor

ORDERS_DUTY = "order-expiry"
TICKETS_DUTY = "ticket-compaction"
COMPACT_INTERVAL_MS = 300_000.0
COMPACT_TIMEOUT_MS = 30_000.0


def make_duties(process: Process) -> DutyScheduler:
    """Return the fleet's duties, in which this entry takes part."""
    duties = DutyScheduler(
        leases=LeaseManager(
            table=process.platform.table,
            clock=process.clock,
            incarnation=process.incarnation,
            on_event=process.telemetry.log.event,
        ),
        name=process.settings.instance.name,
        clock=process.clock,
        random=process.random,
        on_event=process.record_duty,
    )

    def candidates() -> list[str]:
        entries = process.directory.instances(role=InstanceRole.ENTRY)
        return [e.name for e in entries if e.state is InstanceState.LIVE]

    async def expire_orders(lease: Lease) -> None:
        cleaner = LedgerCleaner(
            table=process.platform.table,
            objects=process.platform.objects,
            clock=process.clock,
            has_duty=lambda: lease.is_held,
            on_event=process.telemetry.log.event,
        )
        await cleaner.run()

    async def compact_tickets(lease: Lease) -> None:
        compactor = TicketCompactor(
            log=process.log,
            clock=process.clock,
            guard=lambda: lease.is_held,
            on_event=process.telemetry.log.event,
        )
        while True:
            deadline_ms = process.clock.now_ms() + COMPACT_TIMEOUT_MS
            compacted = await compactor.compact(deadline_ms)
            if isinstance(compacted, Failure):
                process.telemetry.log.event(
                    "tickets_not_compacted",
                    level="warning",
                    reason=str(compacted.failure()),
                )
            await process.clock.sleep_ms(COMPACT_INTERVAL_MS)

    duties.add(ORDERS_DUTY, expire_orders, candidates)
    duties.add(TICKETS_DUTY, compact_tickets, candidates)
    return duties
