"""Instance list kept in rows that each instance renews."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.domain import Instance, InstanceState
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

INSTANCE_TABLE = "instances"
MAX_ATTEMPTS = 4


class InstanceListParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Lifetimes of the entries of the instance list.

    Parameters
    ----------
    ttl_ms : float
        Time without a renewal after which an entry is no longer listed; instances
        renew their entries every four seconds.
    withdrawn_ttl_ms : float
        Time for which a withdrawn entry is still listed as leaving, so that all
        readers see it.
    removal_ttl_factor : float
        Multiple of `ttl_ms` without a renewal after which a reader removes the row.
    """

    ttl_ms: float = 10_000.0
    withdrawn_ttl_ms: float = 2_000.0
    removal_ttl_factor: float = 3.0


class _InstanceEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a row; a withdrawn entry is not renewed."""

    instance: Instance
    withdrawn: bool = False


class _FirstSeen(msgspec.Struct, frozen=True):
    """Time at which a row was first read with its current version."""

    version: int
    since_ms: float


class StoreInstances(InstanceListClient):
    """Instance list over the platform's row store.

    Rows do not expire in the store, so each reader measures by its own clock for how
    long a row has not been renewed.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    on_event : callable, default=None
        Called with an event name and fields.
    parameters : InstanceListParameters, default=None
        Lifetimes of the entries.
    """

    __slots__ = (
        "_clock",
        "_marked_leaving",
        "_on_event",
        "_parameters",
        "_first_seen",
        "_store",
        "_written_versions",
    )

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        on_event: Callable[..., None] | None = None,
        parameters: InstanceListParameters | None = None,
    ):
        self._store = store
        self._clock = clock
        self._on_event = on_event or (lambda *args, **fields: None)
        self._parameters = parameters or InstanceListParameters()
        self._first_seen: dict[str, _FirstSeen] = {}
        # Version of each row that this process has written, by incarnation.
        self._written_versions: dict[str, int] = {}
        # Incarnations that other processes have marked as leaving.
        self._marked_leaving: set[str] = set()

    async def fetch(self) -> Result[list[Instance], Fault]:
        """Return the instances that are listed as live or leaving."""
        found = await self._store.read_all(INSTANCE_TABLE)
        if isinstance(found, Failure):
            return found
        rows = found.unwrap().rows
        now_ms = self._clock.now_ms()
        self._update_first_seen(rows, now_ms)
        listed, expired = [], []
        for row in rows:
            age_ms = now_ms - self._first_seen[row.key].since_ms
            entry = self._decode(row)
            if entry is not None and self._is_listed(entry, age_ms):
                listed.append(entry.instance)
            elif age_ms > self._parameters.removal_ttl_factor * self._parameters.ttl_ms:
                expired.append(row)
        if expired:
            await self._remove_expired(expired[0])
        return Success(listed)

    async def announce(self, instance: Instance) -> Result[None, Fault]:
        """Add this process's own instance to the list, or renew its entry."""
        for _ in range(MAX_ATTEMPTS):
            if instance.incarnation in self._marked_leaving:
                # Leaving is final, also if another process has marked the instance.
                instance = _as_leaving(instance)
            version = self._written_versions.get(instance.incarnation, 0)
            written = await self._write(_InstanceEntry(instance=instance), version)
            if isinstance(written, Failure):
                return Failure(written.failure())
            answer = written.unwrap()
            if answer.committed:
                self._written_versions[instance.incarnation] = answer.version
                return Success(None)
            self._update_from_conflict(instance.incarnation, answer.rows)
        detail = f"the entry of {instance.incarnation} changed at each try"
        return fail(ErrorKind.STORE_UNAVAILABLE, detail)

    async def withdraw(self, instance: Instance) -> Result[None, Fault]:
        """Mark this process's own entry as leaving and withdrawn; it expires sooner."""
        leaving = _as_leaving(instance)
        written = await self._write(_InstanceEntry(instance=leaving, withdrawn=True))
        return written.map(lambda _: None)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()

    def _update_first_seen(self, rows: list[StoredRow], now_ms: float) -> None:
        first_seen = {}
        for row in rows:
            known = self._first_seen.get(row.key)
            if known is None or known.version != row.version:
                known = _FirstSeen(row.version, now_ms)
            first_seen[row.key] = known
        self._first_seen = first_seen

    def _is_listed(self, entry: _InstanceEntry, age_ms: float) -> bool:
        parameters = self._parameters
        limit_ms = parameters.withdrawn_ttl_ms if entry.withdrawn else parameters.ttl_ms
        return age_ms < limit_ms

    def _decode(self, row: StoredRow) -> _InstanceEntry | None:
        try:
            return msgspec.msgpack.decode(row.value, type=_InstanceEntry)
        except msgspec.DecodeError as error:
            self._on_event(
                "instance_entry_unreadable",
                level="warning",
                key=row.key,
                version=row.version,
                why=str(error),
            )
            return None

    def _update_from_conflict(self, incarnation: str, rows: list[StoredRow]) -> None:
        """Adopt the state of a row that another process changed or removed."""
        current = next((row for row in rows if row.version), StoredRow())
        self._written_versions[incarnation] = current.version
        entry = self._decode(current) if current.version else None
        if entry is not None and entry.instance.state is InstanceState.LEAVING:
            self._marked_leaving.add(incarnation)

    async def _write(
        self, entry: _InstanceEntry, version: int | None = None
    ) -> Result[WriteAnswer, Fault]:
        """Write an entry, on condition that its row has `version` if that is given."""
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

    async def _remove_expired(self, row: StoredRow) -> None:
        """Remove an expired row, unless it is renewed at the same time."""
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
