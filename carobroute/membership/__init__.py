"""Which instances there are, which are leaving, and which are suspected."""

from carobroute.membership._directory import (
    BoundedDict,
    Directory,
    DirectoryParameters,
)
from carobroute.membership._overlay import (
    InstanceNews,
    Overlay,
    OverlayParameters,
    SuspicionNews,
)
from carobroute.membership._poller import ListPoller, ListPollerParameters
from carobroute.membership._suspicion import SuspicionParameters, Suspicions

__all__ = [
    "BoundedDict",
    "Directory",
    "DirectoryParameters",
    "InstanceNews",
    "ListPoller",
    "ListPollerParameters",
    "Overlay",
    "OverlayParameters",
    "SuspicionNews",
    "SuspicionParameters",
    "Suspicions",
]
