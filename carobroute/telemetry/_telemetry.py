"""Everything that one process tells about itself, in one place."""

from typing import TextIO

from carobroute.telemetry._decisions import DecisionLog
from carobroute.telemetry._dump import StateDump
from carobroute.telemetry._events import EventLog
from carobroute.telemetry._log_settings import LogSettings
from carobroute.telemetry._metrics import Metrics
from carobroute.utils import Clock


class Telemetry:
    """Log, decisions, metrics and state dump of one process.

    Parameters
    ----------
    name, incarnation : str
        Which process.
    settings : LogSettings or None, default=None
        Level and bounds.
    clock : Clock or None, default=None
        Source of time.
    stream : file or None, default=None
        Where events go; None for standard error.
    """

    __slots__ = ("_decisions", "_dump", "_log", "_metrics")

    def __init__(
        self,
        *,
        name: str,
        incarnation: str = "",
        settings: LogSettings | None = None,
        clock: Clock | None = None,
        stream: TextIO | None = None,
    ):
        settings = settings or LogSettings()
        self._log = EventLog(
            name=name,
            incarnation=incarnation,
            level=settings.level,
            most_per_s=settings.most_per_s,
            stream=stream,
            clock=clock,
        )
        self._decisions = DecisionLog(
            size=settings.decisions, clock=clock, log=self._log
        )
        self._metrics = Metrics()
        self._dump = StateDump()

    @property
    def log(self) -> EventLog:
        """Events."""
        return self._log

    @property
    def decisions(self) -> DecisionLog:
        """Decisions with their inputs."""
        return self._decisions

    @property
    def metrics(self) -> Metrics:
        """Metrics."""
        return self._metrics

    @property
    def dump(self) -> StateDump:
        """Sections of the state dump."""
        return self._dump
