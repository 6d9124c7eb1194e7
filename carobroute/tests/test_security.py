"""An unknown peer, operator or team gets nowhere; keys rotate without a stop."""

import asyncio
from pathlib import Path

import pytest
import zmq.auth

from carobroute.testing import wait_until
from carobroute.tests.conftest import QUICK_LINKS
from carobroute.tests.test_configuration import highest, in_force

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("security"),
]
OPERATOR_TOKEN = "an-operators-token"


def make_keys(directory):
    """The first generation of certificates, held by the whole fleet."""
    own, servers, accepted = (directory / n for n in ("own", "servers", "accepted"))
    for place in (own, servers, accepted):
        place.mkdir(parents=True)
    zmq.auth.create_certificates(own, "1")
    zmq.auth.create_certificates(servers, "1")
    (accepted / "1.key").write_bytes((own / "1.key").read_bytes())
    (directory / "tokens").write_text(OPERATOR_TOKEN + "\n")
    return {
        "own_directory": str(own),
        "servers_directory": str(servers),
        "accepted_directory": str(accepted),
    }


@pytest.fixture(scope="module")
def keys(tmp_path_factory):
    return make_keys(tmp_path_factory.mktemp("keys"))


@pytest.fixture(scope="module")
def fleet_options(keys):
    links = {**QUICK_LINKS, "curve": keys}
    return {"settings": {"links": links, "platform": {"timeout_ms": 1_000}}}


def public(keys, kind, name):
    return zmq.auth.load_certificate(Path(keys[kind]) / f"{name}.key")[0].decode()


def key_ring(keys, names, based_on):
    ring = {
        "type": "key_ring",
        "accepted": [public(keys, "own_directory", name) for name in names],
        "servers": [public(keys, "servers_directory", name) for name in names],
    }
    return {
        "author": "elsa",
        "based_on": based_on,
        "token": f"keys-{based_on}",
        "objects": [ring],
    }


async def test_stranger_gets_no_answer_and_no_hint(fleet, witness):
    url = fleet.entry_url(0) + "/v1/chat/completions"
    for headers in ({}, {"Authorization": "Bearer guessed"}, {"Authorization": "x"}):
        async with fleet.session.post(url, headers=headers, data=b"{}") as response:
            assert response.status == 401
            assert b"stockholm" not in await response.read()


async def test_team_may_call_only_its_services(fleet, witness):
    headers = fleet.headers("supplier-letters")
    url = fleet.entry_url(0) + "/klang-orders/stock/ship-bell-180"
    async with fleet.session.get(url, headers=headers) as response:
        assert response.status == 403


async def test_two_teams_with_one_key_have_two_orders(fleet, witness):
    first = await witness.order(0, key="shared", body=b'{"a":1}')
    headers = {**fleet.headers("lund"), "Idempotency-Key": "shared"}
    url = fleet.entry_url(1) + "/klang-orders/orders"
    async with fleet.session.post(url, headers=headers, data=b'{"b":2}') as response:
        assert response.status == 200
        other = await response.json()
    assert first.status == 200
    assert other["team"] == "lund"
    assert other["body_hash"].encode() not in first.data


async def test_callers_interface_has_no_operators_paths(fleet, witness):
    headers = fleet.headers("head-office")
    for path in ("/operator/dump", "/operator/tickets", "/metrics"):
        url = fleet.entry_url(0) + path
        async with fleet.session.get(url, headers=headers) as response:
            assert response.status in (401, 403, 404)


async def test_plain_process_finds_no_link_to_the_fleet(fleet, witness):
    """A process without keys is refused and sees none of the traffic."""
    context = zmq.asyncio.Context()
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.LINGER, 0)
    socket.connect(fleet.entries[0].ready["link"])
    await socket.send(b"\x94\x01\xa1z\x00\x90")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(1.0):
            await socket.recv()
    context.destroy(linger=0)


async def test_keys_are_rotated_by_ticket_under_load(fleet, witness, keys):
    """New files, then three tickets; streams and orders go on, none is cut."""
    for kind in ("own_directory", "servers_directory"):
        zmq.auth.create_certificates(Path(keys[kind]), "2")
    stop = asyncio.Event()

    async def load(entry):
        while not stop.is_set():
            await witness.stream(entry, tokens=20)
            await witness.order(entry)

    callers = [asyncio.create_task(load(n % 2)) for n in range(4)]
    for names in (["1", "2"], ["2", "1"], ["2"]):
        before = await highest(fleet)
        await fleet.file_ticket(fleet.entries[0], key_ring(keys, names, before))
        await wait_until(lambda n=before: in_force(fleet, n + 1), what="all have it")
        sent = len(witness.streams)
        await wait_until(
            lambda n=sent: len(witness.streams) >= n + 8, what="load goes on"
        )
    stop.set()
    await asyncio.gather(*callers)
    assert {answer.told for answer in witness.streams} == {"whole"}
    assert {answer.told for answer in witness.orders} == {"whole"}
    dump = await fleet.read_json(fleet.entries[0].address, "/operator/dump")
    assert dump["link_keys"]["ring"]["accepted"] == [public(keys, "own_directory", "2")]
