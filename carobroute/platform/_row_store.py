"""Client of the platform's store of table rows and objects."""

from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform._http_channel import ChannelAnswer, HttpChannel
from carobroute.utils import DECODING_ERRORS, Count, Number, decode_foreign

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGET_TABLE = "servers"
# Rows of the configuration's table with this prefix name data centres to empty.
_EVACUATION_PREFIX = "evacuate/"

# Era of a store that has never come back from an older copy.
FIRST_ERA = 1
CALL_TIMEOUT_MS = 1_000.0
# Added to the time that a watch asks the store to wait for a change.
WATCH_TIMEOUT_MARGIN_MS = 500.0
MAX_PAGE_ROWS = 500

# Published limits of the platform's store.
MAX_TRANSACTION_ENTRIES = 100
MAX_NAME_BYTES = 200

OK_STATUS = 200
BAD_REQUEST_STATUS = 400
UNAUTHENTICATED_STATUS = 401
FORBIDDEN_STATUS = 403
NOT_FOUND_STATUS = 404
GONE_STATUS = 410
PRECONDITION_FAILED_STATUS = 412

T = TypeVar("T")


def evacuated_data_centre(key: str) -> str | None:
    """Return the data centre whose evacuation a row of the operators asks for.

    Parameters
    ----------
    key : str
        Key of a row in the table of the configuration.

    Returns
    -------
    data_centre : str or None
        Its name; None if the row asks for no evacuation.

    Examples
    --------
    >>> evacuated_data_centre("evacuate/kig-a"), evacuated_data_centre("config")
    ('kig-a', None)
    """
    return key.removeprefix(_EVACUATION_PREFIX) if _is_evacuation(key) else None


def _is_evacuation(key: str) -> bool:
    return key.startswith(_EVACUATION_PREFIX) and key != _EVACUATION_PREFIX


class StoredRow(msgspec.Struct, frozen=True):
    """One row, as of the store's version in the answer that contains it.

    Parameters
    ----------
    table, key : str
        Table and key of the row.
    version : int
        Version of the store at the row's last write.
    value : bytes
        Content.
    part : str
        Partition of the table; empty for the first one.
    removed : bool
        Whether the row was removed, if it is a change reported by a watch.
    """

    table: str = ""
    key: str = ""
    version: Count = msgspec.field(default=0, name="ver")
    # Encoded as base64 in JSON.
    value: bytes = b""
    part: str = ""
    removed: bool = False


class RowsAnswer(msgspec.Struct, frozen=True):
    """Snapshot of rows, or the changes up to a version of the store.

    Parameters
    ----------
    version : int
        Version of the store at the snapshot, or after the last change.
    store_ms : float
        Monotonic clock of the store at that version, in milliseconds.
    rows : list of StoredRow
        Rows in key order, or changes in the order of their versions.
    has_more : bool
        Whether the answer was truncated at the page limit.
    era : int
        Era of the store, from a header; versions of different eras can't be compared.
    """

    version: Count = msgspec.field(default=0, name="ver")
    store_ms: Number = msgspec.field(default=0.0, name="nowMs")
    rows: list[StoredRow] = []
    has_more: bool = msgspec.field(default=False, name="hasMore")
    era: int = 0


class WriteAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a transaction.

    Parameters
    ----------
    committed : bool
        Whether all conditions held and all changes were made.
    version : int
        New version of the written rows, if the transaction committed.
    store_ms : float
        Monotonic clock of the store, in milliseconds.
    rows : list of StoredRow
        Current rows of the conditions, if the transaction did not commit. A row that
        does not exist has version 0 or is missing.
    era : int
        Era of the store; versions of different eras can't be compared.
    """

    committed: bool
    version: int = 0
    store_ms: float = 0.0
    rows: list[StoredRow] = []
    era: int = 0


class RowCondition(msgspec.Struct, frozen=True, kw_only=True):
    """Required version of a row; 0 requires that the row does not exist."""

    table: str
    key: str
    version: int = msgspec.field(default=0, name="ver")
    part: str = ""


class RowWrite(msgspec.Struct, frozen=True, kw_only=True):
    """New value of a row."""

    table: str
    key: str
    value: bytes
    part: str = ""


class RowAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Address of a row to remove."""

    table: str
    key: str
    part: str = ""


