"""HTTP to one target: connections, time limits, faults."""

import asyncio
from collections.abc import Callable, Mapping

import aiohttp
from returns.result import Failure, Result, Success

from carobroute.engines._interface import EngineParameters
from carobroute.errors import ErrorKind, Fault, FaultError, fail

MS_PER_S = 1_000
PIECE_BYTES = 64 * 1024
STALE_FENCE_STATUS = 409

Guard = Callable[[], Fault | None]

HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that go on to the next hop.

    Examples
    --------
    >>> end_to_end({"Connection": "close", "Content-Type": "text/plain"})
    {'Content-Type': 'text/plain'}
    """
    named = {
        name.strip().lower()
        for name in headers.get("Connection", "").lower().split(",")
    }
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS and name.lower() not in named
    }


class HttpTransport:
    """Sends requests to one target.

    Parameters
    ----------
    address : str
        Base URL of the target.
    parameters : EngineParameters
        Times and bounds.
    """

    __slots__ = ("_address", "_fresh", "_parameters", "_pooled")

    def __init__(self, *, address: str, parameters: EngineParameters):
        self._address = address.rstrip("/")
        self._parameters = parameters
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    @property
    def address(self) -> str:
        """Base URL of the target."""
        return self._address

    async def start(self) -> None:
        """Open the sessions."""
        self._pooled = self._session(force_close=False)
        self._fresh = self._session(force_close=True)

    async def stop(self) -> None:
        """Close the sessions and their connections."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    async def send(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        first_byte_ms: float,
        fresh: bool,
        guard: Guard | None = None,
    ) -> Result[aiohttp.ClientResponse, Fault]:
        """Send a request and return the response once its headers are there.

        Parameters
        ----------
        method, path : str
            HTTP method and path.
        headers : mapping of str to str, default=None
            Request headers.
        body : bytes, default=b""
            Request body.
        first_byte_ms : float
            Longest wait for the response's headers.
        fresh : bool
            Whether to use a new connection. A kept one may have gone silent
            unnoticed, and a request lost on it has an unknown outcome.
        guard : callable or None, default=None
            Asked once the connection stands, right before the request is written; a
            fault that it returns keeps the request from being sent.

        Returns
        -------
        response : Result
            A `NO_TARGET` fault promises that nothing was sent; a `TARGET_FAILED`
            or `PEER_LOST` fault leaves the outcome open.
        """
        session = self._fresh if fresh else self._pooled
        if session is None:
            return fail(ErrorKind.INTERNAL, "the adapter has not been started")
        limit = aiohttp.ClientTimeout(
            total=None,
            connect=self._parameters.connect_ms / MS_PER_S,
            sock_connect=self._parameters.connect_ms / MS_PER_S,
            sock_read=self._parameters.first_byte_ms / MS_PER_S,
        )
        try:
            async with asyncio.timeout(first_byte_ms / MS_PER_S):
                response = await session.request(
                    method,
                    self._address + path,
                    headers=headers,
                    data=body or None,
                    timeout=limit,
                    allow_redirects=False,
                    trace_request_ctx=None if guard is None else _OneSend(guard=guard),
                )
        except FaultError as error:
            return Failure(error.fault)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return fail(
                ErrorKind.NO_TARGET, f"no connection to {self._address}: {error}"
            )
        except TimeoutError:
            return fail(
                ErrorKind.PEER_LOST,
                f"no first byte from {self._address} within {first_byte_ms:.0f} ms",
            )
        except aiohttp.InvalidURL as error:
            return fail(ErrorKind.BAD_REQUEST, f"invalid path: {error}")
        except (aiohttp.ClientError, OSError) as error:
            return fail(
                ErrorKind.TARGET_FAILED,
                f"connection to {self._address} failed: {error!r}",
            )
        return Success(response)

    async def side_call(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Result[bytes, Fault]:
        """Send a short request on a new connection and return the whole body."""
        limit_ms = self._parameters.side_call_ms
        sent = await self.send(
            method, path, headers=headers, body=body, first_byte_ms=limit_ms, fresh=True
        )
        if isinstance(sent, Failure):
            return sent
        response = sent.unwrap()
        try:
            data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return fail(ErrorKind.TARGET_FAILED, f"{path} broke off: {error!r}")
        finally:
            response.release()
        return self._judge(path, response.status, data)

    def _judge(self, path: str, status: int, data: bytes) -> Result[bytes, Fault]:
        if status < 300:
            return Success(data)
        detail = f"{path} answered {status}, expected 200: {data[:200]!r}"
        if status == 404:
            return fail(ErrorKind.NOT_FOUND, detail)
        if status == STALE_FENCE_STATUS:
            return fail(ErrorKind.STALE_FENCE, detail)
        return fail(ErrorKind.TARGET_FAILED, detail)

    def _session(self, *, force_close: bool) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=self._parameters.max_connections, force_close=force_close
        )
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=PIECE_BYTES,
            skip_auto_headers=("User-Agent", "Content-Type", "Accept"),
            trace_configs=[_guarding()],
        )


class _OneSend:
    """Leave to write one request once.

    The HTTP library sends a request of an idempotent method again on its own when
    the connection breaks, whatever the service makes of that method.
    """

    __slots__ = ("_guard", "_used")

    def __init__(self, *, guard: Guard):
        self._guard = guard
        self._used = False

    def check(self) -> None:
        """Raise unless the request may be written now."""
        if self._used:
            raise FaultError(
                Fault(
                    kind=ErrorKind.OUTCOME_UNKNOWN,
                    detail="the connection broke after the request was written",
                )
            )
        fault = self._guard()
        if fault is not None:
            raise FaultError(fault)
        self._used = True


def _guarding() -> aiohttp.TraceConfig:
    """Return the trace that asks a request's guard once its connection stands."""

    async def check(session, context, params) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx.check()

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(check)
    trace.on_connection_reuseconn.append(check)
    return trace
