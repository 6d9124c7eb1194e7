"""Builders of calls, and fakes of what a call of an entry uses."""

from collections.abc import Iterable
from typing import Any

from returns.result import Result, Success

from carobroute.domain import CallClass, ServiceKind
from carobroute.entry import Call, ExchangeParameters, RelayParameters, RelayServices
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Message
from carobroute.requests import (
    Choice,
    Quarantine,
    RetryPolicy,
    RouteQuery,
    SentCall,
)
from carobroute.telemetry import DecisionLog
from carobroute.utils import Clock, ManualClock

FAR_MS = 60_000.0


def make_call(clock: Clock, **fields: Any) -> Call:
    """Return a streaming model call, with `fields` changed."""
    values: dict[str, Any] = {
        "request_id": "r1",
        "team": "till",
        "service": "desk",
        "kind": ServiceKind.MODEL,
        "method": "POST",
        "path": "/v1/chat/completions",
        "headers": {},
        "body": b"{}",
        "call_class": CallClass.IDEMPOTENT,
        "idempotency_key": "",
        "priority": 5,
        "deadline_ms": clock.now_ms() + FAR_MS,
        "fingerprint": "f1",
        "suspect_id": "s1",
        "prompt_blocks": [],
        "tokens": 1,
        "stream": True,
        "received_ms": clock.now_ms(),
    }
    return Call(**{**values, **fields})


class FakePeer:
    """A local process at the other end of a link, as far as an exchange sees it."""

    def __init__(self, *, address: str = "tcp://fake", incarnation: str = "local~1"):
        self.address = address
        self.incarnation = incarnation
        self.up = True
        self.silent_ms = 0.0
        self.full = False
        self.ticket_number = 0
        self.sent: list[Message] = []
        self.unsent: list[Message] = []
        self.held = 0

    def send(self, entry: Message) -> bool:
        """Take a message; while the peer is not up it stays withdrawable."""
        if self.full:
            return False
        (self.sent if self.up else self.unsent).append(entry)
        return True

    def withdraw(self, entry: Message) -> bool:
        """Take back a message that was not sent."""
        if any(waiting is entry for waiting in self.unsent):
            self.unsent = [w for w in self.unsent if w is not entry]
            return True
        return False

    def hold(self) -> None:
        """Count a call in flight."""
        self.held += 1

    def release(self) -> None:
        """Count a call ended."""
        self.held -= 1

    def of_kind(self, kind: type) -> list[Any]:
        """Return the messages of one type that were sent."""
        return [entry for entry in self.sent if isinstance(entry, kind)]


class FakeEndpoint:
    """Links of a process to fake peers, by address."""

    incarnation = "local~1"

    def __init__(self, peers: Iterable[FakePeer] = ()):
        self.by_address = {peer.address: peer for peer in peers}
        self.handlers: dict[type, Any] = {}
        self.hooks: list[Any] = []

    @property
    def peers(self) -> list[FakePeer]:
        """All peers."""
        return list(self.by_address.values())

    def peer(self, address: str, owner: str = "calls") -> FakePeer:
        """Return the peer at `address`."""
        return self.by_address[address]

    def handle(self, kind: type, handler: Any, *, replace: bool = False) -> None:
        """Note a handler."""
        self.handlers[kind] = handler

    def on_reopen(self, hook: Any) -> None:
        """Note a hook."""
        self.hooks.append(hook)

    def deliver(self, peer: FakePeer, entry: Message) -> None:
        """Hand a message from `peer` to its handler."""
        self.handlers[type(entry)](peer, entry)


class FakeRouter:
    """Chooses the first target that is not excluded."""

    def __init__(self, targets: Iterable[str]):
        self.targets = list(targets)
        self.failures: list[str] = []

    def choose(self, query: RouteQuery) -> Result[Choice, Fault]:
        """Return the first target left."""
        left = [name for name in self.targets if name not in query.excluded]
        if not left:
            return fail(ErrorKind.NO_TARGET, "no target is left")
        return Success(
            Choice(
                target=left[0],
                policy="fake",
                reason="first",
                candidates=[],
                available=len(left),
                known=len(self.targets),
            )
        )

    def serving_targets(self, service: str) -> list[str]:
        """Return all targets."""
        return self.targets

    def note_sent(self, target: str, query: RouteQuery) -> SentCall:
        """Note nothing."""
        return SentCall(record=None, pending_call=None)

    def note_first_byte(self, call: SentCall, elapsed_ms: float) -> None:
        """Ignore."""

    def note_end(self, call: SentCall, ok: bool, duration_ms: float = 0.0) -> None:
        """Ignore."""

    def note_failure(self, target: str) -> bool:
        """Note a failure."""
        self.failures.append(target)
        return True


class FakeDirectory:
    """One local process beside each target; its name is the peer's address."""

    def by_target(self, name: str) -> Any:
        """Return the instance beside `name`."""

        class Found:
            address = f"tcp://{name}"

        return Found


class FakeWriter:
    """What a caller was given."""

    def __init__(self) -> None:
        self.started = False
        self.written: list[bytes] = []
        self.fault: Fault | None = None
        self.finished = False

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Note the head."""
        self.started = True

    async def write(self, data: bytes) -> None:
        """Note a chunk."""
        self.written.append(data)

    async def finish(self) -> str:
        """Note the whole end."""
        self.finished = True
        return "finished"

    async def fail(self, fault: Fault) -> str:
        """Note the fault."""
        self.fault = fault
        return "failed"


class FakeBlames:
    """Counts what is spread."""

    def __init__(self) -> None:
        self.spread_news: list[Any] = []

    def broadcast(self, news: Any) -> None:
        """Note what is spread."""
        self.spread_news.append(news)


def make_relay_services(
    *, endpoint: Any, exchanges: Any, router: FakeRouter, clock: ManualClock
) -> RelayServices:
    """Return what a call uses, with real policies for retries and quarantine."""
    return RelayServices(
        parameters=RelayParameters(
            data_centre="suva", exchange=ExchangeParameters(connect_ms=100.0)
        ),
        endpoint=endpoint,
        exchanges=exchanges,
        directory=FakeDirectory(),  # type: ignore[arg-type]
        router=router,  # type: ignore[arg-type]
        retries=RetryPolicy(clock=clock),
        quarantine=Quarantine(clock=clock),
        blames=FakeBlames(),  # type: ignore[arg-type]
        clock=clock,
        decisions=DecisionLog(clock=clock),
    )
