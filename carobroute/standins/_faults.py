"""Faults that a stand-in can be told to show, and their control over HTTP."""

import asyncio
import random as random_module

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

SILENT_S = 3_600.0


class Faults(msgspec.Struct, kw_only=True):
    """Faults in force; the body of `POST /_admin/faults`, where all are optional.

    Parameters
    ----------
    outage : bool
        Refuse every call with status 503.
    silent : bool
        Accept every call and never answer.
    delay_ms, jitter_ms : float
        Added to every call; the jitter is drawn evenly.
    lose_answer : float
        Probability that the connection is cut after a write took effect.
    lose_call : float
        Probability that the connection is cut before a call takes effect.
    """

    outage: bool = False
    silent: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    lose_answer: float = 0.0
    lose_call: float = 0.0


class FaultControl:
    """Applies `Faults` to the calls of one application.

    Parameters
    ----------
    random : random.Random
        Decides which answers and calls are lost.
    """

    def __init__(self, *, random: random_module.Random):
        self.faults = Faults()
        self._random = random

    def install(self, application: web.Application) -> None:
        """Add the middleware and the control paths to `application`."""
        application.middlewares.append(self._middleware)
        application.router.add_get("/_admin/faults", self._show)
        application.router.add_post("/_admin/faults", self._change)

    async def _show(self, request: web.Request) -> web.Response:
        return json_response(self.faults)

    async def _change(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return await self._show(request)

    @web.middleware
    async def _middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith("/_"):
            return await handler(request)
        faults = self.faults
        if faults.silent:
            await asyncio.sleep(SILENT_S)
        if faults.outage:
            raise web.HTTPServiceUnavailable(text="outage")
        if faults.delay_ms or faults.jitter_ms:
            delay_ms = faults.delay_ms + faults.jitter_ms * self._random.random()
            await asyncio.sleep(delay_ms / 1_000)
        if self._random.random() < faults.lose_call:
            _cut(request)
        response = await handler(request)
        if self._random.random() < faults.lose_answer:
            _cut(request)
        return response


def _cut(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def json_response(value: object, *, status: int = 200) -> web.Response:
    """Return `value` as a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )
