import pytest

from carobroute.errors import ANSWERS, ErrorKind, Outcome


def test_every_error_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_resend_is_allowed_only_for_requests_that_did_not_run(kind):
    answer = ANSWERS[kind]
    if answer.resend:
        assert answer.outcome is Outcome.NOT_RUN
