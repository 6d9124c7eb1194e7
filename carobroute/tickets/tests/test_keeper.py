import random

import pytest

from carobroute.links import Endpoint, LinkParameters
from carobroute.membership import Directory, Overlay
from carobroute.tables import Put, Transaction
from carobroute.testing import (
    FakeTable,
    make_instance,
    make_service,
    make_target,
    make_team,
    make_ticket,
    wait_until,
)
from carobroute.tickets import ConfigurationKeeper, KeeperParameters, TicketLog
from carobroute.utils import Clock

WAIT_MS = 10_000.0
LINKS = LinkParameters(ping_busy_ms=50, ping_idle_ms=100, silence_ms=400, reopen_ms=10)
# Only the start reads the table, so tickets can only arrive over the links.
NO_POLL = KeeperParameters(
    bridge_poll_interval_ms=1e9,
    poll_interval_ms=1e9,
    max_bridge_poll_interval_ms=1e9,
    max_poll_interval_ms=1e9,
    start_retry_ms=10,
    max_start_retry_ms=50,
    peer_fallback_ms=100,
    pull_backoff_ms=50,
)


class Node:
    """One process with links, directory, overlay and keeper."""

    def __init__(self, name, table, parameters=NO_POLL):
        clock = Clock()
        self.events = []
        self.endpoint = Endpoint(
            name=name,
            role="entry",
            data_centre="suva",
            incarnation=f"{name}~1",
            clock=clock,
            parameters=LINKS,
            ticket_number=lambda: self.keeper.current.number,
        )
        self.log = TicketLog(table=table, clock=clock)
        self.name, self.clock, self.parameters = name, clock, parameters

    async def open(self):
        address = await self.endpoint.start()
        self.instance = make_instance(self.name, address=address)
        self.directory = Directory(clock=self.clock, own=self.instance)
        self.overlay = Overlay(
            directory=self.directory,
            endpoint=self.endpoint,
            clock=self.clock,
            random=random.Random(1),
        )
        self.keeper = ConfigurationKeeper(
            log=self.log,
            endpoint=self.endpoint,
            directory=self.directory,
            clock=self.clock,
            random=random.Random(1),
            name=self.name,
            overlay=self.overlay,
            parameters=self.parameters,
            on_event=lambda name, **fields: self.events.append((name, fields)),
        )

    async def start(self):
        await self.overlay.start()
        await self.keeper.start()

    async def stop(self):
        await self.keeper.stop()
        await self.overlay.stop()
        await self.endpoint.stop()


@pytest.fixture
def table():
    return FakeTable(clock=Clock())


@pytest.fixture
async def nodes(table):
    entries = [Node(f"entry-{i}", table) for i in range(4)]
    for node in entries:
        await node.open()
    for node in entries:
        node.directory.update_from_list([n.instance for n in entries])
        await node.start()
    yield entries
    for node in entries:
        await node.stop()


async def file_at(node, ticket):
    deadline_ms = node.clock.now_ms() + WAIT_MS
    return (await node.log.file(ticket, deadline_ms)).unwrap()


def make_first_ticket():
    return make_ticket(make_service(), make_target())


async def test_ticket_applied_by_one_process_reaches_all_others(nodes, table):
    for node in nodes:
        assert (await node.keeper.wait_ready(WAIT_MS)).unwrap() == 0
    reads = table.counts["read"]
    accepted = await file_at(nodes[0], make_first_ticket())
    nodes[0].keeper.apply_tickets([accepted])
    for node in nodes:
        assert await node.keeper.wait_until_in_force(1, WAIT_MS)
        assert node.keeper.current.target("runner-1") is not None
    # The filing reads the token row and the head; no other process reads the table.
    assert table.counts["read"] == reads + 2
    scans = table.counts["scan"]
    await file_at(nodes[1], make_ticket(make_team(), based_on=1))
    assert table.counts["scan"] == scans, (
        "a filing scans tickets that are already in force"
    )


async def test_new_process_reads_from_peers_while_the_table_is_unavailable(
    nodes, table
):
    accepted = await file_at(nodes[0], make_first_ticket())
    nodes[0].keeper.apply_tickets([accepted])
    for node in nodes:
        assert await node.keeper.wait_until_in_force(1, WAIT_MS)
    table.available = False
    late = Node("entry-9", table)
    await late.open()
    late.directory.update_from_list([n.instance for n in nodes])
    await late.start()
    assert (await late.keeper.wait_ready(WAIT_MS)).unwrap() == 1
    await late.stop()


async def test_new_process_without_table_and_peers_is_not_ready(table):
    table.available = False
    node = Node("entry-0", table)
    await node.open()
    await node.start()
    await wait_until(lambda: node.keeper.table_failures >= 5)
    refused = await node.keeper.wait_ready(1.0)
    assert refused.failure().kind.value == "stale_configuration"
    assert "the table has not answered since the start" in refused.failure().detail
    table.available = True
    assert (await node.keeper.wait_ready(WAIT_MS)).unwrap() == 0
    await node.stop()


