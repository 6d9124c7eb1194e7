"""What a stranger or a broken peer can send: each is refused, and links go on."""

import asyncio
import contextlib
import random

import msgspec
import pytest
import zmq
import zmq.asyncio
from hypothesis import given, settings
from hypothesis import strategies as st

from carobroute.links import (
    Cancel,
    Endpoint,
    LinkParameters,
    Ok,
    decode_body,
    decode_frame,
    encode_frame,
    message_types,
)
from carobroute.links._messages import Hello
from carobroute.links._security import KeyPairs, KeyRing, LinkSecurity
from carobroute.testing import wait_until
from carobroute.utils import Clock

FAST = LinkParameters(
    ping_busy_ms=50,
    ping_idle_ms=100,
    silence_ms=400,
    reopen_ms=5,
    reopen_most_ms=20,
    max_inbound=3,
)
DEEP = b"\x91" * 100_000


def make_endpoint(name, security=None):
    endpoint = Endpoint(
        name=name,
        role="entry",
        data_centre="suva",
        incarnation=f"{name}~1",
        clock=Clock(),
        parameters=FAST,
        security=security,
    )
    endpoint.handle(Cancel, lambda peer, entry: Ok())
    return endpoint


async def reaches(first, second, timeout_ms=20_000):
    reply = await first.peer(second.address).call(
        Cancel(request_id="r", attempt=1), timeout_ms=timeout_ms
    )
    return isinstance(reply.value_or(None), Ok)


@pytest.fixture
async def pair():
    first, second = make_endpoint("a"), make_endpoint("b")
    await first.start()
    await second.start()
    yield first, second
    await first.stop()
    await second.stop()


def hello(incarnation):
    entry = Hello(
        lowest_version=1, highest_version=1, name="x", role="entry", data_centre="suva"
    )
    return encode_frame([entry], incarnation=incarnation, ticket=0)


async def send(address, *messages):
    context = zmq.asyncio.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.connect(address)
    for parts in messages:
        await dealer.send_multipart(parts)
    return context


@pytest.mark.parametrize(
    "messages",
    [
        [[DEEP]],
        [[b"\x94\x01\xa1a\x00" + DEEP]],
        [[hello("z~1")], [b"\x94\x01\xa3z~1\x00\x91" + DEEP]],
        [[b"one", b"two"]],
        [[b""]],
        [[b"\x94\x01\xa1\xff\x00\x90"]],
    ],
)
async def test_what_cannot_be_decoded_is_refused_and_links_go_on(pair, messages):
    first, second = pair
    context = await send(second.address, *messages)
    await wait_until(
        lambda: second.counts["refused_frame"] or second.counts["refused_message"],
        what="the message is refused",
    )
    assert await reaches(first, second)
    context.destroy(linger=0)


async def test_handler_that_fails_does_not_end_the_link(pair):
    first, second = pair
    second._handlers[Cancel] = lambda peer, entry: 1 / 0
    assert not await reaches(first, second, timeout_ms=200)
    second._handlers[Cancel] = lambda peer, entry: Ok()
    assert await reaches(first, second)
    assert second.counts["task_failures"] == 1


async def test_number_of_inbound_peers_is_bounded(pair):
    _, second = pair
    contexts = [await send(second.address, [hello(f"s~{n}")]) for n in range(6)]
    await wait_until(
        lambda: second.counts["refused_inbound"] >= 3, what="three are refused"
    )
    assert len(second.peers) == 3
    for context in contexts:
        context.destroy(linger=0)


async def test_frame_of_another_incarnation_on_a_connection_is_refused(pair):
    _, second = pair
    context = await send(second.address, [hello("s~1")], [hello("s~2")])
    await wait_until(lambda: second.counts["refused_frame"], what="it is refused")
    assert [peer.incarnation for peer in second.peers] == ["s~1"]
    context.destroy(linger=0)


