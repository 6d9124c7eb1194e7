"""HTTP connections to the platform that never reuse a connection which timed out."""

import asyncio

import aiohttp
import msgspec
from returns.result import Result, Success
from yarl import URL

from carobroute.errors import ErrorKind, Fault, fail

CONTENT_TYPE = "application/json"
MAX_CONNECTIONS = 32
KEEP_ALIVE_S = 15.0


class ChannelAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Status and whole body of an answer."""

    status: int
    data: bytes


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
    token : str, default=""
        Bearer token sent with each call; empty for none.
    """

    __slots__ = ("_base_url", "_pool", "_token")

    def __init__(self, *, base_url: str, token: str = ""):
        self._base_url = base_url
        self._token = token
        self._pool: _Pool | None = None

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        limit_ms: float,
        headers: dict[str, str] | None = None,
    ) -> Result[ChannelAnswer, Fault]:
        """Send one request and return its answer, whatever the status.

        Parameters
        ----------
        method, path : str
            HTTP method, and path below the base URL.
        body : bytes, default=b""
            Request body.
        limit_ms : float
            Longest time for the call, in milliseconds.
        headers : dict of str to str, default=None
            Further headers.

        Returns
        -------
        answer : Result
            A `STORE_UNAVAILABLE` fault leaves open whether the request took effect.
        """
        pool = self._acquire()
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                return Success(await self._send(pool, method, path, body, headers))
        except TimeoutError:
            self._retire(pool)
            return fail(
                ErrorKind.STORE_UNAVAILABLE,
                f"no answer to {method} {path} within {limit_ms:.0f} ms",
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
        self,
        pool: _Pool,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> ChannelAnswer:
        # Names are quoted already; a second quoting would change them.
        url = URL(self._base_url + path, encoded=True)
        async with pool.session.request(
            method, url, data=body or None, headers=headers
        ) as response:
            return ChannelAnswer(status=response.status, data=await response.read())

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
