"""Tokens for calls to targets that limit the rate of calls from all gateways."""

import random
from collections import deque
from collections.abc import Callable, Collection

import msgspec
import xxhash

from carobroute.gateway._cold_starts import TargetRates
from carobroute.gateway._targets import Target
from carobroute.utils import Clock, Count, Duration, Number

MS_PER_S = 1_000.0
# Calls that may follow each other at once at a target that was idle.
BURST_CALLS = 2.0
# A target that takes nothing gets a call from time to time, whose answer tells when
# that is over.
MIN_RATE_PER_S = 0.25
# Time for which an unused token is valid.
TOKEN_LIFE_MS = 1_000.0
# Several round trips between data centres.
REPLY_TIMEOUT_MS = 100.0
# Longest time by which the return of a refused call is delayed for others.
MAX_RETURN_DELAY_MS = 5_000.0
# Time for which the issuer of a target's tokens is not looked up again.
ISSUER_CACHE_MS = 250.0
# Number of targets from which on those without a limit are dropped.
MAX_STATES = 1_024
# Time after which a schedule that is not used is dropped.
SCHEDULE_RETENTION_MS = 60_000.0
# Largest number of a request.
MAX_NUMBER = 1 << 32
# Requests of a target whose replies are still accepted.
MAX_UNANSWERED = 8
# Gateways that were denied a token come back at different times, up to this factor.
MAX_DENIAL_SPREAD = 1.5


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag="request"):
    """Request for a token, sent to the issuer of a target's tokens.

    Parameters
    ----------
    sender : str
        Incarnation of the gateway that asks.
    target : str
        Run of the target.
    per_s : float
        Limit of the target, in calls a second, as the sender knows it.
    max_wait_ms : float
        Longest time until the token may be used.
    is_for_call : bool
        Whether a call waits for the token and is refused without it.
    number : int
        Number of the request, which the reply repeats; 0 from a sender that has none.
    """

    sender: str
    target: str
    per_s: Duration
    max_wait_ms: Number
    is_for_call: bool
    number: Count = 0


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """Reply to a request for a token.

    Parameters
    ----------
    target : str
        Run of the target.
    is_granted : bool
        Whether the token is granted.
    wait_ms : float
        Time until the token may be used, or until a later request may be granted.
    return_ms : float
        Time until a call that is refused for want of the token should come back.
    number : int
        Number of the request; 0 from an issuer that does not repeat it.
    """

    target: str
    is_granted: bool
    wait_ms: Number
    return_ms: Number = 0.0
    number: Count = 0


TokenMessage = TokenRequest | TokenReply


class _Schedule:
    """Boot times of the next token of a target, and of the next refused call."""

    __slots__ = ("interval_ms", "next_ms", "next_return_ms")

    def __init__(self, *, next_ms: float, interval_ms: float):
        self.next_ms = next_ms
        self.next_return_ms = next_ms
        self.interval_ms = interval_ms

    def set_interval(self, interval_ms: float, now_ms: float) -> None:
        """Change the interval between tokens; as many stay ahead as before."""
        ratio = interval_ms / self.interval_ms
        self.interval_ms = interval_ms
        self.next_ms = now_ms + ratio * (self.next_ms - now_ms)
        self.next_return_ms = now_ms + ratio * (self.next_return_ms - now_ms)


