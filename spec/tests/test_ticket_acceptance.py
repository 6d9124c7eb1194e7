import pytest
from minicheck import check_safety

from spec.ticket_acceptance import make_model

MAX_STATES = 400_000


def broken(**mistake):
    result = check_safety(make_model(**mistake), max_states=MAX_STATES)
    return {n for n, p in result["properties"].items() if p["holds"] is False}


@pytest.mark.parametrize("same_object", [True, False])
def test_acceptance_holds_for_all_states_in_bounds(same_object):
    model = make_model(same_object=same_object)
    result = check_safety(model, max_states=MAX_STATES)
    assert result["exhaustive"]
    assert {p["holds"] for p in result["properties"].values()} == {True}


@pytest.mark.parametrize(
    "mistake, expected",
    [
        ("head_condition", "one winner"),
        ("token_rows", "told the truth when refused"),
        ("last_look", "told the truth when refused"),
        ("conflict_check", "one winner"),
    ],
)
def test_seeded_mistake_is_caught(mistake, expected):
    assert expected in broken(**{mistake: False})
