"""Which instances there are, which are leaving, and which are suspected."""

from carobroute.membership._directory import Directory, DirectoryParameters
from carobroute.membership._messages import (
    InstanceDigest,
    InstanceNews,
    SuspicionNews,
)
from carobroute.membership._overlay import Overlay, OverlayParameters
from carobroute.membership._poller import ListPoller, ListPollerParameters
from carobroute.membership._suspicion import SuspicionParameters, Suspicions

__all__ = [
    "Directory",
    "DirectoryParameters",
    "InstanceDigest",
    "InstanceNews",
    "ListPoller",
    "ListPollerParameters",
    "Overlay",
    "OverlayParameters",
    "SuspicionNews",
    "SuspicionParameters",
    "Suspicions",
]