class TokenIssuer:
    """Issues the tokens of targets at their limited rates, by the leaky bucket rule.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> issuer = TokenIssuer(clock=clock)
    >>> issuer.issue("i-1@7", 2.0, max_wait_ms=0.0, is_for_call=True)
    TokenReply(target='i-1@7', is_granted=True, wait_ms=0.0, return_ms=0.0, number=0)
    >>> for _ in range(2):
    ...     issuer.issue("i-1@7", 2.0, max_wait_ms=0.0, is_for_call=True)
    TokenReply(target='i-1@7', is_granted=False, ..., return_ms=500.0, number=0)
    TokenReply(target='i-1@7', is_granted=False, ..., return_ms=1000.0, number=0)
    >>> issuer.issue("i-1@7", 2.0, max_wait_ms=900.0, is_for_call=True).is_granted
    True
    """

    __slots__ = ("_clock", "_schedules")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._schedules: dict[str, _Schedule] = {}

    def issue(
        self, target: str, per_s: float, *, max_wait_ms: float, is_for_call: bool
    ) -> TokenReply:
        """Grant the next token of a target, or tell when there may be one.

        The first token of a target is granted without the others of a burst, because
        another gateway may have issued them.
        """
        now_ms = self._clock.boot_time_ms()
        interval_ms = MS_PER_S / max(per_s, MIN_RATE_PER_S)
        burst_ms = (BURST_CALLS - 1.0) * interval_ms
        schedule = self._schedules.get(target)
        if schedule is None:
            self._drop_unused(now_ms)
            schedule = _Schedule(next_ms=now_ms + burst_ms, interval_ms=interval_ms)
            self._schedules[target] = schedule
        if interval_ms != schedule.interval_ms:
            schedule.set_interval(interval_ms, now_ms)
        earliest_ms = max(now_ms, schedule.next_ms - burst_ms)
        wait_ms = earliest_ms - now_ms
        if wait_ms <= max_wait_ms:
            schedule.next_ms = max(schedule.next_ms, now_ms) + interval_ms
            return TokenReply(target, True, round(wait_ms, 1))
        return_ms = wait_ms
        if is_for_call:
            # Refused calls come back one after the other, not all for the next token.
            latest_ms = now_ms + wait_ms + MAX_RETURN_DELAY_MS
            next_ms = max(earliest_ms, min(schedule.next_return_ms, latest_ms))
            schedule.next_return_ms = next_ms + interval_ms
            return_ms = next_ms - now_ms
        return TokenReply(target, False, round(wait_ms, 1), round(return_ms, 1))

    def _drop_unused(self, now_ms: float) -> None:
        oldest_ms = now_ms - SCHEDULE_RETENTION_MS
        for target, schedule in list(self._schedules.items()):
            if schedule.next_ms < oldest_ms:
                del self._schedules[target]


class _TokenState:
    """Token of one target at this gateway, or the wait for one, as boot times."""

    __slots__ = (
        "denied_until_ms",
        "pending_until_ms",
        "return_ms",
        "unanswered",
        "usable_from_ms",
    )

    def __init__(self) -> None:
        # Numbers of the requests without a reply, oldest first.
        self.unanswered: deque[int] = deque(maxlen=MAX_UNANSWERED)
        self.usable_from_ms: float | None = None
        self.pending_until_ms = 0.0
        self.denied_until_ms = 0.0
        self.return_ms = 0.0


