import msgspec
import pytest
import zmq

from carobroute.testing import make_ticket
from carobroute.tickets import Configuration, KeyRingObject, check_ticket

KEYS = [zmq.curve_keypair()[0].decode() for _ in range(3)]


def ring(accepted, servers):
    return KeyRingObject(
        accepted=[KEYS[n] for n in accepted], servers=[KEYS[n] for n in servers]
    )


def in_force(entry):
    ticket = msgspec.structs.replace(make_ticket(entry), number=1)
    return Configuration().with_ticket(ticket)


def test_each_step_of_a_rotation_is_accepted():
    before = in_force(ring([0], [0]))
    for step in [ring([0, 1], [0]), ring([1, 0], [0]), ring([0, 2], [0, 1])]:
        assert check_ticket(make_ticket(step), before) == []


@pytest.mark.parametrize(
    "entry, path",
    [
        (ring([1], [0]), "accepted"),
        (ring([0], [1]), "servers"),
        (ring([], [0]), "accepted"),
        (ring([0, 0], [0]), "accepted"),
        (KeyRingObject(accepted=["short", KEYS[0]], servers=[KEYS[0]]), "accepted[0]"),
        (KeyRingObject(accepted=[KEYS[0]], servers=[KEYS[0]], name="x"), "name"),
    ],
)
def test_ring_that_would_shut_processes_out_is_refused(entry, path):
    faults = check_ticket(make_ticket(entry), in_force(ring([0], [0])))
    assert any(fault.path.endswith(f".{path}") for fault in faults)


def test_ring_in_force_cannot_be_removed():
    ticket = make_ticket(removed=["key_ring/links"])
    assert check_ticket(ticket, in_force(ring([0], [0])))[0].path == "removed"
