"""Events, decisions, metrics and state dumps of one process."""

from carobroute.telemetry._decisions import Decision, DecisionLog
from carobroute.telemetry._dump import StateDump
from carobroute.telemetry._events import EventLog, format_event
from carobroute.telemetry._explain import (
    Explanation,
    LogLine,
    explain_request,
    parse_line,
)
from carobroute.telemetry._library_log import LibraryLogHandler
from carobroute.telemetry._line_buffer import LineBuffer
from carobroute.telemetry._log_settings import LogSettings
from carobroute.telemetry._metrics import BoundedMetric, Metrics
from carobroute.telemetry._telemetry import Telemetry

__all__ = [
    "BoundedMetric",
    "Decision",
    "DecisionLog",
    "EventLog",
    "Explanation",
    "LibraryLogHandler",
    "LineBuffer",
    "LogLine",
    "LogSettings",
    "Metrics",
    "StateDump",
    "Telemetry",
    "explain_request",
    "format_event",
    "parse_line",
]
