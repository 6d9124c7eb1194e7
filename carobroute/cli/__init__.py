"""The operators' command line."""

from carobroute.cli._ticket import ticket_app

__all__ = ["ticket_app"]
