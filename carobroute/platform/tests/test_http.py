import asyncio
import contextlib
import random

import pytest
from aiohttp.test_utils import TestServer

from carobroute.errors import ErrorKind
from carobroute.platform import (
    Condition,
    HttpInstanceListClient,
    Put,
    RetryParameters,
    Transaction,
    platform_adapters,
)
from carobroute.standins._faults import Faults
from carobroute.standins._platform import PlatformStandIn
from carobroute.utils import Clock, ManualClock
from carobroute.world import Instance, InstanceRole, InstanceState

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\x90"
FAST = RetryParameters(first_ms=1, most_ms=5, per_s=1_000)


class Bench:
    """A stand-in, its server, and clients of it."""

    def __init__(self, stand_in, server, clients):
        self.stand_in = stand_in
        self.server = server
        self.clients = clients


@pytest.fixture
async def bench():
    clock = ManualClock()
    stand_in = PlatformStandIn(clock=clock, seed=3, list_lag_ms=100, lease_ms=1_000)
    server = TestServer(stand_in.application())
    await server.start_server()
    url = str(server.make_url("")).rstrip("/")
    clients = platform_adapters.get("http")(
        table_url=url,
        objects_url=url,
        instances_url=url,
        clock=Clock(),
        random=random.Random(1),
        timeout_ms=200,
        retry=FAST,
    )
    bench = Bench(stand_in, server, clients)
    bench.clock = clock
    yield bench
    await clients.close()
    await server.close()


def insert(key, value, token):
    return Transaction(
        token=token,
        conditions=[Condition(table="t", key=key, version=0)],
        puts=[Put(table="t", key=key, value=value)],
    )


def deadline(after_ms=10_000):
    return Clock().now_ms() + after_ms


async def test_settle_is_definite_when_answers_are_lost(bench):
    bench.stand_in.faults.faults = Faults(lose_answer=0.6, lose_call=0.2)
    table = bench.clients.table
    for number in range(40):
        key = f"k{number}"
        entry = insert(key, b"v", f"token{number}")
        outcome = await table.settle(entry, deadline_ms=deadline())
        assert outcome.unwrap().committed
    bench.stand_in.faults.faults = Faults()
    arrivals = [entry.arrivals for entry in bench.stand_in.tables.record]
    assert len(arrivals) == 40 and max(arrivals) > 1
    rows = (await table.scan("t")).unwrap()
    assert {row.version for row in rows} == {1} and len(rows) == 40


async def test_second_insert_is_told_the_row_that_is_there(bench):
    table = bench.clients.table
    (await table.transact(insert("k", b"first", "a"))).unwrap()
    outcome = (await table.transact(insert("k", b"second", "b"))).unwrap()
    assert not outcome.committed
    assert outcome.failed[0].value == b"first"


async def test_outage_is_a_fault_and_ends(bench):
    bench.stand_in.faults.faults = Faults(outage=True)
    table = bench.clients.table
    outcome = await table.settle(insert("k", b"v", "a"), deadline_ms=deadline(50))
    assert outcome.failure().kind is ErrorKind.STORE_UNAVAILABLE
    bench.stand_in.faults.faults = Faults()
    outcome = await table.settle(insert("k", b"v", "a"), deadline_ms=deadline())
    assert outcome.unwrap().committed


async def test_no_pooled_connection_is_used_after_one_went_silent():
    """Two pooled connections go silent; one timeout must retire both."""
    connections = []
    together = asyncio.Event()

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
                    together.set()
                await together.wait()
                writer.write(ANSWER)

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        client = HttpInstanceListClient(
            base_url=f"http://127.0.0.1:{port}",
            clock=Clock(),
            random=random.Random(1),
            timeout_ms=300,
        )
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


async def test_objects_and_scan_pages(bench):
    objects = bench.clients.objects
    (await objects.put("a/b c", b"data")).unwrap()
    assert (await objects.get("a/b c")).unwrap() == b"data"
    (await objects.delete("a/b c")).unwrap()
    assert (await objects.get("a/b c")).unwrap() is None
    table = bench.clients.table
    for number in range(5):
        (await table.transact(insert(f"p{number}", b"", f"s{number}"))).unwrap()
    page = (await table.scan("t", "p", limit=2)).unwrap()
    rest = (await table.scan("t", "p", after=page[-1].key)).unwrap()
    assert [row.key for row in page + rest] == [f"p{n}" for n in range(5)]


async def test_list_lags_marks_leaving_and_expires(bench):
    instances, clock = bench.clients.instances, bench.clock
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
    clock.advance_ms(150)
    assert (await instances.fetch()).unwrap() == [other]
    clock.advance_ms(2_000)
    assert (await instances.fetch()).unwrap() == []


def make_instance(incarnation):
    return Instance(
        name=incarnation.split("~")[0],
        incarnation=incarnation,
        role=InstanceRole.LOCAL,
        data_centre="suva",
        region="fiji",
        address="tcp://127.0.0.1:1",
    )
