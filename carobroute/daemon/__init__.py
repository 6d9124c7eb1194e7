"""The daemon: an entry, or a local process beside a target."""

from carobroute.daemon._command import app, main

__all__ = ["app", "main"]
