"""HTTP client of an entry's operator address."""

import asyncio
from pathlib import Path
from typing import Any, TypeVar

import aiohttp
import msgspec
from returns.result import Result, Success

from carobroute.engines import open_session
from carobroute.errors import ErrorKind, Fault, fail

CONNECT_TIMEOUT_S = 5.0
T = TypeVar("T")


class OperatorClient:
    """Calls one entry's operator address.

    Parameters
    ----------
    address : str
        Base URL, or `host:port` for plain HTTP.
    token_file : Path or None, default=None
        File that holds the operator's token.
    timeout_s : float, default=30.0
        Longest wait for an answer.
    """

    __slots__ = ("_address", "_timeout_s", "_token_file")

    def __init__(
        self, *, address: str, token_file: Path | None = None, timeout_s: float = 30.0
    ):
        scheme = "" if "://" in address else "http://"
        self._address = scheme + address.rstrip("/")
        self._token_file = token_file
        self._timeout_s = timeout_s

    def get(self, path: str, kind: type[T], **query: Any) -> Result[T, Fault]:
        """Return the answer to a GET of `path`, as `kind`."""
        return self._run("GET", path, kind, b"", query)

    def post(
        self, path: str, kind: type[T], body: msgspec.Struct, **query: Any
    ) -> Result[T, Fault]:
        """Return the answer to a POST of `body` to `path`, as `kind`."""
        return self._run("POST", path, kind, msgspec.json.encode(body), query)

    def _run(
        self, method: str, path: str, kind: type[T], body: bytes, query: dict
    ) -> Result[T, Fault]:
        return asyncio.run(self._call(method, path, kind, body, query))

    async def _call(
        self, method: str, path: str, kind: type[T], body: bytes, query: dict
    ) -> Result[T, Fault]:
        headers = {"Content-Type": "application/json"}
        if self._token_file is not None:
            token = self._token_file.read_text().strip()
            headers["Authorization"] = f"Bearer {token}"
        timeout = aiohttp.ClientTimeout(
            total=self._timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with (
                open_session(timeout=timeout) as session,
                session.request(
                    method,
                    self._address + path,
                    data=body or None,
                    headers=headers,
                    params={key: str(value) for key, value in query.items()},
                ) as response,
            ):
                return _read_answer(response.status, await response.read(), kind)
        except aiohttp.ClientConnectorError as error:
            return fail(
                ErrorKind.PEER_LOST, f"cannot connect to {self._address}: {error}"
            )
        except (aiohttp.ClientError, TimeoutError) as error:
            # The request may have been taken, as far as this side can tell.
            return fail(
                ErrorKind.OUTCOME_UNKNOWN,
                f"no whole answer from {self._address}: {type(error).__name__}",
            )


def _read_answer(status: int, data: bytes, kind: type[T]) -> Result[T, Fault]:
    try:
        if status < 300:
            return Success(msgspec.json.decode(data, type=kind))
        answer = msgspec.json.decode(data)
        error = answer["error"]
        detail = answer.get("detail", "")
        if isinstance(error, dict):
            detail, error = error.get("detail", ""), error["kind"]
        return fail(ErrorKind(error), detail)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return fail(
            ErrorKind.INTERNAL,
            f"answer with status {status} is not understood: {data[:200]!r}",
        )
