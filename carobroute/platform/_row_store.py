"""Client of the platform's store: rows in tables, and objects."""

from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform._http_channel import ChannelAnswer, HttpChannel

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGET_TABLE = "servers"

CALL_TIMEOUT_MS = 1_000.0
# Beyond the time that a watch asks the store to wait.
WATCH_SLACK_MS = 500.0
PAGE_ROWS = 500

# Bounds that the platform publishes for its store.
MAX_TRANSACTION_ENTRIES = 100
MAX_NAME_BYTES = 200

OK_STATUS = 200
MALFORMED_STATUS = 400
UNAUTHENTICATED_STATUS = 401
FORBIDDEN_STATUS = 403
NOT_FOUND_STATUS = 404
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


class WriteAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a transaction.

    Parameters
    ----------
    committed : bool
        Whether all conditions held, and everything was written.
    version : int
        Version that the rows written have now, if it committed.
    store_ms : float
        The store's own steady clock, in milliseconds.
    rows : list of StoredRow
        If it did not commit: the rows of the conditions as they stand. A row that
        does not exist has version 0 or is missing.
    """

    committed: bool
    version: int = 0
    store_ms: float = 0.0
    rows: list[StoredRow] = []


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


class RowTransaction(msgspec.Struct, frozen=True):
    """Conditions, and what is written and removed together if they hold."""

    conditions: list[RowCondition] = msgspec.field(default=[], name="expect")
    writes: list[RowWrite] = msgspec.field(default=[], name="puts")
    removals: list[RowAddress] = msgspec.field(default=[], name="remove")


class PartsAnswer(msgspec.Struct, frozen=True):
    """Names of a table's partitions."""

    parts: list[str] = []
    has_more: bool = msgspec.field(default=False, name="hasMore")


class ObjectNames(msgspec.Struct, frozen=True):
    """Names of objects, in order."""

    names: list[str] = []
    has_more: bool = msgspec.field(default=False, name="hasMore")


_rows_decoder = msgspec.json.Decoder(RowsAnswer)
_parts_decoder = msgspec.json.Decoder(PartsAnswer)
_names_decoder = msgspec.json.Decoder(ObjectNames)


