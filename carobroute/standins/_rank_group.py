"""Stand-in of a rank group: ranks in lock-step, driven over HTTP.

It records the map of every rank in every step, and reports expert popularity late and
with gaps.
"""

import asyncio
import random as random_module
from collections import deque
from typing import Annotated, Any

import msgspec
import typer
from aiohttp import web

from carobroute.placement import EngineStatus, PopularityReport
from carobroute.standins._command import MAX_BODY_BYTES, serve, stand_ins
from carobroute.standins._faults import FaultControl
from carobroute.standins._rank_state import GroupState, RankState, StepRecord, Version
from carobroute.utils import Clock

POLL_S = 0.002
MS_PER_S = 1_000


class RankOrder(msgspec.Struct, kw_only=True):
    """Body of every order to ranks; an order reads the fields that it needs."""

    ranks: list[int]
    owner: str
    epoch: int = 0
    order: int = 0
    step: int = 0
    version: Version = (0, 0, "")
    kept: list[Version] = []
    experts: list[list[list[int]]] = []


class RankTrouble(msgspec.Struct, kw_only=True):
    """Body of `POST /_admin/trouble`: what befalls ranks."""

    ranks: list[int]
    stall_ms: float = 0.0
    slowness: float = 0.0


class GroupRecord(msgspec.Struct, kw_only=True):
    """Answer of `GET /_record`."""

    epoch: int
    step: int
    counts: dict[str, int]
    mixed: list[StepRecord]
    steps: list[StepRecord]


class RankGroupStandIn:
    """Serves one group.

    Parameters
    ----------
    state : GroupState
        The ranks.
    clock : Clock
        Source of time.
    random : random.Random
        Draws faults and lost reports.
    load_ms : float
        Time that a load takes, in milliseconds.
    report_gap : float
        Share of popularity reports that are lost.
    layers, experts : int
        Shape of the popularity reports.
    """

    def __init__(
        self,
        *,
        state: GroupState,
        clock: Clock,
        random: random_module.Random,
        load_ms: float,
        report_gap: float = 0.0,
        layers: int = 1,
        experts: int = 8,
    ):
        self.state = state
        self.faults = FaultControl(random=random)
        self._clock = clock
        self._random = random
        self._load_ms = load_ms
        self._report_gap = report_gap
        self._shape = (layers, experts)
        self._reports: deque[PopularityReport] = deque(maxlen=256)
        self._sequence = 0
        self._weights: dict[str, bytes] = {}
        self._stepping: asyncio.Task | None = None

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        self.faults.install(application)
        post = application.router.add_post
        for name in (
            *("status", "popularity", "attach", "reserve", "load", "unload"),
            *("hold", "set_map", "release", "join"),
        ):
            post(f"/ranks/{name}", getattr(self, f"_{name}"))
        post("/_admin/trouble", self._trouble)
        application.router.add_get("/_record", self._record)
        application.router.add_put("/weights/{hash}", self._put_weight)
        application.router.add_get("/weights/{hash}", self._get_weight)
        application.on_startup.append(self._start)
        return application

    async def _start(self, application: web.Application) -> None:
        self._stepping = asyncio.create_task(self._run())

    async def _run(self) -> None:
        state = self.state
        ended_ms = self._clock.now_ms()
        while True:
            if not state.begin(self._clock.now_ms()):
                await asyncio.sleep(POLL_S)
                continue
            epoch, work_ms = state.epoch, state.work_ms()
            waited_ms = self._clock.now_ms() - ended_ms
            await asyncio.sleep(max(work_ms) / MS_PER_S)
            ended_ms = self._clock.now_ms()
            if state.epoch == epoch:
                for rank, duration_ms in zip(state.ranks, work_ms, strict=True):
                    rank.work_ms = duration_ms
                state.end(waited_ms=waited_ms, work_ms=work_ms)
                self._report_popularity()

    def _report_popularity(self) -> None:
        """Note the tokens of a step; the report is lost now and then."""
        self._sequence += 1
        if self._random.random() < self._report_gap:
            return
        layers, experts = self._shape
        weights = self.state.weights or [1.0] * experts
        tokens = [
            [self._random.uniform(0.8, 1.2) * weight for weight in weights]
            for _ in range(layers)
        ]
        report = PopularityReport(sequence=self._sequence, tokens=tokens)
        self._reports.append(report)

    # Orders.

    async def _read(self, request: web.Request) -> tuple[RankOrder, list[RankState]]:
        body = msgspec.json.decode(await request.read(), type=RankOrder)
        return body, self.state.owned(body.ranks, body.owner)

    async def _fenced(self, request: web.Request) -> tuple[RankOrder, list[RankState]]:
        body, states = await self._read(request)
        if not self.state.fresh_order(states, body.epoch, body.order):
            self.state.counts["refused_orders"] += 1
            raise web.HTTPConflict(text="another owner, epoch or order")
        return body, states

    async def _status(self, request: web.Request) -> web.Response:
        body, _ = await self._read(request)
        own = [self.state.ranks[number] for number in body.ranks]
        status = EngineStatus(
            epoch=self.state.epoch,
            step=self.state.step,
            step_ms=self.state.step_ms,
            roster=self.state.roster,
            joined=all(s.joined_epoch == self.state.epoch for s in own),
            held=any(s.hold is not None for s in own),
            work_ms={s.rank: s.work_ms for s in own},
        )
        return _json(status)

    async def _attach(self, request: web.Request) -> web.Response:
        body, _ = await self._read(request)
        return _json(self.state.attach(body.ranks, body.owner))

    async def _reserve(self, request: web.Request) -> web.Response:
        body, states = await self._read(request)
        refusal = self.state.reserve(states, body.experts) if states else "owner"
        if refusal:
            raise web.HTTPConflict(text=refusal)
        return _json(True)

    async def _load(self, request: web.Request) -> web.Response:
        body, _ = await self._read(request)
        await asyncio.sleep(self._load_ms / MS_PER_S)
        states = self.state.owned(body.ranks, body.owner)
        refusal = self.state.load(states, body.version, body.experts)
        if refusal or not states:
            raise web.HTTPConflict(text=refusal or "another owner")
        return _json(True)

    async def _unload(self, request: web.Request) -> web.Response:
        body, states = await self._read(request)
        self.state.unload(states, body.kept)
        return _json(True)

    async def _hold(self, request: web.Request) -> web.Response:
        body, states = await self._fenced(request)
        return _json(self.state.hold_before(states, body.step, body.order))

    async def _set_map(self, request: web.Request) -> web.Response:
        body, states = await self._fenced(request)
        return _done(self.state.set_map(states, body.version, body.step, body.order))

    async def _release(self, request: web.Request) -> web.Response:
        body, states = await self._fenced(request)
        self.state.release(states, body.order)
        return _json(True)

    async def _join(self, request: web.Request) -> web.Response:
        body, states = await self._fenced(request)
        return _done(self.state.join(states, body.version, body.order))

    # Reports, weights and control.

    async def _popularity(self, request: web.Request) -> web.Response:
        body, _ = await self._read(request)
        return _json([r for r in self._reports if r.sequence > body.step])

    async def _put_weight(self, request: web.Request) -> web.Response:
        self._weights[request.match_info["hash"]] = await request.read()
        return _json(True)

    async def _get_weight(self, request: web.Request) -> web.Response:
        data = self._weights.get(request.match_info["hash"])
        if data is None:
            raise web.HTTPNotFound
        part = request.http_range
        return web.Response(status=206, body=data[part])

    async def _trouble(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=RankTrouble)
        for number in body.ranks:
            state = self.state.ranks[number]
            if body.stall_ms:
                state.stalled_until_ms = self._clock.now_ms() + body.stall_ms
            if body.slowness:
                state.slowness = body.slowness
        return _json(True)

    async def _record(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "-1"))
        record = GroupRecord(
            epoch=self.state.epoch,
            step=self.state.step,
            counts=dict(self.state.counts),
            mixed=self.state.mixed,
            steps=[entry for entry in self.state.record if entry.step > after],
        )
        return _json(record)