class RowTransaction(msgspec.Struct, frozen=True):
    """Conditions, and the writes and removals that are made atomically if they hold."""

    conditions: list[RowCondition] = msgspec.field(default=[], name="expect")
    writes: list[RowWrite] = msgspec.field(default=[], name="puts")
    removals: list[RowAddress] = msgspec.field(default=[], name="remove")


class PartitionNames(msgspec.Struct, frozen=True):
    """One page of the names of a table's partitions."""

    parts: list[str] = []
    has_more: bool = msgspec.field(default=False, name="hasMore")


class ObjectNames(msgspec.Struct, frozen=True):
    """One page of object names, in order."""

    names: list[str] = []
    has_more: bool = msgspec.field(default=False, name="hasMore")


class _RowHead(msgspec.Struct):
    """What the store itself says of a row, without the value of its writer."""

    table: str = ""
    key: str = ""
    version: Count = msgspec.field(default=0, name="ver")
    part: str = ""
    removed: bool = False


class _RawRowsAnswer(msgspec.Struct):
    version: Count = msgspec.field(default=0, name="ver")
    store_ms: Number = msgspec.field(default=0.0, name="nowMs")
    rows: list[msgspec.Raw] = []
    has_more: bool = msgspec.field(default=False, name="hasMore")


_rows_decoder = msgspec.json.Decoder(RowsAnswer)
_raw_rows_decoder = msgspec.json.Decoder(_RawRowsAnswer)
_row_decoder = msgspec.json.Decoder(StoredRow)
_head_decoder = msgspec.json.Decoder(_RowHead)
_parts_decoder = msgspec.json.Decoder(PartitionNames)
_names_decoder = msgspec.json.Decoder(ObjectNames)


