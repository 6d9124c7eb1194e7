"""Stand-in of the platform: table service, object store, instances, weight store."""

import itertools
import random as random_module
from typing import Annotated

import typer
from aiohttp import web

from carobroute.platform import _wire
from carobroute.standins._command import MAX_BODY_BYTES, serve, stand_ins
from carobroute.standins._faults import FaultControl, json_response
from carobroute.standins._state import InstanceListState, TableState
from carobroute.utils import Clock

OVERLOAD_MS = 2_000.0
DEFAULT_WEIGHT_BYTES = 1 << 20
TOKEN_MEMORY = 200_000


class Pace:
    """Passes a bounded number of units a second, in the order of arrival.

    Parameters
    ----------
    clock : Clock
        Source of time.
    per_s : float
        Units a second; 0 for no bound.
    """

    def __init__(self, *, clock: Clock, per_s: float):
        self._clock = clock
        self._per_s = per_s
        self._free_ms = 0.0

    async def take(self, units: float = 1.0, *, most_ms: float = float("inf")) -> bool:
        """Wait for `units`; return False at once if it would take above `most_ms`."""
        if not self._per_s:
            return True
        now_ms = self._clock.now_ms()
        start_ms = max(now_ms, self._free_ms)
        if start_ms - now_ms > most_ms:
            return False
        self._free_ms = start_ms + 1_000 * units / self._per_s
        await self._clock.sleep_ms(self._free_ms - now_ms)
        return True


