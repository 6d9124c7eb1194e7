"""HTTP connections to the platform that never reuse a connection which timed out."""

import asyncio

import aiohttp
import msgspec
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
    timeout_ms : float
        Longest time for one call, in milliseconds.
    token : str, default=""
        Bearer token sent with each call; empty for none.
    content_type : str, default="application/msgpack"
        Type of the bodies.
    """

    __slots__ = ("_base_url", "_content_type", "_pool", "_timeout_ms", "_token")

    def __init__(
        self,
        *,
        base_url: str,
        timeout_ms: float,
        token: str = "",
        content_type: str = CONTENT_TYPE,
    ):
        self._base_url = base_url
        self._timeout_ms = timeout_ms
        self._token = token
        self._content_type = content_type
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
        answered = await self.exchange(method, path, body, limit_ms=limit_ms)
        return answered.bind(lambda answer: _judge(answer, f"{method} {path}"))

    async def exchange(
        self, method: str, path: str, body: bytes = b"", *, limit_ms: float = 0.0
    ) -> Result[ChannelAnswer, Fault]:
        """Send one request and return its answer, whatever the status.

        Takes the parameters of `call`. A `STORE_UNAVAILABLE` fault leaves open
        whether the request took effect.
        """
        timeout_ms = min(self._timeout_ms, limit_ms or self._timeout_ms)
        pool = self._acquire()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return Success(await self._send(pool.session, method, path, body))
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
    ) -> ChannelAnswer:
        url = self._base_url + path
        async with session.request(method, url, data=body or None) as response:
            return ChannelAnswer(status=response.status, data=await response.read())

    def _acquire(self) -> _Pool:
        if self._pool is None:
            headers = {"Content-Type": self._content_type}
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


def _judge(answer: ChannelAnswer, request: str) -> Result[bytes | None, Fault]:
    if answer.status == OK_STATUS:
        return Success(answer.data)
    if answer.status in (NO_CONTENT_STATUS, NOT_FOUND_STATUS):
        return Success(None)
    if answer.status in (UNAUTHENTICATED_STATUS, FORBIDDEN_STATUS):
        return fail(ErrorKind.FORBIDDEN, f"the platform refused {request}")
    return fail(
        ErrorKind.STORE_UNAVAILABLE, f"{request} was answered with {answer.status}"
    )
