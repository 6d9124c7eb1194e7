"""A simulated fleet of gateways that send calls to the ranks of one group."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from returns.result import Success

from carobroute.domain import ServiceProfile
from carobroute.gateway import (
    ActiveConfiguration,
    Dispatcher,
    DispatchRequest,
    TargetDirectory,
)
from carobroute.gateway._digests import Digest, PeerState
from carobroute.gateway._group_limits import GroupLimit, GroupLimits
from carobroute.gateway._rank_groups import PassTimeEstimators
from carobroute.gateway._slot_shares import SlotShares
from carobroute.testing.gateway_data import make_target_entry
from carobroute.utils import Clock

# Time of a pass of a group with limits.
PASS_MS = 80.0


class CallKind(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of one urgency.

    Parameters
    ----------
    priority : int
        Priority; 0 comes first.
    latency_target_ms : float
        Target for the time to the first byte.
    """

    priority: int = 1
    latency_target_ms: float = 500.0


class FixedGroupLimits(GroupLimits):
    """Limits of groups that a test sets.

    Parameters
    ----------
    fleet : GatewayFleet
        Fleet of the gateway.
    directory : TargetDirectory
        Targets as the gateway knows them.
    streams : float
        Streams that the group of all ranks may run.
    """

    __slots__ = ("_fixed", "_first_ms")

    def __init__(
        self, *, fleet: "GatewayFleet", directory: TargetDirectory, streams: float
    ):
        super().__init__(
            clock=fleet.clock,
            directory=directory,
            configuration=ActiveConfiguration(
                clock=fleet.clock, revoke_ms=0.0, margin_ms=0.0
            ),
            pass_time_estimators=PassTimeEstimators(clock=fleet.clock),
        )
        self._first_ms = 2.5 * PASS_MS
        self._fixed = GroupLimit(
            group="g",
            service=fleet.service.name,
            streams=streams,
            places=sum(entry.slots for entry in fleet.entries),
            running=0.0,
            imbalance=2.0,
            seen_ms=PASS_MS,
            expected_ms=PASS_MS,
            events=fleet.run_ms / PASS_MS,
            cause="",
        )

    @property
    def limits(self) -> list[GroupLimit]:
        """The limit."""
        return [self._fixed]

    def limit(self, group: str) -> GroupLimit:
        """Return the limit of every group."""
        return self._fixed

    def first_event_ms(self, service: ServiceProfile) -> float:
        """Return the time to the first event of a call that is sent now."""
        return self._first_ms


