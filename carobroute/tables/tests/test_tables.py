"""Tests of transactions, objects and the instance list on a platform stand-in."""

import asyncio
import contextlib
import random

import msgspec
import pytest
from aiohttp.test_utils import TestServer

from carobroute.domain import Instance, InstanceRole, InstanceState
from carobroute.errors import ErrorKind
from carobroute.platform import (
    RowAddress,
    RowCondition,
    RowStore,
    RowWrite,
)
from carobroute.standins._faults import Faults
from carobroute.standins._platform import PlatformStandIn
from carobroute.tables import (
    Condition,
    Put,
    StoreRetryParameters,
    Transaction,
    open_platform,
)
from carobroute.tables._store_transaction import OUTCOME_TABLE
from carobroute.utils import Clock, ManualClock

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{"rows":[]}'
FAST_RETRIES = StoreRetryParameters(
    first_delay_ms=1, max_delay_ms=5, retries_per_s=1_000
)


class PlatformFixture:
    """Platform stand-in with its server and clients."""

    def __init__(self, stand_in, server, clients):
        self.stand_in = stand_in
        self.server = server
        self.clients = clients


@pytest.fixture
async def platform():
    clock = ManualClock()
    stand_in = PlatformStandIn(clock=clock, seed=3, list_lag_ms=100)
    server = TestServer(stand_in.application())
    await server.start_server()
    url = str(server.make_url("")).rstrip("/")
    clients = make_clients(url, Clock())
    platform = PlatformFixture(stand_in, server, clients)
    platform.url = url
    platform.clock = clock
    platform.store = RowStore(base_url=url, timeout_ms=10_000)
    yield platform
    await platform.store.close()
    await clients.close()
    await server.close()


def make_clients(url, clock, timeout_ms=10_000):
    return open_platform(
        table_url=url,
        objects_url=url,
        instances_url=url,
        clock=clock,
        random=random.Random(1),
        timeout_ms=timeout_ms,
        retry=FAST_RETRIES,
    )


def insert(key, value, token):
    return Transaction(
        token=token,
        conditions=[Condition(table="t", key=key, version=0)],
        puts=[Put(table="t", key=key, value=value)],
    )


def deadline(after_ms=10_000):
    return Clock().now_ms() + after_ms


async def test_settle_commits_once_although_calls_and_answers_are_lost(platform):
    platform.stand_in.faults.faults = Faults(lose_answer=0.6, lose_call=0.2)
    table = platform.clients.table
    for number in range(40):
        key = f"k{number}"
        entry = insert(key, b"v", f"token{number}")
        outcome = await table.transact_until_settled(entry, deadline_ms=deadline())
        assert outcome.unwrap().committed
    platform.stand_in.faults.faults = Faults()
    record = platform.stand_in.rows.record
    assert sum(entry.committed for entry in record) == 40 and len(record) > 40
    rows = (await table.scan("t")).unwrap()
    assert {row.version for row in rows} == {1} and len(rows) == 40


async def test_second_insert_fails_and_returns_the_existing_row(platform):
    table = platform.clients.table
    (await table.transact(insert("k", b"first", "a"))).unwrap()
    outcome = (await table.transact(insert("k", b"second", "b"))).unwrap()
    assert not outcome.committed
    assert outcome.failed[0].value == b"first"


async def test_settle_returns_a_fault_in_an_outage_and_commits_after_it(platform):
    platform.stand_in.faults.faults = Faults(outage=True)
    table = platform.clients.table
    outcome = await table.transact_until_settled(
        insert("k", b"v", "a"), deadline_ms=deadline(50)
    )
    assert outcome.failure().kind is ErrorKind.STORE_UNAVAILABLE
    platform.stand_in.faults.faults = Faults()
    outcome = await table.transact_until_settled(
        insert("k", b"v", "a"), deadline_ms=deadline()
    )
    assert outcome.unwrap().committed


async def test_timeout_retires_all_pooled_connections():
    """Two pooled connections stop answering; one timeout must close both."""
    connections = []
    both_connected = asyncio.Event()

    async def serve(reader, writer):
        connections.append(writer)
        silent = len(connections) <= 2
        requests = 0
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError):
            while await reader.readuntil(b"\r\n\r\n"):
                requests += 1
                if silent and requests > 1:
                    await asyncio.Event().wait()
                if len(connections) == 2:
                    both_connected.set()
                await both_connected.wait()
                writer.write(ANSWER)

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        url = f"http://127.0.0.1:{port}"
        client = make_clients(url, Clock(), timeout_ms=300).instances
        first = await asyncio.gather(client.fetch(), client.fetch())
        assert [result.unwrap() for result in first] == [[], []]
        assert len(connections) == 2
        lost = await client.fetch()
        assert lost.failure().kind is ErrorKind.STORE_UNAVAILABLE
        assert (await client.fetch()).unwrap() == []
        assert len(connections) == 3
        await client.close()
        for writer in connections:
            writer.transport.abort()