class RowStore:
    """Client of the platform's store of table rows and objects.

    Every call is sent once; retries are up to the caller.

    Parameters
    ----------
    base_url : str
        Address of the store, as `http://host:port`.
    timeout_ms : float, default=1000.0
        Timeout of a call, in milliseconds; a watch adds a margin to its `wait_ms`.
    token : str, default=""
        Bearer token that each call carries; empty for none.
    on_restored : callable, default=None
        Called with the era before and the new one when an answer shows that the store
        has come back from an older copy.
    """

    __slots__ = ("_channel", "_era", "_on_restored", "_timeout_ms")

    def __init__(
        self,
        *,
        base_url: str,
        timeout_ms: float = CALL_TIMEOUT_MS,
        token: str = "",
        on_restored: Callable[[int, int], None] | None = None,
    ):
        self._timeout_ms = timeout_ms
        self._era = 0
        self._on_restored = on_restored or (lambda before, era: None)
        self._channel = HttpChannel(base_url=base_url, token=token)

    @property
    def era(self) -> int:
        """Newest era of the store that an answer has named; 0 before the first one."""
        return self._era

    async def read(
        self,
        table: str,
        *,
        part: str = "",
        first: str = "",
        end: str = "",
        limit: int = MAX_PAGE_ROWS,
    ) -> Result[RowsAnswer, Fault]:
        """Return the first page of rows in a key range, as a snapshot in key order.

        Parameters
        ----------
        table, part : str
            Table, and partition of it.
        first, end : str, default=""
            Lowest key, and exclusive upper bound of the keys; empty for no bound.
        limit : int, default=500
            Largest number of rows to return, at most `MAX_PAGE_ROWS`.
        """
        query = {"table": table, "part": part, "limit": str(min(limit, MAX_PAGE_ROWS))}
        query.update({"from": first} if first else {})
        query.update({"to": end} if end else {})
        return await self._read_rows("/api/rows-get", query, self._timeout_ms)

    async def read_all(
        self, table: str, *, part: str = ""
    ) -> Result[RowsAnswer, Fault]:
        """Read all rows of a table's partition, page by page.

        Each page is a snapshot of its own. The answer carries the version and the
        store's clock of the first page.
        """
        answered = await self.read(table, part=part)
        if isinstance(answered, Failure):
            return answered
        answer = answered.unwrap()
        rows, has_more = list(answer.rows), answer.has_more
        while has_more and rows:
            answered = await self.read(table, part=part, first=rows[-1].key + "\0")
            if isinstance(answered, Failure):
                return answered
            rows += answered.unwrap().rows
            has_more = answered.unwrap().has_more and bool(answered.unwrap().rows)
        return Success(msgspec.structs.replace(answer, rows=rows, has_more=False))

    async def partitions(
        self, table: str, *, after: str = ""
    ) -> Result[PartitionNames, Fault]:
        """Return the first page of a table's partitions with names above `after`."""
        query = {"table": table, **({"after": after} if after else {})}
        path = f"/api/rows-parts?{urlencode(query)}"
        answered = await self._call("GET", path)
        return answered.bind(lambda answer: _decode_answer(answer, _parts_decoder))

    async def watch(
        self, table: str, *, after: int, wait_ms: float
    ) -> Result[RowsAnswer, Fault]:
        """Return the changes of a table after a version, waiting for the first one.

        Parameters
        ----------
        table : str
            Table to watch, with all its partitions.
        after : int
            Version of the store after which changes are returned.
        wait_ms : float
            Longest time that the store waits for a change, in milliseconds.

        Returns
        -------
        answer : Result
            A `CONFLICT` fault means that the store no longer has the changes since
            `after`, so the table must be read again.
        """
        query = {"table": table, "after": str(after), "waitMs": f"{wait_ms:.0f}"}
        return await self._read_rows(
            "/api/rows-feed", query, wait_ms + WATCH_TIMEOUT_MARGIN_MS
        )

    async def transact(
        self,
        *,
        conditions: list[RowCondition],
        writes: list[RowWrite],
        removals: list[RowAddress],
        timeout_ms: float = 0.0,
    ) -> Result[WriteAnswer, Fault]:
        """Write and remove rows atomically if all conditions hold.

        Parameters
        ----------
        conditions : list of RowCondition
            Required versions of rows.
        writes : list of RowWrite
            Rows to write, in the same partition as the conditions.
        removals : list of RowAddress
            Rows to remove, in that partition too.
        timeout_ms : float, default=0.0
            Timeout of this call, in milliseconds; the client's applies if it is
            shorter, or if this is 0.

        Returns
        -------
        answer : Result
            After a `STORE_UNAVAILABLE` fault the transaction may have committed, or
            may commit later.
        """
        body = msgspec.json.encode(RowTransaction(conditions, writes, removals))
        timeout_ms = min(timeout_ms or self._timeout_ms, self._timeout_ms)
        answered = await self._call("POST", "/api/rows-tx", body, timeout_ms)
        return answered.bind(_decode_write_answer)

    async def put_object(
        self, name: str, data: bytes, *, replace: bool = True
    ) -> Result[bool, Fault]:
        """Store an object; return False if it exists and `replace` is false."""
        headers = {} if replace else {"If-None-Match": "*"}
        answered = await self._call(
            "PUT", f"/api/blob-put/{quote(name, safe='')}", data, headers=headers
        )
        if isinstance(answered, Failure):
            return answered
        answer = answered.unwrap()
        if answer.status == PRECONDITION_FAILED_STATUS:
            return Success(False)
        return _check_status(answer).map(lambda _: True)

    async def get_object(self, name: str) -> Result[bytes | None, Fault]:
        """Return an object, or None if it does not exist."""
        answered = await self._call("GET", f"/api/blob-get/{quote(name, safe='')}")
        if isinstance(answered, Failure):
            return answered
        answer = answered.unwrap()
        if answer.status == NOT_FOUND_STATUS:
            return Success(None)
        return _check_status(answer).map(lambda data: data)

    async def delete_object(self, name: str) -> Result[None, Fault]:
        """Delete an object if it exists."""
        answered = await self._call("DELETE", f"/api/blob-drop/{quote(name, safe='')}")
        if isinstance(answered, Failure):
            return answered
        if answered.unwrap().status == NOT_FOUND_STATUS:
            return Success(None)
        return _check_status(answered.unwrap()).map(lambda _: None)

    async def list_objects(
        self, prefix: str, *, after: str = ""
    ) -> Result[ObjectNames, Fault]:
        """Return the first page of object names with a prefix and above `after`."""
        # `pathPrefix` is a prefix of the object's name, not of a path.
        query = {"pathPrefix": prefix, **({"after": after} if after else {})}
        answered = await self._call("GET", f"/api/blob-list?{urlencode(query)}")
        return answered.bind(lambda answer: _decode_answer(answer, _names_decoder))

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()

    async def _read_rows(
        self, path: str, query: dict[str, str], timeout_ms: float
    ) -> Result[RowsAnswer, Fault]:
        answered = await self._call(
            "GET", f"{path}?{urlencode(query)}", timeout_ms=timeout_ms
        )
        return answered.bind(_decode_rows_answer)

    def _note_era(self, era: int) -> None:
        if era <= self._era:
            return
        before, self._era = self._era, era
        if before:
            self._on_restored(before, era)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_ms: float = 0.0,
        headers: dict[str, str] | None = None,
    ) -> Result[ChannelAnswer, Fault]:
        answered = await self._channel.exchange(
            method,
            path,
            body,
            timeout_ms=timeout_ms or self._timeout_ms,
            headers=headers,
        )
        if isinstance(answered, Success):
            self._note_era(answered.unwrap().era)
        return answered


