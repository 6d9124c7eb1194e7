"""Rate limits in the answers of real connections, and tokens over real datagrams."""

import asyncio
import io
import random

import msgspec
import pytest
import uvloop

from carobroute.gateway._rate_limits import LimitReport, RateLimits
from carobroute.gateway._rate_tokens import RateTokens, TokenReply, TokenRequest
from carobroute.gateway._targets import Target
from carobroute.gateway._token_exchange import TokenExchange
from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.health import OutlierParameters
from carobroute.standins._reserved_ports import ReservedAddress
from carobroute.telemetry import EventLog
from carobroute.testing import wait_until
from carobroute.testing.gateway_data import make_target_entry, make_target_rates
from carobroute.utils import Clock, ManualClock

GUARD_PORT = 9_000
PORT = 9_001


@pytest.fixture
async def gateway():
    harness = GatewayHarness()
    yield harness
    await harness.stop()


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {"Server_Limit": "2.5"}, 2.5),
        (503, {"Server_Limit": "2.5", "Not_Run": "1"}, 2.5),
        (500, {"Server_Limit": "0"}, 0.0),
        (200, {}, None),
        # A rejection without the header, or an answer of another run, says nothing.
        (503, {"Not_Run": "1"}, 9.0),
        (421, {"Server_Limit": "2.5"}, 9.0),
        # So do headers that are no decimal number, and answers of another call.
        (200, {"Server_Limit": "many"}, 9.0),
        (200, {"Server_Limit": "-1"}, 9.0),
        (200, {"Server_Limit": "inf"}, 9.0),
        (200, {"Server_Limit": "."}, 9.0),
        (200, {"Server_Limit": "1" * 4_000}, 9.0),
        (200, {"Server_Limit": "2.5", "Request_Id": "r-other"}, 9.0),
    ],
)
async def test_the_latest_statement_of_a_target_on_its_limit_counts(
    gateway, status, headers, expected
):
    async def answer(call):
        await call.answer(status, **headers)

    await gateway.start(answer)
    (target,) = gateway.directory.all_targets()
    limits = gateway.context.limits
    limits.note(target.run_id, 9.0)
    await gateway.call()
    assert limits.limit(target.run_id) == expected


def test_a_limit_of_a_peer_is_not_taken_for_younger_than_it_is():
    clock = ManualClock()
    limits = RateLimits(clock=clock)
    limits.note("i-1@1", 3.0)
    clock.advance_ms(500.0)
    limits.merge({"i-1@1": LimitReport(None, 600.0)})
    assert limits.limit("i-1@1") == 3.0
    limits.merge({"i-1@1": LimitReport(None, 100.0)})
    assert limits.limit("i-1@1") is None
    for _ in range(100):
        clock.advance_ms(100.0)
        limits.note("i-1@1", None)
        limits.report()
    assert not limits._named


def test_each_digest_has_the_news_and_some_have_all_limits():
    """All limits in each digest would be kilobytes where most ranks are limited."""
    clock = ManualClock()
    limits = RateLimits(clock=clock)
    for number in range(90):
        limits.note(f"i-{number}@1", 1.0)
    assert len(limits.report()) == 90
    clock.advance_ms(1_500.0)
    limits.note("i-1@1", 2.0)
    limits.note("i-2@1", 1.0)
    assert list(limits.report()) == ["i-1@1"]
    limits.request_complete_report()
    assert len(limits.report()) == 90
    assert list(limits.report()) == ["i-1@1"]
    clock.advance_ms(2_000.0)
    assert len(limits.report()) == 90


def test_a_limit_that_nobody_has_confirmed_for_long_ends():
    clock = ManualClock()
    limits = RateLimits(clock=clock)
    limits.note("i-1@1", 3.0)
    clock.advance_ms(61_000.0)
    assert limits.limit("i-1@1") is None
    assert not limits.report()


class Peer:
    """Tokens of one gateway, over a socket of its own."""

    def __init__(self, *, name, host, port, names, log):
        clock = Clock()
        self.limits = RateLimits(clock=clock)
        self.replies = self.messages = 0
        self.tokens = RateTokens(
            clock=clock,
            random=random.Random(1),
            name=name,
            limits=make_target_rates(clock, self.limits),
            peers=lambda: [peer for peer in names if peer != name],
            send=lambda peer, message: self.exchange.send(peer, message),
            on_reply=self._count_reply,
        )
        self.exchange = TokenExchange(
            bind=f"{host}:{port}",
            find_host=lambda peer: names.get(peer, ""),
            on_message=self._handle,
            events=EventLog(name=name, stream=log, clock=clock),
        )

    def _count_reply(self):
        self.replies += 1

    def _handle(self, message):
        self.messages += 1
        self.tokens.handle(message)


