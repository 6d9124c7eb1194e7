"""HTTP connections to the platform that never reuse a connection which timed out."""

import asyncio

import aiohttp
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform._wire import CONTENT_TYPE

OK_STATUS = 200
NO_CONTENT_STATUS = 204
NOT_FOUND_STATUS = 404
UNAUTHENTICATED_STATUS = 401
FORBIDDEN_STATUS = 403
MAX_CONNECTIONS = 32
KEEP_ALIVE_S = 15.0


class _Pool:
    """One session with its connections and the number of calls that use it."""

    __slots__ = ("calls", "retired", "session")

    def __init__(self, session: aiohttp.ClientSession):
        self.session = session
        self.calls = 0
        self.retired = False


class HttpChannel:
    """Sends requests to one base URL.

    A call that times out retires every pooled connection: whatever made one of them
    silent may have made the others so. Calls in flight keep theirs until they end.

    Parameters
    ----------
    base_url : str
        Address of the service, as `http://host:port`.
    timeout_ms : float
        Longest time for one call, in milliseconds.
    token : str, default=""
        Bearer token sent with each call; empty for none.
    """

    __slots__ = ("_base_url", "_pool", "_timeout_ms", "_token")

    def __init__(self, *, base_url: str, timeout_ms: float, token: str = ""):
        self._base_url = base_url
        self._timeout_ms = timeout_ms
        self._token = token
        self._pool: _Pool | None = None

    async def call(
        self, method: str, path: str, body: bytes = b"", *, limit_ms: float = 0.0
    ) -> Result[bytes | None, Fault]:
        """Send one request.

        Parameters
        ----------
        method, path : str
            HTTP method, and path below the base URL.
        body : bytes, default=b""
            Request body.
        limit_ms : float, default=0.0
            Shortens the timeout of this call; 0 leaves it as it is.

        Returns
        -------
        body : Result
            The answer's body, None where there is nothing, or a fault.
        """
        timeout_ms = min(self._timeout_ms, limit_ms or self._timeout_ms)
        pool = self._acquire()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await self._send(pool.session, method, path, body)
        except TimeoutError:
            self._retire(pool)
            return fail(
                ErrorKind.STORE_UNAVAILABLE,
                f"no answer to {method} {path} within {timeout_ms:.0f} ms",
            )
        except (aiohttp.ClientError, OSError) as error:
            return fail(
                ErrorKind.STORE_UNAVAILABLE, f"{method} {path} failed: {error!r}"
            )
        finally:
            await self._release(pool)

    async def close(self) -> None:
        """Close all connections."""
        pool, self._pool = self._pool, None
        if pool is not None:
            await pool.session.close()

    async def _send(
        self, session: aiohttp.ClientSession, method: str, path: str, body: bytes
    ) -> Result[bytes | None, Fault]:
        url = self._base_url + path
        async with session.request(method, url, data=body or None) as response:
            data = await response.read()
            status = response.status
        if status == OK_STATUS:
            return Success(data)
        if status in (NO_CONTENT_STATUS, NOT_FOUND_STATUS):
            return Success(None)
        if status in (UNAUTHENTICATED_STATUS, FORBIDDEN_STATUS):
            return fail(ErrorKind.FORBIDDEN, f"the platform refused {method} {path}")
        return fail(
            ErrorKind.STORE_UNAVAILABLE, f"{method} {path} was answered with {status}"
        )

    def _acquire(self) -> _Pool:
        if self._pool is None:
            headers = {"Content-Type": CONTENT_TYPE}
            if self._token:
                headers["Authorization"] = f"Bearer {self._token}"
            connector = aiohttp.TCPConnector(
                limit=MAX_CONNECTIONS, keepalive_timeout=KEEP_ALIVE_S
            )
            self._pool = _Pool(
                aiohttp.ClientSession(connector=connector, headers=headers)
            )
        self._pool.calls += 1
        return self._pool

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = None

    async def _release(self, pool: _Pool) -> None:
        pool.calls -= 1
        if pool.retired and pool.calls == 0:
            await pool.session.close()
