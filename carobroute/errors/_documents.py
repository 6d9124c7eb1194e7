"""Errors as callers read them."""

import msgspec

from carobroute.errors._kinds import Fault


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Content of an error answer, in the shape that OpenAI clients read.

    Parameters
    ----------
    message : str
        What was got and what was expected.
    type : str
        Error kind.
    code : str
        Error kind again, where clients look for it.
    outcome : str
        `done`, `not_run` or `unknown`.
    resend : bool
        Whether the request may be sent again unchanged.
    request_id : str
        Identifier to quote to the operators.
    """

    message: str
    type: str
    code: str
    outcome: str
    resend: bool
    request_id: str


class ErrorDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Envelope of an error answer."""

    error: ErrorBody


def encode_error(fault: Fault, request_id: str) -> bytes:
    """Return the JSON document that tells a caller of `fault`."""
    answer = fault.answer
    body = ErrorBody(
        message=fault.detail,
        type=fault.kind.value,
        code=fault.kind.value,
        outcome=answer.outcome.value,
        resend=answer.resend,
        request_id=request_id,
    )
    return msgspec.json.encode(ErrorDocument(error=body))
