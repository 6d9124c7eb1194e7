"""Compatibility of two versions that run side by side during an upgrade.

Every process must be able to read a new field before any ticket uses it.
"""

import msgspec
import pytest

from carobroute.links import Endpoint, LinkParameters, Message, Ok, message
from carobroute.testing import make_service, make_team, make_ticket
from carobroute.tickets._codec import chain_hash, decode_ticket, encode_row
from carobroute.tickets._messages import TicketNote
from carobroute.tickets._schema import TeamObject, Ticket, TicketPart
from carobroute.utils import Clock


class NewerTeam(TeamObject, frozen=True, kw_only=True, tag="team"):
    """The team of the next version."""

    colour: str = "green"


class NewerTicket(TicketPart, frozen=True, kw_only=True):
    """The ticket of the next version."""

    based_on: int
    token: str
    author: str
    objects: list[NewerTeam]
    reason: str = ""
    removed: list[str] = []
    number: int = 0
    filed_ms: float = 0.0
    chain: str = ""
    urgency: int = 0


def newer_ticket(**fields):
    team = NewerTeam(name="till", key_hashes=[], **fields)
    return NewerTicket(based_on=0, token="t", author="mere", objects=[team], number=1)


def test_older_process_reads_a_ticket_without_new_fields():
    newer = newer_ticket()
    read = decode_ticket(msgspec.msgpack.encode(newer))
    assert read.objects == [make_team("till")]
    assert chain_hash("", read) == chain_hash("", newer)


def test_older_process_rejects_a_ticket_with_a_new_field():
    """It must not apply a part of the ticket; it stays at the ticket before."""
    with pytest.raises(msgspec.ValidationError, match="colour"):
        decode_ticket(msgspec.msgpack.encode(newer_ticket(colour="red")))


def test_ticket_row_round_trip():
    ticket = make_ticket(make_service(), make_team(weight=3.0), removed=["team/x"])
    assert decode_ticket(encode_row(ticket)) == ticket
    assert isinstance(decode_ticket(encode_row(ticket)), Ticket)


@message
class MessageOfNextVersion(Message, tag="test_from_the_future"):
    """A message type that the receiver does not know."""


async def test_unknown_message_is_dropped_and_the_next_one_is_read(monkeypatch):
    """The receiver is one version behind the sender."""
    from carobroute.links import _endpoint

    endpoints = [
        Endpoint(
            name=name,
            role="entry",
            data_centre="suva",
            incarnation=f"{name}~1",
            clock=Clock(),
            parameters=LinkParameters(),
        )
        for name in ("new", "old")
    ]
    for endpoint in endpoints:
        await endpoint.start()
    decode = _endpoint.decode_body

    def decode_as_older_version(raw):
        if b"test_from_the_future" in bytes(raw):
            raise msgspec.DecodeError("unknown tag")
        return decode(raw)

    monkeypatch.setattr(_endpoint, "decode_body", decode_as_older_version)
    endpoints[1].handle(TicketNote, lambda peer, entry: Ok())
    peer = endpoints[0].peer(endpoints[1].address)
    peer.send(MessageOfNextVersion())
    reply = await peer.call(TicketNote(number=1, chain=""), timeout_ms=10_000)
    assert isinstance(reply.unwrap(), Ok)
    assert endpoints[1].counts["refused_message"] == 1
    for endpoint in endpoints:
        await endpoint.stop()
