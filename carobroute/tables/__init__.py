"""What must last: transactions, objects and the instance list, over the store."""

from carobroute.tables._adapters import (
    PlatformAdapter,
    PlatformClients,
    open_platform,
    platform_adapters,
)
from carobroute.tables._instances import INSTANCE_TABLE, ListParameters, RowInstances
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
from carobroute.tables._retry import RetryPacer, RetryParameters, settle
from carobroute.tables._row_tables import RowTables

__all__ = [
    "Condition",
    "INSTANCE_TABLE",
    "InstanceListClient",
    "ListParameters",
    "ObjectStoreClient",
    "PlatformAdapter",
    "PlatformClients",
    "Put",
    "RetryPacer",
    "RetryParameters",
    "Row",
    "RowInstances",
    "RowTables",
    "StoreObjects",
    "TableClient",
    "Transaction",
    "TransactionOutcome",
    "open_platform",
    "platform_adapters",
    "settle",
]