def _check_status(answer: ChannelAnswer) -> Result[bytes, Fault]:
    """Return the body of a successful answer, or the fault for its status."""
    if answer.status == OK_STATUS:
        return Success(answer.data)
    detail = f"the store answered with status {answer.status}"
    if answer.status in (UNAUTHENTICATED_STATUS, FORBIDDEN_STATUS):
        return fail(ErrorKind.FORBIDDEN, detail)
    if answer.status == GONE_STATUS:
        return fail(ErrorKind.CONFLICT, detail)
    if answer.status == BAD_REQUEST_STATUS:
        # The store rejected the request as malformed; a retry would fail as well.
        return fail(ErrorKind.INTERNAL, f"{detail}: {answer.data[:200]!r}")
    return fail(ErrorKind.STORE_UNAVAILABLE, detail)


def _decode_answer(answer: ChannelAnswer, decoder: msgspec.json.Decoder) -> Result:
    return _check_status(answer).bind(lambda data: _decode(decoder.decode, data))


def _decode(decode: Callable[[bytes], T], data: bytes) -> Result[T, Fault]:
    return decode_foreign(
        decode, data, kind=ErrorKind.STORE_UNAVAILABLE, what="the store's answer"
    )


def _decode_rows_answer(answer: ChannelAnswer) -> Result[RowsAnswer, Fault]:
    checked = _check_status(answer)
    return checked.bind(lambda data: _decode(_decode_rows, data)).map(
        lambda rows: msgspec.structs.replace(rows, era=answer.era)
    )


def _decode_rows(data: bytes) -> RowsAnswer:
    """Decode rows; one with an unreadable value is empty and hides no others."""
    try:
        return _rows_decoder.decode(data)
    except DECODING_ERRORS:
        raw = _raw_rows_decoder.decode(data)
    return RowsAnswer(
        version=raw.version,
        store_ms=raw.store_ms,
        rows=[_decode_row(row) for row in raw.rows],
        has_more=raw.has_more,
    )


def _decode_row(data: msgspec.Raw) -> StoredRow:
    try:
        return _row_decoder.decode(data)
    except DECODING_ERRORS:
        head = _head_decoder.decode(data)
    # The reader of the table reports that there is nothing that it can read.
    return StoredRow(
        table=head.table,
        key=head.key,
        version=head.version,
        part=head.part,
        removed=head.removed,
    )


def _decode_write_answer(answer: ChannelAnswer) -> Result[WriteAnswer, Fault]:
    committed, era = answer.status != PRECONDITION_FAILED_STATUS, answer.era
    if not committed:
        # The answer has the current rows of the conditions, in the usual format.
        answer = ChannelAnswer(status=OK_STATUS, data=answer.data)
    return _decode_rows_answer(answer).map(
        lambda rows: WriteAnswer(
            committed=committed,
            version=rows.version,
            store_ms=rows.store_ms,
            rows=rows.rows,
            era=era,
        )
    )
