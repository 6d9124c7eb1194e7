"""Clients of the platform: table service, object store, instance list."""

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

__all__ = [
    "Condition",
    "InstanceListClient",
    "ObjectStoreClient",
    "Put",
    "Row",
    "TableClient",
    "Transaction",
    "TransactionOutcome",
]