async def test_objects_round_trip_and_scans_are_paged(platform):
    objects = platform.clients.objects
    (await objects.put("a/b c", b"data")).unwrap()
    assert (await objects.get("a/b c")).unwrap() == b"data"
    (await objects.delete("a/b c")).unwrap()
    assert (await objects.get("a/b c")).unwrap() is None
    table = platform.clients.table
    for number in range(5):
        (await table.transact(insert(f"p{number}", b"", f"s{number}"))).unwrap()
    page = (await table.scan("t", "p", limit=2)).unwrap()
    rest = (await table.scan("t", "p", after=page[-1].key)).unwrap()
    assert [row.key for row in page + rest] == [f"p{n}" for n in range(5)]


async def test_instance_entries_are_listed_with_a_lag_withdrawn_and_expired(platform):
    clock = platform.clock
    instances = make_clients(platform.url, clock).instances
    one = make_instance("local-1~a")
    other = make_instance("local-1~b")
    await instances.announce(one)
    assert (await instances.fetch()).unwrap() == []
    clock.advance_ms(150)
    await instances.announce(other)
    assert (await instances.fetch()).unwrap() == [one]
    await instances.withdraw(one)
    clock.advance_ms(60)
    assert (await instances.fetch()).unwrap()[0].state is InstanceState.LIVE
    clock.advance_ms(60)
    listed = (await instances.fetch()).unwrap()
    assert [entry.state for entry in listed] == [
        InstanceState.LEAVING,
        InstanceState.LIVE,
    ]
    clock.advance_ms(2_150)
    await instances.announce(other)
    assert (await instances.fetch()).unwrap() == [other]
    clock.advance_ms(200)
    assert (await instances.fetch()).unwrap() == [other]
    clock.advance_ms(10_100)
    assert (await instances.fetch()).unwrap() == []
    # A reader removes rows that expired long ago.
    clock.advance_ms(60_000)
    for _ in range(3):
        assert (await instances.fetch()).unwrap() == []
        clock.advance_ms(200)
    assert not (await platform.store.read("instances")).unwrap().rows
    await instances.close()


async def test_renewal_does_not_overwrite_a_leaving_mark(platform):
    clock = platform.clock
    own, other = (make_clients(platform.url, clock).instances for _ in range(2))
    one = make_instance("local-1~a")
    await own.announce(one)
    leaving = msgspec.structs.replace(one, state=InstanceState.LEAVING)
    await other.announce(leaving)
    for _ in range(2):
        assert (await own.announce(one)).unwrap() is None
        clock.advance_ms(150)
        assert (await other.fetch()).unwrap() == [leaving]
    for clients in (own, other):
        await clients.close()


async def test_unreadable_instance_entry_is_skipped_and_reported(platform):
    events = []
    clients = open_platform(
        table_url=platform.url,
        objects_url=platform.url,
        instances_url=platform.url,
        clock=Clock(),
        random=random.Random(1),
        on_event=lambda name, **fields: events.append((name, fields["key"])),
    )
    await put_raw(platform, "instances", "a-stranger", b"{")
    await clients.instances.announce(make_instance("local-1~a"))
    platform.clock.advance_ms(150)
    listed = (await clients.instances.fetch()).unwrap()
    assert [entry.incarnation for entry in listed] == ["local-1~a"]
    assert events == [("instance_entry_unreadable", "a-stranger")]
    await clients.close()


async def put_raw(platform, table, key, value):
    write = RowWrite(table=table, key=key, value=value)
    written = await platform.store.transact(conditions=[], writes=[write], removals=[])
    assert written.unwrap().committed


async def test_late_execution_of_an_unanswered_call_takes_effect_once(platform):
    """A call gets no answer and is executed after the client has given it up."""
    table = platform.clients.table
    entry = insert("k", b"v", "token")
    late_calls = []
    transact = platform.stand_in.rows.transact

    def hold_call(transaction):
        late_calls.append(transaction)
        raise asyncio.CancelledError

    platform.stand_in.rows.transact = hold_call
    lost = await table.transact(entry)
    assert lost.failure().kind is ErrorKind.STORE_UNAVAILABLE
    platform.stand_in.rows.transact = transact
    assert transact(late_calls[0]).committed
    assert (await table.transact(entry)).unwrap().committed
    row = (await table.read("t", "k")).unwrap()
    assert (row.version, row.value) == (1, b"v")


