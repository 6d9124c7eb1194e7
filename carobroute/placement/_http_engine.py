"""Orders to ranks over HTTP."""

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.placement._interface import EngineStatus, RankEngine
from carobroute.placement._map import ExpertMap, MapVersion
from carobroute.placement._weights import WeightMover

CONFLICT_STATUS = 409


class HttpRankEngine(RankEngine):
    """The ranks beside one member, as their engine serves them.

    Parameters
    ----------
    address : str
        Base URL of the engine.
    ranks : sequence of int
        Ranks hosted there.
    owner : str
        Incarnation of the member that gives the orders.
    mover : WeightMover, default=None
        Fetches the weights of a map's experts before they are loaded; without it the
        engine finds them itself.
    timeout_ms, load_timeout_ms : float
        Longest wait for an order's answer, and for a load's.
    """

    def __init__(
        self,
        *,
        address: str,
        ranks: Sequence[int],
        owner: str,
        mover: WeightMover | None = None,
        timeout_ms: float = 500.0,
        load_timeout_ms: float = 60_000.0,
    ):
        self._address = address.rstrip("/")
        self._ranks = list(ranks)
        self._owner = owner
        self._mover = mover
        self._timeout_ms = timeout_ms
        self._load_timeout_ms = load_timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def status(self) -> Result[EngineStatus, Fault]:
        """Return the state of the ranks hosted here."""
        answer = await self._post("status")
        return answer.map(
            lambda value: msgspec.convert(value, EngineStatus, strict=False)
        )

    async def attach(self) -> Result[int, Fault]:
        """Make this member the owner of its ranks and return the new epoch."""
        return await self._post("attach")

    async def load(self, expert_map: ExpertMap) -> Result[None, Fault]:
        """Load the map's experts beside those in use."""
        experts = [sorted(expert_map.experts_of(rank)) for rank in self._ranks]
        if self._mover is not None:
            needed = {pair for pairs in experts for pair in pairs}
            moved = await self._mover.fetch(sorted(needed))
            if isinstance(moved, Failure):
                return moved
        return await self._post(
            "load",
            timeout_ms=self._load_timeout_ms,
            version=expert_map.version,
            experts=experts,
        )

    async def unload(self, kept: Sequence[MapVersion]) -> Result[None, Fault]:
        """Free experts that none of the maps `kept` needs."""
        return await self._post("unload", kept=list(kept))

    async def hold_before(
        self, *, epoch: int, step: int, order: int
    ) -> Result[bool, Fault]:
        """Keep the ranks from beginning `step`; False if they have begun it."""
        return await self._post("hold", epoch=epoch, step=step, order=order)

    async def set_map(
        self, version: MapVersion, *, epoch: int, step: int, order: int
    ) -> Result[None, Fault]:
        """Use the map from `step` on and release any hold."""
        return await self._post(
            "set_map", version=version, epoch=epoch, step=step, order=order
        )

    async def release_hold(self, *, epoch: int, order: int) -> Result[None, Fault]:
        """Release a hold and keep the map."""
        return await self._post("release", epoch=epoch, order=order)

    async def join(
        self, version: MapVersion, *, epoch: int, order: int
    ) -> Result[None, Fault]:
        """Take part in `epoch` with the map."""
        return await self._post("join", version=version, epoch=epoch, order=order)

    async def _post(
        self, path: str, *, timeout_ms: float = 0.0, **fields: object
    ) -> Result[Any, Fault]:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        body = msgspec.json.encode(
            {"ranks": self._ranks, "owner": self._owner, **fields}
        )
        url = f"{self._address}/ranks/{path}"
        timeout_s = (timeout_ms or self._timeout_ms) / 1_000
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.post(url, data=body) as response,
            ):
                data = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return fail(ErrorKind.TARGET_FAILED, f"{url}: {error!r}")
        if status == CONFLICT_STATUS:
            return fail(ErrorKind.STALE_FENCE, f"{url}: {data[:200]!r}")
        if status != 200:
            return fail(ErrorKind.TARGET_FAILED, f"{url}: status {status}")
        return Success(msgspec.json.decode(data))
