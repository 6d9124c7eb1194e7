"""HTTP client for the platform that discards pooled connections after a timeout."""

import asyncio

import aiohttp
import msgspec
from returns.result import Result, Success
from yarl import URL

from carobroute.engines import CleanConnector, describe_error, open_session
from carobroute.errors import ErrorKind, Fault, fail

JSON_CONTENT_TYPE = "application/json"
ERA_HEADER = "Store-Era"
MAX_ERA_LENGTH = 9
MAX_POOL_CONNECTIONS = 32
KEEP_ALIVE_TIMEOUT_S = 15.0


class ChannelAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Status and complete body of an answer, and the era of the store.

    The era rises by one each time that the store comes back from an older copy; it is 0
    if the answer does not name it.
    """

    status: int
    data: bytes
    era: int = 0


class _ConnectionPool:
    """A session with pooled connections, and the number of its calls in flight."""

    __slots__ = ("calls_in_flight", "is_retired", "session")

    def __init__(self, session: aiohttp.ClientSession):
        self.session = session
        self.calls_in_flight = 0
        self.is_retired = False


class HttpChannel:
    """Sends requests to one base URL.

    A timeout retires all pooled connections, since the cause, such as a network fault,
    may affect each of them. Calls in flight keep their connections until they end.

    Parameters
    ----------
    base_url : str
        Address of the service, as `http://host:port`.
    token : str, default=""
        Bearer token that each call carries; empty for none.
    """

    __slots__ = ("_base_url", "_pool", "_token")

    def __init__(self, *, base_url: str, token: str = ""):
        self._base_url = base_url
        self._token = token
        self._pool: _ConnectionPool | None = None

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout_ms: float,
        headers: dict[str, str] | None = None,
    ) -> Result[ChannelAnswer, Fault]:
        """Send one request without a retry; return its answer with any status.

        Parameters
        ----------
        method, path : str
            HTTP method, and path that is appended to the base URL.
        body : bytes, default=b""
            Request body.
        timeout_ms : float
            Timeout of the call, in milliseconds.
        headers : dict of str to str, default=None
            Additional headers.

        Returns
        -------
        answer : Result
            After a `STORE_UNAVAILABLE` fault the request may or may not have taken
            effect.
        """
        pool = self._acquire()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return Success(await self._send(pool, method, path, body, headers))
        except TimeoutError:
            self._retire(pool)
            return fail(
                ErrorKind.STORE_UNAVAILABLE,
                f"no answer to {method} {path} within {timeout_ms:.0f} ms",
            )
        except (aiohttp.ClientError, OSError) as error:
            return fail(
                ErrorKind.STORE_UNAVAILABLE,
                f"{method} {path} failed: {describe_error(error)}",
            )
        finally:
            await self._release(pool)

    async def close(self) -> None:
        """Close all connections."""
        pool, self._pool = self._pool, None
        if pool is not None:
            await pool.session.close()

    async def _send(
        self,
        pool: _ConnectionPool,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> ChannelAnswer:
        # Names in the path are percent-encoded already, and must not be encoded again.
        url = URL(self._base_url + path, encoded=True)
        async with pool.session.request(
            method, url, data=body or None, headers=headers
        ) as response:
            return ChannelAnswer(
                status=response.status,
                data=await response.read(),
                era=_decode_era(response.headers.get(ERA_HEADER, "")),
            )

    def _acquire(self) -> _ConnectionPool:
        if self._pool is None:
            headers = {"Content-Type": JSON_CONTENT_TYPE}
            if self._token:
                headers["Authorization"] = f"Bearer {self._token}"
            connector = CleanConnector(
                limit=MAX_POOL_CONNECTIONS, keepalive_timeout=KEEP_ALIVE_TIMEOUT_S
            )
            self._pool = _ConnectionPool(
                open_session(connector=connector, headers=headers)
            )
        self._pool.calls_in_flight += 1
        return self._pool

    def _retire(self, pool: _ConnectionPool) -> None:
        pool.is_retired = True
        if self._pool is pool:
            self._pool = None

    async def _release(self, pool: _ConnectionPool) -> None:
        pool.calls_in_flight -= 1
        if pool.is_retired and pool.calls_in_flight == 0:
            await pool.session.close()


def _decode_era(text: str) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_LENGTH
    return int(text) if is_number else 0
