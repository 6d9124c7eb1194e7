"""Two versions side by side: a new field is read everywhere before anyone uses it."""

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


def test_older_process_reads_a_ticket_that_leaves_new_fields_alone():
    newer = newer_ticket()
    read = decode_ticket(msgspec.msgpack.encode(newer))
    assert read.objects == [make_team("till")]
    assert chain_hash("", read) == chain_hash("", newer)


def test_older_process_refuses_a_ticket_that_uses_a_new_field():
    """It stays at its number and says so; it never applies half of a ticket."""
    with pytest.raises(msgspec.ValidationError, match="colour"):
        decode_ticket(msgspec.msgpack.encode(newer_ticket(colour="red")))


def test_every_field_survives_the_row():
    ticket = make_ticket(make_service(), make_team(weight=3.0), removed=["team/x"])
    assert decode_ticket(encode_row(ticket)) == ticket
    assert isinstance(decode_ticket(encode_row(ticket)), Ticket)


@message
class FromTheFuture(Message, tag="test_from_the_future"):
    """A message type that the receiver does not know."""


async def test_unknown_message_does_not_spoil_its_frame(monkeypatch):
    """The receiver is a version behind: it drops the message and reads the next."""
    from carobroute.links import _endpoint

    ends = [
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
    for end in ends:
        await end.start()
    decode = _endpoint.decode_body

    def older(raw):
        if b"test_from_the_future" in bytes(raw):
            raise msgspec.DecodeError("unknown tag")
        return decode(raw)

    monkeypatch.setattr(_endpoint, "decode_body", older)
    ends[1].handle(TicketNote, lambda peer, entry: Ok())
    peer = ends[0].peer(ends[1].address)
    peer.send(FromTheFuture())
    reply = await peer.call(TicketNote(number=1, chain=""), timeout_ms=10_000)
    assert isinstance(reply.unwrap(), Ok)
    assert ends[1].counts["refused_message"] == 1
    for end in ends:
        await end.stop()
