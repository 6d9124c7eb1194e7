"""Adapters that build the clients of a platform's services."""

import random as random_module
from collections.abc import Callable
from typing import Protocol

from carobroute.platform import RowStore
from carobroute.tables._instances import StoreInstances
from carobroute.tables._interface import (
    InstanceListClient,
    ObjectStoreClient,
    TableClient,
)
from carobroute.tables._objects import StoreObjects
from carobroute.tables._retry import StoreRetryParameters
from carobroute.tables._store_tables import StoreTables
from carobroute.utils import Clock, Registry

CALL_TIMEOUT_MS = 2_000.0


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
    """Builds the clients of one kind of platform."""

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
        on_event: Callable[..., None] | None = ...,
    ) -> PlatformClients:
        """Return the clients; each connects on its first call."""


platform_adapters: Registry[PlatformAdapter] = Registry(kind="platform adapter")


@platform_adapters.register("http")
def open_platform(
    *,
    table_url: str,
    objects_url: str,
    instances_url: str,
    clock: Clock,
    random: random_module.Random,
    timeout_ms: float = CALL_TIMEOUT_MS,
    token: str = "",
    on_event: Callable[..., None] | None = None,
    retry: StoreRetryParameters | None = None,
) -> PlatformClients:
    """Return clients that store all data in the platform's store."""
    table, objects, instances = (
        RowStore(base_url=url, timeout_ms=timeout_ms, token=token)
        for url in (table_url, objects_url, instances_url)
    )
    return PlatformClients(
        table=StoreTables(store=table, clock=clock, random=random, retry=retry),
        objects=StoreObjects(store=objects),
        instances=StoreInstances(store=instances, clock=clock, on_event=on_event),
    )
