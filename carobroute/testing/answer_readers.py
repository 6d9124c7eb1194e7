"""Every program that reads answers over HTTP, asking one address."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from carobroute.cli._operator_client import OperatorClient
from carobroute.engines import (
    EngineCall,
    EngineOrder,
    EngineParameters,
    HttpTransport,
    OpenAiEngine,
    OrderAction,
    PlainEngine,
    open_session,
)
from carobroute.placement import HttpRankEngine
from carobroute.placement._weights import HttpWeightSource
from carobroute.platform import OrderAction as RankAction
from carobroute.platform import OrderResult, RankClient, RankOrder
from carobroute.platform._http_channel import HttpChannel

Started = TypeVar("Started", bound=HttpTransport | PlainEngine | OpenAiEngine)

TIMEOUT_MS = 60_000.0
PARAMETERS = EngineParameters(side_call_ms=TIMEOUT_MS)
CALL = EngineCall(request_id="r-1", method="POST", path="/orders")
ORDER = EngineOrder(action=OrderAction.CHANGE_ROLE, value="prefill", fence=1)
RANK_ORDER = RankOrder(action=RankAction.ARM, epoch=1, version=1, step=1)
# Content of an answer with status 200 that each of the readers understands.
SOUND_BODY = (
    b'{"epoch":1,"step":1,"step_ms":1.0,"roster":{},"joined":true,"held":0,'
    b'"work_ms":{},"group":{"epoch":1},"seq":0}'
)


async def make_side_call(url: str) -> Result[Any, Any]:
    """Read an answer as the adapters of engines do beside their calls."""
    async with _started(HttpTransport(address=url, parameters=PARAMETERS)) as transport:
        return await transport.side_call("GET", "/load")


async def ask_store(url: str) -> Result[Any, Any]:
    """Read an answer of the platform's table service."""
    channel = HttpChannel(base_url=url)
    try:
        return await channel.exchange("GET", "/rows", timeout_ms=TIMEOUT_MS)
    finally:
        await channel.close()


async def ask_rank(url: str) -> Result[Any, Any]:
    """Read an engine's answer to its own local process."""
    engine = HttpRankEngine(address=url, ranks=[0], owner="m", timeout_ms=TIMEOUT_MS)
    try:
        return await engine.status()
    finally:
        await engine.close()


async def read_weight(url: str) -> Result[Any, Any]:
    """Read weights of an expert."""
    async with open_session() as session:
        source = HttpWeightSource(
            address=url, session=lambda: session, timeout_ms=TIMEOUT_MS
        )
        return await source.read("key", 0, 1_000)


async def ask_as_operator(url: str) -> Result[Any, Any]:
    """Read an answer of the operators' interface."""
    client = OperatorClient(address=url, timeout_s=TIMEOUT_MS / 1_000)
    return await asyncio.to_thread(client.get, "/state", dict)


async def read_rank_report(url: str) -> Result[Any, Any]:
    """Read the report of a rank."""
    client = RankClient(read_timeout_ms=TIMEOUT_MS)
    async with _started(HttpTransport(address=url, parameters=PARAMETERS)) as transport:
        return await client.read_report(transport)


async def order_rank(url: str) -> Result[Any, Any]:
    """Read the answer to an order to a rank."""
    client = RankClient(order_timeout_ms=TIMEOUT_MS)
    async with _started(HttpTransport(address=url, parameters=PARAMETERS)) as transport:
        result = await client.send_order(transport, "i-0", RANK_ORDER)
    is_answered = result in (OrderResult.BEGUN, OrderResult.IN_EFFECT)
    return Success(result) if is_answered else Failure(result)


async def call_plain_service(url: str) -> Result[Any, Any]:
    """Read the answer to a call to a plain service."""
    return await _open(PlainEngine(address=url, parameters=PARAMETERS))


async def call_engine(url: str) -> Result[Any, Any]:
    """Read the answer to a call to a model engine."""
    return await _open(OpenAiEngine(address=url, parameters=PARAMETERS))


async def probe_plain_service(url: str) -> Result[Any, Any]:
    """Read the answer to a probe of a plain service."""
    async with _started(PlainEngine(address=url, parameters=PARAMETERS)) as engine:
        return await engine.probe()


async def order_engine(url: str) -> Result[Any, Any]:
    """Read the answer to a fenced order to a model engine."""
    async with _started(OpenAiEngine(address=url, parameters=PARAMETERS)) as engine:
        return await engine.order(ORDER)


async def _open(engine: PlainEngine | OpenAiEngine) -> Result[Any, Any]:
    async with _started(engine):
        opened = await engine.open(CALL)
        if isinstance(opened, Success):
            await opened.unwrap().close()
        return opened


@contextlib.asynccontextmanager
async def _started(part: Started) -> AsyncIterator[Started]:
    """Start a part, and stop it at the end."""
    await part.start()
    try:
        yield part
    finally:
        await part.stop()


# Readers of a whole answer, and those that read its head alone or pass it on as well.
BODY_READERS = [make_side_call, ask_store, ask_rank, read_weight, ask_as_operator]
READERS = [
    *BODY_READERS,
    read_rank_report,
    order_rank,
    call_plain_service,
    call_engine,
    probe_plain_service,
    order_engine,
]
