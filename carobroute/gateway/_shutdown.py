"""Shutdown of a gateway: when calls must have ended, and which may still be sent."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from carobroute.gateway._parameters import GatewayParameters
from carobroute.utils import Clock

MS_PER_S = 1_000
NEVER_MS = float("inf")


class Shutdown:
    """Times of a planned stop, from the stop signal on.

    A call may be sent if it certainly ends in time, which is if its deadline lies
    before the end of calls. An estimate of the duration is enough for plain calls,
    which get an answer at the end of calls in any case, and for streams while the
    listener is open: refusing each of them would cost its caller a retry. The rest of a
    stream that has begun may always be asked for, since its caller's answer would be
    broken off at once otherwise.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parameters : GatewayParameters
        Timeouts and limits.
    """

    __slots__ = (
        "_calls_end_ms",
        "_clock",
        "_kill_ms",
        "_listener_close_ms",
        "_on_begin",
        "_parameters",
    )

    def __init__(self, *, clock: Clock, parameters: GatewayParameters):
        self._clock = clock
        self._parameters = parameters
        self._on_begin: set[Callable[[], None]] = set()
        self._listener_close_ms = NEVER_MS
        self._calls_end_ms = NEVER_MS
        self._kill_ms = NEVER_MS

    @property
    def is_stopping(self) -> bool:
        """Whether the stop signal has come."""
        return self._kill_ms < NEVER_MS

    @property
    def listener_close_ms(self) -> float:
        """Monotonic time at which the listener is closed; infinite before the signal.

        So are the other times.
        """
        return self._listener_close_ms

    @property
    def calls_end_ms(self) -> float:
        """Monotonic time at which calls that are still in flight are ended."""
        return self._calls_end_ms

    @property
    def kill_ms(self) -> float:
        """Monotonic time at which the platform kills the process."""
        return self._kill_ms

    def begin(self, stop_ms: float) -> None:
        """Begin the stop; a further signal changes nothing.

        Parameters
        ----------
        stop_ms : float
            Time from the stop signal until the process is killed, in milliseconds.
        """
        if self.is_stopping:
            return
        parameters, now_ms = self._parameters, self._clock.now_ms()
        self._listener_close_ms = now_ms + parameters.listener_close_after_ms(stop_ms)
        self._kill_ms = now_ms + stop_ms
        self._calls_end_ms = self._kill_ms - parameters.stop_margin_for(stop_ms)
        for callback in list(self._on_begin):
            callback()

    def cuts(self, expires_ms: float) -> bool:
        """Return whether calls end before a call's own deadline."""
        return self._calls_end_ms < expires_ms

    def deadline_ms(self, expires_ms: float) -> float:
        """Return the time at which a call must have ended, given its own deadline."""
        return min(expires_ms, self._calls_end_ms)

    def latest_send_ms(
        self,
        expires_ms: float,
        duration_ms: float | None,
        *,
        is_streaming: bool,
        has_begun: bool,
    ) -> float:
        """Return the monotonic time until which a call may be sent to a target.

        It is infinite for a call whose own deadline is early enough, and for one whose
        answer has begun.

        Parameters
        ----------
        expires_ms : float
            Monotonic time of the call's own deadline.
        duration_ms : float or None
            Estimate of how long the call takes; None if there is none.
        is_streaming : bool
            Whether the answer is a stream.
        has_begun : bool
            Whether the caller has received the beginning of the answer.

        Examples
        --------
        With a grace of 8 s, of which calls have 7.4 s:

        >>> from carobroute.utils import ManualClock
        >>> shutdown = Shutdown(clock=ManualClock(), parameters=GatewayParameters())
        >>> shutdown.begin(8_000.0)
        >>> def latest_ms(expires_ms, duration_ms, *, is_streaming, has_begun=False):
        ...     return shutdown.latest_send_ms(
        ...         expires_ms,
        ...         duration_ms,
        ...         is_streaming=is_streaming,
        ...         has_begun=has_begun,
        ...     )
        >>> latest_ms(7_000.0, None, is_streaming=True)
        inf
        >>> latest_ms(9_000.0, None, is_streaming=False)
        -inf
        >>> latest_ms(9_000.0, 3_000.0, is_streaming=False)
        4400.0
        >>> latest_ms(9_000.0, 3_000.0, is_streaming=True)
        2900.0
        >>> latest_ms(9_000.0, None, is_streaming=True, has_begun=True)
        inf
        """
        if has_begun or expires_ms <= self._calls_end_ms:
            return NEVER_MS
        if duration_ms is None:
            return -NEVER_MS
        latest_ms = self._calls_end_ms - duration_ms
        return min(latest_ms, self._listener_close_ms) if is_streaming else latest_ms

    @asynccontextmanager
    async def timeout(
        self, find_end_ms: Callable[[], float]
    ) -> AsyncIterator[asyncio.Timeout]:
        """Limit a block to a monotonic time that the stop signal may move.

        Parameters
        ----------
        find_end_ms : callable
            Returns the time, in milliseconds; called at once and at the signal.

        Raises
        ------
        TimeoutError
            If the block has not ended by then.
        """
        loop = asyncio.get_running_loop()

        def find_end_s() -> float | None:
            left_ms = find_end_ms() - self._clock.now_ms()
            if left_ms == NEVER_MS:
                return None
            return loop.time() + max(0.0, left_ms) / MS_PER_S

        def move_end() -> None:
            # One that is expiring in this turn of the event loop can't be moved.
            if not timeout.expired():
                timeout.reschedule(find_end_s())

        async with asyncio.timeout_at(find_end_s()) as timeout:
            self._on_begin.add(move_end)
            try:
                yield timeout
            finally:
                self._on_begin.discard(move_end)