class RowStore:
    """Rows in tables, and objects, kept by the platform.

    Every call is sent once; whoever calls decides whether and when to call again.

    Parameters
    ----------
    base_url : str
        Address of the store, as `http://host:port`.
    timeout_ms : float, default=1000.0
        Longest time for one call, in milliseconds; watches wait longer.
    token : str, default=""
        Bearer token sent with each call; empty for none.
    """

    __slots__ = ("_channel", "_timeout_ms")

    def __init__(
        self,
        *,
        base_url: str,
        timeout_ms: float = CALL_TIMEOUT_MS,
        token: str = "",
    ):
        self._timeout_ms = timeout_ms
        self._channel = HttpChannel(base_url=base_url, token=token)

    async def read(
        self,
        table: str,
        *,
        part: str = "",
        first: str = "",
        end: str = "",
        limit: int = PAGE_ROWS,
    ) -> Result[RowsAnswer, Fault]:
        """Return the first page of rows of one moment, in key order.

        Parameters
        ----------
        table, part : str
            Where the rows are.
        first, end : str, default=""
            Lowest key, and the key before which to stop; empty for no bound.
        limit : int, default=500
            Rows returned at most.
        """
        query = {"table": table, "part": part, "limit": str(min(limit, PAGE_ROWS))}
        query.update({"from": first} if first else {})
        query.update({"to": end} if end else {})
        return await self._rows("/api/rows-get", query, self._timeout_ms)

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

    async def partitions(
        self, table: str, *, after: str = ""
    ) -> Result[PartsAnswer, Fault]:
        """Return the first partitions of a table that follow `after`."""
        query = {"table": table, **({"after": after} if after else {})}
        path = f"/api/rows-parts?{urlencode(query)}"
        answered = await self._call("GET", path)
        return answered.bind(lambda answer: _decode(answer, _parts_decoder))

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
        limit_ms: float = 0.0,
    ) -> Result[WriteAnswer, Fault]:
        """Write and remove rows if all conditions hold.

        Parameters
        ----------
        conditions, writes, removals : list
            What to require, to write and to remove; all in one partition.
        limit_ms : float, default=0.0
            Shortens the timeout of this call; 0 leaves it as it is.

        Returns
        -------
        answer : Result
            A `STORE_UNAVAILABLE` fault leaves open whether it was, or will be, done.
        """
        body = msgspec.json.encode(RowTransaction(conditions, writes, removals))
        limit_ms = min(limit_ms or self._timeout_ms, self._timeout_ms)
        answered = await self._call("POST", "/api/rows-tx", body, limit_ms)
        return answered.bind(_decode_written)

    async def put_object(
        self, name: str, data: bytes, *, replace: bool = True
    ) -> Result[bool, Fault]:
        """Store an object; return False if there is one that must not be replaced."""
        headers = {} if replace else {"If-None-Match": "*"}
        answered = await self._call(
            "PUT", f"/api/blob-put/{quote(name, safe='')}", data, headers=headers
        )
        if isinstance(answered, Failure):
            return answered
        answer = answered.unwrap()
        if answer.status == CONFLICT_STATUS:
            return Success(False)
        return _judge(answer).map(lambda _: True)

    async def get_object(self, name: str) -> Result[bytes | None, Fault]:
        """Return an object, or None if it does not exist."""
        answered = await self._call("GET", f"/api/blob-get/{quote(name, safe='')}")
        if isinstance(answered, Failure):
            return answered
        answer = answered.unwrap()
        if answer.status == NOT_FOUND_STATUS:
            return Success(None)
        return _judge(answer).map(lambda data: data)

    async def drop_object(self, name: str) -> Result[None, Fault]:
        """Remove an object if it exists."""
        answered = await self._call("DELETE", f"/api/blob-drop/{quote(name, safe='')}")
        if isinstance(answered, Failure):
            return answered
        if answered.unwrap().status == NOT_FOUND_STATUS:
            return Success(None)
        return _judge(answered.unwrap()).map(lambda _: None)

    async def list_objects(
        self, prefix: str, *, after: str = ""
    ) -> Result[ObjectNames, Fault]:
        """Return the first names of objects with a prefix that follow `after`."""
        # The wire's name says path; it is a prefix of the object's name.
        query = {"pathPrefix": prefix, **({"after": after} if after else {})}
        answered = await self._call("GET", f"/api/blob-list?{urlencode(query)}")
        return answered.bind(lambda answer: _decode(answer, _names_decoder))

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()

    async def _rows(
        self, path: str, query: dict[str, str], limit_ms: float
    ) -> Result[RowsAnswer, Fault]:
        answered = await self._call(
            "GET", f"{path}?{urlencode(query)}", limit_ms=limit_ms
        )
        return answered.bind(lambda answer: _decode(answer, _rows_decoder))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        limit_ms: float = 0.0,
        headers: dict[str, str] | None = None,
    ) -> Result[ChannelAnswer, Fault]:
        return await self._channel.exchange(
            method,
            path,
            body,
            limit_ms=limit_ms or self._timeout_ms,
            headers=headers,
        )


def _judge(answer: ChannelAnswer) -> Result[bytes, Fault]:
    """Return the body of a success, or the fault that the status stands for."""
    if answer.status == OK_STATUS:
        return Success(answer.data)
    detail = f"the store answered {answer.status}"
    if answer.status in (UNAUTHENTICATED_STATUS, FORBIDDEN_STATUS):
        return fail(ErrorKind.FORBIDDEN, detail)
    if answer.status == GONE_STATUS:
        return fail(ErrorKind.CONFLICT, detail)
    if answer.status == MALFORMED_STATUS:
        # The same call would be refused for ever.
        return fail(ErrorKind.INTERNAL, f"{detail}: {answer.data[:200]!r}")
    return fail(ErrorKind.STORE_UNAVAILABLE, detail)


def _decode(answer: ChannelAnswer, decoder: msgspec.json.Decoder) -> Result:
    judged = _judge(answer)
    if isinstance(judged, Failure):
        return judged
    try:
        return Success(decoder.decode(answer.data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return fail(ErrorKind.STORE_UNAVAILABLE, f"the store's answer: {error}")


def _decode_written(answer: ChannelAnswer) -> Result[WriteAnswer, Fault]:
    committed = answer.status != CONFLICT_STATUS
    if not committed:
        answer = ChannelAnswer(status=OK_STATUS, data=answer.data)
    decoded: Result[RowsAnswer, Fault] = _decode(answer, _rows_decoder)
    return decoded.map(
        lambda rows: WriteAnswer(
            committed=committed,
            version=rows.version,
            store_ms=rows.store_ms,
            rows=rows.rows,
        )
    )
