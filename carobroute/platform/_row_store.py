"""Client of the platform's row store."""

from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform._channel import ChannelAnswer, HttpChannel

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGET_TABLE = "servers"

CALL_TIMEOUT_MS = 1_000.0
# Beyond the time that a watch asks the store to wait.
WATCH_SLACK_MS = 500.0
PAGE_ROWS = 500

OK_STATUS = 200
GONE_STATUS = 410
CONFLICT_STATUS = 412


class StoredRow(msgspec.Struct, frozen=True):
    """One row, as of the version of the answer that held it.

    Parameters
    ----------
    table, key : str
        Address of the row.
    version : int
        Version of the store at the row's last write.
    value : bytes
        Content.
    part : str
        Partition of the table; empty for the first one.
    removed : bool
        Whether a watch reports that the row is gone.
    """

    table: str = ""
    key: str = ""
    version: int = msgspec.field(default=0, name="ver")
    # Travels as base64.
    value: bytes = b""
    part: str = ""
    removed: bool = False


class RowsAnswer(msgspec.Struct, frozen=True):
    """Rows of one moment, or the changes up to one.

    Parameters
    ----------
    version : int
        Version of the store at that moment.
    store_ms : float
        The store's own steady clock at that moment, in milliseconds.
    rows : list of StoredRow
        Rows in key order, or changes in order.
    has_more : bool
        Whether the answer was cut at its largest size.
    """

    version: int = msgspec.field(default=0, name="ver")
    store_ms: float = msgspec.field(default=0.0, name="nowMs")
    rows: list[StoredRow] = []
    has_more: bool = msgspec.field(default=False, name="hasMore")


class RowCondition(msgspec.Struct, frozen=True, kw_only=True):
    """Requires a row to have a version; 0 requires that it does not exist."""

    table: str
    key: str
    version: int = msgspec.field(default=0, name="ver")
    part: str = ""


class RowWrite(msgspec.Struct, frozen=True, kw_only=True):
    """Writes a row."""

    table: str
    key: str
    value: bytes
    part: str = ""


class RowAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Names a row to remove."""

    table: str
    key: str
    part: str = ""


class _WireTransaction(msgspec.Struct):
    expect: list[RowCondition]
    puts: list[RowWrite]
    remove: list[RowAddress]


_rows_decoder = msgspec.json.Decoder(RowsAnswer)


class RowStore:
    """Rows in tables, kept by the platform.

    Every call is sent once; whoever calls decides whether and when to call again.

    Parameters
    ----------
    address : str
        `host:port` of the store.
    """

    __slots__ = ("_channel",)

    def __init__(self, *, address: str):
        self._channel = HttpChannel(
            base_url=f"http://{address}",
            timeout_ms=float("inf"),
            content_type="application/json",
        )

    async def read(
        self, table: str, *, part: str = "", first: str = "", end: str = ""
    ) -> Result[RowsAnswer, Fault]:
        """Return the first page of rows of one moment, in key order.

        Parameters
        ----------
        table, part : str
            Where the rows are.
        first, end : str, default=""
            Lowest key, and the key before which to stop; empty for no bound.
        """
        query = {"table": table, "part": part, "limit": str(PAGE_ROWS)}
        query.update({"from": first} if first else {})
        query.update({"to": end} if end else {})
        return await self._rows("/api/rows-get", query, CALL_TIMEOUT_MS)

    async def read_all(
        self, table: str, *, part: str = ""
    ) -> Result[RowsAnswer, Fault]:
        """Return all rows of a table's partition, page by page.

        Beyond one page the rows are of several moments, and the answer carries the
        version and the time of the first.
        """
        answered = await self.read(table, part=part)
        if isinstance(answered, Failure):
            return answered
        answer = answered.unwrap()
        rows, more = list(answer.rows), answer.has_more
        while more and rows:
            answered = await self.read(table, part=part, first=rows[-1].key + "\0")
            if isinstance(answered, Failure):
                return answered
            rows += answered.unwrap().rows
            more = answered.unwrap().has_more and bool(answered.unwrap().rows)
        return Success(msgspec.structs.replace(answer, rows=rows, has_more=False))

    async def watch(
        self, table: str, *, after: int, wait_ms: float
    ) -> Result[RowsAnswer, Fault]:
        """Return the changes after a version, waiting for the first one.

        Returns
        -------
        answer : Result
            A `CONFLICT` fault means that the store has dropped that history, so that
            the table must be read again.
        """
        query = {"table": table, "after": str(after), "waitMs": f"{wait_ms:.0f}"}
        return await self._rows("/api/rows-feed", query, wait_ms + WATCH_SLACK_MS)

    async def transact(
        self,
        *,
        conditions: list[RowCondition],
        writes: list[RowWrite],
        removals: list[RowAddress],
    ) -> Result[RowsAnswer, Fault]:
        """Write and remove rows if all conditions hold.

        Returns
        -------
        answer : Result
            A `CONFLICT` fault means that nothing was done; a `STORE_UNAVAILABLE`
            fault leaves that open.
        """
        wire = _WireTransaction(conditions, writes, removals)
        answered = await self._channel.exchange(
            "POST",
            "/api/rows-tx",
            msgspec.json.encode(wire),
            limit_ms=CALL_TIMEOUT_MS,
        )
        return answered.bind(_decode_rows)

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()

    async def _rows(
        self, path: str, query: dict[str, str], limit_ms: float
    ) -> Result[RowsAnswer, Fault]:
        path = f"{path}?{urlencode(query)}"
        answered = await self._channel.exchange("GET", path, limit_ms=limit_ms)
        return answered.bind(_decode_rows)


def _decode_rows(answer: ChannelAnswer) -> Result[RowsAnswer, Fault]:
    if answer.status in (GONE_STATUS, CONFLICT_STATUS):
        return fail(ErrorKind.CONFLICT, f"the store answered {answer.status}")
    if answer.status != OK_STATUS:
        return fail(ErrorKind.STORE_UNAVAILABLE, f"the store answered {answer.status}")
    try:
        return Success(_rows_decoder.decode(answer.data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return fail(ErrorKind.STORE_UNAVAILABLE, f"the store's answer: {error}")
