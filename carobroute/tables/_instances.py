"""The list of this project's own instances, as rows that are renewed."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform import (
    RowAddress,
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    WriteAnswer,
)
from carobroute.tables._interface import InstanceListClient
from carobroute.utils import Clock
from carobroute.world import Instance, InstanceState

INSTANCE_TABLE = "instances"
MAX_ROUNDS = 4


class ListParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Life of an entry.

    Parameters
    ----------
    lease_ms : float
        Time without a renewal after which an entry is not listed any more; instances
        renew theirs every four seconds.
    leaving_ms : float
        Time for which one that was withdrawn is still listed as leaving, so that
        everybody sees it.
    removal_leases : float
        Leases after which whoever reads the list removes the row.
    """

    lease_ms: float = 10_000.0
    leaving_ms: float = 2_000.0
    removal_leases: float = 3.0


class _Entry(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a row; one that was withdrawn is not renewed any more."""

    instance: Instance
    withdrawn: bool = False


class _Seen(msgspec.Struct, frozen=True):
    """When a row was first seen with its version."""

    version: int
    since_ms: float


class RowInstances(InstanceListClient):
    """Instance list over the platform's row store.

    Nothing expires there, so each reader judges by its own clock how long a row has
    not been renewed.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    on_event : callable, default=None
        Called with an event name and fields.
    parameters : ListParameters, default=None
        Life of an entry.
    """

    __slots__ = (
        "_clock",
        "_leaving",
        "_on_event",
        "_parameters",
        "_seen",
        "_store",
        "_versions",
    )

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        on_event: Callable[..., None] | None = None,
        parameters: ListParameters | None = None,
    ):
        self._store = store
        self._clock = clock
        self._on_event = on_event or (lambda *args, **fields: None)
        self._parameters = parameters or ListParameters()
        self._seen: dict[str, _Seen] = {}
        # Versions of the rows that were written here.
        self._versions: dict[str, int] = {}
        # Instances of which others have said that they leave.
        self._leaving: set[str] = set()

    async def fetch(self) -> Result[list[Instance], Fault]:
        """Return the instances that are listed as live or leaving."""
        found = await self._store.read_all(INSTANCE_TABLE)
        if isinstance(found, Failure):
            return found
        rows = found.unwrap().rows
        now_ms = self._clock.now_ms()
        self._note_seen(rows, now_ms)
        listed, doomed = [], []
        for row in rows:
            age_ms = now_ms - self._seen[row.key].since_ms
            entry = self._decode(row)
            if entry is not None and self._is_listed(entry, age_ms):
                listed.append(entry.instance)
            elif age_ms > self._parameters.removal_leases * self._parameters.lease_ms:
                doomed.append(row)
        if doomed:
            await self._remove(doomed[0])
        return Success(listed)

    async def announce(self, instance: Instance) -> Result[None, Fault]:
        """Enter this process's own instance, or renew its entry."""
        for _ in range(MAX_ROUNDS):
            if instance.incarnation in self._leaving:
                # Nobody comes back from leaving, whoever said so.
                instance = _as_leaving(instance)
            version = self._versions.get(instance.incarnation, 0)
            written = await self._write(_Entry(instance=instance), version)
            if isinstance(written, Failure):
                return Failure(written.failure())
            answer = written.unwrap()
            if answer.committed:
                self._versions[instance.incarnation] = answer.version
                return Success(None)
            self._take_stood(instance.incarnation, answer.rows)
        detail = f"the entry of {instance.incarnation} changed at each try"
        return fail(ErrorKind.STORE_UNAVAILABLE, detail)

    async def withdraw(self, instance: Instance) -> Result[None, Fault]:
        """Mark this process's own entry as leaving; readers drop it soon."""
        leaving = _as_leaving(instance)
        written = await self._write(_Entry(instance=leaving, withdrawn=True))
        return written.map(lambda _: None)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()

    def _note_seen(self, rows: list[StoredRow], now_ms: float) -> None:
        seen = {}
        for row in rows:
            known = self._seen.get(row.key)
            if known is None or known.version != row.version:
                known = _Seen(row.version, now_ms)
            seen[row.key] = known
        self._seen = seen

    def _is_listed(self, entry: _Entry, age_ms: float) -> bool:
        parameters = self._parameters
        limit_ms = parameters.leaving_ms if entry.withdrawn else parameters.lease_ms
        return age_ms < limit_ms

    def _decode(self, row: StoredRow) -> _Entry | None:
        try:
            return msgspec.msgpack.decode(row.value, type=_Entry)
        except msgspec.DecodeError as error:
            self._on_event(
                "instance_entry_unreadable",
                level="warning",
                key=row.key,
                version=row.version,
                why=str(error),
            )
            return None

    def _take_stood(self, incarnation: str, rows: list[StoredRow]) -> None:
        """Take in the row of an instance that others have marked, or that is gone."""
        stood = next((row for row in rows if row.version), StoredRow())
        self._versions[incarnation] = stood.version
        entry = self._decode(stood) if stood.version else None
        if entry is not None and entry.instance.state is InstanceState.LEAVING:
            self._leaving.add(incarnation)

    async def _write(
        self, entry: _Entry, version: int | None = None
    ) -> Result[WriteAnswer, Fault]:
        """Write an entry, over a row that has `version` unless that is None."""
        address = {"table": INSTANCE_TABLE, "key": entry.instance.incarnation}
        write = RowWrite(
            value=msgspec.msgpack.encode(entry),
            **address,
        )
        conditions = (
            [] if version is None else [RowCondition(version=version, **address)]
        )
        return await self._store.transact(
            conditions=conditions, writes=[write], removals=[]
        )

    async def _remove(self, row: StoredRow) -> None:
        """Remove a row that nobody has renewed, unless somebody does right now."""
        removed = await self._store.transact(
            conditions=[
                RowCondition(table=row.table, key=row.key, version=row.version)
            ],
            writes=[],
            removals=[RowAddress(table=row.table, key=row.key)],
        )
        self._on_event(
            "instance_entry_removed",
            key=row.key,
            done=isinstance(removed, Success) and removed.unwrap().committed,
        )


def _as_leaving(instance: Instance) -> Instance:
    return msgspec.structs.replace(instance, state=InstanceState.LEAVING)
