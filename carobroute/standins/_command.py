"""Registry of stand-ins and the loop that serves one of them."""

import asyncio
import contextlib
import importlib
import pkgutil
import signal
import socket
from collections.abc import Callable

from aiohttp import web

from carobroute.utils import Registry, run_event_loop

MAX_BODY_BYTES = 64 * 1024 * 1024

stand_ins: Registry[Callable[..., None]] = Registry(kind="stand-in")
"""Commands by name; each is a function whose parameters are typer options."""


def load_stand_ins() -> Registry[Callable[..., None]]:
    """Import every module of this package and return the filled registry."""
    package = importlib.import_module("carobroute.standins")
    for module in pkgutil.iter_modules(package.__path__):
        if module.name.startswith("_") and not module.name.startswith("__"):
            importlib.import_module(f"carobroute.standins.{module.name}")
    return stand_ins


def serve(
    application: web.Application, *, port: int, handler_cancellation: bool = False
) -> None:
    """Serve `application` on loopback until SIGTERM or SIGINT.

    Prints `READY address=http://127.0.0.1:PORT` once it accepts connections. With
    `handler_cancellation`, a handler is cancelled when its caller disconnects.
    """
    with contextlib.suppress(KeyboardInterrupt):
        run_event_loop(_serve(application, port, handler_cancellation))


async def _serve(
    application: web.Application, port: int, handler_cancellation: bool
) -> None:
    runner = web.AppRunner(
        application,
        access_log=None,
        shutdown_timeout=0.1,
        handler_cancellation=handler_cancellation,
    )
    await runner.setup()
    with socket.create_server(("127.0.0.1", port), backlog=1024) as listener:
        await web.SockSite(runner, listener).start()
        bound_port = listener.getsockname()[1]
        print(f"READY address=http://127.0.0.1:{bound_port}", flush=True)
        stopped = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stopped.set)
        await stopped.wait()
        await runner.cleanup()
