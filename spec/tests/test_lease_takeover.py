import pytest
from minicheck import check_safety

from spec.lease_takeover import make_model

MAX_STATES = 2_000_000


@pytest.mark.parametrize("honours_fencing", [True, False])
def test_take_over_holds_for_all_states_in_bounds(honours_fencing):
    model = make_model(honours_fencing=honours_fencing)
    result = check_safety(model, max_states=MAX_STATES)
    assert result["exhaustive"]
    assert {p["holds"] for p in result["properties"].values()} == {True}


@pytest.mark.parametrize(
    "mistake, expected",
    [
        ({"holder_counts_from_send": False}, "one holder"),
        ({"taker_waits": False}, "one holder"),
        ({"taker_sees_renewals": False}, "one holder"),
        ({"target_checks": False}, "no effect after a newer holder's"),
        (
            {"target_checks": False, "honours_fencing": False},
            "no effect after a newer holder's",
        ),
        (
            {"recovers_fence": False, "honours_fencing": False},
            "no effect after a newer holder's",
        ),
    ],
)
def test_seeded_mistake_is_caught(mistake, expected):
    result = check_safety(make_model(**mistake), max_states=MAX_STATES)
    broken = {n for n, p in result["properties"].items() if p["holds"] is False}
    assert expected in broken
