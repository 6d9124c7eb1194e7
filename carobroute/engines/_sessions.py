"""HTTP sessions with programs whose answers are not trusted."""

from typing import Any

import aiohttp

from carobroute.engines._connector import CleanConnector, PacedConnector
from carobroute.engines._watched import WatchedResponse


def open_session(
    *, connector: PacedConnector | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Return a session that reads no more than bounded answers, in fair shares.

    Each session of the programs is opened here, so that no reader of answers needs
    bounds of its own.

    Parameters
    ----------
    connector : PacedConnector, default=None
        Pool of connections; None for a new one, which reuses no connection on which
        anything has come since its last use.
    options : Any
        Further options of the session.
    """
    return aiohttp.ClientSession(
        connector=connector or CleanConnector(),
        response_class=WatchedResponse,
        **options,
    )
