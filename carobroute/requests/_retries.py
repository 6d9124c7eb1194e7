"""Whether a failed attempt is tried again."""

from collections import OrderedDict

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


LOST = frozenset(
    {
        ErrorKind.NO_TARGET,
        ErrorKind.PEER_LOST,
        ErrorKind.STREAM_BROKEN,
        ErrorKind.TARGET_FAILED,
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
    first : float
        Retries granted to a team that was not seen lately.
    first_lost : float
        The same for attempts that were lost with their target or link, which takes
        all the calls in flight there at once.
    burst : float
        Retries that a team may save up.
    refill_ms : float
        Time in which an empty budget regains `first` without any success.
    max_teams : int
        Teams whose budgets are kept; the one unused longest goes first.
    least_left_ms : float
        Time that a retry needs at least, in milliseconds.
    """

    attempts: int = 3
    redirects: int = 6
    share: float = 0.1
    first: float = 2.0
    first_lost: float = 20.0
    burst: float = 20.0
    refill_ms: float = 60_000.0
    max_teams: int = 1_024
    least_left_ms: float = 20.0


class RetryDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether to try again, and why."""

    retry: bool
    reason: str


class _BudgetKey(msgspec.Struct, frozen=True):
    """One of a team's two budgets: for losses, or for everything else."""

    team: str
    lost: bool


class _Budget(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of one team as of a time."""

    tokens: float
    set_ms: float


class RetryPolicy:
    """Decides on retries within a budget.

    Every entry pays for a team's retries out of that team's own successes, so the
    fleet's retries stay within the same share of the fleet's successes without any
    message, and one team's refusals use up no other team's budget. When all targets
    fail the budget runs dry and retries cannot multiply the load.

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

    __slots__ = ("_budgets", "_clock", "_parameters")

    def __init__(self, *, clock: Clock, parameters: RetryParameters | None = None):
        self._clock = clock
        self._parameters = parameters or RetryParameters()
        self._budgets: OrderedDict[_BudgetKey, _Budget] = OrderedDict()

    def tokens(self, team: str = "", *, lost: bool = False) -> float:
        """Return the retries that one of the team's two budgets allows now."""
        first = self._parameters.first_lost if lost else self._parameters.first
        budget = self._budgets.get(_BudgetKey(team, lost))
        if budget is None:
            return first
        idle_ms = self._clock.now_ms() - budget.set_ms
        gained = first * idle_ms / self._parameters.refill_ms
        return max(budget.tokens, min(first, budget.tokens + gained))

    def note_success(self, team: str = "") -> None:
        """Take one successful request of a team."""
        for lost in (False, True):
            tokens = self.tokens(team, lost=lost) + self._parameters.share
            self._set(_BudgetKey(team, lost), tokens)

    def decide(
        self,
        fault: Fault,
        call_class: CallClass,
        attempt: int,
        time_left_ms: float,
        team: str = "",
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
        team : str, default=""
            Team that pays for the retry.
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
        lost = fault.kind in LOST
        tokens = self.tokens(team, lost=lost)
        if tokens < 1.0:
            return _no("budget")
        self._set(_BudgetKey(team, lost), tokens - 1.0)
        return RetryDecision(retry=True, reason="not_run" if fault.not_run else "safe")

    def _set(self, key: _BudgetKey, tokens: float) -> None:
        self._budgets[key] = _Budget(
            tokens=min(self._parameters.burst, tokens), set_ms=self._clock.now_ms()
        )
        self._budgets.move_to_end(key)
        while len(self._budgets) > 2 * self._parameters.max_teams:
            self._budgets.popitem(last=False)


def _no(reason: str) -> RetryDecision:
    return RetryDecision(retry=False, reason=reason)