async def test_old_and_forged_tickets_are_not_applied(nodes):
    keeper = nodes[0].keeper
    first = await file_at(nodes[0], make_first_ticket())
    second = await file_at(nodes[0], make_ticket(make_team(), based_on=1))
    assert not keeper.apply_tickets([second])
    assert keeper.apply_tickets([second, first])
    before = keeper.current
    assert not keeper.apply_tickets([first])
    forged = type(second)(
        number=3, based_on=2, token="x", author="a", objects=[make_team("b")], chain="0"
    )
    assert not keeper.apply_tickets([forged])
    assert keeper.current is before
    assert "ticket_mismatch" in [name for name, _ in nodes[0].events]


async def test_table_restored_from_an_old_backup_does_not_revert_a_process(
    nodes, table
):
    node = nodes[0]
    accepted = await file_at(node, make_first_ticket())
    node.keeper.apply_tickets([accepted])
    for key in table.keys("tickets"):
        put = Put(table="tickets", key=key, value=None)
        await table.transact(Transaction(token=key, conditions=[], puts=[put]))
    assert (await node.keeper.refresh()).unwrap() == 0
    assert node.keeper.current.number == 1
    deadline_ms = node.clock.now_ms() + WAIT_MS
    refused = await node.log.file(make_ticket(make_service("late")), deadline_ms)
    assert "the table ends at ticket 0, but 1 is in force" in refused.failure().detail
    assert "table_behind" in [name for name, _ in node.events]


async def test_failing_callback_does_not_block_later_callbacks(nodes):
    seen = []

    def broken(configuration):
        raise RuntimeError("broken part")

    keeper = nodes[0].keeper
    keeper.on_change(broken)
    keeper.on_change(lambda configuration: seen.append(configuration.number))
    keeper.apply_tickets([await file_at(nodes[0], make_first_ticket())])
    assert seen == [1]


async def test_status_lists_unreachable_and_outdated_processes(nodes):
    for node in nodes:
        await node.keeper.wait_ready(WAIT_MS)
    unreachable = make_instance("entry-gone", address="tcp://127.0.0.1:9")
    nodes[0].directory.learn([unreachable])
    nodes[0].keeper.apply_tickets([await file_at(nodes[0], make_first_ticket())])
    for node in nodes:
        assert await node.keeper.wait_until_in_force(1, WAIT_MS)
    answer = await nodes[0].keeper.status(1, 2_000)
    assert answer.in_force == len(nodes)
    assert [(e.name, e.reason) for e in answer.laggards] == [
        ("entry-gone", "no answer")
    ]
    assert answer.slowest_ms >= 0
    late = await nodes[0].keeper.status(2, 2_000)
    assert late.in_force == 0
    assert [e.number for e in late.laggards] == [1, 1, 1, 1, -1]


async def test_polling_backs_off_with_jitter_while_the_table_is_unavailable(
    nodes, table
):
    node = nodes[0]
    keeper = ConfigurationKeeper(
        log=node.log,
        endpoint=node.endpoint,
        directory=node.directory,
        clock=node.clock,
        random=random.Random(7),
        name="entry-0",
    )
    table.available = False
    for _ in range(6):
        await keeper.refresh()
    delays = [keeper.poll_delay_ms() for _ in range(200)]
    # A bridge's mean is at most 3 s, and jitter keeps processes from polling together.
    assert min(delays) >= 1_500 and max(delays) <= 4_500
    assert len({round(delay) for delay in delays}) > 150
    table.available = True
    await keeper.refresh()
    assert 500 <= keeper.poll_delay_ms() <= 1_500


async def test_process_stays_before_a_ticket_of_a_later_version(nodes, table):
    """Neither peers nor the table make it apply the ticket in part."""
    node, other = nodes[:2]
    await node.keeper.wait_ready(WAIT_MS)
    for based_on in (0, 1):
        await file_at(
            other, make_ticket(make_service(f"s{based_on}"), based_on=based_on)
        )
    row = table.row("tickets", "n/000000000002")
    later = row.value.replace(b"author", b"editor")
    put = Put(table="tickets", key=row.key, value=later)
    await table.transact(Transaction(token="later", conditions=[], puts=[put]))
    fault = (await node.keeper.refresh()).failure()
    assert "row n/000000000002 cannot be read by this version" in fault.detail
    assert node.keeper.current.number == 1
    assert "cannot be read by this version" in node.keeper.explain()
    status = await node.keeper.status(2, 2_000)
    own = next(e for e in status.laggards if e.name == node.name)
    assert own.number == 1 and "this version" in own.reason