def popularity_weights(experts: int) -> list[float]:
    """Return the relative popularity of experts, the first one's being highest."""
    return [1.0 / (1 + expert) for expert in range(experts)]


def _json(value: Any) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, content_type="application/json")


def _done(done: bool) -> web.Response:
    if not done:
        raise web.HTTPConflict(text="the map is not loaded")
    return _json(True)


@stand_ins.register("rank-group")
def rank_group(
    ranks: Annotated[int, typer.Option(help="number of ranks")] = 8,
    step_ms: Annotated[float, typer.Option(help="time of a step")] = 20.0,
    load_ms: Annotated[float, typer.Option(help="time of a load")] = 20.0,
    memory_experts: Annotated[int, typer.Option(help="copies a rank holds")] = 10_000,
    layers: Annotated[int, typer.Option()] = 1,
    experts: Annotated[int, typer.Option()] = 8,
    report_gap: Annotated[float, typer.Option(help="share of reports lost")] = 0.1,
    skewed: Annotated[bool, typer.Option(help="popular experts work more")] = False,
    seed: Annotated[int, typer.Option()] = 1,
    port: Annotated[int, typer.Option()] = 0,
) -> None:
    """Serve a rank group."""
    draw = random_module.Random(seed)
    stand_in = RankGroupStandIn(
        state=GroupState(
            ranks=ranks,
            step_ms=step_ms,
            memory_experts=memory_experts,
            random=draw,
            weights=popularity_weights(experts) if skewed else None,
        ),
        clock=Clock(),
        random=draw,
        load_ms=load_ms,
        report_gap=report_gap,
        layers=layers,
        experts=experts,
    )
    serve(stand_in.application(), port=port)
