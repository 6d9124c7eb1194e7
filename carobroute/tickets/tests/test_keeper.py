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
# Only the start reads the table, so that what spreads comes along the links.
NO_POLL = KeeperParameters(
    bridge_poll_ms=1e9,
    poll_ms=1e9,
    bridge_poll_most_ms=1e9,
    poll_most_ms=1e9,
    start_retry_ms=10,
    start_retry_most_ms=50,
    outage_ms=100,
    fruitless_ms=50,
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

    async def start(self):
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

    async def begin(self):
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
        await node.start()
    for node in entries:
        node.directory.update_from_list([n.instance for n in entries])
        await node.begin()
    yield entries
    for node in entries:
        await node.stop()


async def file_at(node, ticket):
    deadline_ms = node.clock.now_ms() + WAIT_MS
    return (await node.log.file(ticket, deadline_ms)).unwrap()


def start_ticket():
    return make_ticket(make_service(), make_target())


async def test_ticket_offered_at_one_process_reaches_all(nodes, table):
    for node in nodes:
        assert (await node.keeper.wait_ready(WAIT_MS)).unwrap() == 0
    reads = table.counts["read"]
    accepted = await file_at(nodes[0], start_ticket())
    nodes[0].keeper.offer([accepted])
    for node in nodes:
        assert await node.keeper.wait_number(1, WAIT_MS)
        assert node.keeper.current.target("runner-1") is not None
    # The filing reads the token row and the head; nobody else read anything.
    assert table.counts["read"] == reads + 2
    scans = table.counts["scan"]
    await file_at(nodes[1], make_ticket(make_team(), based_on=1))
    assert table.counts["scan"] == scans, "a filing reads on from what is in force"


async def test_new_process_in_an_outage_learns_from_its_peers(nodes, table):
    accepted = await file_at(nodes[0], start_ticket())
    nodes[0].keeper.offer([accepted])
    for node in nodes:
        assert await node.keeper.wait_number(1, WAIT_MS)
    table.available = False
    late = Node("entry-9", table)
    await late.start()
    late.directory.update_from_list([n.instance for n in nodes])
    await late.begin()
    assert (await late.keeper.wait_ready(WAIT_MS)).unwrap() == 1
    await late.stop()


async def test_new_process_without_table_and_peers_is_not_ready(table):
    table.available = False
    node = Node("entry-0", table)
    await node.start()
    await node.begin()
    await wait_until(lambda: node.keeper.table_failures >= 5)
    refused = await node.keeper.wait_ready(1.0)
    assert refused.failure().kind.value == "stale_configuration"
    assert "the table has not answered since the start" in refused.failure().detail
    table.available = True
    assert (await node.keeper.wait_ready(WAIT_MS)).unwrap() == 0
    await node.stop()


async def test_older_and_foreign_tickets_change_nothing(nodes):
    keeper = nodes[0].keeper
    first = await file_at(nodes[0], start_ticket())
    second = await file_at(nodes[0], make_ticket(make_team(), based_on=1))
    assert not keeper.offer([second])
    assert keeper.offer([second, first])
    before = keeper.current
    assert not keeper.offer([first])
    forged = type(second)(
        number=3, based_on=2, token="x", author="a", objects=[make_team("b")], chain="0"
    )
    assert not keeper.offer([forged])
    assert keeper.current is before
    assert "ticket_mismatch" in [name for name, _ in nodes[0].events]


async def test_table_restored_from_an_old_copy_does_not_take_a_process_back(
    nodes, table
):
    node = nodes[0]
    accepted = await file_at(node, start_ticket())
    node.keeper.offer([accepted])
    for key in table.keys("tickets"):
        put = Put(table="tickets", key=key, value=None)
        await table.transact(Transaction(token=key, conditions=[], puts=[put]))
    assert (await node.keeper.refresh()).unwrap() == 0
    assert node.keeper.current.number == 1
    deadline_ms = node.clock.now_ms() + WAIT_MS
    refused = await node.log.file(make_ticket(make_service("late")), deadline_ms)
    assert "the table ends at ticket 0, but 1 is in force" in refused.failure().detail
    assert "table_behind" in [name for name, _ in node.events]


async def test_failing_callback_does_not_keep_others_from_the_news(nodes):
    seen = []

    def broken(configuration):
        raise RuntimeError("broken part")

    keeper = nodes[0].keeper
    keeper.on_change(broken)
    keeper.on_change(lambda configuration: seen.append(configuration.number))
    keeper.offer([await file_at(nodes[0], start_ticket())])
    assert seen == [1]


async def test_status_names_the_silent_and_the_late(nodes):
    for node in nodes:
        await node.keeper.wait_ready(WAIT_MS)
    gone = make_instance("entry-gone", address="tcp://127.0.0.1:9")
    nodes[0].directory.learn([gone])
    nodes[0].keeper.offer([await file_at(nodes[0], start_ticket())])
    for node in nodes:
        assert await node.keeper.wait_number(1, WAIT_MS)
    answer = await nodes[0].keeper.status(1, 2_000)
    assert answer.in_force == len(nodes)
    assert [(e.name, e.reason) for e in answer.laggards] == [
        ("entry-gone", "no answer")
    ]
    assert answer.slowest_ms >= 0
    late = await nodes[0].keeper.status(2, 2_000)
    assert late.in_force == 0
    assert [e.number for e in late.laggards] == [1, 1, 1, 1, -1]


async def test_polling_slows_down_and_spreads_while_the_table_is_away(nodes, table):
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
    # A bridge's mean is bounded by 3 s, and no two processes come together.
    assert min(delays) >= 1_500 and max(delays) <= 4_500
    assert len({round(delay) for delay in delays}) > 150
    table.available = True
    await keeper.refresh()
    assert 500 <= keeper.poll_delay_ms() <= 1_500


async def test_ticket_of_a_later_version_stops_a_process_at_the_one_before(
    nodes, table
):
    """Neither its peers nor the table can make it apply a part of that ticket."""
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
