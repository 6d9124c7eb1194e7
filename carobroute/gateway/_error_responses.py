"""Error responses that the gateway itself sends to callers."""

from aiohttp import web

from carobroute.errors import Fault, encode_error
from carobroute.platform import REQUEST_ID_HEADER, RETRY_AFTER_HEADER

MS_PER_S = 1_000
# A retry delay below a few round trips would only add load.
MIN_RETRY_AFTER_MS = 50.0


def error_response(fault: Fault, request_id: str) -> web.Response:
    """Return the response that reports `fault` to a caller."""
    headers = {"Content-Type": "application/json"}
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if fault.answer.retry_after and fault.retry_after_ms > 0:
        wait_ms = max(MIN_RETRY_AFTER_MS, fault.retry_after_ms)
        headers[RETRY_AFTER_HEADER] = f"{wait_ms / MS_PER_S:.3f}"
    body = encode_error(fault, request_id)
    return web.Response(status=fault.answer.status, body=body, headers=headers)
