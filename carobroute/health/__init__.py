"""Passive health checks of targets: ejection after failures, and slow start."""

from carobroute.health._answer_record import (
    AnswerQuality,
    AnswerRecord,
    OutlierParameters,
    RecordChange,
)
from carobroute.health._health import HealthParameters, TargetHealth

__all__ = [
    "AnswerQuality",
    "AnswerRecord",
    "HealthParameters",
    "OutlierParameters",
    "RecordChange",
    "TargetHealth",
]
