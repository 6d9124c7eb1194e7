"""A simulated fleet of gateways before targets that limit the rate of calls."""

import asyncio
import functools
import random
from collections.abc import Callable

import msgspec
from returns.result import Success

from carobroute.domain import ServiceProfile, TargetEntry
from carobroute.gateway import Dispatcher, DispatchRequest, TargetDirectory
from carobroute.gateway._cold_starts import ColdProfile, ColdStarts, TargetRates
from carobroute.gateway._digests import Digest, PeerState
from carobroute.gateway._rate_limits import RateLimits
from carobroute.gateway._rate_tokens import RateTokens, TokenMessage
from carobroute.testing.gateway_data import make_target_entry
from carobroute.utils import Clock

MESSAGE_MS = (0.5, 3.0)
# Gateways that one which has just started assumes to be there.
MIN_GATEWAYS = 3


class LimitedCall(msgspec.Struct, kw_only=True):
    """One call and what became of it.

    Parameters
    ----------
    at_ms : float
        Time of its arrival.
    gateway : str
        Gateway that received it.
    target : str
        Target that it was sent to; empty if it was refused.
    sent_ms : float
        Time at which it was sent.
    ended_ms : float
        Time of its end, or of its refusal.
    retry_after_ms : float
        Retry delay of a refused call.
    """

    at_ms: float
    gateway: str
    target: str = ""
    sent_ms: float = 0.0
    ended_ms: float = 0.0
    retry_after_ms: float = 0.0


class LimitedGateway:
    """Gateway with its own knowledge of limits, tokens and peers."""

    def __init__(self, *, fleet: "LimitedFleet", name: str):
        self.name = name
        self.frozen_until_ms = 0.0
        self.is_stopped = False
        self.digest_number = 0
        self.peer_state = PeerState(
            clock=fleet.clock, calls_expiry_ms=1_200.0, gone_after_ms=1_200.0
        )
        self.limits = RateLimits(
            clock=fleet.clock,
            on_change=lambda target, per_s, age_ms, source: fleet.share(self, source),
        )
        self.cold = ColdStarts(
            clock=fleet.clock,
            find_profile=lambda run_id: fleet.cold_profile,
            heard_share=lambda: self.peer_state.heard_share(MIN_GATEWAYS),
        )
        self.tokens = RateTokens(
            clock=fleet.clock,
            random=fleet.random,
            name=name,
            limits=TargetRates(named=self.limits, cold=self.cold),
            peers=lambda: self.peer_state.live_peers,
            send=lambda peer, message: fleet.send(self, peer, message),
            on_reply=lambda: self.dispatcher.dispatch_all_queued(),
        )
        self.directory = TargetDirectory(
            clock=fleet.clock,
            store_outage_ms=1e9,
            lapsed_grace_ms=2_200.0,
            peer_calls=self.peer_state.calls_at,
        )
        self.directory.update(fleet.entries)
        self.dispatcher = Dispatcher(
            clock=fleet.clock,
            random=fleet.random,
            data_centre="a",
            directory=self.directory,
            unseen_ms=self.peer_state.sum_ages_ms,
            tokens=self.tokens,
            cold=self.cold,
        )

    def make_digest(self) -> Digest:
        """Return a digest of the calls in flight and of the limits."""
        self.digest_number += 1
        calls = {
            target.incarnation: target.in_flight
            for target in self.directory.all_targets()
            if target.in_flight
        }
        return Digest(
            self.name,
            f"10.0.0.1:{self.name.removesuffix('-restarted')}",
            self.digest_number,
            calls,
            {},
            limits=self.limits.report(),
            cold=self.cold.report(),
        )


