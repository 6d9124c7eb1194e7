import pytest
from minicheck import check_safety

from spec.order_claim import MISTAKES, VARIANTS, Variant, order_claim

APART = Variant(same_target=False, honours_fencing=False, submissions=2)
THREE = APART._replace(submissions=3, crashes=False)
TOGETHER = APART._replace(same_target=True)

CAUGHT_BY = {
    "clock not required": APART,
    "silence taken for never": APART,
    "late grant accepted": APART,
    "lost answer released": APART,
    "release deletes the row": THREE,
    "lease not checked": TOGETHER,
    "take-over without a wait": TOGETHER,
    "fence not required": TOGETHER,
    "claimed anew after the retention": APART,
    "release meets another claim": THREE,
}


@pytest.mark.parametrize("variant", VARIANTS, ids=str)
def test_order_claim_holds_in_every_state(variant):
    result = check_safety(order_claim(variant), max_states=1_000_000)
    assert result["exhaustive"]
    broken = [name for name, p in result["properties"].items() if not p["holds"]]
    assert broken == []


@pytest.mark.parametrize("mistake", MISTAKES)
def test_each_mistake_is_caught(mistake):
    variant = CAUGHT_BY[mistake]._replace(mistake=mistake)
    result = check_safety(order_claim(variant), max_states=400_000)
    assert any(p["holds"] is False for p in result["properties"].values())
