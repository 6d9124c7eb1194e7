"""HTTP listening sockets."""

from carobroute.web._site import WebSite

__all__ = ["WebSite"]
