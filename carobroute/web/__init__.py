"""HTTP listening sockets."""

from carobroute.web._connection import ClientConnection, has_next_request
from carobroute.web._site import WebSite

__all__ = ["ClientConnection", "WebSite", "has_next_request"]
