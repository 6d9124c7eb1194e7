"""Passive health checks of targets: ejection after failures, and slow start."""

from carobroute.health._health import Health, HealthParameters

__all__ = ["Health", "HealthParameters"]
