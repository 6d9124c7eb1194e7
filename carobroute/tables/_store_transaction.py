"""Translation of a transaction into conditions, writes and removals of the store.

Each transaction also writes an outcome row, whose key is the transaction's token.
"""

import msgspec

from carobroute.platform import RowAddress, RowCondition, RowWrite
from carobroute.tables._interface import Condition, Put, Transaction
from carobroute.tables._stored_value import (
    CHUNK_BYTES,
    Chunks,
    StoredValue,
    chunk_key,
    chunk_table,
    encode_value,
    split_data,
    store_key,
)
from carobroute.utils import new_token

OUTCOME_TABLE = "transactions"

Address = tuple[str, str]


class CachedRow(msgspec.Struct, frozen=True):
    """Last known version of a row; the defaults stand for a row that does not exist."""

    store_version: int = 0
    revision: int = 0
    chunks: Chunks | None = None


def outcome_condition(token: str) -> RowCondition:
    """Return the condition that a transaction has no outcome row yet."""
    return RowCondition(table=OUTCOME_TABLE, key=token, version=0)


def outcome_write(token: str, *, committed: bool) -> RowWrite:
    """Return the write of a transaction's outcome row."""
    value = msgspec.msgpack.encode(committed)
    return RowWrite(table=OUTCOME_TABLE, key=token, value=value)


class StoreTransaction:
    """Conditions, writes and removals of the store for one transaction.

    Parameters
    ----------
    transaction : Transaction
        Transaction to translate.
    cached : mapping
        Last known versions of rows, by table and key.
    """

    __slots__ = ("_cached", "_new_values", "conditions", "removals", "writes")

    def __init__(self, transaction: Transaction, cached: dict[Address, CachedRow]):
        entries: list[Condition | Put] = [
            *transaction.conditions,
            *transaction.puts,
        ]
        self._cached = {
            (entry.table, entry.key): cached.get((entry.table, entry.key), CachedRow())
            for entry in entries
        }
        self._new_values: dict[Address, StoredValue | None] = {}
        self.writes = [outcome_write(transaction.token, committed=True)]
        self.removals: list[RowAddress] = []
        required = {(entry.table, entry.key) for entry in transaction.conditions}
        for put in transaction.puts:
            address = (put.table, put.key)
            if put.value is None:
                self._new_values[address] = None
                self.removals.append(
                    RowAddress(table=put.table, key=store_key(put.key))
                )
            else:
                # The new revision is only right if the cached row is still current.
                required.add(address)
                self._add_write(address, put.value)
            chunks = self._cached[address].chunks
            if chunks is not None:
                required.add(address)
                self._remove_chunks(put.table, chunks)
        self.conditions = [outcome_condition(transaction.token)]
        for table, key in sorted(required):
            version = self._cached[table, key].store_version
            self.conditions.append(
                RowCondition(table=table, key=store_key(key), version=version)
            )

    @property
    def addresses(self) -> list[Address]:
        """Table and key of each row in a condition or write of the transaction."""
        return list(self._cached)

    @property
    def entry_count(self) -> int:
        """Number of entries that count towards the store's limit."""
        return len(self.conditions) + len(self.writes) + len(self.removals)

    def written_rows(self, version: int) -> dict[Address, CachedRow]:
        """Return the rows to cache after a commit with the store's `version`."""
        return {
            address: CachedRow(version, value.revision, value.chunks)
            if value
            else CachedRow()
            for address, value in self._new_values.items()
        }

    def _add_write(self, address: Address, data: bytes) -> None:
        table, key = address
        revision = self._cached[address].revision + 1
        value = StoredValue(revision=revision, key=key, data=data)
        if len(data) > CHUNK_BYTES:
            pieces = split_data(data)
            chunks = Chunks(name=new_token(), count=len(pieces))
            value = StoredValue(revision=revision, key=key, data=b"", chunks=chunks)
            for index, piece in enumerate(pieces):
                row_key = chunk_key(chunks.name, index)
                self.writes.append(
                    RowWrite(table=chunk_table(table), key=row_key, value=piece)
                )
        self._new_values[address] = value
        self.writes.append(
            RowWrite(table=table, key=store_key(key), value=encode_value(value))
        )

    def _remove_chunks(self, table: str, chunks: Chunks) -> None:
        for index in range(chunks.count):
            row_key = chunk_key(chunks.name, index)
            self.removals.append(RowAddress(table=chunk_table(table), key=row_key))
