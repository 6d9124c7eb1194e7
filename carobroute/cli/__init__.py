"""Command-line tool for operators."""

from carobroute.cli._app import app, main

__all__ = ["app", "main"]