class Fleet:
    """Endpoints with CURVE keys, on one ring."""

    def __init__(self):
        self.pairs = [new_pair() for _ in range(4)]
        self.servers = [new_pair(), new_pair()]
        self.endpoints = []

    async def join(self, name, keys, ring):
        held = KeyPairs(
            own=dict(self.pairs[n] for n in keys), servers=dict(self.servers)
        )
        endpoint = make_endpoint(name, LinkSecurity(pairs=held, ring=ring))
        await endpoint.start()
        self.endpoints.append(endpoint)
        return endpoint

    def ring(self, accepted, servers):
        return KeyRing(
            accepted=[self.pairs[n][0] for n in accepted],
            servers=[self.servers[n][0] for n in servers],
        )


def new_pair():
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    for endpoint in fleet.endpoints:
        await endpoint.stop()


async def test_stranger_and_plain_peer_get_nowhere(fleet):
    ring = fleet.ring([0], [0])
    server = await fleet.join("server", [0], ring)
    stranger = await fleet.join("stranger", [3], fleet.ring([3], [0]))
    plain = make_endpoint("plain")
    await plain.start()
    fleet.endpoints.append(plain)
    assert not await reaches(stranger, server, timeout_ms=300)
    assert not await reaches(plain, server, timeout_ms=300)
    assert server.security.counts["refused_peers"] >= 1
    assert server.peers == []
    assert await reaches(await fleet.join("friend", [0], ring), server)


async def test_keys_are_rotated_while_calls_go_on(fleet):
    """Both key kinds change in steps that reach the processes in any order."""
    generator = random.Random(7)
    steps = [
        fleet.ring([0], [0]),
        fleet.ring([0, 1], [0, 1]),
        fleet.ring([1, 0], [1, 0]),
        fleet.ring([1], [1]),
    ]
    members = [await fleet.join(f"m{n}", [0, 1], steps[0]) for n in range(2)]
    for step in steps[1:]:
        for member in generator.sample(members, len(members)):
            member.use_key_ring(step)
            for first, second in [members, reversed(members)]:
                await wait_until(
                    lambda a=first, b=second: reaches(a, b, timeout_ms=500),
                    what="both reach each other",
                )
    old_key_only = await fleet.join("late", [0], steps[0])
    assert not await reaches(old_key_only, members[0], timeout_ms=300)


async def test_peer_whose_key_is_withdrawn_is_shut_out(fleet):
    both = fleet.ring([0, 1], [0])
    server = await fleet.join("server", [0], both)
    leaked = await fleet.join("leaked", [1], both)
    assert await reaches(leaked, server)
    server.use_key_ring(fleet.ring([0], [0]))
    assert not await reaches(leaked, server, timeout_ms=500)
    assert server.counts["withdrawn_key"] == 1


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=80), st.binary(max_size=60), st.integers(0, 200))
def test_any_bytes_decode_or_are_refused(noise, patch, position):
    whole = encode_frame([Cancel(request_id="r", attempt=1)], incarnation="a", ticket=3)
    changed = whole[:position] + patch + whole[position + len(patch) :]
    for data in (noise, changed):
        try:
            for raw in decode_frame(data).body:
                decode_body(raw)
        except msgspec.DecodeError:
            continue


@pytest.mark.parametrize("kind", message_types(), ids=lambda kind: kind.__name__)
def test_each_message_type_survives_wrong_field_types(kind):
    encoder = msgspec.msgpack.Encoder()
    names = [field.encode_name for field in msgspec.structs.fields(kind)]
    for value in (None, -1, 1 << 63, "x", b"\xff", [[]], {"a": 1}, 1.5):
        fields = {"type": kind.__struct_config__.tag, **dict.fromkeys(names, value)}
        with contextlib.suppress(msgspec.DecodeError):
            assert isinstance(decode_body(msgspec.Raw(encoder.encode(fields))), kind)


async def test_cancelled_reader_leaves_no_task(pair):
    first, second = pair
    assert await reaches(first, second)
    await first.stop()
    names = {task.get_name() for task in asyncio.all_tasks()}
    assert not any(name.startswith(f"connection {second.address}") for name in names)
