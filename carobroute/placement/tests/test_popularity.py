import numpy as np

from carobroute.placement import PopularityEstimator

HALF_LIFE_MS = 10_000.0


def make_popularity(**options):
    return PopularityEstimator(
        layers=1,
        experts=4,
        half_life_ms=HALF_LIFE_MS,
        fast_half_life_ms=1_000.0,
        **options,
    )


def test_report_has_half_the_weight_after_its_half_life():
    popularity = make_popularity(sharp_change_threshold=2.0)
    popularity.observe([[100, 0, 0, 0]], sequence=1, until_ms=0)
    popularity.observe([[0, 100, 0, 0]], sequence=2, until_ms=HALF_LIFE_MS)
    assert popularity.shares()[0, :2].round(2).tolist() == [0.5, 0.5]


def test_report_after_a_gap_has_more_weight():
    popularity = make_popularity(sharp_change_threshold=2.0)
    popularity.observe([[100, 0, 0, 0]], sequence=1, until_ms=0)
    popularity.observe([[0, 100, 0, 0]], sequence=9, until_ms=3 * HALF_LIFE_MS)
    assert popularity.shares()[0, 1].round(3) == 0.875
    assert popularity.lost_reports == 7


def test_old_repeated_and_malformed_reports_are_ignored():
    popularity = make_popularity()
    assert popularity.observe([[1, 1, 1, 1]], sequence=5, until_ms=0)
    before = popularity.shares()
    assert not popularity.observe([[9, 0, 0, 0]], sequence=5, until_ms=1_000)
    assert not popularity.observe([[9, 0, 0, 0]], sequence=4, until_ms=1_000)
    assert not popularity.observe([[9, 0, 0]], sequence=6, until_ms=1_000)
    assert not popularity.observe([[-1, 0, 0, 0]], sequence=6, until_ms=1_000)
    assert np.array_equal(popularity.shares(), before)


def test_sharp_change_replaces_the_slow_estimate():
    popularity = make_popularity(sharp_change_threshold=0.25)
    popularity.observe([[70, 10, 10, 10]], sequence=1, until_ms=0)
    popularity.observe([[10, 70, 10, 10]], sequence=2, until_ms=2_000)
    assert popularity.sharp_changes == 1
    assert popularity.shares()[0, 1] > 0.5
