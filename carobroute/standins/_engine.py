"""Stand-in model engine: OpenAI-shaped calls over a batch that makes steps."""

import asyncio
import base64
import contextlib
import itertools
import os
import random
from collections import deque

import msgspec
import xxhash
from aiohttp import web

from carobroute.engines import (
    CacheEvents,
    EngineLoad,
    EngineOrder,
    KvHandle,
    count_tokens,
    prompt_text,
)
from carobroute.standins._command import serve, stand_ins
from carobroute.standins._engine_batch import Batch, Settings, Stream
from carobroute.utils import Clock, new_incarnation

DEFAULT_TOKENS = 32
KEPT_RUNS = 100_000
KEPT_IMPORTS = 1_000
CRASH_STATUS = 86
STALE_FENCE_STATUS = 409


class Run(msgspec.Struct, kw_only=True):
    """One call as the engine saw it, for the record."""

    request_id: str
    prompt_hash: int
    resumed_from: int
    priority: int
    ended: str = "running"


class EngineServer:
    """HTTP side of the stand-in engine.

    Parameters
    ----------
    name : str
        Name of the engine.
    settings : Settings
        Speed, bounds and faults.
    seed : int
        Seed of all chance.
    """

    def __init__(self, *, name: str, settings: Settings, seed: int):
        self.settings = settings
        self.incarnation = new_incarnation(name)
        self.batch = Batch(settings=settings, random=random.Random(seed))
        self.record: deque[Run] = deque(maxlen=KEPT_RUNS)
        self.orders: list[EngineOrder] = []
        self.refused_orders = 0
        self.fence = 0
        self._clock = Clock()
        self._imported: dict[str, int] = {}
        self._ids = itertools.count(1)
        self._load = EngineLoad()

    def app(self) -> web.Application:
        """Return the application with its background tasks."""
        app = web.Application(client_max_size=64 << 20)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._complete),
                web.post("/v1/completions", self._complete),
                web.get("/v1/models", self._models),
                web.post("/cancel/{request}", self._cancel),
                web.get("/load", self._get_load),
                web.get("/events", self._get_events),
                web.post("/kv/export/{request}", self._export),
                web.post("/kv/import", self._import),
                web.post("/orders", self._order),
                web.post("/_faults", self._faults),
                web.get("/_record", self._get_record),
            ]
        )
        app.cleanup_ctx.append(self._background)
        return app

    async def _background(self, app):
        tasks = [asyncio.create_task(self.batch.run())]
        tasks.append(asyncio.create_task(self._report_load()))
        yield
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _report_load(self) -> None:
        while True:
            waiting = [s for s in self.batch.waiting if not s.cancelled]
            self._load = EngineLoad(
                running=len(self.batch.running),
                queued=len(waiting),
                tokens_queued=sum(count_tokens(s.prompt) for s in waiting),
                step_ms=self.batch.step_ms,
                age_ms=self.settings.load_lag_ms,
            )
            await self._clock.sleep_ms(self.settings.load_lag_ms)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        data = await request.read()
        prompt = prompt_text(data)
        body = msgspec.json.decode(data)
        stream = self._new_stream(request, prompt, body)
        run = Run(
            request_id=stream.request_id,
            prompt_hash=xxhash.xxh3_64_intdigest(prompt.encode()),
            resumed_from=int(request.headers.get("X-Resume-From", 0)),
            priority=stream.priority,
        )
        self.record.append(run)
        if self.settings.crash_on and self.settings.crash_on in prompt:
            os._exit(CRASH_STATUS)
        self.batch.add(stream)
        try:
            if body.get("stream"):
                return await self._stream(request, stream, run)
            words = [await stream.queue.get() for _ in range(stream.tokens)]
            run.ended = "done"
            return _json(_whole(stream, "".join(words)))
        finally:
            stream.cancelled = stream.position < stream.tokens
            if run.ended == "running":
                run.ended = "cancelled"

    def _new_stream(self, request: web.Request, prompt: str, body: dict) -> Stream:
        headers = request.headers
        start = int(headers.get("X-Resume-From", 0)) if self.settings.resume else 0
        tokens = int(body.get("max_tokens") or DEFAULT_TOKENS)
        return Stream(
            request_id=headers.get("X-Request-Id") or f"own-{next(self._ids)}",
            prompt=prompt,
            tokens=tokens,
            position=min(start, tokens),
            priority=int(headers.get("X-Priority", 5)),
            prefilled=headers.get("X-Kv-Handle", "") in self._imported,
        )

    async def _stream(self, request, stream: Stream, run: Run) -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        if run.resumed_from and self.settings.resume:
            headers["X-Resume-From"] = str(run.resumed_from)
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for index in range(stream.position, stream.tokens):
            word = await self._next_word(stream)
            if word is None:
                run.ended = "exported"
                _abort(request)
                return response
            await response.write(_event(stream, word, None))
            await self._interrupt(request, index + 1 - run.resumed_from)
        if run.resumed_from <= stream.tokens:
            await response.write(_event(stream, "", "stop"))
        await response.write(b"data: [DONE]\n\n")
        run.ended = "done"
        return response

    async def _next_word(self, stream: Stream) -> str | None:
        """Return the next token, or None once the stream is cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    return await stream.queue.get()
            if stream.cancelled:
                return None

    async def _interrupt(self, request: web.Request, sent: int) -> None:
        if self.settings.drop_after and sent == self.settings.drop_after:
            self.settings.drop_after = 0
            _abort(request)
            await asyncio.Event().wait()  # cancelled with the connection
        if self.settings.silent_after and sent == self.settings.silent_after:
            self.settings.silent_after = 0
            await asyncio.Event().wait()

    async def _models(self, request: web.Request) -> web.Response:
        return _json(
            {"object": "list", "data": [{"id": "stand-in", "object": "model"}]}
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        self.batch.cancel(request.match_info["request"])
        return _json({})

    async def _get_load(self, request: web.Request) -> web.Response:
        return _json(self._load)

    async def _get_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", 0))
        events = self.batch.cache.events(after, self._clock.now_ms())
        return _json(CacheEvents(incarnation=self.incarnation, events=events))

    async def _export(self, request: web.Request) -> web.Response:
        stream = self.batch.cancel(request.match_info["request"])
        if stream is None:
            raise web.HTTPNotFound
        # What lies in the queue has not been sent, and is generated again.
        sent = stream.position - stream.queue.qsize()
        token = base64.b64encode(f"{stream.request_id}@{sent}".encode())
        return _json(KvHandle(data=token, chunks=sent))

    async def _import(self, request: web.Request) -> web.Response:
        handle = msgspec.json.decode(await request.read(), type=KvHandle)
        self._imported[handle.data.decode("ascii")] = handle.chunks
        while len(self._imported) > KEPT_IMPORTS:
            self._imported.pop(next(iter(self._imported)))
        return _json({})

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=EngineOrder)
        if self.settings.honours_fencing and order.fence < self.fence:
            self.refused_orders += 1
            return _json({"fence": self.fence}, status=STALE_FENCE_STATUS)
        self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        return _json({})

    async def _faults(self, request: web.Request) -> web.Response:
        changes = msgspec.json.decode(await request.read())
        for field, value in changes.items():
            setattr(self.settings, field, value)
        return _json(self.settings)

    async def _get_record(self, request: web.Request) -> web.Response:
        return _json(
            {
                "incarnation": self.incarnation,
                "steps": self.batch.steps,
                "runs": list(self.record),
                "orders": self.orders,
                "refused_orders": self.refused_orders,
            }
        )


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _json(value, *, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json", status=status
    )


def _event(stream: Stream, word: str, finish: str | None) -> bytes:
    choice = {"index": 0, "delta": {"content": word}, "finish_reason": finish}
    event = {
        "id": f"chatcmpl-{stream.request_id}",
        "object": "chat.completion.chunk",
        "choices": [choice],
    }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _whole(stream: Stream, text: str) -> dict:
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "text": text, "finish_reason": "stop"}
    used = {
        "prompt_tokens": count_tokens(stream.prompt),
        "completion_tokens": stream.tokens,
    }
    return {"id": f"chatcmpl-{stream.request_id}", "choices": [choice], "usage": used}


@stand_ins.register("engine")
def engine(
    port: int = 0,
    name: str = "engine",
    seed: int = 1,
    concurrency: int = 8,
    prefill_ms_per_token: float = 0.05,
    step_ms: float = 5.0,
    cache_blocks: int = 2_000,
    event_loss: float = 0.0,
    crash_on: str = "",
    resume: bool = True,
    honours_fencing: bool = False,
) -> None:
    """Model engine with continuous batching; its faults are set at `/_faults`."""
    settings = Settings(
        concurrency=concurrency,
        prefill_ms_per_token=prefill_ms_per_token,
        step_ms=step_ms,
        cache_blocks=cache_blocks,
        event_loss=event_loss,
        crash_on=crash_on,
        resume=resume,
        honours_fencing=honours_fencing,
    )
    server = EngineServer(name=name, settings=settings, seed=seed)
    serve(server.app(), port=port, handler_cancellation=True)
