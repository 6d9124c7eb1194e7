"""Load balancing of calls over targets, with a queue and admission control."""

import asyncio
import math
import random
from collections.abc import Callable, Mapping

from returns.result import Failure, Result, Success

from carobroute.domain import ServiceProfile
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.gateway._circuit_breaker import GroupCircuitBreaker
from carobroute.gateway._cold_starts import ColdStarts
from carobroute.gateway._dispatch_types import (
    DispatchParameters,
    DispatchRequest,
    Grant,
)
from carobroute.gateway._event_rates import EventRates
from carobroute.gateway._group_limits import GroupLimits
from carobroute.gateway._rate_tokens import TOKEN_LIFE_MS, RateTokens
from carobroute.gateway._targets import Target, TargetDirectory
from carobroute.gateway._urgent_room import UrgentRoom
from carobroute.utils import Clock

MS_PER_S = 1_000
# The lower loaded of two random targets is far better than one random target.
MIN_SAMPLE_SIZE = 2

# Calls that are refused for rate limits or pauses of all targets come back at different
# times, up to this factor.
MAX_RETURN_SPREAD = 1.3
# Trials of an ejected target by one gateway, which are at different times.
MIN_TRIAL_SPREAD, MAX_TRIAL_SPREAD = 0.75, 1.25
# Trial intervals after which a call is a trial even if it can't be sent elsewhere then.
OVERDUE_TRIAL_INTERVALS = 3.0
# Part of its weight that a target loses if other gateways have ejected it, and share of
# them from which on it loses all of that.
PEER_EJECTION_WEIGHT = 0.8
MIN_PEER_SHARE = 0.25
# Time between two trials of a target that a peer has taken back.
HASTENED_TRIAL_MS = 1_000.0
# Slow ranks are left out only while at least this part of the targets is not slow.
MIN_FAST_SHARE = 0.7
# Time since the last check of the queues from which on it is late, in intervals. It is
# above the jitter of timers.
OVERDUE_INTERVALS = 1.2


class _Waiter:
    """Queued request.

    Requests that can still be answered in time come first, then those of a lower
    priority number, then earlier ones. One that is late already is not made worse by
    waiting, while each one before it would be late as well.

    Parameters
    ----------
    request : DispatchRequest
        The request.
    sequence : int
        Number of its arrival.
    queued_ms : float
        Time of its arrival.
    in_time_ms : float
        Wait with which its first event is still in time; infinite if not known.
    """

    __slots__ = ("future", "in_time_until_ms", "queued_ms", "request", "sequence")

    def __init__(
        self,
        *,
        request: DispatchRequest,
        sequence: int,
        queued_ms: float,
        in_time_ms: float,
    ):
        self.request = request
        self.sequence = sequence
        self.queued_ms = queued_ms
        self.in_time_until_ms = queued_ms + in_time_ms
        loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Result[Grant, Fault]] = loop.create_future()

    def order(self, now_ms: float) -> tuple[bool, int, int]:
        """Return the key by which waiting requests are ordered at a time."""
        is_late = now_ms > self.in_time_until_ms
        return is_late, self.request.priority, self.sequence