async def check_tokens_between_two_gateways():
    log = io.StringIO()
    addresses = {
        name: ReservedAddress(guard_port=GUARD_PORT, datagram_ports=[PORT])
        for name in ("a", "b")
    }
    names = {name: address.reserve() for name, address in addresses.items()}
    peers = [
        Peer(name=name, host=host, port=PORT, names=names, log=log)
        for name, host in names.items()
    ]
    target = Target(
        entry=make_target_entry(),
        clock=Clock(),
        health=OutlierParameters(),
        peer_calls=lambda incarnation: 0,
    )
    for peer in peers:
        await peer.exchange.start()
        peer.limits.note(target.run_id, 1.0)
    try:
        for peer in peers:
            peer.tokens.request(target, max_wait_ms=0.0, is_for_call=True)
            await wait_until(
                lambda peer=peer: (
                    not peer.tokens.is_expected(target) or peer.tokens.is_ready(target)
                )
            )
        assert sum(peer.tokens.is_ready(target) for peer in peers) == 1
        assert sum(peer.replies for peer in peers) == 1
        # A datagram that is no message is reported, and the next one is handled.
        first, second = peers
        first.exchange._transport.sendto(b"\xc1", (names["b"], PORT))
        await wait_until(lambda: "token_message_unreadable" in log.getvalue())
        replies, messages = first.replies, first.messages
        first.exchange.send("b", TokenRequest("a", target.run_id, 1.0, 0.0, False))
        await wait_until(lambda: first.messages == messages + 1)
        # The gateway itself has not asked.
        assert first.replies == replies
        first.exchange.send("unknown", TokenRequest("a", "i-1@1", 1.0, 0.0, False))
    finally:
        for peer in peers:
            peer.exchange.stop()
        for address in addresses.values():
            address.release()


class Asking:
    """Gateway that asks another one for the tokens of a target."""

    def __init__(self, *, per_s=5.0):
        self.clock = ManualClock()
        self.sent = []
        limits = RateLimits(clock=self.clock)
        self.tokens = RateTokens(
            clock=self.clock,
            random=random.Random(1),
            name="a",
            limits=make_target_rates(self.clock, limits),
            # A name that comes before this one by the hash of the target.
            peers=lambda: [f"b-{number}" for number in range(50)],
            send=lambda peer, message: self.sent.append(message),
            on_reply=lambda: None,
        )
        self.target = Target(
            entry=make_target_entry(),
            clock=self.clock,
            health=OutlierParameters(),
            peer_calls=lambda incarnation: 0,
        )
        limits.note(self.target.run_id, per_s)

    def ask(self):
        self.tokens.request(self.target, max_wait_ms=0.0, is_for_call=True)
        return self.sent[-1]

    def reply_to(self, request, **changes):
        fields = {"is_granted": True, "wait_ms": 0.0, "number": request.number}
        return TokenReply(**{"target": request.target, **fields, **changes})

    def receive(self, reply):
        """Take a reply; return whether a call may be sent, and send it."""
        self.tokens.handle(reply)
        is_ready = self.tokens.is_ready(self.target)
        if is_ready:
            self.tokens.use(self.target)
        return is_ready


# Guards against one call more than a target's limit for each doubled datagram (LIMIT).
def test_a_reply_grants_one_call_however_often_it_arrives():
    asking = Asking()
    reply = asking.reply_to(asking.ask())
    assert asking.receive(reply)
    assert not asking.receive(reply)
    asking.clock.advance_ms(150.0)
    second = asking.ask()
    assert not asking.receive(reply)
    assert asking.receive(asking.reply_to(second))


def test_a_reply_that_comes_after_the_next_request_counts_once():
    asking = Asking()
    first = asking.ask()
    asking.clock.advance_ms(150.0)
    second = asking.ask()
    assert second.number != first.number
    assert asking.receive(asking.reply_to(first))
    assert asking.receive(asking.reply_to(second))
    assert not asking.receive(asking.reply_to(first))


@pytest.mark.parametrize("change", [1, -1, 7_000])
def test_a_reply_to_no_request_grants_nothing(change):
    asking = Asking()
    request = asking.ask()
    number = request.number + change
    assert not asking.receive(asking.reply_to(request, number=number))
    assert not asking.receive(asking.reply_to(request, target="i-2@1"))


def test_a_reply_of_an_issuer_that_repeats_no_number_counts_once():
    """Gateways of two versions work side by side during an upgrade."""
    asking = Asking()
    reply = asking.reply_to(asking.ask(), number=0)
    old = msgspec.msgpack.encode(["reply", reply.target, True, 0.0, 0.0])
    decoded = msgspec.msgpack.decode(old, type=TokenReply)
    assert decoded == reply
    assert asking.receive(decoded)
    assert not asking.receive(decoded)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_one_gateway_of_two_gets_the_only_token(run):
    run(check_tokens_between_two_gateways())
