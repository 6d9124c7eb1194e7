"""Stand-in of a plain order service that keeps its own record of every run."""

import asyncio
import os
import random
from typing import Annotated

import msgspec
import typer
from aiohttp import web

from carobroute.standins._command import MAX_BODY_BYTES, serve, stand_ins
from carobroute.standins._faults import FaultControl, json_response
from carobroute.utils import content_hash

FENCE_HEADER = "X-Carobroute-Fence"
KEY_HEADER = "Idempotency-Key"
TEAM_HEADER = "X-Carobroute-Team"
REQUEST_HEADER = "X-Carobroute-Request"
STALE_FENCE_STATUS = 412
CRASH_STATUS = 86
EFFECTS = ("orders", "charges", "holds", "invoices")


class Run(msgspec.Struct, kw_only=True):
    """One run of a call that may not be repeated, also its answer's body."""

    number: int
    path: str
    team: str
    key: str
    body_hash: str
    request_id: str
    fence: int


class OrderRecord(msgspec.Struct, kw_only=True):
    """Answer of `GET /_record`: all runs, and the calls refused by their fence."""

    runs: list[Run]
    refused: list[Run]


class Behaviour(msgspec.Struct, kw_only=True):
    """Delays in force; the body of `POST /_admin/behaviour`.

    Parameters
    ----------
    before_ms, after_ms : float
        Time that a call takes before and after its effect, in milliseconds.
    """

    before_ms: float = 0.0
    after_ms: float = 0.0


class OrderStandIn:
    """Plain service whose calls under `EFFECTS` have an effect each time they run.

    Parameters
    ----------
    honours_fencing : bool
        Whether a call with an older fencing number than the newest is refused.
    latency_ms : float
        Time that a call takes before its effect, in milliseconds.
    crash_on : str
        Text in a body at which the process ends; empty for none.
    seed : int
        Seed of the faults.
    """

    def __init__(
        self,
        *,
        honours_fencing: bool = False,
        latency_ms: float = 0.0,
        crash_on: str = "",
        seed: int = 1,
    ):
        self.faults = FaultControl(random=random.Random(seed))
        self.record = OrderRecord(runs=[], refused=[])
        self._behaviour = Behaviour(before_ms=latency_ms)
        self._crash_on = crash_on.encode()
        self._fence = 0
        self._honours_fencing = honours_fencing

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        self.faults.install(application)
        for effect in EFFECTS:
            application.router.add_post(f"/{effect}", self._run)
        application.router.add_get("/stock/{sku}", self._stock)
        application.router.add_get("/health", self._health)
        application.router.add_get("/_record", self._show_record)
        application.router.add_post("/_admin/behaviour", self._change_behaviour)
        return application

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self._crash_on and self._crash_on in body:
            os._exit(CRASH_STATUS)
        await asyncio.sleep(self._behaviour.before_ms / 1_000)
        run = Run(
            number=len(self.record.runs) + 1,
            path=request.path,
            team=request.headers.get(TEAM_HEADER, ""),
            key=request.headers.get(KEY_HEADER, ""),
            body_hash=content_hash(body),
            request_id=request.headers.get(REQUEST_HEADER, ""),
            fence=int(request.headers.get(FENCE_HEADER, 0)),
        )
        if self._honours_fencing and run.fence < self._fence:
            self.record.refused.append(run)
            return json_response(run, status=STALE_FENCE_STATUS)
        self._fence = max(self._fence, run.fence)
        self.record.runs.append(run)
        await asyncio.sleep(self._behaviour.after_ms / 1_000)
        return json_response(run)

    async def _stock(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self._behaviour.before_ms / 1_000)
        return json_response({"sku": request.match_info["sku"], "on_hand": 7})

    async def _health(self, request: web.Request) -> web.Response:
        return json_response({"status": "ok"})

    async def _show_record(self, request: web.Request) -> web.Response:
        return json_response(self.record)

    async def _change_behaviour(self, request: web.Request) -> web.Response:
        self._behaviour = msgspec.json.decode(await request.read(), type=Behaviour)
        return json_response(self._behaviour)


@stand_ins.register("orders")
def orders_command(
    port: Annotated[int, typer.Option(help="0 takes a free port.")] = 0,
    seed: Annotated[int, typer.Option(help="Seed of the faults.")] = 1,
    honours_fencing: Annotated[
        bool, typer.Option(help="Refuse old fencing numbers.")
    ] = False,
    latency_ms: Annotated[float, typer.Option(help="Time of a call.")] = 0.0,
    crash_on: Annotated[str, typer.Option(help="Text that ends the process.")] = "",
) -> None:
    """Run an order service whose calls may not be repeated."""
    stand_in = OrderStandIn(
        honours_fencing=honours_fencing,
        latency_ms=latency_ms,
        crash_on=crash_on,
        seed=seed,
    )
    serve(stand_in.application(), port=port)
