"""Decisions about requests: limits, routing, retries, quarantine."""

__all__: list[str] = []
