"""Builders of orders, and an object store held in memory."""

from returns.result import Result, Success

from carobroute.domain import CallClass
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Submit
from carobroute.requests import OrderRequest, order_fingerprint
from carobroute.tables import ObjectStoreClient

FAR_MS = 1e12


class FakeObjects(ObjectStoreClient):
    """Object store held in memory.

    Attributes
    ----------
    available : bool
        Whether the service answers at all.
    data : dict of str to bytes
        What is stored.
    """

    __slots__ = ("available", "data")

    def __init__(self) -> None:
        self.available = True
        self.data: dict[str, bytes] = {}

    async def put(self, key: str, data: bytes) -> Result[None, Fault]:
        """Store `data` under `key`."""
        if not self.available:
            return _unavailable()
        self.data[key] = data
        return Success(None)

    async def get(self, key: str) -> Result[bytes | None, Fault]:
        """Return the object, or None."""
        if not self.available:
            return _unavailable()
        return Success(self.data.get(key))

    async def delete(self, key: str) -> Result[None, Fault]:
        """Remove the object if it exists."""
        if not self.available:
            return _unavailable()
        self.data.pop(key, None)
        return Success(None)

    async def close(self) -> None:
        """Hold nothing to close."""


def make_order(
    key: str = "key-1",
    *,
    team: str = "till",
    body: bytes = b"one bell",
    request_id: str = "r1",
    retention_ms: float = 60_000.0,
    deadline_ms: float = FAR_MS,
) -> OrderRequest:
    """Return an order."""
    return OrderRequest(
        team=team,
        key=key,
        request_id=request_id,
        fingerprint=order_fingerprint("orders", "POST", "/orders", body),
        service="orders",
        retention_ms=retention_ms,
        deadline_ms=deadline_ms,
    )


def make_submit(
    key: str = "key-1",
    *,
    team: str = "till",
    body: bytes = b"one bell",
    request_id: str = "r1",
    method: str = "POST",
    path: str = "/orders",
    target: str = "orders-1",
    deadline_ms: float = 0.0,
) -> Submit:
    """Return the submission of an order."""
    return Submit(
        request_id=request_id,
        attempt=1,
        team=team,
        service="orders",
        target=target,
        method=method,
        path=path,
        headers={"Idempotency-Key": key} if key else {},
        body=body,
        call_class=CallClass.NON_IDEMPOTENT,
        idempotency_key=key,
        deadline_ms=deadline_ms,
    )


def _unavailable() -> Result:
    return fail(ErrorKind.STORE_UNAVAILABLE, "the fake object store does not answer")
