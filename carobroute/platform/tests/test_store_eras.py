"""The store that comes back from an older copy, at the client over a real socket."""

import contextlib

import pytest
from aiohttp.test_utils import TestServer

from carobroute.errors import ErrorKind
from carobroute.platform import RowCondition, RowStore, RowWrite
from carobroute.platform._http_channel import _decode_era
from carobroute.standins._platform import PlatformStandIn
from carobroute.utils import ManualClock


@contextlib.asynccontextmanager
async def run_store():
    stand_in = PlatformStandIn(clock=ManualClock())
    restored = []
    async with TestServer(stand_in.application()) as server:
        store = RowStore(
            base_url=str(server.make_url("")).rstrip("/"),
            on_restored=lambda before, era: restored.append((before, era)),
        )
        yield stand_in, store, restored
        await store.close()


async def test_the_client_tells_once_that_the_store_came_back_older():
    async with run_store() as (stand_in, store, restored):
        stand_in.write("op", "config", b"1")
        copy = stand_in.rows.copy()
        stand_in.write("op", "config", b"2")
        newest = (await store.read("op")).unwrap()
        assert (newest.era, restored) == (1, [])
        stand_in.restore(copy)
        for _ in range(2):
            answer = (await store.read("op")).unwrap()
            assert answer.era == store.era == 2
            assert answer.version < newest.version
            assert restored == [(1, 2)]


async def test_a_watch_from_a_version_that_is_gone_has_to_read_again():
    async with run_store() as (stand_in, store, _):
        copy = stand_in.rows.copy()
        stand_in.write("op", "config", b"1")
        version = (await store.read("op")).unwrap().version
        stand_in.restore(copy)
        watched = await store.watch("op", after=version, wait_ms=0)
        assert watched.failure().kind is ErrorKind.CONFLICT


async def test_a_version_that_is_given_out_twice_satisfies_a_condition():
    async with run_store() as (stand_in, store, _):
        copy = stand_in.rows.copy()
        stand_in.write("duties", "one", b"mine")
        version = (await store.read("duties")).unwrap().rows[0].version
        stand_in.restore(copy)
        stand_in.write("duties", "one", b"of another")
        written = await store.transact(
            conditions=[RowCondition(table="duties", key="one", version=version)],
            writes=[RowWrite(table="duties", key="one", value=b"mine again")],
            removals=[],
        )
        assert written.unwrap().committed
        assert written.unwrap().era == 2


@pytest.mark.parametrize("text", ["", "-1", "two", "1.5", "9" * 40, "٣"])
def test_an_era_that_is_no_number_counts_as_none(text):
    assert _decode_era(text) == 0
