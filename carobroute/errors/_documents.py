"""JSON documents of error answers."""

import msgspec

from carobroute.errors._kinds import Fault


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Content of an error answer, in the format that OpenAI clients expect.

    Parameters
    ----------
    message : str
        Received value and expected one, as in `Fault.detail`.
    type : str
        Error kind.
    code : str
        Error kind again, since some clients read it from this field.
    outcome : str
        Outcome of the request: `done`, `not_run` or `unknown`.
    resend : bool
        Whether the request may be sent again unchanged.
    request_id : str
        Request identifier, for reports to the operators.
    """

    message: str
    type: str
    code: str
    outcome: str
    resend: bool
    request_id: str


class ErrorDocument(msgspec.Struct, frozen=True, kw_only=True):
    """JSON document of an error answer."""

    error: ErrorBody


def encode_error(fault: Fault, request_id: str) -> bytes:
    """Encode a fault as the JSON document that a caller gets.

    Bytes of a header that are no UTF-8 are shown as replacement characters.
    """
    answer = fault.answer
    body = ErrorBody(
        message=_encodable(fault.detail),
        type=fault.kind.value,
        code=fault.kind.value,
        outcome=answer.outcome.value,
        resend=answer.resend,
        request_id=_encodable(request_id),
    )
    return msgspec.json.encode(ErrorDocument(error=body))


def _encodable(text: str) -> str:
    if text.isascii():
        return text
    return text.encode(errors="surrogateescape").decode(errors="replace")