async def test_late_call_is_rejected_after_its_transaction_has_failed(platform):
    """Otherwise it would commit once the row that made it fail is removed."""
    table = platform.clients.table
    entry = insert("k", b"late", "token")
    late_calls = []
    transact = platform.stand_in.rows.transact

    def hold_call(transaction):
        late_calls.append(transaction)
        raise asyncio.CancelledError

    platform.stand_in.rows.transact = hold_call
    lost = await table.transact(entry)
    assert lost.failure().kind is ErrorKind.STORE_UNAVAILABLE
    platform.stand_in.rows.transact = transact
    other = make_clients(platform.url, Clock())
    assert (await other.table.transact(insert("k", b"x", "o"))).unwrap().committed
    refused = (await table.transact(entry)).unwrap()
    assert not refused.committed and refused.failed[0].value == b"x"
    removal = Transaction(
        token="r",
        conditions=[],
        puts=[Put(table="t", key="k", value=None)],
    )
    assert (await other.table.transact(removal)).unwrap().committed
    assert not transact(late_calls[0]).committed
    assert (await table.read("t", "k")).unwrap() is None
    await other.close()


async def test_two_clients_share_the_versions_of_a_row(platform):
    other = make_clients(platform.url, Clock())
    tables = [platform.clients.table, other.table]
    for number in range(6):
        transaction = Transaction(
            token=f"n{number}",
            conditions=[Condition(table="t", key="k", version=number)],
            puts=[Put(table="t", key="k", value=b"%d" % number)],
        )
        outcome = (await tables[number % 2].transact(transaction)).unwrap()
        assert outcome.committed
    stale = Transaction(
        token="stale",
        conditions=[Condition(table="t", key="k", version=5)],
        puts=[Put(table="t", key="k", value=b"")],
    )
    outcome = (await tables[0].transact(stale)).unwrap()
    assert not outcome.committed
    assert (outcome.failed[0].version, outcome.failed[0].value) == (6, b"5")
    await other.close()


async def test_unconditional_writes_of_two_clients_increment_the_version(platform):
    other = make_clients(platform.url, Clock())
    for number, table in enumerate([platform.clients.table, other.table] * 3):
        unconditional = Transaction(
            token=f"b{number}",
            conditions=[],
            puts=[Put(table="t", key="k", value=b"%d" % number)],
        )
        assert (await table.transact(unconditional)).unwrap().committed
    assert (await other.table.read("t", "k")).unwrap().version == 6
    await other.close()


@pytest.mark.parametrize("size", [47_999, 48_001, 500_000])
async def test_large_row_round_trip_leaves_no_chunks_after_removal(platform, size):
    table, data = platform.clients.table, random.Random(size).randbytes(size)
    reader = make_clients(platform.url, Clock())
    (await table.transact(insert("k", data, "a"))).unwrap()
    assert (await reader.table.read("t", "k")).unwrap().value == data
    scanned = (await reader.table.scan("t")).unwrap()
    assert [row.value for row in scanned] == [data]
    removal = Transaction(
        token="r", conditions=[], puts=[Put(table="t", key="k", value=None)]
    )
    other = make_clients(platform.url, Clock())
    assert (await other.table.transact(removal)).unwrap().committed
    assert (await reader.table.read("t", "k")).unwrap() is None
    assert not (await platform.store.read("t_chunks")).unwrap().rows
    for clients in (reader, other):
        await clients.close()


async def test_long_keys_stay_distinct_and_are_returned_whole(platform):
    table = platform.clients.table
    keys = ["k" * 400 + "a", "k" * 400 + "b"]
    for key in keys:
        (await table.transact(insert(key, key[-1:].encode(), key[-1:]))).unwrap()
    rows = (await table.scan("t", "kkk")).unwrap()
    assert sorted((row.key, row.value) for row in rows) == [
        (keys[0], b"a"),
        (keys[1], b"b"),
    ]
    assert (await table.read("t", keys[1])).unwrap().value == b"b"


async def test_outcome_rows_of_settled_transactions_are_removed(platform):
    table = platform.clients.table
    for number in range(40):
        (await table.transact(insert(f"k{number}", b"", f"t{number}"))).unwrap()
    outcomes = (await platform.store.read(OUTCOME_TABLE)).unwrap().rows
    assert len(outcomes) == 1


