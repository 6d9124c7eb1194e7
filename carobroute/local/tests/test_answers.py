import asyncio

import pytest

from carobroute.errors import ErrorKind, Fault
from carobroute.links import Chunk, End, Start
from carobroute.local import Answer, AnswerHead, Delivery

HEAD = AnswerHead(status=200, headers={})


class Wire:
    """Collects what is sent; may lose or refuse it."""

    def __init__(self):
        self.sent = []
        self.full = False

    def send(self, message):
        if self.full:
            return False
        self.sent.append(message)
        return True

    def kinds(self):
        return [type(message) for message in self.sent]

    def indexes(self):
        return [m.index for m in self.sent if isinstance(m, Chunk)]


def make_delivery(wire, attempt=1):
    return Delivery(request_id="r", attempt=attempt, send=wire.send)


async def test_answer_is_delivered_in_order_with_its_end():
    wire, answer = Wire(), Answer(window_bytes=100)
    answer.attach(make_delivery(wire))
    answer.start(HEAD)
    for data in [b"a", b"b"]:
        await answer.append(data)
    answer.close()
    assert wire.kinds() == [Start, Chunk, Chunk, End]
    assert wire.sent[-1].chunks == 2


async def test_producer_waits_for_a_slow_entry_and_goes_on_after_its_ack():
    wire, answer = Wire(), Answer(window_bytes=4)
    delivery = make_delivery(wire)
    answer.attach(delivery)
    answer.start(HEAD)
    await answer.append(b"1234")
    blocked = asyncio.ensure_future(answer.append(b"5"))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert not blocked.done()
    assert answer.size_bytes == 4
    answer.acknowledge(delivery, 1)
    await blocked
    assert answer.base == 1
    assert wire.indexes() == [0, 1]


async def test_reattached_entry_gets_exactly_what_it_lacks():
    lost, found = Wire(), Wire()
    answer = Answer(window_bytes=100)
    delivery = make_delivery(lost)
    answer.attach(delivery)
    answer.start(HEAD)
    for data in [b"a", b"b", b"c"]:
        await answer.append(data)
    delivery.rewind(index=1, started=True, send=found.send)
    answer.attach(delivery)
    await answer.append(b"d")
    answer.close()
    assert found.indexes() == [1, 2, 3]
    assert found.kinds() == [Chunk, Chunk, Chunk, End]


async def test_full_queue_loses_nothing():
    wire, answer = Wire(), Answer(window_bytes=100)
    answer.attach(make_delivery(wire))
    wire.full = True
    answer.start(HEAD)
    await answer.append(b"a")
    answer.close()
    assert wire.sent == []
    wire.full = False
    answer.pump()
    assert wire.kinds() == [Start, Chunk, End]


async def test_answer_ends_for_an_entry_only_with_the_acknowledged_end():
    wire, answer = Wire(), Answer(window_bytes=100)
    delivery = make_delivery(wire)
    answer.attach(delivery)
    answer.start(HEAD)
    await answer.append(b"a")
    answer.close()
    answer.acknowledge(delivery, 1)
    assert not delivery.finished
    answer.acknowledge(delivery, 2)
    assert delivery.finished


async def test_retained_answer_is_whole_for_a_second_attempt():
    first, second = Wire(), Wire()
    answer = Answer(window_bytes=4, retain_bytes=100)
    delivery = make_delivery(first)
    answer.attach(delivery)
    answer.start(HEAD)
    for data in [b"123", b"456", b"789"]:
        await answer.append(data)
    answer.close()
    answer.acknowledge(delivery, 4)
    assert answer.whole
    answer.attach(make_delivery(second, attempt=2))
    assert second.indexes() == [0, 1, 2]


async def test_answer_too_large_to_retain_is_held_as_a_window():
    wire, answer = Wire(), Answer(window_bytes=4, retain_bytes=6)
    delivery = make_delivery(wire)
    answer.attach(delivery)
    answer.start(HEAD)
    await answer.append(b"1234")
    await answer.append(b"5678")
    answer.acknowledge(delivery, 2)
    assert not answer.whole
    assert answer.size_bytes == 0


@pytest.mark.parametrize("kind", [ErrorKind.STREAM_BROKEN, ErrorKind.LEAVING])
async def test_first_close_decides(kind):
    wire, answer = Wire(), Answer(window_bytes=4)
    answer.attach(make_delivery(wire))
    answer.close(Fault(kind=kind, detail="first"))
    answer.close()
    assert [m.fault.kind for m in wire.sent] == [kind]
