"""Stand-in of the platform's store, and of the store of weights."""

import asyncio
import itertools
import random as random_module
from typing import Annotated

import msgspec
import typer
from aiohttp import web

from carobroute.platform import (
    ERA_HEADER,
    MAX_NAME_BYTES,
    MAX_TRANSACTION_ENTRIES,
    ObjectNames,
    PartitionNames,
    RowAddress,
    RowCondition,
    RowsAnswer,
    RowTransaction,
    RowWrite,
)
from carobroute.standins._command import MAX_BODY_BYTES, serve, stand_ins
from carobroute.standins._faults import FaultControl, json_response
from carobroute.standins._state import ObjectsState, RowsCopy, RowsState
from carobroute.tables import INSTANCE_TABLE
from carobroute.utils import Clock

OVERLOAD_MS = 2_000.0
DEFAULT_WEIGHT_BYTES = 1 << 20
# Bounds of the platform's store, from its pages.
MAX_TRANSACTION_BYTES = 1 << 20
MAX_ROW_BYTES = 65_536
MAX_OBJECT_BYTES = 8 << 20
MAX_OBJECTS_BYTES = 400 << 20
MAX_PAGE_ROWS = 500
MAX_PAGE_NAMES = 1_000
MAX_WAIT_MS = 30_000.0
# Tables that only the platform itself writes.
RESERVED_TABLES = frozenset({"op", "servers"})

_transaction_decoder = msgspec.json.Decoder(RowTransaction)


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
    """One process that answers for the platform's store.

    Parameters
    ----------
    clock : Clock
        Source of time.
    seed : int
        Seed of the faults.
    list_lag_ms : float
        Age of what is answered for the table of instances.
    write_rate, read_rate : float
        Calls that write and read rows, a second; 0 for no bound.
    weight_rate : float
        Bytes a second that the weight store sends; 0 for no bound.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        seed: int = 1,
        list_lag_ms: float = 1_000.0,
        write_rate: float = 0.0,
        read_rate: float = 0.0,
        weight_rate: float = 0.0,
    ):
        self.faults = FaultControl(random=random_module.Random(seed))
        self.rows = RowsState(clock=clock, lag_ms={INSTANCE_TABLE: list_lag_ms})
        self.objects = ObjectsState(most_bytes=MAX_OBJECTS_BYTES)
        self.weights_sent: dict[str, int] = {}
        self.counts = {"reads": 0, "writes": 0, "list_reads": 0}
        self._clock = clock
        self._changed = asyncio.Event()
        self._writes = Pace(clock=clock, per_s=write_rate)
        self._reads = Pace(clock=clock, per_s=read_rate)
        self._weights = Pace(clock=clock, per_s=weight_rate)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        self.faults.install(application)
        application.on_response_prepare.append(self._name_era)
        application.add_routes(
            [
                web.post("/api/rows-tx", self._transact),
                web.get("/api/rows-get", self._read),
                web.get("/api/rows-parts", self._partitions),
                web.get("/api/rows-feed", self._watch),
                web.put("/api/blob-put/{name}", self._put_object),
                web.get("/api/blob-get/{name}", self._get_object),
                web.delete("/api/blob-drop/{name}", self._drop_object),
                web.get("/api/blob-list", self._list_objects),
                web.get("/weights/{hash}", self._weight),
                web.get("/_record/writes", self._record_writes),
                web.get("/_record/counts", self._record_counts),
            ]
        )
        return application

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row as the platform itself does; None removes it."""
        self.rows.write(table, key, value)
        self._wake_watches()

    def restore(self, copy: RowsCopy) -> None:
        """Come back from an older copy of the rows."""
        self.rows.restore(copy)
        self._wake_watches()

    async def _name_era(self, request: web.Request, response) -> None:
        response.headers[ERA_HEADER] = str(self.rows.era)

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # Rows.

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            transaction = _transaction_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        _check_transaction(transaction, len(body))
        self.counts["writes"] += 1
        if not await self._writes.take(most_ms=OVERLOAD_MS):
            raise web.HTTPTooManyRequests(text="too many writes")
        answer = self.rows.transact(transaction)
        if answer.committed:
            self._wake_watches()
        rows = RowsAnswer(answer.version, answer.store_ms, answer.rows)
        return json_response(rows, status=200 if answer.committed else 412)

    async def _read(self, request: web.Request) -> web.Response:
        table = _query(request, "table")
        self.counts["list_reads" if table == INSTANCE_TABLE else "reads"] += 1
        await self._reads.take()
        page = self.rows.read(
            table,
            _query(request, "part"),
            _query(request, "from"),
            _query(request, "to"),
            min(MAX_PAGE_ROWS, _number(request, "limit", MAX_PAGE_ROWS)),
        )
        return json_response(page)

    async def _partitions(self, request: web.Request) -> web.Response:
        after = _query(request, "after")
        parts = self.rows.partitions(_query(request, "table"))
        parts = [part for part in parts if not after or part > after]
        page = parts[:MAX_PAGE_NAMES]
        return json_response(PartitionNames(page, len(page) < len(parts)))

    async def _watch(self, request: web.Request) -> web.Response:
        table, after = _query(request, "table"), _number(request, "after", 0)
        wait_ms = min(MAX_WAIT_MS, _number(request, "waitMs", 0))
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            changed = self._changed
            found = self.rows.changes(table, after)
            if found is None:
                raise web.HTTPGone
            left_ms = until_ms - self._clock.now_ms()
            if found.rows or left_ms <= 0:
                return json_response(found)
            try:
                async with asyncio.timeout(left_ms / 1_000):
                    await changed.wait()
            except TimeoutError:
                continue

    # Objects.

    async def _put_object(self, request: web.Request) -> web.Response:
        name, data = request.match_info["name"], await request.read()
        if len(data) > MAX_OBJECT_BYTES or len(name.encode()) > MAX_NAME_BYTES:
            raise web.HTTPBadRequest(text="the object, or its name, is too large")
        kept = request.headers.get("If-None-Match") == "*"
        if kept and self.objects.get(name) is not None:
            raise web.HTTPPreconditionFailed
        if not self.objects.put(name, data):
            return web.Response(status=507)
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        data = self.objects.get(request.match_info["name"])
        if data is None:
            raise web.HTTPNotFound
        return web.Response(body=data)

    async def _drop_object(self, request: web.Request) -> web.Response:
        if not self.objects.drop(request.match_info["name"]):
            raise web.HTTPNotFound
        return web.Response()

    async def _list_objects(self, request: web.Request) -> web.Response:
        names = list(
            self.objects.names(_query(request, "pathPrefix"), _query(request, "after"))
        )
        page = names[:MAX_PAGE_NAMES]
        return json_response(ObjectNames(page, len(page) < len(names)))

    # Weights.

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
        return json_response(list(self.rows.record))

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


