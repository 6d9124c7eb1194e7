"""Suspicions of several observers.

One observer's silence is not a death: the path may be at fault. An instance is
suspected only while at least two observers report it silent and fewer report that
they hear it. Reports expire, so that a lost retraction does not last.
"""

from collections.abc import Callable, Iterable

import msgspec

from carobroute.utils import BoundedDict, Clock


class SuspicionParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of suspicions.

    Parameters
    ----------
    observers : int
        Observers that must report an instance as silent.
    valid_ms : float
        Time for which a report counts.
    max_accused, max_observers : int
        Instances, and observers for each, that are remembered.
    """

    observers: int = 2
    valid_ms: float = 20_000.0
    max_accused: int = 2_000
    max_observers: int = 8


class Report(msgspec.Struct, frozen=True):
    """One observer's last word on one instance."""

    silent: bool
    since_ms: float


class Suspicions:
    """Reports of observers on instances.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parameters : SuspicionParameters, default=None
        Bounds.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> suspicions = Suspicions(clock=ManualClock())
    >>> suspicions.note("entry-1~1", 1, ["runner-1~1"], [])
    True
    >>> suspicions.is_suspected("runner-1~1")
    False
    >>> suspicions.note("entry-2~1", 1, ["runner-1~1"], [])
    True
    >>> suspicions.is_suspected("runner-1~1")
    True
    """

    __slots__ = ("_callbacks", "_clock", "_parameters", "_reports", "_sequences")

    def __init__(self, *, clock: Clock, parameters: SuspicionParameters | None = None):
        self._clock = clock
        self._parameters = parameters or SuspicionParameters()
        self._callbacks: list[Callable[[], None]] = []
        self._reports: BoundedDict[str, BoundedDict[str, Report]] = BoundedDict(
            most=self._parameters.max_accused
        )

        self._sequences: BoundedDict[str, int] = BoundedDict(
            most=self._parameters.max_accused
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        """Have `callback` called after an instance became suspected or cleared."""
        self._callbacks.append(callback)

    def note(
        self, observer: str, sequence: int, silent: Iterable[str], heard: Iterable[str]
    ) -> bool:
        """Take in one observer's words.

        Parameters
        ----------
        observer : str
            Incarnation of the observer.
        sequence : int
            Number of its report; an older one, or the same again, changes nothing.
        silent, heard : iterable of str
            Incarnations that it calls without an answer, and that it hears.

        Returns
        -------
        news : bool
            Whether the report is to be passed on.
        """
        if sequence <= self._sequences.get(observer, 0):
            return False
        self._sequences[observer] = sequence
        for incarnation in silent:
            self._note(observer, incarnation, True)
        for incarnation in heard:
            self._note(observer, incarnation, False)
        return True

    def is_suspected(self, incarnation: str) -> bool:
        """Whether enough observers call it silent, and more than hear it."""
        valid = self._valid(incarnation)
        silent = sum(report.silent for report in valid)
        heard = len(valid) - silent
        return silent >= self._parameters.observers and silent > heard

    def is_accused(self, incarnation: str, *, but: str = "") -> bool:
        """Whether an observer calls it silent, and `but` has not yet said otherwise."""
        reports = self._reports.get(incarnation)
        own = reports.get(but) if reports is not None else None
        half_ms = self._parameters.valid_ms / 2
        if own is not None and self._clock.now_ms() - own.since_ms < half_ms:
            return own.silent
        return any(report.silent for report in self._valid(incarnation))

    def _valid(self, incarnation: str) -> list[Report]:
        limit_ms = self._clock.now_ms() - self._parameters.valid_ms
        reports = self._reports.get(incarnation)
        if reports is None:
            return []
        return [report for report in reports.values() if report.since_ms >= limit_ms]

    def _note(self, observer: str, incarnation: str, silent: bool) -> None:
        reports = self._reports.get(incarnation)
        if reports is None:
            if not silent:
                return
            reports = BoundedDict(most=self._parameters.max_observers)
            self._reports[incarnation] = reports
        before = self.is_suspected(incarnation)
        reports.pop(observer, None)
        reports[observer] = Report(silent, self._clock.now_ms())
        if self.is_suspected(incarnation) != before:
            for callback in self._callbacks:
                callback()
