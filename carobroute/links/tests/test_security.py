import asyncio
from unittest.mock import Mock

import pytest
import zmq
import zmq.asyncio
import zmq.auth
from returns.result import Failure

from carobroute.links._security import (
    KeyPairs,
    KeyRing,
    LinkSecurity,
    load_link_security,
)
from carobroute.settings import CurveSettings


def new_pair():
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


class Keys:
    """Two generations of fleet keys, and a stranger's."""

    def __init__(self):
        self.old, self.new, self.stranger = new_pair(), new_pair(), new_pair()
        self.old_server, self.new_server = new_pair(), new_pair()

    def security(self, own, ring):
        servers = dict([self.old_server, self.new_server])
        return LinkSecurity(pairs=KeyPairs(own=dict(own), servers=servers), ring=ring)


class Listener:
    def __init__(self, security):
        self.security = security
        self.context = zmq.asyncio.Context()
        security.start(self.context)
        self.router = self.context.socket(zmq.ROUTER)
        security.protect_listener(self.router)
        self.port = self.router.bind_to_random_port("tcp://127.0.0.1")

    async def reached_by(self, security, attempt=0, timeout_s=0.5):
        """Whether a message of `security`'s owner arrives."""
        socket = self.context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        security.protect_connection(socket, attempt)
        socket.connect(f"tcp://127.0.0.1:{self.port}")
        try:
            await socket.send(b"hello")
            async with asyncio.timeout(timeout_s):
                return (await self.router.recv_multipart())[1] == b"hello"
        except TimeoutError:
            return False
        finally:
            socket.close()

    def close(self):
        self.security.stop()
        self.context.destroy(linger=0)


@pytest.fixture
def keys():
    return Keys()


@pytest.fixture
async def listener(keys):
    ring = KeyRing(accepted=[keys.old[0]], servers=[keys.old_server[0]])
    listener = Listener(keys.security([keys.old], ring))
    yield listener
    listener.close()


async def test_known_peer_is_let_in_and_a_stranger_is_refused(keys, listener):
    ring = listener.security.ring
    assert await listener.reached_by(keys.security([keys.old], ring), timeout_s=20)
    assert not await listener.reached_by(keys.security([keys.stranger], ring))
    assert listener.security.counts["refused_peers"] >= 1


async def test_client_refuses_a_listener_with_another_server_key(keys, listener):
    ring = KeyRing(accepted=[keys.old[0]], servers=[keys.new_server[0]])
    assert not await listener.reached_by(keys.security([keys.old], ring))


async def test_each_step_of_a_rotation_meets_the_one_before(keys, listener):
    """Every pair of neighbouring steps works with both own keys held."""
    old, new = keys.old[0], keys.new[0]
    servers = [keys.old_server[0]]
    steps = [[old], [old, new], [new, old], [new]]
    held = [keys.old, keys.new]
    for before, after in zip(steps, steps[1:], strict=False):
        for listening, connecting in [(before, after), (after, before)]:
            listener.security.use_ring(KeyRing(accepted=listening, servers=servers))
            client = keys.security(held, KeyRing(accepted=connecting, servers=servers))
            assert await listener.reached_by(client, timeout_s=20)


async def test_withdrawn_key_is_refused(keys, listener):
    ring = KeyRing(accepted=[keys.new[0]], servers=listener.security.ring.servers)
    assert not listener.security.use_ring(ring)
    assert not await listener.reached_by(keys.security([keys.old], ring))
    assert not listener.security.accepts(keys.old[0])


async def test_new_server_key_asks_for_a_new_listener(keys, listener):
    accepted = listener.security.ring.accepted
    servers = [keys.new_server[0], keys.old_server[0]]
    assert listener.security.use_ring(KeyRing(accepted=accepted, servers=servers))


def test_failed_attempts_try_every_pair_of_keys(keys):
    ring = KeyRing(
        accepted=[keys.old[0], keys.new[0]],
        servers=[keys.old_server[0], keys.new_server[0]],
    )
    security = keys.security([keys.old, keys.new], ring)
    tried = set()
    for attempt in range(4):
        socket = Mock(spec=["setsockopt"])
        security.protect_connection(socket, attempt)
        tried.add((socket.curve_publickey, socket.curve_serverkey))
    assert len(tried) == 4


def test_keys_come_from_certificate_files(tmp_path):
    for name in ["own", "servers", "accepted"]:
        (tmp_path / name).mkdir()
        zmq.auth.create_certificates(tmp_path / name, "first")
    settings = CurveSettings(
        own_directory=str(tmp_path / "own"),
        servers_directory=str(tmp_path / "servers"),
        accepted_directory=str(tmp_path / "accepted"),
    )
    security = load_link_security(settings).unwrap()
    assert len(security.ring.accepted) == 1
    (tmp_path / "own" / "first.key_secret").write_text("not a certificate")
    assert isinstance(load_link_security(settings), Failure)
