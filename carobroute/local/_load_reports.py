"""Reports of a target's load to the entries that call it."""

import asyncio
from collections import Counter
from collections.abc import Callable

from carobroute.links import Endpoint, LoadReport
from carobroute.local._attempts import AttemptTable
from carobroute.local._runner import CallRunner
from carobroute.utils import Clock

ENTRY_ROLE = "entry"


class LoadReporter:
    """Sends load reports, often while there is work and rarely otherwise.

    Parameters
    ----------
    target : str
        The target.
    endpoint : Endpoint
        Links of this process.
    runner : CallRunner
        Knows what runs and waits.
    attempts : AttemptTable
        Attempts in progress, by entry.
    leaving : callable
        Tells whether the target takes no new work.
    clock : Clock
        Source of time.
    busy_ms, idle_ms : float
        Intervals with work in hand, and without.

    Notes
    -----
    A report takes some 60 bytes; each open link from an entry carries at most one in
    `busy_ms`, however often something changes.
    """

    __slots__ = (
        "_attempts",
        "_busy_ms",
        "_clock",
        "_endpoint",
        "_idle_ms",
        "_leaving",
        "_runner",
        "_sequence",
        "_target",
        "_wake",
    )

    def __init__(
        self,
        *,
        target: str,
        endpoint: Endpoint,
        runner: CallRunner,
        attempts: AttemptTable,
        leaving: Callable[[], bool],
        clock: Clock,
        busy_ms: float,
        idle_ms: float,
    ):
        self._target = target
        self._endpoint = endpoint
        self._runner = runner
        self._attempts = attempts
        self._leaving = leaving
        self._clock = clock
        self._busy_ms = busy_ms
        self._idle_ms = idle_ms
        self._sequence = 0
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Have a report sent soon, because something has changed."""
        self._wake.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            busy = self._runner.running or self._runner.queued
            interval_ms = self._busy_ms if busy else self._idle_ms
            self._wake.clear()
            self._send()
            await self._clock.sleep_ms(self._busy_ms)
            try:
                async with asyncio.timeout((interval_ms - self._busy_ms) / 1_000):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _send(self) -> None:
        self._sequence += 1
        counted = Counter(
            attempt.entry for attempt in self._attempts if not attempt.answer.closed
        )
        for peer in self._endpoint.peers:
            if peer.role == ENTRY_ROLE and peer.up:
                peer.send(self._report(counted[peer.incarnation]))

    def _report(self, known: int) -> LoadReport:
        return LoadReport(
            target=self._target,
            running=self._runner.running,
            queued=self._runner.queued,
            concurrency=self._runner.concurrency,
            step_ms=self._runner.step_ms,
            tokens_queued=self._runner.tokens_queued,
            leaving=self._leaving(),
            known=known,
            sequence=self._sequence,
        )
