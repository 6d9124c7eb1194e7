"""Passive health checks of targets: ejection after failures, and slow start."""

from carobroute.health._health import HealthParameters, TargetHealth

__all__ = ["HealthParameters", "TargetHealth"]
