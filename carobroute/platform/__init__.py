"""Clients of the platform: table service, object store, instance list."""

from carobroute.platform._adapters import (
    PlatformAdapter,
    PlatformClients,
    platform_adapters,
)
from carobroute.platform._http import (
    HttpInstanceListClient,
    HttpObjectStoreClient,
    HttpTableClient,
    http_platform,
)
from carobroute.platform._interface import (
    Condition,
    InstanceListClient,
    ObjectStoreClient,
    Put,
    Row,
    TableClient,
    Transaction,
    TransactionOutcome,
)
from carobroute.platform._retry import RetryPacer, RetryParameters, settle

__all__ = [
    "Condition",
    "HttpInstanceListClient",
    "HttpObjectStoreClient",
    "HttpTableClient",
    "InstanceListClient",
    "ObjectStoreClient",
    "PlatformAdapter",
    "PlatformClients",
    "Put",
    "RetryPacer",
    "RetryParameters",
    "Row",
    "TableClient",
    "Transaction",
    "TransactionOutcome",
    "http_platform",
    "platform_adapters",
    "settle",
]
