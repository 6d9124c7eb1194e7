"""Retries of store transactions, with jitter and a rate limit for each process."""

import random as random_module
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tables._interface import Transaction, TransactionOutcome
from carobroute.utils import Clock

SendOnce = Callable[[Transaction, float], Awaitable[Result[TransactionOutcome, Fault]]]


class StoreRetryParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Delays and rate limit of retries.

    Parameters
    ----------
    first_delay_ms, max_delay_ms : float
        First and maximum delay between two tries of one transaction.
    retries_per_s : float
        Maximum rate of retries of a process, over all its transactions.
    burst : float
        Maximum number of retries at once after a time without any.
    """

    first_delay_ms: float = 25.0
    max_delay_ms: float = 5_000.0
    retries_per_s: float = 10.0
    burst: float = 20.0


class RetryPacer:
    """Schedules the retries of one process.

    Each delay is drawn between half and all of an exponentially growing bound. A token
    bucket, shared by all transactions of the process, limits the rate of retries, which
    bounds the load on a store that becomes available again.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    parameters : StoreRetryParameters, default=None
        Delays and rate limit.

    Examples
    --------
    >>> import random
    >>> from carobroute.utils import ManualClock
    >>> pacer = RetryPacer(clock=ManualClock(), random=random.Random(1))
    >>> 12.5 <= pacer.delay_ms(0) <= 25
    True
    >>> pacer.delay_ms(60) <= 5_000
    True
    """

    __slots__ = ("_clock", "_next_retry_ms", "_parameters", "_random")

    def __init__(
        self,
        *,
        clock: Clock,
        random: random_module.Random,
        parameters: StoreRetryParameters | None = None,
    ):
        self._clock = clock
        self._random = random
        self._parameters = parameters or StoreRetryParameters()
        self._next_retry_ms = 0.0

    def delay_ms(self, tries: int) -> float:
        """Return the delay after a failed try that had `tries` tries before it."""
        parameters = self._parameters
        bound_ms = min(
            parameters.max_delay_ms, parameters.first_delay_ms * 2.0 ** min(tries, 32)
        )
        return bound_ms * (0.5 + 0.5 * self._random.random())

    def reserve_delay_ms(self) -> float:
        """Reserve the next retry in the rate limit; return the wait until it is due."""
        interval_ms = 1_000.0 / self._parameters.retries_per_s
        now_ms = self._clock.now_ms()
        earliest_ms = now_ms - interval_ms * self._parameters.burst
        self._next_retry_ms = max(self._next_retry_ms, earliest_ms) + interval_ms
        return max(0.0, self._next_retry_ms - now_ms)


async def send_until_settled(
    send: SendOnce,
    transaction: Transaction,
    *,
    clock: Clock,
    pacer: RetryPacer,
    deadline_ms: float,
) -> Result[TransactionOutcome, Fault]:
    """Send `transaction` with the same token until its result is definite.

    Parameters
    ----------
    send : callable
        Sends the transaction once, within the time left, in milliseconds.
    transaction : Transaction
        Transaction to send.
    clock : Clock
        Source of time.
    pacer : RetryPacer
        Delays between tries.
    deadline_ms : float
        Monotonic time at which to give up.

    Returns
    -------
    outcome : Result
        The definite outcome, or a `STORE_UNAVAILABLE` fault while still unknown.
    """
    tries = 0
    detail = "the deadline had passed before the first try"
    while True:
        left_ms = deadline_ms - clock.now_ms()
        if left_ms <= 0:
            return fail(
                ErrorKind.STORE_UNAVAILABLE, f"gave up after {tries} tries: {detail}"
            )
        result = await send(transaction, left_ms)
        if isinstance(result, Success):
            return result
        fault = result.failure()
        if fault.kind is not ErrorKind.STORE_UNAVAILABLE:
            return result
        detail = fault.detail
        delay_ms = max(pacer.delay_ms(tries), pacer.reserve_delay_ms())
        tries += 1
        await clock.sleep_ms(min(delay_ms, max(0.0, deadline_ms - clock.now_ms())))
