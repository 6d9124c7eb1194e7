"""HTTP listening sockets of a process."""

import ssl
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from carobroute.settings import split_host_port

SHUTDOWN_TIMEOUT_S = 5.0


class WebSite:
    """One aiohttp application on one listening socket.

    Parameters
    ----------
    application : web.Application
        What is served.
    bind : str
        `host:port`; port 0 takes a free one.
    tls : ssl.SSLContext or None, default=None
        TLS towards clients.
    options : mapping, default={}
        Further options of the HTTP server.
    """

    __slots__ = ("_application", "_bind", "_options", "_runner", "_site", "_tls")

    def __init__(
        self,
        *,
        application: web.Application,
        bind: str,
        tls: ssl.SSLContext | None = None,
        options: Mapping[str, Any] | None = None,
    ):
        self._application = application
        self._bind = bind
        self._tls = tls
        self._options = dict(options or {})
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self) -> str:
        """Listen, and return the address as `host:port`."""
        runner = web.AppRunner(
            self._application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            **self._options,
        )
        await runner.setup()
        host, port = split_host_port(self._bind)
        site = web.TCPSite(runner, host, port, ssl_context=self._tls, backlog=1024)
        await site.start()
        self._runner, self._site = runner, site
        bound_host, bound_port = runner.addresses[0][:2]
        return f"{bound_host}:{bound_port}"

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def stop(self) -> None:
        """Close everything."""
        if self._runner is not None:
            await self._runner.cleanup()
