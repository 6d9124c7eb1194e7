"""Heads of answers that are no valid HTTP."""

import enum
import re

import aiohttp
from aiohttp.http import RawResponseMessage

SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
# Bytes of a line that an error shows.
MAX_SHOWN_BYTES = 60

# The first digit of a status is its class (RFC 9110, section 15).
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d ([1-5]\d\d)(?: |\Z)")
# A name is a token, and the colon follows it at once (RFC 9112, section 5.1).
_FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:")


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
    """

    STATUS = "status"
    FIELD_NAME = "field_name"
    FOLDED_LINE = "folded_line"
    TRANSFER_CODING = "transfer_coding"


class MalformedAnswerError(aiohttp.ClientPayloadError):
    """An answer was broken off, since its head is invalid.

    Parameters
    ----------
    defect : AnswerDefect
        What is invalid.
    detail : str
        What has come, and what is allowed.
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
    carobroute.engines._answer_head.MalformedAnswerError: b'HTTP/1.1 000 OK' has no ...
    """

    __slots__ = ("_has_ended", "_line", "_status")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin with another answer."""
        # Whether the head of the final answer is complete.
        self._has_ended = False
        # The line that is not complete yet.
        self._line = bytearray()
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
        if self._status is None:
            # Parsers skip empty lines before a status line.
            if line:
                self._status = _read_status(line)
        elif line:
            _check_field_line(line)
        elif self._status < FIRST_FINAL_STATUS:
            self._status = None
        else:
            self._has_ended = True


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
    codings = [coding.strip(" \t").lower() for coding in value.split(",")]
    # Empty elements of a list mean nothing, and "identity" is what it says.
    codings = [coding for coding in codings if coding not in ("", "identity")]
    if codings != (["chunked"] if message.chunked else []):
        raise MalformedAnswerError(
            AnswerDefect.TRANSFER_CODING,
            f"transfer codings {value[:MAX_SHOWN_BYTES]!r}, expected 'chunked' alone",
        )


def find_defect(error: Exception) -> str:
    """Return what makes an answer invalid by an exception; empty for nothing."""
    return error.defect.value if isinstance(error, MalformedAnswerError) else ""


def _read_status(line: bytes) -> int:
    match = _STATUS_LINE.match(line)
    status = int(match[1]) if match else 0
    if not match or status == SWITCHING_PROTOCOLS:
        raise _make_error(
            AnswerDefect.STATUS,
            line,
            f"has no status from 100 to 599 other than {SWITCHING_PROTOCOLS}",
        )
    return status


def _check_field_line(line: bytes) -> None:
    if line.startswith((b" ", b"\t")):
        raise _make_error(AnswerDefect.FOLDED_LINE, line, "begins with a blank")
    if not _FIELD_LINE.match(line):
        raise _make_error(
            AnswerDefect.FIELD_NAME, line, "has no valid name before a colon"
        )


def _make_error(defect: AnswerDefect, line: bytes, reason: str) -> MalformedAnswerError:
    return MalformedAnswerError(defect, f"{line[:MAX_SHOWN_BYTES]!r} {reason}")
