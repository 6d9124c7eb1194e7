"""Client of an engine's HTTP interface for rank orders."""

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from carobroute.engines import describe_error, open_session
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.placement._interface import EngineStatus, PopularityReport, RankEngine
from carobroute.placement._map import ExpertMap, MapVersion
from carobroute.placement._weights import WeightFetcher

MS_PER_S = 1_000
HTTP_CONFLICT = 409
HTTP_PARTIAL_CONTENT = 206
FIRST_BYTE_HEADERS = {"Range": "bytes=0-0"}


class HttpRankEngine(RankEngine):
    """Engine that takes rank orders over HTTP.

    Parameters
    ----------
    address : str
        Base URL of the engine.
    ranks : sequence of int
        Ranks that the engine runs.
    owner : str
        Incarnation of the member that sends the orders.
    weight_fetcher : WeightFetcher, default=None
        Fetches the weights of a map's experts before a load; if None, the engine
        fetches them itself.
    timeout_ms, load_timeout_ms : float
        Timeout of an order, and of a load.
    """

    def __init__(
        self,
        *,
        address: str,
        ranks: Sequence[int],
        owner: str,
        weight_fetcher: WeightFetcher | None = None,
        timeout_ms: float = 500.0,
        load_timeout_ms: float = 60_000.0,
    ):
        self._address = address.rstrip("/")
        self._ranks = list(ranks)
        self._owner = owner
        self._weight_fetcher = weight_fetcher
        self._timeout_ms = timeout_ms
        self._load_timeout_ms = load_timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def status(self) -> Result[EngineStatus, Fault]:
        """Return the state of the member's ranks."""
        answer = await self._post("status")
        return answer.map(
            lambda value: msgspec.convert(value, EngineStatus, strict=False)
        )

    async def popularity(self, after: int) -> Result[list[PopularityReport], Fault]:
        """Return the available reports with a sequence number above `after`."""
        answer = await self._post("popularity", step=after)
        return answer.map(lambda value: msgspec.convert(value, list[PopularityReport]))

    async def attach(self) -> Result[int, Fault]:
        """Make the member the owner of its ranks, and return the new epoch."""
        return await self._post("attach")

    async def load(self, expert_map: ExpertMap) -> Result[None, Fault]:
        """Load the map's experts in addition to those in use."""
        experts = [sorted(expert_map.experts_of(rank)) for rank in self._ranks]
        if self._weight_fetcher is not None:
            # Reserves memory first, so that no weights are fetched if it is short.
            reserved = await self._post(
                "reserve", version=expert_map.version, experts=experts
            )
            if isinstance(reserved, Failure):
                return reserved
            needed = {pair for pairs in experts for pair in pairs}
            fetched = await self._weight_fetcher.fetch(sorted(needed))
            if isinstance(fetched, Failure):
                return fetched
        return await self._post(
            "load",
            timeout_ms=self._load_timeout_ms,
            version=expert_map.version,
            experts=experts,
        )

    async def unload(self, kept: Sequence[MapVersion]) -> Result[None, Fault]:
        """Free the experts that no map in `kept` needs."""
        return await self._post("unload", kept=list(kept))

    async def hold_before(
        self, *, epoch: int, step: int, order: int
    ) -> Result[bool, Fault]:
        """Keep the ranks from beginning `step`; return False if they have begun it."""
        return await self._post("hold", epoch=epoch, step=step, order=order)

    async def set_map(
        self, version: MapVersion, *, epoch: int, step: int, order: int
    ) -> Result[None, Fault]:
        """Use the map from `step` on, and release any hold."""
        return await self._post(
            "set_map", version=version, epoch=epoch, step=step, order=order
        )

    async def release_hold(self, *, epoch: int, order: int) -> Result[None, Fault]:
        """Release any hold without a change of map."""
        return await self._post("release", epoch=epoch, order=order)

    async def join(
        self, version: MapVersion, *, epoch: int, order: int
    ) -> Result[None, Fault]:
        """Join `epoch` with the map."""
        return await self._post("join", version=version, epoch=epoch, order=order)

    async def has_weight(self, key: str) -> bool:
        """Return whether the engine holds the weight object with `key`."""
        found = await self._send("GET", f"/weights/{key}", headers=FIRST_BYTE_HEADERS)
        return isinstance(found, Success)

    async def store_weight(self, key: str, data: bytes) -> Result[None, Fault]:
        """Store in the engine a weight object whose hash has been verified."""
        stored = await self._send(
            "PUT", f"/weights/{key}", data=data, timeout_ms=self._load_timeout_ms
        )
        return stored.map(lambda _: None)

    async def _post(
        self, path: str, *, timeout_ms: float = 0.0, **fields: object
    ) -> Result[Any, Fault]:
        body = msgspec.json.encode(
            {"ranks": self._ranks, "owner": self._owner, **fields}
        )
        answer = await self._send(
            "POST", f"/ranks/{path}", data=body, timeout_ms=timeout_ms
        )
        return answer.map(msgspec.json.decode)

    async def _send(
        self,
        method: str,
        path: str,
        *,
        data: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_ms: float = 0.0,
    ) -> Result[bytes, Fault]:
        if self._session is None:
            self._session = open_session()
        url = self._address + path
        timeout_s = (timeout_ms or self._timeout_ms) / MS_PER_S
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(
                    method, url, data=data, headers=headers
                ) as response,
            ):
                answer = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return fail(ErrorKind.TARGET_FAILED, f"{url}: {describe_error(error)}")
        if status == HTTP_CONFLICT:
            return fail(ErrorKind.STALE_FENCE, f"{url}: {answer[:200]!r}")
        if status not in (200, HTTP_PARTIAL_CONTENT):
            return fail(ErrorKind.TARGET_FAILED, f"{url}: status {status}")
        return Success(answer)
