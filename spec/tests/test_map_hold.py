import pytest
from minicheck import check_safety

from spec.map_hold import make_model

MAX_STATES = 3_000_000


def test_no_pass_has_two_maps_for_all_states_in_bounds():
    result = check_safety(make_model(), max_states=MAX_STATES)
    assert result["exhaustive"]
    assert {p["holds"] for p in result["properties"].values()} == {True}


@pytest.mark.parametrize(
    "mistake",
    [
        "waits_for_all",
        "seals",
        "seal_must_succeed",
        "successor_holds",
        "successor_has_own_hold",
    ],
)
def test_seeded_mistake_is_caught(mistake):
    result = check_safety(make_model(**{mistake: False}), max_states=MAX_STATES)
    assert {p["holds"] for p in result["properties"].values()} == {False}