async def test_too_large_transaction_is_rejected_without_effect(platform):
    table = platform.clients.table
    many = Transaction(
        token="many",
        conditions=[],
        puts=[Put(table="t", key=f"k{n}", value=b"") for n in range(200)],
    )
    refused = await table.transact(many)
    assert refused.failure().kind is ErrorKind.TOO_LARGE
    assert (await table.scan("t")).unwrap() == []


async def test_undecodable_row_is_a_fault_with_its_key_and_table(platform):
    await put_raw(platform, "t", "k", b"{}")
    found = await platform.clients.table.read("t", "k")
    assert found.failure().kind is ErrorKind.INTERNAL
    assert "'k' of 't'" in found.failure().detail


async def test_rows_are_watched_and_paged_by_partition(platform):
    store = platform.store
    for part in ("p1", "p2"):
        writes = [
            RowWrite(table="t", key=f"k{n}", value=b"v", part=part) for n in range(3)
        ]
        written = await store.transact(conditions=[], writes=writes, removals=[])
        assert written.unwrap().committed
    assert (await store.partitions("t")).unwrap().parts == ["p1", "p2"]
    assert (await store.partitions("t", after="p1")).unwrap().parts == ["p2"]
    page = (await store.read("t", part="p1", first="k1", end="k2")).unwrap()
    assert [(row.part, row.key) for row in page.rows] == [("p1", "k1")]
    watching = asyncio.create_task(store.watch("t", after=page.version, wait_ms=30_000))
    await asyncio.sleep(0.05)
    removal = RowAddress(table="t", key="k1", part="p1")
    condition = RowCondition(
        table="t", key="k1", version=page.rows[0].version, part="p1"
    )
    removed = await store.transact(
        conditions=[condition], writes=[], removals=[removal]
    )
    assert removed.unwrap().committed
    changed = (await watching).unwrap().rows
    assert [(row.key, row.removed) for row in changed] == [("k1", True)]
    again = await store.transact(conditions=[condition], writes=[], removals=[removal])
    assert not again.unwrap().committed
    assert [row.version for row in again.unwrap().rows] == [0]


async def test_objects_are_listed_and_replaced_only_on_request(platform):
    store = platform.store
    for name in ("a/1", "a/2", "b"):
        assert (await store.put_object(name, b"1")).unwrap()
    assert not (await store.put_object("b", b"2", replace=False)).unwrap()
    assert (await store.get_object("b")).unwrap() == b"1"
    assert (await store.list_objects("a/")).unwrap().names == ["a/1", "a/2"]
    assert (await store.list_objects("a/", after="a/1")).unwrap().names == ["a/2"]
    assert (await store.delete_object("none")).unwrap() is None


async def test_write_to_a_table_of_the_platform_is_forbidden(platform):
    write = RowWrite(table="servers", key="k", value=b"")
    refused = await platform.store.transact(conditions=[], writes=[write], removals=[])
    assert refused.failure().kind is ErrorKind.FORBIDDEN


def make_instance(incarnation):
    return Instance(
        name=incarnation.split("~")[0],
        incarnation=incarnation,
        role=InstanceRole.LOCAL,
        data_centre="suva",
        region="fiji",
        address="tcp://127.0.0.1:1",
    )


async def test_rejected_transaction_does_not_commit_after_its_answer_was_lost(platform):
    """Its conditions hold again when it is sent again."""
    table, other = platform.clients.table, make_clients(platform.url, Clock())
    entry = insert("k", b"late", "token")
    transact = platform.stand_in.rows.transact

    def lose_call(transaction):
        raise asyncio.CancelledError

    def lose_answer(transaction):
        transact(transaction)
        raise asyncio.CancelledError

    for lose in (lose_call, lose_answer):
        platform.stand_in.rows.transact = lose
        lost = await table.transact(entry)
        assert lost.failure().kind is ErrorKind.STORE_UNAVAILABLE
        platform.stand_in.rows.transact = transact
        if lose is lose_call:
            (await other.table.transact(insert("k", b"x", "o"))).unwrap()
            assert (await table.read("t", "k")).unwrap().value == b"x"
    removal = Transaction(
        token="r", conditions=[], puts=[Put(table="t", key="k", value=None)]
    )
    assert (await other.table.transact(removal)).unwrap().committed
    refused = await table.transact(entry)
    assert refused.failure().kind is ErrorKind.INTERNAL
    assert (await table.read("t", "k")).unwrap() is None
    await other.close()
