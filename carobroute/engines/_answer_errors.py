"""Errors of answers, and what may be told of them."""

import aiohttp


class BrokenAnswerError(aiohttp.ClientPayloadError):
    """An answer is not whole, or is not read on.

    Its text tells nothing that another program has sent.
    """


def describe_error(error: BaseException) -> str:
    """Return what an exception tells, without what another program has sent.

    Parsers quote the bytes that they refuse, which may belong to another call. So of
    errors that are neither the system's nor of this package, only the kinds are told,
    with those of their causes.

    Parameters
    ----------
    error : BaseException
        Exception that ended the reading of an answer.

    Examples
    --------
    >>> describe_error(BrokenAnswerError("the target has crashed"))
    "BrokenAnswerError('the target has crashed')"
    >>> try:
    ...     raise ValueError("bytes of an answer") from KeyError("and of its head")
    ... except ValueError as error:
    ...     describe_error(error)
    'ValueError from KeyError'
    """
    if isinstance(error, (BrokenAnswerError, OSError)):
        return repr(error)
    kinds = []
    cause: BaseException | None = error
    while cause is not None:
        kinds.append(type(cause).__name__)
        cause = cause.__cause__
    return " from ".join(kinds)
