"""Heads of answers that are no valid HTTP."""

import enum
import re

import aiohttp
from aiohttp.http import RawResponseMessage

from carobroute.engines._answer_errors import BrokenAnswerError

SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
# The first digit of a status is its class (RFC 9110, section 15).
VALID_STATUSES = range(100, 600)

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d (\d{3})(?: |\Z)")
# A name is a token, and the colon follows it at once (RFC 9112, section 5.1).
_FIELD_NAME = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++:"
_FIELD_LINE = re.compile(_FIELD_NAME)
# A final head that is valid and complete.
_FINAL_HEAD = re.compile(
    rb"HTTP/\d\.\d [2-5]\d\d(?: [^\n]*+)?+\r?+\n"
    rb"(?:" + _FIELD_NAME + rb"[^\n]*+\n)*+\r?+\n"
)


class AnswerDefect(enum.StrEnum):
    """What makes the head of an answer invalid.

    Attributes
    ----------
    STATUS
        A status line without a status from 100 to 599, or a switch of protocols, for
        which no program asks.
    FIELD_NAME
        A field line whose name is empty, has other characters than a token may have,
        or is not followed by a colon.
    FOLDED_LINE
        A line that begins with a blank. Some parsers join it to the line before, so
        that it changes another field; others take it for a field, also for the length.
    TRANSFER_CODING
        Transfer codings that no reader here removes, or that a parser has read
        otherwise, so that its content is not what was sent.
    UNPARSABLE
        What else a parser refuses before it has handed on a head, such as two lengths.
    """

    STATUS = "status"
    FIELD_NAME = "field_name"
    FOLDED_LINE = "folded_line"
    TRANSFER_CODING = "transfer_coding"
    UNPARSABLE = "unparsable"


class MalformedAnswerError(BrokenAnswerError):
    """An answer was broken off, since its head is invalid.

    Parameters
    ----------
    defect : AnswerDefect
        What is invalid.
    detail : str
        Where it is.
    """

    def __init__(self, defect: AnswerDefect, detail: str):
        super().__init__(detail)
        self.defect = defect


class AnswerHeadChecker:
    """Checks the heads of an answer before a parser gets them.

    Parsers of HTTP libraries accept more than the standard allows, and disagree about
    it.

    Examples
    --------
    >>> checker = AnswerHeadChecker()
    >>> checker.feed(b"HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\n")
    >>> checker.feed(b"Content-Length: 15\\r\\n\\r\\nHTTP/1.1 000 OK")
    >>> AnswerHeadChecker().feed(b"HTTP/1.1 000 OK\\r\\n")
    Traceback (most recent call last):
        ...
    carobroute.engines._answer_head.MalformedAnswerError: line 1 of the answer names ...
    """

    __slots__ = ("_has_ended", "_line", "_line_count", "_status")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin with another answer."""
        # Whether the head of the final answer is complete.
        self._has_ended = False
        # The line that is not complete yet.
        self._line = bytearray()
        # Complete lines, those of interim answers included.
        self._line_count = 0
        # Status of the head that has begun; None between two of them.
        self._status: int | None = None

    def feed(self, data: bytes) -> None:
        """Check the lines that data completes, up to the end of the final head.

        Parameters
        ----------
        data : bytes
            What follows the bytes that were fed before.

        Raises
        ------
        MalformedAnswerError
            If a line is invalid.
        """
        if self._has_ended:
            return
        if not self._line_count and not self._line and _FINAL_HEAD.match(data):
            # Most answers come so, and one match takes less time than each line.
            self._has_ended = True
            return
        begin = 0
        while not self._has_ended:
            end = data.find(b"\n", begin)
            if end < 0:
                self._line += data[begin:]
                return
            line = bytes(self._line) + data[begin:end]
            self._line.clear()
            begin = end + 1
            self._check_line(line.removesuffix(b"\r"))

    def _check_line(self, line: bytes) -> None:
        self._line_count += 1
        if self._status is None:
            # Parsers skip empty lines before a status line.
            if line:
                self._status = self._read_status(line)
        elif line:
            self._check_field_line(line)
        elif self._status < FIRST_FINAL_STATUS:
            self._status = None
        else:
            self._has_ended = True

    def _read_status(self, line: bytes) -> int:
        match = _STATUS_LINE.match(line)
        if not match:
            raise self._make_error(AnswerDefect.STATUS, "names no status")
        status = int(match[1])
        if status not in VALID_STATUSES or status == SWITCHING_PROTOCOLS:
            raise self._make_error(AnswerDefect.STATUS, f"names status {status:03}")
        return status

    def _check_field_line(self, line: bytes) -> None:
        if line.startswith((b" ", b"\t")):
            raise self._make_error(AnswerDefect.FOLDED_LINE, "begins with a blank")
        if not _FIELD_LINE.match(line):
            raise self._make_error(
                AnswerDefect.FIELD_NAME, "has no valid name before a colon"
            )

    def _make_error(self, defect: AnswerDefect, reason: str) -> MalformedAnswerError:
        return MalformedAnswerError(
            defect, f"line {self._line_count} of the answer {reason}"
        )


def check_transfer_codings(message: RawResponseMessage) -> None:
    """Make sure that a parser's content is what was sent, in chunks at the most.

    Parameters
    ----------
    message : RawResponseMessage
        Head of a final answer.

    Raises
    ------
    MalformedAnswerError
        If it is not.
    """
    value = ",".join(message.headers.getall("Transfer-Encoding", ()))
    if not value and not message.chunked:
        return
    codings = [coding.strip(" \t").lower() for coding in value.split(",")]
    # Empty elements of a list mean nothing, and "identity" is what it says.
    codings = [coding for coding in codings if coding not in ("", "identity")]
    if codings != (["chunked"] if message.chunked else []):
        raise MalformedAnswerError(
            AnswerDefect.TRANSFER_CODING,
            "the transfer codings are not 'chunked' alone",
        )


def find_defect(error: Exception) -> str:
    """Return what makes the head of an answer invalid by an exception.

    Parameters
    ----------
    error : Exception
        Exception that a request has raised.

    Returns
    -------
    defect : str
        Value of an `AnswerDefect`; empty if the head is not the cause.
    """
    if isinstance(error, MalformedAnswerError):
        return error.defect.value
    if isinstance(error, aiohttp.ClientResponseError):
        return AnswerDefect.UNPARSABLE.value
    return ""