class RateTokens:
    """Tokens with which this gateway may send calls to targets that limit their rate.

    One gateway issues all tokens of a target: the one that comes first by a hash of
    the target among the live gateways. A gateway holds one token of a target at most,
    and asks for the next one before it needs it, or while a call waits. If the issuer
    has ended, the next one starts without a burst.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    name : str
        Incarnation of this gateway.
    limits : TargetRates
        Limits of the targets.
    peers : callable
        Returns the incarnations of the live peers.
    send : callable
        Sends a message to a peer; it may be lost.
    on_reply : callable
        Called when a token was granted or denied.
    """

    __slots__ = (
        "_clock",
        "_issuer",
        "_issuer_names",
        "_last_number",
        "_limits",
        "_name",
        "_on_reply",
        "_peers",
        "_random",
        "_send",
        "_states",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        name: str,
        limits: TargetRates,
        peers: Callable[[], Collection[str]],
        send: Callable[[str, TokenMessage], None],
        on_reply: Callable[[], None],
    ):
        self._clock = clock
        self._random = random
        self._name = name
        self._limits = limits
        self._peers = peers
        self._send = send
        self._on_reply = on_reply
        # Replies to an earlier process on this address name other numbers.
        self._last_number = random.randrange(MAX_NUMBER)
        self._issuer = TokenIssuer(clock=clock)
        # Issuer of the tokens of each target, and the time at which it was looked up.
        self._issuer_names: dict[str, tuple[float, str]] = {}
        self._states: dict[str, _TokenState] = {}

    @property
    def has_limits(self) -> bool:
        """Whether a target is limited."""
        return not self._limits.is_empty

    def limit(self, target: Target) -> float | None:
        """Return the calls a second that a target takes; None for no limit."""
        return self._limits.limit(target.run_id)

    def is_ready(self, target: Target) -> bool:
        """Return whether a call may be sent now, as far as limits go."""
        if self.limit(target) is None:
            return True
        state = self._states.get(target.run_id)
        if state is None or state.usable_from_ms is None:
            return False
        age_ms = self._clock.boot_time_ms() - state.usable_from_ms
        life_ms = self._limits.token_life_ms(target.run_id) or TOKEN_LIFE_MS
        if age_ms >= life_ms:
            state.usable_from_ms = None
        return 0.0 <= age_ms < life_ms

    def is_binding(self, target: Target) -> bool:
        """Whether a limit holds calls back: one that is named, or a denied token."""
        if self._limits.is_named(target.run_id):
            return True
        return self.limit(target) is not None and self.denied_ms(target) > 0

    def use(self, target: Target) -> None:
        """Use up the token of a target; does nothing if it has no limit."""
        state = self._states.get(target.run_id)
        if state is not None:
            state.usable_from_ms = None
        if self.limit(target) is None:
            self._states.pop(target.run_id, None)

    def request(self, target: Target, *, max_wait_ms: float, is_for_call: bool) -> None:
        """Ask for a token, unless one is held, awaited or was denied just now."""
        limit = self.limit(target)
        if len(self._states) >= MAX_STATES:
            self._drop_unlimited()
        state = self._states.setdefault(target.run_id, _TokenState())
        now_ms = self._clock.boot_time_ms()
        is_held = state.usable_from_ms is not None
        if limit is None or is_held or now_ms < self._next_request_ms(state):
            return
        issuer = self._find_issuer(target.run_id, now_ms)
        if issuer == self._name:
            reply = self._issuer.issue(
                target.run_id, limit, max_wait_ms=max_wait_ms, is_for_call=is_for_call
            )
            self._apply(reply)
            return
        state.pending_until_ms = now_ms + REPLY_TIMEOUT_MS
        self._last_number = self._last_number % MAX_NUMBER + 1
        state.unanswered.append(self._last_number)
        request = TokenRequest(
            self._name,
            target.run_id,
            limit,
            max_wait_ms,
            is_for_call,
            self._last_number,
        )
        self._send(issuer, request)

    def is_expected(self, target: Target) -> bool:
        """Return whether a token is held or awaited, also for a later time."""
        state = self._states.get(target.run_id)
        if state is None:
            return False
        now_ms = self._clock.boot_time_ms()
        return state.usable_from_ms is not None or now_ms < state.pending_until_ms

    def denied_ms(self, target: Target) -> float:
        """Return the time until a denied token may be granted; 0 if none was denied."""
        state = self._states.get(target.run_id)
        if state is None or state.usable_from_ms is not None:
            return 0.0
        return max(0.0, state.denied_until_ms - self._clock.boot_time_ms())

    def return_ms(self, target: Target) -> float:
        """Return the time until a call should come back for a token that was denied."""
        state = self._states.get(target.run_id)
        if state is None:
            return 0.0
        return max(self.denied_ms(target), state.return_ms - self._clock.boot_time_ms())

    def handle(self, message: TokenMessage) -> None:
        """Handle the message of a peer."""
        if isinstance(message, TokenReply):
            if self._answers_request(message):
                self._apply(message)
                self._on_reply()
            return
        known = self._limits.limit(message.target)
        reply = self._issuer.issue(
            message.target,
            message.per_s if known is None else known,
            max_wait_ms=message.max_wait_ms,
            is_for_call=message.is_for_call,
        )
        reply = msgspec.structs.replace(reply, number=message.number)
        self._send(message.sender, reply)

    def _answers_request(self, reply: TokenReply) -> bool:
        """Whether a reply is the first one to a request: datagrams may be doubled."""
        state = self._states.get(reply.target)
        if state is None or not state.unanswered:
            return False
        number = reply.number or state.unanswered[0]
        if number not in state.unanswered:
            return False
        state.unanswered.remove(number)
        return True

    def _drop_unlimited(self) -> None:
        for target in list(self._states):
            if self._limits.limit(target) is None:
                del self._states[target]
                self._issuer_names.pop(target, None)

    def _next_request_ms(self, state: _TokenState) -> float:
        return max(state.pending_until_ms, state.denied_until_ms)

    def _apply(self, reply: TokenReply) -> None:
        state = self._states.get(reply.target)
        if state is None:
            return
        now_ms = self._clock.boot_time_ms()
        state.pending_until_ms = 0.0
        if reply.is_granted:
            state.usable_from_ms = now_ms + reply.wait_ms
            return
        spread = self._random.uniform(1.0, MAX_DENIAL_SPREAD)
        state.denied_until_ms = now_ms + spread * reply.wait_ms
        state.return_ms = now_ms + reply.return_ms

    def _find_issuer(self, target: str, now_ms: float) -> str:
        found_ms, name = self._issuer_names.get(target, (float("-inf"), ""))
        if now_ms - found_ms >= ISSUER_CACHE_MS:
            names = (self._name, *self._peers())
            name = max(names, key=lambda peer: _rank(target, peer))
            self._issuer_names[target] = (now_ms, name)
        return name


def _rank(target: str, gateway: str) -> int:
    return xxhash.xxh64_intdigest(f"{target}/{gateway}".encode())