class Dispatcher:
    """Assigns calls to targets with a free slot, and queues the others.

    Gateways learn of each other's calls with a delay. If all of them chose the target
    with the lowest known load, they would choose the same one. So a gateway first uses
    its own share of the slots of rank groups. Otherwise, it compares a random sample
    of the free targets. The more calls other gateways may have placed unseen, the
    smaller the sample is, down to two.

    A target that has answered badly of late has a smaller weight. One that is ejected
    gets no calls but trials, while enough others are not ejected.

    A call goes to a target that limits its rate only with a token for it. Tokens are
    asked for when such a target would be the best choice, and while calls are queued.

    The queue is kept here and not at the targets, so that a call goes to the target
    that has the next free slot. A call whose expected wait exceeds its limit is
    refused at once.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator, for ties.
    data_centre : str
        Data centre of this gateway.
    directory : TargetDirectory
        Known targets.
    parameters : DispatchParameters, default=None
        Weights, limits and intervals.
    on_change : callable, default=None
        Called when a call begins or ends at a target.
    unseen_ms : callable, default=None
        Returns the sum of the ages of what is known of each other gateway; None if
        there are no other gateways.
    own_slots : callable, default=None
        Returns how many slots of each target of a service this gateway uses first;
        None if the slots are not divided.
    tokens : RateTokens, default=None
        Tokens for targets that limit their rate; None if none does.
    gateway_count : callable, default=None
        Returns the number of gateways; None if there is one.
    has_returned : callable, default=None
        Returns whether another gateway has taken back a run of a target after trials;
        None if there are no other gateways.
    cold : ColdStarts, default=None
        Targets that are cold, which have a smaller weight; None if none is.
    group_limits : GroupLimits, default=None
        Limits on the streams of rank groups; None if there are none.
    peer_waiting : callable, default=None
        Returns the calls that wait at each other gateway, by priority; None if there
        are no other gateways.
    total_calls_per_s : callable, default=None
        Returns the recent rate of calls to rank groups of all gateways; None if there
        is only this one.
    """

    __slots__ = (
        "_circuit_breakers",
        "_clock",
        "_cold",
        "_completions",
        "_data_centre",
        "_directory",
        "_gateway_count",
        "_grants",
        "_has_returned",
        "_last_check_ms",
        "_last_sequence",
        "_on_change",
        "_own_slots",
        "_parameters",
        "_queues",
        "_random",
        "_room",
        "_tokens",
        "_unseen_ms",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        data_centre: str,
        directory: TargetDirectory,
        parameters: DispatchParameters | None = None,
        on_change: Callable[[], None] | None = None,
        unseen_ms: Callable[[], float] | None = None,
        own_slots: Callable[[str], Mapping[str, int]] | None = None,
        tokens: RateTokens | None = None,
        gateway_count: Callable[[], int] | None = None,
        has_returned: Callable[[str], bool] | None = None,
        cold: ColdStarts | None = None,
        group_limits: GroupLimits | None = None,
        peer_waiting: Callable[[], list[dict[int, int]]] | None = None,
        total_calls_per_s: Callable[[], float] | None = None,
    ):
        self._cold = cold
        self._tokens = tokens
        self._gateway_count = gateway_count or (lambda: 1)
        self._has_returned = has_returned or (lambda run_id: False)
        self._on_change = on_change or (lambda: None)
        self._unseen_ms = unseen_ms or (lambda: 0.0)
        self._own_slots = own_slots or (lambda service: {})
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._directory = directory
        self._parameters = parameters or DispatchParameters()
        self._queues: dict[str, list[_Waiter]] = {}
        window_ms = self._parameters.completion_window_ms
        # Calls of each service that have ended, and that were sent.
        self._completions: EventRates[str] = EventRates(
            clock=clock, window_ms=window_ms
        )
        self._grants: EventRates[str] = EventRates(clock=clock, window_ms=window_ms)
        self._room = UrgentRoom(
            clock=clock,
            window_ms=window_ms,
            limits=group_limits,
            peer_waiting=peer_waiting or (lambda: []),
            total_calls_per_s=total_calls_per_s,
            unseen_calls=self._unseen_calls,
        )
        self._circuit_breakers: dict[str, GroupCircuitBreaker] = {}
        self._last_sequence = 0
        # Monotonic time of the last check of all queues.
        self._last_check_ms = -math.inf

    @property
    def queue_check_interval_ms(self) -> float:
        """Interval at which queues are checked while no call of this gateway ends."""
        return self._parameters.queue_check_interval_ms

    @property
    def engine_calls_per_s(self) -> float:
        """Recent rate of requests for slots of services with engines."""
        return self._room.calls_per_s

    @property
    def waiting_by_priority(self) -> dict[int, int]:
        """Calls that wait for services with engines, by priority."""
        counts: dict[int, int] = {}
        for queue in self._queues.values():
            for waiter in queue:
                request = waiter.request
                if request.service.engine is not None and not waiter.future.done():
                    counts[request.priority] = counts.get(request.priority, 0) + 1
        return counts

    @property
    def _is_check_overdue(self) -> bool:
        """Whether the queues have not been checked at their interval."""
        since_check_ms = self._clock.now_ms() - self._last_check_ms
        return since_check_ms > OVERDUE_INTERVALS * self.queue_check_interval_ms

    def queue_length(self, service: str) -> int:
        """Return the number of calls that wait for a target of `service`."""
        return len(self._queues.get(service, ()))

    async def acquire(self, request: DispatchRequest) -> Result[Grant, Fault]:
        """Acquire a slot at a target, waiting in the queue up to a limit.

        Returns
        -------
        grant : Result
            A `NO_TARGET` fault if no target is usable, an `OVERLOADED` fault if the
            wait exceeds its limit; both with a retry delay.
        """
        service = request.service.name
        if request.service.engine is not None:
            self._room.note_arrival(request.priority)
        blocking = self._blocking_breaker(service)
        if blocking is not None:
            return fail(
                ErrorKind.NO_TARGET,
                f"the rank group of service {service!r} is down",
                retry_after_ms=blocking.retry_after_ms,
            )
        ahead = self._count_ahead(request)
        if not ahead:
            target = self._select_target(request)
            if target is not None:
                return Success(self._grant(target, waited_ms=0.0))
        fault = self._limit_fault(request, ahead=ahead)
        fault = fault or self._admission_fault(request)
        if fault is not None:
            return Failure(fault)
        return await self._wait_in_queue(request)

    def _count_ahead(self, request: DispatchRequest) -> int:
        """Return the number of queued calls that come before a new one."""
        now_ms = self._clock.now_ms()
        return sum(
            waiter.request.priority <= request.priority
            and now_ms <= waiter.in_time_until_ms
            for waiter in self._queues.get(request.service.name, ())
            if not waiter.future.done()
        )

    def has_target(self, service: str) -> bool:
        """Return whether a target of a service may be sent calls, probes included."""
        return any(target.is_usable for target in self._directory.targets(service))

    def circuit_breaker(self, target: Target) -> GroupCircuitBreaker:
        """Return the circuit breaker of a target's rank group."""
        breaker = self._circuit_breakers.get(target.group)
        if breaker is None:
            breaker = self._circuit_breakers[target.group] = GroupCircuitBreaker(
                clock=self._clock
            )
        return breaker

    def drop_circuit_breaker(self, group: str) -> None:
        """Drop the circuit breaker of a group, or of a target without a group."""
        self._circuit_breakers.pop(group, None)

    def _blocking_breaker(self, service: str) -> GroupCircuitBreaker | None:
        """Return a breaker that blocks calls of `service`, or None to let one pass.

        Calls are blocked only while all groups of the service are down and none of
        them is due for a probe. The breaker with the earliest recovery is returned.
        Groups that are evacuated as a whole count for nothing.
        """
        breakers = {}
        for target in self._directory.targets(service):
            if target.is_evacuated:
                continue
            breaker = self.circuit_breaker(target)
            if not breaker.is_down:
                return None
            breakers[target.group] = breaker
        if not breakers:
            return None
        if any(breaker.admit_call() for breaker in breakers.values()):
            return None
        return min(breakers.values(), key=lambda breaker: breaker.retry_after_ms)

    def release(self, grant: Grant) -> None:
        """Release the slot of a call that has ended."""
        target = grant.target
        target.in_flight -= 1
        self._on_change()
        service = target.entry.service
        self._completions.note(service)
        self.dispatch_queued(service)

    def dispatch_queued(self, service: str) -> None:
        """Assign queued calls of a service to targets with a free slot."""
        queue = self._queues.get(service)
        while queue:
            now_ms = self._clock.now_ms()
            waiter = min(queue, key=lambda waiter: waiter.order(now_ms))
            waited_ms = now_ms - waiter.queued_ms
            has_expired = waited_ms >= waiter.request.remaining_ms
            if waiter.future.done() or has_expired:
                queue.remove(waiter)
                continue
            target = self._select_target(waiter.request)
            if target is not None:
                queue.remove(waiter)
                grant = self._grant(target, waited_ms=waited_ms)
                waiter.future.set_result(Success(grant))
                continue
            last = max(queue, key=lambda waiter: waiter.order(now_ms))
            fault = self._limit_fault(last.request, ahead=len(queue) - 1)
            if fault is None:
                return
            queue.remove(last)
            if not last.future.done():
                last.future.set_result(Failure(fault))

    def dispatch_all_queued(self) -> None:
        """Assign queued calls of all services to targets with a free slot."""
        self._last_check_ms = self._clock.now_ms()
        for service in list(self._queues):
            self.dispatch_queued(service)

    def refuse_unservable(self) -> None:
        """Refuse queued calls that no target may be sent any more."""
        for queue in list(self._queues.values()):
            for waiter in list(queue):
                if waiter.future.done() or self._candidates(waiter.request):
                    continue
                fault = self._admission_fault(waiter.request)
                if fault is not None:
                    waiter.future.set_result(Failure(fault))

    def expected_wait_ms(self, service: str) -> float:
        """Return the expected wait of a call that joins the queue now.

        It is `default_wait_ms` while no completion rate is known.
        """
        ahead = self.queue_length(service) + 1
        rate = self._completions.per_ms(service)
        return ahead / rate if rate else self._parameters.default_wait_ms

    def _admission_fault(self, request: DispatchRequest) -> Fault | None:
        """Return the reason that a call must not be queued, or None if it may."""
        service = request.service.name
        candidates = self._candidates(request)
        if not candidates:
            if self._pause_remaining_ms(request) < self._max_wait_ms(request):
                return None
            return Fault(
                kind=ErrorKind.NO_TARGET,
                detail=f"service {service!r} has no target that takes calls",
                retry_after_ms=self._expected_recovery_ms(service),
            )
        expected_ms = self._expected_wait_ms(request)
        if expected_ms is None or self._are_limited(candidates):
            # The wait for a token is known to its issuer.
            return None
        if expected_ms <= self._max_wait_ms(request):
            return None
        return Fault(
            kind=ErrorKind.OVERLOADED,
            detail=f"{self.queue_length(service)} calls of {service!r} are queued",
            retry_after_ms=expected_ms,
        )

    def _expected_wait_ms(self, request: DispatchRequest) -> float | None:
        """Return the expected wait of a call that joins the queue now.

        It is None if it cannot be estimated, without recent completions.
        """
        ahead = self._count_ahead(request)
        expected_ms = self._room.expected_wait_ms(request, ahead=ahead)
        if expected_ms is not None:
            return expected_ms
        rate_per_ms = self._completions.per_ms(request.service.name)
        return (ahead + 1) / rate_per_ms if rate_per_ms else None

    def _limit_fault(self, request: DispatchRequest, *, ahead: int) -> Fault | None:
        """Return why the targets' rate limits exclude a call, or None if they may not.

        They do if all targets limit their rate, the tokens that are held or awaited
        are for the `ahead` calls before it, and all others were denied.
        """
        tokens = self._tokens
        if tokens is None or not tokens.has_limits:
            return None
        candidates = self._candidates(request)
        if not self._are_limited(candidates):
            return None
        others = [target for target in candidates if not tokens.is_expected(target)]
        if request.may_have_run or ahead < len(candidates) - len(others):
            return None
        if not all(tokens.denied_ms(target) for target in others):
            return None
        return_ms = min(
            (tokens.return_ms(target) for target in others),
            default=self._parameters.default_wait_ms,
        )
        return Fault(
            kind=ErrorKind.OVERLOADED,
            detail=f"all targets of {request.service.name!r} limit their rate",
            retry_after_ms=return_ms * self._random.uniform(1.0, MAX_RETURN_SPREAD),
        )

    def _are_limited(self, targets: list[Target]) -> bool:
        """Return whether there are targets, and all of them limit their rate."""
        if self._tokens is None or not self._tokens.has_limits:
            return False
        return bool(targets) and all(map(self._tokens.is_binding, targets))

    def _limit(self, target: Target) -> float | None:
        return None if self._tokens is None else self._tokens.limit(target)

    def _expected_recovery_ms(self, service: str) -> float:
        """Return the expected time until a service has a usable target again.

        Groups that are listed as closed are marked as down first.
        """
        recovery_ms = []
        for target in self._directory.targets(service):
            if target.is_evacuated:
                continue
            breaker = self.circuit_breaker(target)
            if not target.entry.is_group_open:
                breaker.note_outage()
            if breaker.is_down:
                recovery_ms.append(breaker.retry_after_ms)
            elif target.pause_remaining_ms:
                # Calls that come back do not all arrive at the end of the pause.
                spread = self._random.uniform(1.0, MAX_RETURN_SPREAD)
                recovery_ms.append(spread * target.pause_remaining_ms)
        return min(recovery_ms, default=self._parameters.default_wait_ms)

    def _pause_remaining_ms(self, request: DispatchRequest) -> float:
        """Return the time until a target that asked for a pause takes calls again.

        It is infinite if there is none that the call may be sent to.
        """
        remaining_ms = (
            target.pause_remaining_ms
            for target in self._directory.targets(request.service.name)
            if target.pause_remaining_ms
            and not target.is_evacuated
            and target.incarnation not in request.excluded_targets
        )
        return min(remaining_ms, default=float("inf"))

    def _max_wait_ms(self, request: DispatchRequest) -> float:
        if request.may_have_run:
            return request.remaining_ms
        share_ms = request.latency_target_ms * self._parameters.max_wait_ratio
        in_time_ms = self._room.in_time_ms(request)
        if math.isinf(in_time_ms):
            in_time_ms = 0.0
        wait_ms = max(self._parameters.min_wait_limit_ms, share_ms, in_time_ms)
        if self._are_limited(self._candidates(request)):
            token_wait_ms = request.remaining_ms * self._parameters.limited_wait_ratio
            wait_ms = max(wait_ms, token_wait_ms)
        return min(wait_ms, request.remaining_ms)

    async def _wait_in_queue(self, request: DispatchRequest) -> Result[Grant, Fault]:
        service = request.service.name
        queue = self._queues.setdefault(service, [])
        self._last_sequence += 1
        waiter = _Waiter(
            request=request,
            sequence=self._last_sequence,
            queued_ms=self._clock.now_ms(),
            in_time_ms=self._room.in_time_ms(request),
        )
        queue.append(waiter)
        max_wait_ms = self._max_wait_ms(request)
        limit = asyncio.get_running_loop().call_later(
            max_wait_ms / MS_PER_S, self._end_wait, waiter, max_wait_ms
        )
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                granted = waiter.future.result()
                if isinstance(granted, Success):
                    self.release(granted.unwrap())
            raise
        finally:
            limit.cancel()
            waiter.future.cancel()
            if waiter in queue:
                queue.remove(waiter)

    def _end_wait(self, waiter: _Waiter, max_wait_ms: float) -> None:
        """Refuse a queued call whose wait has reached its limit."""
        service = waiter.request.service.name
        if not waiter.future.done() and self._is_check_overdue:
            # The loop was busy; a target may take calls again since the last check.
            self.dispatch_queued(service)
        if not waiter.future.done():
            refusal: Result[Grant, Fault] = fail(
                ErrorKind.OVERLOADED,
                f"no free slot for service {service!r} within {max_wait_ms:.0f} ms",
                retry_after_ms=self._expected_wait_ms(waiter.request)
                or self.expected_wait_ms(service),
            )
            waiter.future.set_result(refusal)

    def _grant(self, target: Target, *, waited_ms: float) -> Grant:
        listed = self._directory.targets(target.entry.service)
        grant = Grant(
            target=target,
            load=target.load,
            usable_count=sum(other.is_usable for other in listed),
            listed_count=len(listed),
            waited_ms=waited_ms,
            list_age_ms=self._directory.age_ms,
            limit_per_s=self._limit(target),
            is_trial=target.health.is_ejected,
        )
        target.in_flight += 1
        if self._tokens is not None:
            self._tokens.use(target)
        self._grants.note(target.entry.service)
        self._on_change()
        return grant

    def _select_target(self, request: DispatchRequest) -> Target | None:
        """Return the least loaded of a sample of the free targets, or None."""
        candidates = self._candidates(request)
        targets = self._without_ejected(request.service.name, candidates)
        if len(targets) < len(candidates):
            trial = self._find_trial(request, candidates)
            if trial is not None:
                trial.health.begin_trial(self._trial_interval_ms(trial))
                return trial
        listed = self._directory.targets(request.service.name)
        targets = self._room.select(request, targets, listed)
        free = [
            target
            for target in self._without_slow(targets)
            if target.load + 1 <= self._max_calls(target, request.service)
        ]
        free = self._with_tokens(request, free)
        if not free:
            return None
        if request.service.engine is not None:
            own_slots = self._own_slots(request.service.name)
            own = [
                target
                for target in free
                if target.in_flight < own_slots.get(target.incarnation, 0)
            ]
            if own:
                return min(self._random.sample(own, len(own)), key=self._relative_load)
        size = self._sample_size(request.service.name, len(free))
        return min(self._random.sample(free, size), key=self._relative_load)

    def _unseen_calls(self, service: str) -> float:
        """Return the calls that others have probably placed since their last digests.

        Other gateways are assumed to place as many calls as this one.
        """
        return self._grants.per_ms(service) * self._unseen_ms()

    def _with_tokens(
        self, request: DispatchRequest, free: list[Target]
    ) -> list[Target]:
        """Return the targets that calls may be sent to, and ask for tokens of others.

        Those are asked for that would be the best choice with a token, as many as this
        gateway probably uses while they are valid. Where there is no other target, one
        is asked for at a time for each queued call.
        """
        tokens = self._tokens
        if tokens is None or not tokens.has_limits:
            return free
        ready = [target for target in free if tokens.is_ready(target)]
        if len(ready) == len(free):
            return free
        service = request.service.name
        others = [target for target in free if not tokens.is_expected(target)]
        expected_count = sum(map(tokens.is_expected, self._candidates(request)))
        if ready:
            useful_count = self._grants.per_ms(service) * TOKEN_LIFE_MS
            least = min(self._relative_load(target) for target in ready)
            for target in self._random.sample(others, len(others)):
                is_best = self._relative_load(target) <= least
                if is_best and self._random.random() < useful_count - expected_count:
                    tokens.request(target, max_wait_ms=0.0, is_for_call=False)
                    expected_count += tokens.is_expected(target)
            return ready
        if not others or expected_count > self.queue_length(service):
            return []
        soonest = min(self._random.sample(others, len(others)), key=tokens.denied_ms)
        # The queue is to be checked once more before the call stops waiting.
        check_ms = 2 * self._parameters.queue_check_interval_ms
        max_wait_ms = max(0.0, self._max_wait_ms(request) - check_ms)
        tokens.request(soonest, max_wait_ms=max_wait_ms, is_for_call=True)
        return [soonest] if tokens.is_ready(soonest) else []

    def _without_ejected(self, service: str, targets: list[Target]) -> list[Target]:
        """Return the targets that are not ejected.

        All are returned if too many targets of the service are ejected, since the fault
        is not theirs then, or if all of these are.
        """
        others = [target for target in targets if not target.health.is_ejected]
        if not others or len(others) == len(targets):
            return targets
        usable = [t for t in self._directory.targets(service) if t.is_usable]
        ejected_count = sum(target.health.is_ejected for target in usable)
        max_share = self._directory.outlier_parameters.max_ejected_share
        return others if ejected_count <= max_share * len(usable) else targets

    def _trial_interval_ms(self, target: Target) -> float:
        """Return the time until this gateway's next trial of a target, at random."""
        parameters = self._directory.outlier_parameters
        interval_ms = parameters.trial_interval_ms * (1 + target.peer_ejections)
        return interval_ms * self._random.uniform(MIN_TRIAL_SPREAD, MAX_TRIAL_SPREAD)

    def _find_trial(
        self, request: DispatchRequest, targets: list[Target]
    ) -> Target | None:
        """Return an ejected target that a call is to try, or None."""
        if request.excluded_targets:
            return None
        for target in targets:
            if not target.health.is_ejected:
                continue
            interval_ms = self._trial_interval_ms(target)
            overdue_ms = OVERDUE_TRIAL_INTERVALS * interval_ms
            min_due_ms = 0.0 if request.may_try else overdue_ms
            if self._has_returned(target.run_id):
                target.health.note_returned_elsewhere()
                target.health.hasten_trial(HASTENED_TRIAL_MS)
            due_ms = target.health.trial_due_ms(interval_ms, self._random.random())
            if due_ms < min_due_ms:
                continue
            if target.load + 1 > self._max_calls(target, request.service):
                continue
            if self._with_tokens(request, [target]):
                return target
        return None

    def _without_slow(self, targets: list[Target]) -> list[Target]:
        """Return the targets without slow ranks, if most of them are not slow."""
        fast = [target for target in targets if not target.is_slow]
        return fast if len(fast) >= MIN_FAST_SHARE * len(targets) else targets

    def _sample_size(self, service: str, free_count: int) -> int:
        """Return the number of free targets that are compared."""
        size = round(free_count / (1.0 + self._unseen_calls(service)))
        return min(free_count, max(MIN_SAMPLE_SIZE, size))

    def _candidates(self, request: DispatchRequest) -> list[Target]:
        targets = self._directory.targets(request.service.name)
        usable = [target for target in targets if target.is_usable]
        excluded = request.excluded_targets
        if not excluded:
            return usable
        return [target for target in usable if target.incarnation not in excluded]

    def _max_calls(self, target: Target, service: ServiceProfile) -> float:
        if service.engine is not None:
            return target.entry.slots
        return target.entry.slots * (1 + self._parameters.plain_queue_ratio)

    def _relative_load(self, target: Target) -> float:
        weight = target.entry.slots * target.health.weight_share
        if self._cold is not None and not self._cold.is_empty:
            weight *= self._cold.weight(target.run_id)
        if target.peer_ejections and not target.health.is_returning:
            peer_count = max(1, self._gateway_count() - 1)
            peer_share = target.peer_ejections / peer_count / MIN_PEER_SHARE
            weight *= 1.0 - PEER_EJECTION_WEIGHT * min(1.0, peer_share)
        load = (target.load + 1) / weight
        if target.entry.data_centre != self._data_centre:
            load += self._parameters.remote_load_penalty
        return load