def _query(request: web.Request, name: str) -> str:
    return request.query.get(name, "")


def _number(request: web.Request, name: str, default: int) -> int:
    try:
        return int(request.query.get(name, default))
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"{name}: {error}") from error


def _check_transaction(transaction: RowTransaction, size: int) -> None:
    """Refuse what the platform's store would refuse."""
    changes: list[RowWrite | RowAddress] = [
        *transaction.writes,
        *transaction.removals,
    ]
    entries: list[RowCondition | RowWrite | RowAddress] = [
        *transaction.conditions,
        *changes,
    ]
    if len(entries) > MAX_TRANSACTION_ENTRIES or size > MAX_TRANSACTION_BYTES:
        detail = f"{len(entries)} entries, {size} bytes"
        raise web.HTTPBadRequest(text=f"the transaction is too large: {detail}")
    if len({entry.part for entry in entries}) > 1:
        raise web.HTTPBadRequest(text="the entries are in several partitions")
    names = [name for e in entries for name in (e.table, e.part, e.key)]
    if any(len(name.encode()) > MAX_NAME_BYTES for name in names):
        raise web.HTTPBadRequest(text=f"a name is over {MAX_NAME_BYTES} bytes")
    if any(len(write.value) > MAX_ROW_BYTES for write in transaction.writes):
        raise web.HTTPBadRequest(text=f"a row is over {MAX_ROW_BYTES} bytes")
    if any(entry.table in RESERVED_TABLES for entry in changes):
        raise web.HTTPForbidden(text="the table is the platform's own")


@stand_ins.register("platform")
def platform_command(
    port: Annotated[int, typer.Option(help="0 takes a free port.")] = 0,
    seed: Annotated[int, typer.Option(help="Seed of the faults.")] = 1,
    list_lag_ms: Annotated[float, typer.Option(help="Lag of the list.")] = 1_000.0,
    write_rate: Annotated[float, typer.Option(help="Transactions a second.")] = 0.0,
    read_rate: Annotated[float, typer.Option(help="Readings a second.")] = 0.0,
    weight_rate: Annotated[float, typer.Option(help="Weight bytes a second.")] = 0.0,
) -> None:
    """Run the store of rows and objects, and the weight store."""
    stand_in = PlatformStandIn(
        clock=Clock(),
        seed=seed,
        list_lag_ms=list_lag_ms,
        write_rate=write_rate,
        read_rate=read_rate,
        weight_rate=weight_rate,
    )
    serve(stand_in.application(), port=port)
