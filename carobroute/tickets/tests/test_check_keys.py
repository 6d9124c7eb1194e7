import msgspec
import pytest
import zmq

from carobroute.testing import make_ticket
from carobroute.tickets import Configuration, KeyRingObject, check_ticket

KEYS = [zmq.curve_keypair()[0].decode() for _ in range(3)]


def make_key_ring(accepted, servers):
    return KeyRingObject(
        accepted=[KEYS[n] for n in accepted], servers=[KEYS[n] for n in servers]
    )


def configuration_of(entry):
    ticket = msgspec.structs.replace(make_ticket(entry), number=1)
    return Configuration().with_ticket(ticket)


def test_each_step_of_a_key_rotation_is_accepted():
    before = configuration_of(make_key_ring([0], [0]))
    for step in [
        make_key_ring([0, 1], [0]),
        make_key_ring([1, 0], [0]),
        make_key_ring([0, 2], [0, 1]),
    ]:
        assert check_ticket(make_ticket(step), before) == []


@pytest.mark.parametrize(
    "entry, path",
    [
        (make_key_ring([1], [0]), "accepted"),
        (make_key_ring([0], [1]), "servers"),
        (make_key_ring([], [0]), "accepted"),
        (make_key_ring([0, 0], [0]), "accepted"),
        (KeyRingObject(accepted=["short", KEYS[0]], servers=[KEYS[0]]), "accepted[0]"),
        (KeyRingObject(accepted=[KEYS[0]], servers=[KEYS[0]], name="x"), "name"),
    ],
)
def test_key_ring_with_invalid_or_only_new_keys_is_rejected(entry, path):
    faults = check_ticket(make_ticket(entry), configuration_of(make_key_ring([0], [0])))
    assert any(fault.path.endswith(f".{path}") for fault in faults)


def test_key_ring_cannot_be_removed():
    ticket = make_ticket(removed=["key_ring/links"])
    assert (
        check_ticket(ticket, configuration_of(make_key_ring([0], [0])))[0].path
        == "removed"
    )
