"""Interfaces of the platform's services.

The table service stores rows addressed by (table, key), each with a version that
grows by one with every write. A transaction lists conditions on versions and writes; it
is atomic. It carries a token: the same token sent again gets the first result without a
second effect, for as long as the service keeps the token. An answer may be lost after
the transaction took effect.
"""

import abc

import msgspec
from returns.result import Result

from carobroute.domain import Instance
from carobroute.errors import Fault


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row of a table.

    Parameters
    ----------
    table, key : str
        Address of the row.
    version : int
        Number of writes to the row; at least 1.
    value : bytes
        Content, which the service does not interpret.
    """

    table: str
    key: str
    version: int
    value: bytes


class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """Requires a row to have a version; version 0 requires that it does not exist."""

    table: str
    key: str
    version: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """Writes a row; value None deletes it."""

    table: str
    key: str
    value: bytes | None


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Conditions and writes that take effect together.

    Parameters
    ----------
    token : str
        Identity of the transaction; see `carobroute.utils.new_token`.
    conditions : list of Condition
        Conditions that all have to hold.
    puts : list of Put
        Writes made if all conditions hold.
    """

    token: str
    conditions: list[Condition]
    puts: list[Put]


class TransactionOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Definite result of a transaction.

    Parameters
    ----------
    committed : bool
        Whether the writes took effect.
    failed : list of Row
        If not committed, the current rows of the conditions that failed (version 0
        and empty value for a row that does not exist).
    """

    committed: bool
    failed: list[Row] = []


class TableClient(abc.ABC):
    """Client of the transactional table service."""

    __slots__ = ()

    @abc.abstractmethod
    async def read(self, table: str, key: str) -> Result[Row | None, Fault]:
        """Return the row, or None if it does not exist.

        Returns
        -------
        row : Result
            A `STORE_UNAVAILABLE` fault means that no answer came in time.
        """

    @abc.abstractmethod
    async def scan(
        self, table: str, prefix: str = "", *, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Fault]:
        """Return up to `limit` rows whose key starts with `prefix`, in key order.

        Only keys above `after` are returned.
        """

    @abc.abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionOutcome, Fault]:
        """Send the transaction once.

        After a `STORE_UNAVAILABLE` fault it is unknown whether it took effect.
        """

    @abc.abstractmethod
    async def transact_until_settled(
        self, transaction: Transaction, *, deadline_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        """Send the transaction until its result is definite.

        Parameters
        ----------
        transaction : Transaction
            Sent with the same token each time.
        deadline_ms : float
            Monotonic time at which to give up.

        Returns
        -------
        outcome : Result
            A `STORE_UNAVAILABLE` fault means that the outcome is still unknown.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class ObjectStoreClient(abc.ABC):
    """Client of the object store."""

    __slots__ = ()

    @abc.abstractmethod
    async def put(self, key: str, data: bytes) -> Result[None, Fault]:
        """Store `data` under `key`; the same key may be written again."""

    @abc.abstractmethod
    async def get(self, key: str) -> Result[bytes | None, Fault]:
        """Return the object, or None if it does not exist."""

    @abc.abstractmethod
    async def delete(self, key: str) -> Result[None, Fault]:
        """Remove the object if it exists."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class InstanceListClient(abc.ABC):
    """Client of the platform's instance list, whose answers may be out of date."""

    __slots__ = ()

    @abc.abstractmethod
    async def fetch(self) -> Result[list[Instance], Fault]:
        """Return the instances that are listed as live or leaving."""

    @abc.abstractmethod
    async def announce(self, instance: Instance) -> Result[None, Fault]:
        """Add this process's own instance to the list, or renew its entry."""

    @abc.abstractmethod
    async def withdraw(self, instance: Instance) -> Result[None, Fault]:
        """Remove this process's own entry from the list."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
