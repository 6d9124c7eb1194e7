"""Registry of the ways to reach a platform."""

import random as random_module
from typing import Protocol

from carobroute.platform._interface import (
    InstanceListClient,
    ObjectStoreClient,
    TableClient,
)
from carobroute.utils import Clock, Registry


class PlatformClients:
    """Clients of one platform's services.

    Parameters
    ----------
    table : TableClient
        Client of the table service.
    objects : ObjectStoreClient
        Client of the object store.
    instances : InstanceListClient
        Client of the instance list.
    """

    __slots__ = ("instances", "objects", "table")

    def __init__(
        self,
        *,
        table: TableClient,
        objects: ObjectStoreClient,
        instances: InstanceListClient,
    ):
        self.table = table
        self.objects = objects
        self.instances = instances

    async def close(self) -> None:
        """Close the connections of all clients."""
        await self.table.close()
        await self.objects.close()
        await self.instances.close()


class PlatformAdapter(Protocol):
    """Makes the clients of one kind of platform."""

    def __call__(
        self,
        *,
        table_url: str,
        objects_url: str,
        instances_url: str,
        clock: Clock,
        random: random_module.Random,
        timeout_ms: float = ...,
        token: str = ...,
    ) -> PlatformClients:
        """Return the clients; nothing is connected before their first call."""


platform_adapters: Registry[PlatformAdapter] = Registry(kind="platform adapter")
