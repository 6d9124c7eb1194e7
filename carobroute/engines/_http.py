"""HTTP to one target: connections, time limits, faults."""

import asyncio
import re
from collections.abc import Mapping

import aiohttp
import msgspec
from multidict import CIMultiDict
from returns.result import Failure, Result, Success
from yarl import URL

from carobroute.engines._answer_errors import describe_error
from carobroute.engines._answer_head import find_defect
from carobroute.engines._answer_limits import exceeded_limit
from carobroute.engines._connector import CleanConnector, PacedConnector
from carobroute.engines._interface import EngineParameters
from carobroute.engines._once import Guard, OnceBody
from carobroute.engines._sessions import open_session
from carobroute.engines._watched import WatchedResponse
from carobroute.errors import ErrorKind, Fault, fail

MS_PER_S = 1_000
PIECE_BYTES = 64 * 1024
STALE_FENCE_STATUS = 409
# Bounds on the head of a target's answer.
MAX_HEADER_LINE_BYTES = 16_384
MAX_HEADERS = 1_024

SKIPPED_HEADERS = ("User-Agent", "Content-Type", "Accept", "Accept-Encoding")

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

# Characters that the HTTP library reads in a header and refuses to write or leaves out:
# control characters, and the surrogates of bytes that are no UTF-8.
_UNWRITABLE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")


def is_writable(value: str) -> bool:
    """Whether a header's value can be passed on as it came."""
    return _UNWRITABLE.search(value) is None


def end_to_end(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers that go on to the next hop, repeated ones included.

    Fields that cannot be written as they came are left out.

    Examples
    --------
    >>> dict(end_to_end({"Connection": "close", "Content-Type": "text/plain"}))
    {'Content-Type': 'text/plain'}
    """
    kept: CIMultiDict[str] = CIMultiDict()
    named = {
        name.strip().lower()
        for field, value in headers.items()
        if field.lower() == "connection"
        for name in value.split(",")
    }
    for name, value in headers.items():
        is_hop = name.lower() in HOP_HEADERS or name.lower() in named
        if not is_hop and is_writable(value):
            kept.add(name, value)
    return kept


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
        new_connection: bool,
        find_send_obstacle: Guard | None = None,
    ) -> Result[WatchedResponse, Fault]:
        """Send a request and return the response once its headers are there.

        Parameters
        ----------
        method, path : str
            HTTP method, and path with its query, which are sent as they are.
        headers : mapping of str to str, default=None
            Request headers.
        body : bytes, default=b""
            Request body.
        first_byte_ms : float
            Longest wait for the response's headers.
        new_connection : bool
            Whether to use a new connection. A kept one may have gone silent
            unnoticed, and a request lost on it has an unknown outcome. Such a request
            leaves at most once.
        find_send_obstacle : callable, default=None
            Called right before the first byte is sent; returns the reason that the
            request must not be sent, or None.

        Returns
        -------
        response : Result
            A `NO_TARGET` fault, or one from `find_send_obstacle`, promises that
            nothing was sent; a `TARGET_FAILED` or `PEER_LOST` fault leaves the outcome
            open.
        """
        if find_send_obstacle is None and new_connection:
            find_send_obstacle = _no_objection
        once = (
            OnceBody(body, guard=find_send_obstacle)
            if find_send_obstacle is not None
            else None
        )
        sent = await self._send(
            method, path, headers, once or body, first_byte_ms, new_connection
        )
        if once is not None and not once.started:
            once.withdraw()
            if isinstance(sent, Success):
                # What came belongs to no request of this transport.
                sent.unwrap().drop_connection()
                detail = f"{self._address} answered before the request was sent"
                return fail(ErrorKind.NO_TARGET, detail)
            fault = sent.failure()
            detail = f"nothing was sent: {fault.detail}"
            unsent = msgspec.structs.replace(
                fault, kind=ErrorKind.NO_TARGET, detail=detail
            )
            return Failure(once.refusal or (fault if fault.not_run else unsent))
        return sent

    async def _send(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None,
        body: bytes | OnceBody,
        first_byte_ms: float,
        new_connection: bool,
    ) -> Result[WatchedResponse, Fault]:
        session = self._fresh if new_connection else self._pooled
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
                    self._build_url(path),
                    headers=headers,
                    data=body if body else None,
                    timeout=limit,
                    allow_redirects=False,
                )
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
            kind = (
                ErrorKind.NO_TARGET if path.startswith("/") else ErrorKind.BAD_REQUEST
            )
            return fail(kind, f"invalid URL: {error}")
        except Exception as error:
            # The HTTP library checks parts of an address only when it connects, and
            # then raises ValueError, OverflowError or UnicodeError.
            return fail(
                ErrorKind.TARGET_FAILED,
                f"connection to {self._address} failed: {describe_error(error)}",
                exceeded=exceeded_limit(error),
                defect=find_defect(error),
            )
        assert isinstance(response, WatchedResponse)
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
            method,
            path,
            headers=headers,
            body=body,
            first_byte_ms=limit_ms,
            new_connection=True,
        )
        if isinstance(sent, Failure):
            return sent
        response = sent.unwrap()
        try:
            async with asyncio.timeout(limit_ms / MS_PER_S):
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return fail(
                ErrorKind.TARGET_FAILED, f"{path} broke off: {describe_error(error)}"
            )
        finally:
            response.release()
        return self._judge(path, response.status, data)

    async def refuses_connections(self) -> bool:
        """Return whether no process listens at the target's address."""
        url = URL(self._address)
        try:
            async with asyncio.timeout(self._parameters.connect_ms / MS_PER_S):
                _, writer = await asyncio.open_connection(url.host, url.port)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    def _build_url(self, path: str) -> URL:
        """Return the URL of a path with its query, of which nothing is parsed.

        A URL with a query of its own would lose an empty one, and any fragment.
        """
        base = URL(self._address, encoded=True)
        return URL.build(
            scheme=base.scheme,
            authority=base.raw_authority,
            path=base.raw_path.rstrip("/") + path,
            encoded=True,
        )

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
        limit = self._parameters.max_connections
        connector: PacedConnector
        if force_close:
            connector = PacedConnector(limit=limit, force_close=True)
        else:
            keep_alive_s = self._parameters.keep_alive_ms / MS_PER_S
            connector = CleanConnector(limit=limit, keepalive_timeout=keep_alive_s)
        return open_session(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=PIECE_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            max_headers=MAX_HEADERS,
            skip_auto_headers=SKIPPED_HEADERS,
        )


def _no_objection() -> None:
    return None
