"""Transactions, objects and the instance list over the platform's store."""

from carobroute.tables._adapters import (
    PlatformAdapter,
    PlatformClients,
    open_platform,
    platform_adapters,
)
from carobroute.tables._instances import (
    INSTANCE_TABLE,
    InstanceListParameters,
    StoreInstances,
)
from carobroute.tables._interface import (
    Condition,
    InstanceListClient,
    ObjectStoreClient,
    Put,
    Row,
    TableClient,
    Transaction,
    TransactionOutcome,
)
from carobroute.tables._objects import StoreObjects
from carobroute.tables._retry import (
    RetryPacer,
    StoreRetryParameters,
    send_until_settled,
)
from carobroute.tables._store_tables import StoreTables

__all__ = [
    "Condition",
    "INSTANCE_TABLE",
    "InstanceListClient",
    "InstanceListParameters",
    "ObjectStoreClient",
    "PlatformAdapter",
    "PlatformClients",
    "Put",
    "RetryPacer",
    "StoreRetryParameters",
    "Row",
    "StoreInstances",
    "StoreTables",
    "StoreObjects",
    "TableClient",
    "Transaction",
    "TransactionOutcome",
    "open_platform",
    "platform_adapters",
    "send_until_settled",
]