class PlatformStandIn:
    """One process that answers for all the platform's services.

    Parameters
    ----------
    clock : Clock
        Source of time.
    seed : int
        Seed of the faults.
    list_lag_ms, lease_ms : float
        Lag of the instance list, and time after which an entry expires.
    write_rate, read_rate : float
        Table writes and reads a second; 0 for no bound.
    weight_rate : float
        Bytes a second that the weight store sends; 0 for no bound.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        seed: int = 1,
        list_lag_ms: float = 1_000.0,
        lease_ms: float = 10_000.0,
        write_rate: float = 0.0,
        read_rate: float = 0.0,
        weight_rate: float = 0.0,
    ):
        self.faults = FaultControl(random=random_module.Random(seed))
        self.tables = TableState(token_memory=TOKEN_MEMORY)
        self.instances = InstanceListState(
            clock=clock, lag_ms=list_lag_ms, lease_ms=lease_ms, removal_ms=list_lag_ms
        )
        self.objects: dict[str, bytes] = {}
        self.weights_sent: dict[str, int] = {}
        self.counts = {"reads": 0, "writes": 0, "list_reads": 0}
        self._writes = Pace(clock=clock, per_s=write_rate)
        self._reads = Pace(clock=clock, per_s=read_rate)
        self._weights = Pace(clock=clock, per_s=weight_rate)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        self.faults.install(application)
        application.add_routes(
            [
                web.post("/table/read", self._read),
                web.post("/table/scan", self._scan),
                web.post("/table/transact", self._transact),
                web.put("/objects/{key}", self._put_object),
                web.get("/objects/{key}", self._get_object),
                web.delete("/objects/{key}", self._delete_object),
                web.get("/instances", self._list),
                web.put("/instances/{incarnation}", self._announce),
                web.delete("/instances/{incarnation}", self._withdraw),
                web.get("/weights/{hash}", self._weight),
                web.get("/_record/writes", self._record_writes),
                web.get("/_record/counts", self._record_counts),
            ]
        )
        return application

    async def _read(self, request: web.Request) -> web.Response:
        query = _wire.read_query_decoder.decode(await request.read())
        self.counts["reads"] += 1
        await self._reads.take()
        return _packed(self.tables.read(query.table, query.key))

    async def _scan(self, request: web.Request) -> web.Response:
        query = _wire.scan_query_decoder.decode(await request.read())
        self.counts["reads"] += 1
        await self._reads.take()
        rows = self.tables.scan(query.table, query.prefix, query.after, query.limit)
        return _packed(rows)

    async def _transact(self, request: web.Request) -> web.Response:
        transaction = _wire.transaction_decoder.decode(await request.read())
        self.counts["writes"] += 1
        if not await self._writes.take(most_ms=OVERLOAD_MS):
            raise web.HTTPTooManyRequests(text="too many writes")
        return _packed(self.tables.transact(transaction))

    async def _put_object(self, request: web.Request) -> web.Response:
        self.objects[request.match_info["key"]] = await request.read()
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        data = self.objects.get(request.match_info["key"])
        if data is None:
            raise web.HTTPNotFound
        return web.Response(body=data)

    async def _delete_object(self, request: web.Request) -> web.Response:
        self.objects.pop(request.match_info["key"], None)
        return web.Response()

    async def _list(self, request: web.Request) -> web.Response:
        self.counts["list_reads"] += 1
        return _packed(self.instances.listed())

    async def _announce(self, request: web.Request) -> web.Response:
        self.instances.announce(_wire.instance_decoder.decode(await request.read()))
        return web.Response()

    async def _withdraw(self, request: web.Request) -> web.Response:
        self.instances.withdraw(request.match_info["incarnation"])
        return web.Response()

    async def _weight(self, request: web.Request) -> web.StreamResponse:
        """Send `length` bytes from `offset`; their content follows from the hash."""
        weight = request.match_info["hash"]
        offset, length = _weight_range(request)
        response = web.StreamResponse(headers={"Content-Length": str(length)})
        await response.prepare(request)
        step = 1 << 16
        for start in range(offset, offset + length, step):
            size = min(step, offset + length - start)
            await self._weights.take(size)
            await response.write(weight_bytes(weight, start, size))
            self.weights_sent[weight] = self.weights_sent.get(weight, 0) + size
        return response

    async def _record_writes(self, request: web.Request) -> web.Response:
        return json_response(list(self.tables.record))

    async def _record_counts(self, request: web.Request) -> web.Response:
        counts = {**self.counts, "weights_sent": self.weights_sent}
        return json_response(counts)


def weight_bytes(weight: str, offset: int, length: int) -> bytes:
    """Return `length` bytes at `offset` of the object called `weight`."""
    unit = weight.encode() or b"\0"
    first = offset % len(unit)
    repeated = itertools.islice(itertools.cycle(unit), first, first + length)
    return bytes(repeated)


def _weight_range(request: web.Request) -> tuple[int, int]:
    """Return offset and length, from the query or from a Range header."""
    header = request.http_range
    if header.start is not None:
        stop = header.stop if header.stop is not None else DEFAULT_WEIGHT_BYTES
        return header.start, max(0, stop - header.start)
    offset = int(request.query.get("offset", 0))
    return offset, int(request.query.get("length", DEFAULT_WEIGHT_BYTES))


def _packed(value: object) -> web.Response:
    return web.Response(body=_wire.encode(value), content_type=_wire.CONTENT_TYPE)


@stand_ins.register("platform")
def platform_command(
    port: Annotated[int, typer.Option(help="0 takes a free port.")] = 0,
    seed: Annotated[int, typer.Option(help="Seed of the faults.")] = 1,
    list_lag_ms: Annotated[float, typer.Option(help="Lag of the list.")] = 1_000.0,
    lease_ms: Annotated[float, typer.Option(help="Life of an entry.")] = 10_000.0,
    write_rate: Annotated[float, typer.Option(help="Table writes a second.")] = 0.0,
    read_rate: Annotated[float, typer.Option(help="Table reads a second.")] = 0.0,
    weight_rate: Annotated[float, typer.Option(help="Weight bytes a second.")] = 0.0,
) -> None:
    """Run the table service, object store, instance list and weight store."""
    stand_in = PlatformStandIn(
        clock=Clock(),
        seed=seed,
        list_lag_ms=list_lag_ms,
        lease_ms=lease_ms,
        write_rate=write_rate,
        read_rate=read_rate,
        weight_rate=weight_rate,
    )
    serve(stand_in.application(), port=port)
