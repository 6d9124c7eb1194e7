"""Health of targets, judged by the traffic itself."""

from carobroute.health._health import Health, HealthParameters

__all__ = ["Health", "HealthParameters"]
