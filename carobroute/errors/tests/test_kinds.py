import pytest

from carobroute.errors import ANSWERS, ErrorKind, Outcome


def test_every_kind_has_exactly_one_answer():
    assert set(ANSWERS) == set(ErrorKind)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_only_not_run_answers_may_be_resent(kind):
    answer = ANSWERS[kind]
    if answer.resend:
        assert answer.outcome is Outcome.NOT_RUN
