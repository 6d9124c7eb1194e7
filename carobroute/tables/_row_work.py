"""What the platform's store is asked for one transaction of the project."""

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

MARK_TABLE = "transactions"

Address = tuple[str, str]


class KnownRow(msgspec.Struct, frozen=True):
    """What was last seen of a row; without arguments, of one that does not exist."""

    store_version: int = 0
    revision: int = 0
    chunks: Chunks | None = None


def mark_condition(token: str) -> RowCondition:
    """Require that a transaction has no result yet."""
    return RowCondition(table=MARK_TABLE, key=token, version=0)


def mark_write(token: str, *, committed: bool) -> RowWrite:
    """Return the write of a transaction's result."""
    value = msgspec.msgpack.encode(committed)
    return RowWrite(table=MARK_TABLE, key=token, value=value)


class RowWork:
    """What the store is asked for one transaction.

    Parameters
    ----------
    transaction : Transaction
        What to do.
    known : mapping
        What was last seen of its rows.
    """

    __slots__ = ("_known", "_values", "conditions", "removals", "writes")

    def __init__(self, transaction: Transaction, known: dict[Address, KnownRow]):
        entries: list[Condition | Put] = [
            *transaction.conditions,
            *transaction.puts,
        ]
        self._known = {
            (entry.table, entry.key): known.get((entry.table, entry.key), KnownRow())
            for entry in entries
        }
        self._values: dict[Address, StoredValue | None] = {}
        self.writes = [mark_write(transaction.token, committed=True)]
        self.removals: list[RowAddress] = []
        required = {(entry.table, entry.key) for entry in transaction.conditions}
        for put in transaction.puts:
            address = (put.table, put.key)
            if put.value is None:
                self._values[address] = None
                self.removals.append(
                    RowAddress(table=put.table, key=store_key(put.key))
                )
            else:
                # A revision that is counted on must still stand.
                required.add(address)
                self._write(address, put.value)
            chunks = self._known[address].chunks
            if chunks is not None:
                required.add(address)
                self._drop_chunks(put.table, chunks)
        self.conditions = [mark_condition(transaction.token)]
        for table, key in sorted(required):
            version = self._known[table, key].store_version
            self.conditions.append(
                RowCondition(table=table, key=store_key(key), version=version)
            )

    @property
    def addresses(self) -> list[Address]:
        """Rows that the transaction requires or writes."""
        return list(self._known)

    @property
    def entries(self) -> int:
        """Entries that the store counts."""
        return len(self.conditions) + len(self.writes) + len(self.removals)

    def written(self, version: int) -> dict[Address, KnownRow]:
        """Return what is known of the rows once they are written."""
        return {
            address: KnownRow(version, value.revision, value.chunks)
            if value
            else KnownRow()
            for address, value in self._values.items()
        }

    def _write(self, address: Address, data: bytes) -> None:
        table, key = address
        revision = self._known[address].revision + 1
        value = StoredValue(revision=revision, key=key, data=data)
        if len(data) > CHUNK_BYTES:
            parts = split_data(data)
            chunks = Chunks(name=new_token(), count=len(parts))
            value = StoredValue(revision=revision, key=key, data=b"", chunks=chunks)
            for index, part in enumerate(parts):
                name = chunk_key(chunks.name, index)
                self.writes.append(
                    RowWrite(table=chunk_table(table), key=name, value=part)
                )
        self._values[address] = value
        self.writes.append(
            RowWrite(table=table, key=store_key(key), value=encode_value(value))
        )

    def _drop_chunks(self, table: str, chunks: Chunks) -> None:
        for index in range(chunks.count):
            name = chunk_key(chunks.name, index)
            self.removals.append(RowAddress(table=chunk_table(table), key=name))
