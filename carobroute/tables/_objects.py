"""Object client over the platform's store."""

from returns.result import Result

from carobroute.errors import Fault
from carobroute.platform import RowStore
from carobroute.tables._interface import ObjectStoreClient


class StoreObjects(ObjectStoreClient):
    """Object client over the platform's store.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    """

    __slots__ = ("_store",)

    def __init__(self, *, store: RowStore):
        self._store = store

    async def put(self, key: str, data: bytes) -> Result[None, Fault]:
        """Store `data` under `key`."""
        return (await self._store.put_object(key, data)).map(lambda _: None)

    async def get(self, key: str) -> Result[bytes | None, Fault]:
        """Return the object, or None if it does not exist."""
        return await self._store.get_object(key)

    async def delete(self, key: str) -> Result[None, Fault]:
        """Remove the object if it exists."""
        return await self._store.delete_object(key)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()
