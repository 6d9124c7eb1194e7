"""Clients of the platform over HTTP."""

import random as random_module
from typing import Any
from urllib.parse import quote

from returns.result import Result, Success

from carobroute.errors import Fault
from carobroute.platform import _wire
from carobroute.platform._adapters import PlatformClients, platform_adapters
from carobroute.platform._channel import HttpChannel
from carobroute.platform._interface import (
    InstanceListClient,
    ObjectStoreClient,
    Row,
    TableClient,
    Transaction,
    TransactionOutcome,
)
from carobroute.platform._retry import RetryPacer, RetryParameters, settle
from carobroute.utils import Clock
from carobroute.world import Instance

TIMEOUT_MS = 2_000.0


class _HttpClient:
    """What the clients of all three services share.

    Parameters
    ----------
    base_url : str
        Address of the service, as `http://host:port`.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter for retries.
    timeout_ms : float, default=2000.0
        Longest time for one call, in milliseconds.
    token : str, default=""
        Bearer token; empty for none.
    retry : RetryParameters, default=None
        Delays and pace of retries.
    """

    __slots__ = ("_channel", "_clock", "_pacer")

    def __init__(
        self,
        *,
        base_url: str,
        clock: Clock,
        random: random_module.Random,
        timeout_ms: float = TIMEOUT_MS,
        token: str = "",
        retry: RetryParameters | None = None,
    ):
        self._clock = clock
        self._channel = HttpChannel(
            base_url=base_url, timeout_ms=timeout_ms, token=token
        )
        self._pacer = RetryPacer(clock=clock, random=random, parameters=retry)

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()


class HttpTableClient(_HttpClient, TableClient):
    """Client of the table service over HTTP.

    Takes the parameters that all HTTP clients of the platform take: `base_url`,
    `clock`, `random`, `timeout_ms`, `token` and `retry`.
    """

    __slots__ = ()

    async def read(self, table: str, key: str) -> Result[Row | None, Fault]:
        """Return the row, or None if it does not exist."""
        query = _wire.ReadQuery(table=table, key=key)
        result = await self._channel.call("POST", "/table/read", _wire.encode(query))
        return result.map(lambda data: _wire.row_decoder.decode(data or b"\xc0"))

    async def scan(
        self, table: str, prefix: str = "", *, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Fault]:
        """Return up to `limit` rows whose key starts with `prefix`, in key order."""
        query = _wire.ScanQuery(table=table, prefix=prefix, after=after, limit=limit)
        result = await self._channel.call("POST", "/table/scan", _wire.encode(query))
        return result.map(lambda data: _wire.rows_decoder.decode(data or b"\x90"))

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionOutcome, Fault]:
        """Send the transaction once."""
        return await self._send(transaction, 0.0)

    async def settle(
        self, transaction: Transaction, *, deadline_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        """Send the transaction until its result is definite."""
        return await settle(
            self._send,
            transaction,
            clock=self._clock,
            pacer=self._pacer,
            deadline_ms=deadline_ms,
        )

    async def _send(
        self, transaction: Transaction, limit_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        body = _wire.encode(transaction)
        result = await self._channel.call(
            "POST", "/table/transact", body, limit_ms=limit_ms
        )
        return result.map(lambda data: _wire.outcome_decoder.decode(data or b""))


class HttpObjectStoreClient(_HttpClient, ObjectStoreClient):
    """Client of the object store over HTTP.

    Takes the parameters that all HTTP clients of the platform take.
    """

    __slots__ = ()

    async def put(self, key: str, data: bytes) -> Result[None, Fault]:
        """Store `data` under `key`."""
        result = await self._channel.call("PUT", _object_path(key), data)
        return result.map(lambda _: None)

    async def get(self, key: str) -> Result[bytes | None, Fault]:
        """Return the object, or None if it does not exist."""
        return await self._channel.call("GET", _object_path(key))

    async def delete(self, key: str) -> Result[None, Fault]:
        """Remove the object if it exists."""
        result = await self._channel.call("DELETE", _object_path(key))
        return result.map(lambda _: None)


class HttpInstanceListClient(_HttpClient, InstanceListClient):
    """Client of the instance list over HTTP.

    Takes the parameters that all HTTP clients of the platform take.
    """

    __slots__ = ()

    async def fetch(self) -> Result[list[Instance], Fault]:
        """Return the instances that the platform lists as live or leaving."""
        result = await self._channel.call("GET", "/instances")
        return result.map(lambda data: _wire.instances_decoder.decode(data or b"\x90"))

    async def announce(self, instance: Instance) -> Result[None, Fault]:
        """Enter this process's own instance, or renew its entry."""
        return await self._change("PUT", instance)

    async def withdraw(self, instance: Instance) -> Result[None, Fault]:
        """Mark this process's own entry as leaving; the platform removes it later."""
        return await self._change("DELETE", instance)

    async def _change(self, method: str, instance: Instance) -> Result[None, Fault]:
        path = f"/instances/{quote(instance.incarnation, safe='')}"
        result = await self._channel.call(method, path, _wire.encode(instance))
        return result.bind(lambda _: Success(None))


def _object_path(key: str) -> str:
    return f"/objects/{quote(key, safe='')}"


@platform_adapters.register("http")
def http_platform(
    *,
    table_url: str,
    objects_url: str,
    instances_url: str,
    clock: Clock,
    random: random_module.Random,
    timeout_ms: float = TIMEOUT_MS,
    token: str = "",
    retry: RetryParameters | None = None,
) -> PlatformClients:
    """Return clients of a platform that speaks the project's HTTP protocol."""
    options: dict[str, Any] = {
        "clock": clock,
        "random": random,
        "timeout_ms": timeout_ms,
        "token": token,
        "retry": retry,
    }
    return PlatformClients(
        table=HttpTableClient(base_url=table_url, **options),
        objects=HttpObjectStoreClient(base_url=objects_url, **options),
        instances=HttpInstanceListClient(base_url=instances_url, **options),
    )
