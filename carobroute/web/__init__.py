"""HTTP listening sockets."""

from carobroute.web._connection import ClientConnection
from carobroute.web._site import WebSite

__all__ = ["ClientConnection", "WebSite"]
