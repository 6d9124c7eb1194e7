"""Checks of the heads of answers, however their bytes are cut."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobroute.engines._answer_head import (
    SWITCHING_PROTOCOLS,
    AnswerDefect,
    AnswerHeadChecker,
    MalformedAnswerError,
)

HEAD = b"HTTP/1.1 %b\r\nServer: bell\r\n%bX-End: 1\r\n\r\n"
BODY = b" 000\r\n\r\nHTTP/1.1 000 \r\n X: 1\r\nX Y: 1\r\n\r\n"
INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"
LINES = {
    b"": None,
    b"X-Bell:1\r\n": None,
    b"X-Bell:\n": None,
    b" X-Bell: 1\r\n": AnswerDefect.FOLDED_LINE,
    b"\t\r\n": AnswerDefect.FOLDED_LINE,
    b"X Bell: 1\r\n": AnswerDefect.FIELD_NAME,
    b"X-Bell : 1\r\n": AnswerDefect.FIELD_NAME,
    b"X\x01Bell: 1\r\n": AnswerDefect.FIELD_NAME,
    b"X-Bell\r\n": AnswerDefect.FIELD_NAME,
    b"\r\r\n": AnswerDefect.FIELD_NAME,
}


def find_defect(*pieces):
    """Return the defect of an answer that is read in pieces, or None."""
    checker = AnswerHeadChecker()
    try:
        for piece in pieces:
            checker.feed(piece)
    except MalformedAnswerError as error:
        return error.defect
    return None


def test_a_status_has_three_digits_of_a_class():
    for status in range(1_000):
        is_valid = 100 <= status <= 599 and status != SWITCHING_PROTOCOLS
        expected = None if is_valid else AnswerDefect.STATUS
        assert find_defect(HEAD % (b"%03d Bells" % status, b"")) is expected
        assert find_defect(HEAD % (b"%03d" % status, b"")) is expected


@pytest.mark.parametrize(
    "status", [b"", b"20", b"2000", b"+200", b"20x", b" 200", b"2 00", b"-20"]
)
def test_what_is_no_number_of_three_digits_is_no_status(status):
    assert find_defect(HEAD % (status, b"")) is AnswerDefect.STATUS


@pytest.mark.parametrize(
    "head", [b"\x16\x03\x01\n", b"200 OK\r\n", b"http/1.1 200 OK\r\n", b"id: 1\n\n"]
)
def test_what_is_no_status_line_is_no_head(head):
    assert find_defect(head) is AnswerDefect.STATUS


# Guards against a line that is not seen whole, and against content that is checked.
@given(
    line=st.sampled_from(list(LINES)),
    interim_count=st.integers(0, 3),
    cuts=st.lists(st.integers(0, 200)),
)
def test_the_cuts_between_reads_change_nothing(line, interim_count, cuts):
    answer = INTERIM_ANSWER * interim_count + HEAD % (b"200 OK", line) + BODY
    places = [0, *sorted(cuts), len(answer)]
    pieces = [answer[begin:end] for begin, end in zip(places, places[1:], strict=False)]
    assert find_defect(*pieces) is LINES[line]


def test_each_byte_may_come_alone():
    for line, defect in LINES.items():
        answer = INTERIM_ANSWER + HEAD % (b"200 OK", line) + BODY
        pieces = [answer[n : n + 1] for n in range(len(answer))]
        assert find_defect(*pieces) is defect


# Guards against a reused connection on which only the first answer is checked.
def test_each_answer_is_checked_after_a_reset():
    checker = AnswerHeadChecker()
    checker.feed(HEAD % (b"200 OK", b"") + BODY)
    checker.reset()
    with pytest.raises(MalformedAnswerError):
        checker.feed(HEAD % (b"000 OK", b""))
