"""Connections on which answers of other programs are read."""

import asyncio
from typing import Any

from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from carobroute.engines._answer_head import (
    FIRST_FINAL_STATUS,
    AnswerHeadChecker,
    MalformedAnswerError,
    check_transfer_codings,
)
from carobroute.engines._answer_limits import (
    MAX_INTERIM_ANSWERS,
    SMALL_CHUNK_RATIO,
    AnswerLimit,
    AnswerLimitError,
)
from carobroute.web import (
    MAX_OVERHEAD_BYTES,
    NO_DATA,
    OverheadMeter,
    PacedProtocol,
)


class AnswerConnection(PacedProtocol, ResponseHandler):
    """Connection of an HTTP client to a program that may send anything without end.

    It parses what it has read a piece at a time, and closes the connection once an
    answer exceeds a limit: the HTTP library bounds a header line, but neither the
    number of interim answers, which it keeps until the final one is read, nor the
    bytes between two bytes of content. An answer whose head is invalid ends here, too,
    so that no reader takes it for one.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    """

    # Body of the final answer, once its head is complete.
    _answer_body: StreamReader | None
    _has_unasked: bool
    _heads: AnswerHeadChecker
    _is_broken_off: bool
    _interim_count: int
    _parsed_bytes: int
    _content_bytes: int
    _overhead: OverheadMeter

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._unparsed = NO_DATA
        self._overhead = OverheadMeter()
        self._heads = AnswerHeadChecker()
        self._begin_answer()

    @property
    def should_close(self) -> bool:
        """Whether the connection must not be used for another request."""
        return super().should_close or self.has_unparsed

    @property
    def has_small_chunks(self) -> bool:
        """Whether the content of the answer comes in chunks of a few bytes each."""
        return self._parsed_bytes >= SMALL_CHUNK_RATIO * max(1, self._content_bytes)

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the answer to the next request."""
        self._begin_answer()
        super().set_response_params(**options)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take an answer whose head is complete, and count interim ones."""
        message, payload = data
        if self._is_broken_off:
            return
        if self._answer_body is not None:
            # What follows an answer belongs to no request. One message behind it keeps
            # the connection from being used again, and no more of them are parsed.
            self._pause_reading_for_buffer()
            if self._has_unasked:
                return
            self._has_unasked = True
        elif message.code < FIRST_FINAL_STATUS:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_ANSWERS:
                self._break_off(
                    AnswerLimitError(
                        AnswerLimit.INTERIM_ANSWERS,
                        f"more than {MAX_INTERIM_ANSWERS} interim answers",
                    )
                )
                return
        else:
            try:
                check_transfer_codings(message)
            except MalformedAnswerError as error:
                self._break_off(error)
                return
            self._answer_body = payload
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Parse what came before the other side ended the connection."""
        self.parse_rest()
        super().connection_lost(exc)

    def _begin_answer(self) -> None:
        self._answer_body = None
        self._has_unasked = False
        self._is_broken_off = False
        self._interim_count = 0
        self._parsed_bytes = 0
        self._content_bytes = 0
        self._overhead.reset()
        self._heads.reset()

    def _parse(self, data: bytes) -> None:
        # Without a parser, data is kept, and comes here once more when there is one.
        if self._parser is not None:
            try:
                self._heads.feed(data)
            except MalformedAnswerError as error:
                self._break_off(error)
                return
        super()._parse(data)
        if data and not (self._has_unasked or self._is_broken_off):
            self._note_parsed(len(data))

    def _note_parsed(self, size: int) -> None:
        """Weigh bytes that were parsed against the content that they have brought."""
        self._parsed_bytes += size
        body = self._answer_body
        if body is not None and body.is_eof():
            return
        self._content_bytes = body.total_bytes if body is not None else 0
        self._overhead.note_parsed(size, content_bytes=self._content_bytes)
        if self._overhead.is_exceeded:
            self._break_off(
                AnswerLimitError(
                    AnswerLimit.OVERHEAD,
                    f"more than {MAX_OVERHEAD_BYTES} bytes without content",
                )
            )

    def _break_off(self, error: AnswerLimitError | MalformedAnswerError) -> None:
        """Close the connection, and let the answer's reader know why."""
        self._is_broken_off = True
        self._unparsed = NO_DATA
        if self._answer_body is not None:
            self._answer_body.set_exception(error)
        self.set_exception(error)
        # Without a parser, the end of the connection does not hide the reason.
        self._parser = None
        if self.transport is not None:
            self.transport.abort()
