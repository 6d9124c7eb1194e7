"""Retry policy: whether a failed attempt is sent again, within a budget."""

from collections import OrderedDict

import msgspec

from carobroute.domain import CallClass
from carobroute.errors import ErrorKind, Fault
from carobroute.utils import Clock

# The target states that it did no work, so another attempt costs almost nothing.
REDIRECT_KINDS = frozenset(
    {ErrorKind.LEAVING, ErrorKind.SHUTTING_DOWN, ErrorKind.STALE_CONFIGURATION}
)

# Any other target would give the same answer, or the caller must act first.
NON_RETRYABLE_KINDS = frozenset(
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

# The attempt was lost with its target or link; see `initial_loss_retries`.
LOSS_KINDS = frozenset(
    {
        ErrorKind.NO_TARGET,
        ErrorKind.PEER_LOST,
        ErrorKind.STREAM_BROKEN,
        ErrorKind.TARGET_FAILED,
    }
)


class RetryParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of retries.

    Parameters
    ----------
    max_attempts : int
        Maximum number of attempts of one request.
    max_redirects : int
        Maximum number of attempts of one request, instead of `max_attempts`, after a
        fault of `REDIRECT_KINDS`.
    retries_per_success : float
        Retries added to the budget by each success.
    initial_retries : float
        Initial budget of a team without a stored budget.
    initial_loss_retries : float
        Initial budget for attempts that were lost with their target or link. It is
        separate because such a loss affects all calls in flight there at once.
    max_saved_retries : float
        Maximum budget of a team.
    refill_ms : float
        Time in which an empty budget regains `initial_retries` without any success.
    max_teams : int
        Maximum number of teams with a stored budget; the least recently used budgets
        are dropped first.
    min_time_left_ms : float
        Minimum time left for which a retry is sent, in milliseconds.
    """

    max_attempts: int = 3
    max_redirects: int = 6
    retries_per_success: float = 0.1
    initial_retries: float = 2.0
    initial_loss_retries: float = 20.0
    max_saved_retries: float = 20.0
    refill_ms: float = 60_000.0
    max_teams: int = 1_024
    min_time_left_ms: float = 20.0


class RetryDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether to retry, and the reason."""

    retry: bool
    reason: str


class _BudgetKey(msgspec.Struct, frozen=True):
    """Key of one of a team's two budgets: for lost attempts or for all others."""

    team: str
    is_loss: bool


class _Budget(msgspec.Struct, frozen=True, kw_only=True):
    """Retries left in a budget at the time of its last update."""

    retries_left: float
    updated_ms: float


class RetryPolicy:
    """Decides whether failed attempts are retried, within a budget by team.

    At every entry, a team's successes add to its budget and its retries use it up.
    The retries of the whole fleet therefore stay within the same fraction of its
    successes without coordination, and one team's failures do not use up the budget of
    another. When all targets fail, the budgets run out and retries cannot multiply the
    load.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parameters : RetryParameters, default=None
        Parameters of retries.

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

    def retries_left(self, team: str = "", *, is_loss: bool = False) -> float:
        """Return the number of retries left in one of a team's two budgets."""
        initial_retries = (
            self._parameters.initial_loss_retries
            if is_loss
            else self._parameters.initial_retries
        )
        budget = self._budgets.get(_BudgetKey(team, is_loss))
        if budget is None:
            return initial_retries
        idle_ms = self._clock.now_ms() - budget.updated_ms
        regained = initial_retries * idle_ms / self._parameters.refill_ms
        return max(
            budget.retries_left, min(initial_retries, budget.retries_left + regained)
        )

    def note_success(self, team: str = "") -> None:
        """Add one successful request to the budgets of a team."""
        for is_loss in (False, True):
            retries_left = (
                self.retries_left(team, is_loss=is_loss)
                + self._parameters.retries_per_success
            )
            self._set_budget(_BudgetKey(team, is_loss), retries_left)

    def decide(
        self,
        fault: Fault,
        call_class: CallClass,
        attempt: int,
        time_left_ms: float,
        team: str = "",
    ) -> RetryDecision:
        """Decide whether a request is sent again, to another target.

        Parameters
        ----------
        fault : Fault
            Fault of the last attempt.
        call_class : CallClass
            Whether the call is idempotent.
        attempt : int
            Number of attempts so far.
        time_left_ms : float
            Time left until the first byte of the answer; 0 or less if none is left.
        team : str, default=""
            Team whose budget the retry is taken from.
        """
        if not fault.not_run and call_class is not CallClass.IDEMPOTENT:
            return _no_retry("outcome_unknown")
        if fault.kind in NON_RETRYABLE_KINDS:
            return _no_retry("final")
        if time_left_ms < self._parameters.min_time_left_ms:
            return _no_retry("deadline")
        if fault.kind in REDIRECT_KINDS:
            allowed = attempt < self._parameters.max_redirects
            return RetryDecision(
                retry=allowed, reason="redirect" if allowed else "attempts"
            )
        if attempt >= self._parameters.max_attempts:
            return _no_retry("attempts")
        is_loss = fault.kind in LOSS_KINDS
        retries_left = self.retries_left(team, is_loss=is_loss)
        if retries_left < 1.0:
            return _no_retry("budget")
        self._set_budget(_BudgetKey(team, is_loss), retries_left - 1.0)
        return RetryDecision(retry=True, reason="not_run" if fault.not_run else "safe")

    def _set_budget(self, key: _BudgetKey, retries_left: float) -> None:
        self._budgets[key] = _Budget(
            retries_left=min(self._parameters.max_saved_retries, retries_left),
            updated_ms=self._clock.now_ms(),
        )
        self._budgets.move_to_end(key)
        while len(self._budgets) > 2 * self._parameters.max_teams:
            self._budgets.popitem(last=False)


def _no_retry(reason: str) -> RetryDecision:
    return RetryDecision(retry=False, reason=reason)