class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one call.

    Parameters
    ----------
    began_ms : float
        Time at which the call arrived at its gateway.
    waited_ms : float or None
        Time from then until a slot of a rank ran the call; None if it was refused.
    rank_wait_ms : float
        Part of it that was spent in a rank's queue.
    retry_after_ms : float
        Retry delay of a refused call.
    priority : int
        Priority of the call.
    """

    began_ms: float
    waited_ms: float | None
    rank_wait_ms: float = 0.0
    retry_after_ms: float = 0.0
    priority: int = 1


class SimulatedGateway:
    """Gateway with its own directory, dispatcher and knowledge of its peers.

    Parameters
    ----------
    fleet : GatewayFleet
        Fleet of the gateway.
    name : str
        Incarnation of the gateway.
    """

    def __init__(self, *, fleet: "GatewayFleet", name: str):
        self.name = name
        self.peer_state = PeerState(
            clock=fleet.clock, calls_expiry_ms=1_200.0, gone_after_ms=1_200.0
        )
        self.directory = TargetDirectory(
            clock=fleet.clock,
            store_outage_ms=1e9,
            lapsed_grace_ms=2_200.0,
            peer_calls=self.peer_state.calls_at,
        )
        self.directory.update(fleet.entries)
        self.slot_shares = SlotShares(
            clock=fleet.clock,
            data_centre="a",
            name=name,
            directory=self.directory,
            calls_per_s=lambda: {
                **self.peer_state.calls_per_s(),
                ("a", name): self.dispatcher.engine_calls_per_s,
            },
        )
        self.dispatcher = Dispatcher(
            clock=fleet.clock,
            random=fleet.random,
            data_centre="a",
            directory=self.directory,
            unseen_ms=self.peer_state.sum_ages_ms,
            own_slots=self.slot_shares.own_slots,
            group_limits=(
                FixedGroupLimits(
                    fleet=fleet, directory=self.directory, streams=fleet.streams
                )
                if fleet.streams
                else None
            ),
            peer_waiting=self.peer_state.waiting,
            total_calls_per_s=lambda: (
                self.dispatcher.engine_calls_per_s
                + sum(self.peer_state.calls_per_s().values())
            ),
        )
        self.is_silent = False
        self.digest_number = 0

    def make_digest(self) -> Digest:
        """Return a digest of the calls in flight."""
        self.digest_number += 1
        calls = {
            target.incarnation: target.in_flight
            for target in self.directory.all_targets()
            if target.in_flight
        }
        return Digest(
            self.name,
            f"10.0.0.1:{self.name}",
            self.digest_number,
            calls,
            {},
            self.dispatcher.engine_calls_per_s,
            data_centre="a",
            waiting=self.dispatcher.waiting_by_priority,
        )


class GatewayFleet:
    """Gateways that exchange digests, and ranks with slots and first-come queues.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    service : ServiceProfile
        Service of the ranks.
    gateways, ranks, slots : int
        Numbers of gateways, of ranks, and of slots of each rank.
    digest_interval_ms : float
        Time between two digests of a gateway.
    run_ms : float
        Mean time for which a call runs.
    streams : float, default=0.0
        Streams that the ranks may run together; 0 for all their slots.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        service: ServiceProfile,
        gateways: int,
        ranks: int,
        slots: int,
        digest_interval_ms: float,
        run_ms: float,
        streams: float = 0.0,
    ):
        self.clock = clock
        self.random = random
        self.streams = streams
        self.service = service
        self._digest_interval_ms = digest_interval_ms
        self.run_ms = run_ms
        self.entries = [
            make_target_entry(
                incarnation=f"i-{n}",
                service=service.name,
                slots=slots,
                group="g" if streams else "",
            )
            for n in range(ranks)
        ]
        self._slots = {
            entry.incarnation: asyncio.Semaphore(slots) for entry in self.entries
        }
        self.gateways = [
            SimulatedGateway(fleet=self, name=f"{n}") for n in range(gateways)
        ]
        self.outcomes: list[CallOutcome] = []

    async def run(
        self,
        duration_ms: float,
        calls_per_s: float | Callable[[float], float],
        draw_kind: Callable[[float], CallKind] = lambda elapsed_ms: CallKind(),
    ) -> None:
        """Send calls at random times, unevenly from the gateways.

        Parameters
        ----------
        duration_ms : float
            Time in which calls are sent.
        calls_per_s : float or callable
            Rate of all calls, or a function of the time since the beginning in ms.
        draw_kind : callable, optional
            Returns the kind of a call, from the time since the beginning in ms.
        """
        weights = [self.random.uniform(0.4, 1.6) for _ in self.gateways]
        background = [asyncio.create_task(self._send_digests(g)) for g in self.gateways]
        background += [asyncio.create_task(self._check_queue(g)) for g in self.gateways]
        calls = []
        began_ms = self.clock.now_ms()
        while (elapsed_ms := self.clock.now_ms() - began_ms) < duration_ms:
            rate = calls_per_s(elapsed_ms) if callable(calls_per_s) else calls_per_s
            await self.clock.sleep_ms(self.random.expovariate(rate / 1_000))
            (gateway,) = self.random.choices(self.gateways, weights)
            kind = draw_kind(elapsed_ms)
            calls.append(asyncio.create_task(self._call(gateway, kind)))
        await asyncio.gather(*calls)
        for task in background:
            task.cancel()

    async def _call(self, gateway: SimulatedGateway, kind: CallKind) -> None:
        began_ms = self.clock.now_ms()
        acquired = await gateway.dispatcher.acquire(
            DispatchRequest(
                request_id="r",
                service=self.service,
                priority=kind.priority,
                latency_target_ms=kind.latency_target_ms,
                remaining_ms=8_000.0,
            )
        )
        if not isinstance(acquired, Success):
            self.outcomes.append(
                CallOutcome(
                    began_ms=began_ms,
                    waited_ms=None,
                    priority=kind.priority,
                    retry_after_ms=acquired.failure().retry_after_ms,
                )
            )
            return
        grant = acquired.unwrap()
        sent_ms = self.clock.now_ms()
        async with self._slots[grant.target.incarnation]:
            now_ms = self.clock.now_ms()
            self.outcomes.append(
                CallOutcome(
                    began_ms=began_ms,
                    waited_ms=now_ms - began_ms,
                    priority=kind.priority,
                    rank_wait_ms=now_ms - sent_ms,
                )
            )
            await self.clock.sleep_ms(self.run_ms * self.random.uniform(0.4, 1.6))
        gateway.dispatcher.release(grant)

    async def _send_digests(self, gateway: SimulatedGateway) -> None:
        await self.clock.sleep_ms(self.random.uniform(0.0, self._digest_interval_ms))
        while True:
            digest = gateway.make_digest()
            for other in [] if gateway.is_silent else self.gateways:
                if other is not gateway and not other.is_silent:
                    other.peer_state.update(digest)
            await self.clock.sleep_ms(self._digest_interval_ms)

    async def _check_queue(self, gateway: SimulatedGateway) -> None:
        while True:
            await self.clock.sleep_ms(gateway.dispatcher.queue_check_interval_ms)
            gateway.dispatcher.dispatch_all_queued()
