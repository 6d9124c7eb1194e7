"""Whether a failed attempt is tried again."""

import msgspec

from carobroute.errors import ErrorKind, Fault
from carobroute.utils import Clock
from carobroute.world import CallClass

# The target did no work for these and says so; trying another costs almost nothing.
REDIRECTS = frozenset(
    {ErrorKind.LEAVING, ErrorKind.SHUTTING_DOWN, ErrorKind.STALE_CONFIGURATION}
)

# The same answer would come from any other target, or the caller must act first.
FINAL = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.TOO_LARGE,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.FORBIDDEN,
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.KEY_REQUIRED,
        ErrorKind.KEY_REUSED,
        ErrorKind.TEAM_LIMIT,
        ErrorKind.DEADLINE,
        ErrorKind.QUARANTINED,
        ErrorKind.STORE_UNAVAILABLE,
        ErrorKind.STALE_FENCE,
        ErrorKind.CONFLICT,
        ErrorKind.INVALID_TICKET,
        ErrorKind.NOT_FOUND,
        ErrorKind.CANCELLED,
        ErrorKind.INTERNAL,
    }
)


class RetryParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of retries.

    Parameters
    ----------
    attempts : int
        Attempts of one request in all.
    redirects : int
        Attempts of one request where all before were refused without work.
    share : float
        Retries paid for by each success.
    burst : float
        Retries that may be saved up.
    least_per_s : float
        Retries granted each second whatever the successes, for quiet entries.
    least_left_ms : float
        Time that a retry needs at least, in milliseconds.
    """

    attempts: int = 3
    redirects: int = 6
    share: float = 0.1
    burst: float = 20.0
    least_per_s: float = 0.2
    least_left_ms: float = 20.0


class RetryDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether to try again, and why."""

    retry: bool
    reason: str


class RetryPolicy:
    """Decides on retries within a budget.

    Every entry pays for its retries out of its own successes, so the fleet's retries
    stay within the same share of the fleet's successes without any message. When all
    targets fail the budget runs dry and retries cannot multiply the load.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parameters : RetryParameters, default=None
        Bounds.

    Examples
    --------
    >>> policy = RetryPolicy(clock=Clock())
    >>> fault = Fault(kind=ErrorKind.TARGET_FAILED, detail="connection reset")
    >>> policy.decide(fault, CallClass.NON_IDEMPOTENT, 1, 500.0).reason
    'outcome_unknown'
    >>> policy.decide(fault, CallClass.IDEMPOTENT, 1, 500.0).retry
    True
    """

    __slots__ = ("_clock", "_filled_ms", "_parameters", "_tokens")

    def __init__(self, *, clock: Clock, parameters: RetryParameters | None = None):
        self._clock = clock
        self._parameters = parameters or RetryParameters()
        self._tokens = self._parameters.burst
        self._filled_ms = clock.now_ms()

    @property
    def tokens(self) -> float:
        """Retries that the budget allows now."""
        self._fill()
        return self._tokens

    def note_success(self) -> None:
        """Take one successful request."""
        self._add(self._parameters.share)

    def decide(
        self, fault: Fault, call_class: CallClass, attempt: int, time_left_ms: float
    ) -> RetryDecision:
        """Return whether a request is sent again, to another target.

        Parameters
        ----------
        fault : Fault
            How the last attempt failed.
        call_class : CallClass
            Whether the call may be repeated.
        attempt : int
            Number of attempts so far.
        time_left_ms : float
            Time left to the first byte of the answer; 0 or less for none.
        """
        if not fault.not_run and call_class is not CallClass.IDEMPOTENT:
            return _no("outcome_unknown")
        if fault.kind in FINAL:
            return _no("final")
        if time_left_ms < self._parameters.least_left_ms:
            return _no("deadline")
        if fault.kind in REDIRECTS:
            allowed = attempt < self._parameters.redirects
            return RetryDecision(
                retry=allowed, reason="redirect" if allowed else "attempts"
            )
        if attempt >= self._parameters.attempts:
            return _no("attempts")
        if self.tokens < 1.0:
            return _no("budget")
        self._tokens -= 1.0
        return RetryDecision(retry=True, reason="not_run" if fault.not_run else "safe")

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        self._add((now_ms - self._filled_ms) / 1_000 * self._parameters.least_per_s)
        self._filled_ms = now_ms

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._parameters.burst, self._tokens + tokens)


def _no(reason: str) -> RetryDecision:
    return RetryDecision(retry=False, reason=reason)