class LimitedFleet:
    """Gateways that exchange digests and tokens, and targets that name their limits.

    Parameters
    ----------
    clock : Clock
        Source of time, whose sleeps take virtual time.
    random : random.Random
        Random number generator.
    service : ServiceProfile
        Service of the targets.
    gateways, targets, slots : int
        Numbers of gateways, of targets, and of slots of each target.
    digest_ms : float
        Interval between digests of a gateway.
    run_ms : float
        Time for which a call runs.
    limit_of : callable
        Returns the calls a second that a target takes at a time; None for no limit.
    loses : callable, default=None
        Returns whether a message or a digest from one gateway to another is lost.
    cold_profile : ColdProfile, default=None
        What the service publishes of cold targets; None for no limit.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        service: ServiceProfile,
        gateways: int,
        targets: int,
        slots: int,
        digest_ms: float,
        run_ms: float,
        limit_of: Callable[[str, float], float | None],
        loses: Callable[[str, str], bool] | None = None,
        cold_profile: ColdProfile | None = None,
    ):
        self.cold_profile = cold_profile
        self.clock = clock
        self.random = random
        self._service = service
        self._digest_ms = digest_ms
        self._run_ms = run_ms
        self._limit_of = limit_of
        self._loses = loses or (lambda sender, receiver: False)
        self.entries = [
            make_target_entry(incarnation=f"i-{n}", service=service.name, slots=slots)
            for n in range(targets)
        ]
        self.calls: list[LimitedCall] = []
        self._background: dict[LimitedGateway, list[asyncio.Task[None]]] = {}
        self._messages: set[asyncio.Task[None]] = set()
        self.gateways = [
            LimitedGateway(fleet=self, name=f"g-{n}") for n in range(gateways)
        ]

    async def run(
        self, duration_ms: float, calls_per_s: float | Callable[[float], float]
    ) -> None:
        """Send calls at random times to random gateways."""
        for gateway in self.gateways:
            self._start(gateway)
        calls = []
        end_ms = self.clock.now_ms() + duration_ms
        while (now_ms := self.clock.now_ms()) < end_ms:
            rate = calls_per_s(now_ms) if callable(calls_per_s) else calls_per_s
            await self.clock.sleep_ms(self.random.expovariate(rate / 1_000))
            gateway = self.random.choice(self.gateways)
            calls.append(asyncio.create_task(self._call(gateway)))
        await asyncio.gather(*calls)
        for gateway in list(self._background):
            self._stop(gateway)

    def restart(self, index: int) -> None:
        """Replace a gateway by one that knows nothing."""
        self._stop(self.gateways[index])
        name = f"{self.gateways[index].name}-restarted"
        self.gateways[index] = LimitedGateway(fleet=self, name=name)
        self._start(self.gateways[index])

    async def return_cold(
        self, entries: list[TargetEntry], cold_ms: float, list_ms: float
    ) -> None:
        """Let targets come back cold, which each gateway reads from the list.

        Parameters
        ----------
        entries : list of TargetEntry
            Their new runs.
        cold_ms : float
            Time for which they are cold.
        list_ms : float
            Longest time until a gateway reads the list.
        """
        began_ms = self.clock.now_ms()
        self.entries = [*self.entries, *entries]

        async def read_list(gateway: LimitedGateway) -> None:
            await self.clock.sleep_ms(self.random.uniform(0.0, list_ms))
            remaining_ms = cold_ms - (self.clock.now_ms() - began_ms)
            for entry in entries:
                run_id = f"{entry.incarnation}@{entry.started_ms}"
                gateway.cold.note(run_id, remaining_ms, "list")
            gateway.directory.update(self.entries)

        await asyncio.gather(*map(read_list, self.gateways))

    def share(self, gateway: LimitedGateway, source: str) -> None:
        """Send a digest at once if a gateway has learned a limit from an answer."""
        if source == "answer":
            self._send_digest(gateway)

    def send(
        self, sender: LimitedGateway, receiver: str, message: TokenMessage
    ) -> None:
        """Send a message, which arrives some milliseconds later, or is lost."""
        for gateway in self.gateways:
            if gateway.name == receiver:
                handle = functools.partial(gateway.tokens.handle, message)
                self._deliver(sender, gateway, handle)
                return

    def _deliver(
        self,
        sender: LimitedGateway,
        receiver: LimitedGateway,
        handle: Callable[[], None],
    ) -> None:
        if self._loses(sender.name, receiver.name) or self._is_away(sender):
            return

        async def deliver() -> None:
            await self.clock.sleep_ms(self.random.uniform(*MESSAGE_MS))
            if not self._is_away(receiver):
                handle()

        task = asyncio.create_task(deliver())
        self._messages.add(task)
        task.add_done_callback(self._messages.discard)

    def _is_away(self, gateway: LimitedGateway) -> bool:
        return gateway.is_stopped or self.clock.now_ms() < gateway.frozen_until_ms

    # One call.

    async def _call(self, gateway: LimitedGateway) -> None:
        call = LimitedCall(at_ms=self.clock.now_ms(), gateway=gateway.name)
        if self._is_away(gateway):
            return
        self.calls.append(call)
        acquired = await gateway.dispatcher.acquire(
            DispatchRequest(
                request_id="r",
                service=self._service,
                priority=1,
                latency_target_ms=200.0,
                remaining_ms=1_000.0,
            )
        )
        if not isinstance(acquired, Success):
            call.ended_ms = self.clock.now_ms()
            call.retry_after_ms = acquired.failure().retry_after_ms
            return
        grant = acquired.unwrap()
        call.target = grant.target.incarnation
        call.sent_ms = self.clock.now_ms()
        await self.clock.sleep_ms(self._run_ms)
        call.ended_ms = self.clock.now_ms()
        limit = self._limit_of(call.target, call.ended_ms)
        gateway.limits.note(grant.target.run_id, limit)
        gateway.dispatcher.release(grant)

    # Digests and queues.

    def _start(self, gateway: LimitedGateway) -> None:
        self._background[gateway] = [
            asyncio.create_task(self._send_digests(gateway)),
            asyncio.create_task(self._check_queue(gateway)),
        ]

    def _stop(self, gateway: LimitedGateway) -> None:
        gateway.is_stopped = True
        for task in self._background.pop(gateway, []):
            task.cancel()

    async def _check_queue(self, gateway: LimitedGateway) -> None:
        while True:
            await self.clock.sleep_ms(gateway.dispatcher.queue_check_interval_ms)
            if not self._is_away(gateway):
                gateway.dispatcher.dispatch_all_queued()

    async def _send_digests(self, gateway: LimitedGateway) -> None:
        await self.clock.sleep_ms(self.random.uniform(0.0, self._digest_ms))
        while True:
            if not self._is_away(gateway):
                gateway.peer_state.drop_silent()
                self._send_digest(gateway)
            await self.clock.sleep_ms(self._digest_ms)

    def _send_digest(self, sender: LimitedGateway) -> None:
        digest = sender.make_digest()
        for receiver in self.gateways:
            if receiver is not sender:
                handle = functools.partial(self._apply, digest, receiver)
                self._deliver(sender, receiver, handle)

    def _apply(self, digest: Digest, receiver: LimitedGateway) -> None:
        is_new = not receiver.peer_state.is_known(digest.incarnation)
        if receiver.peer_state.update(digest):
            if is_new:
                receiver.limits.request_complete_report()
                receiver.cold.request_complete_report()
            receiver.limits.merge(digest.limits)
            receiver.cold.merge(digest.cold)
