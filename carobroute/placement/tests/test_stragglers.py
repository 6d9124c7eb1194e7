from carobroute.placement import RankHealth, StragglerDetector, StragglerParameters

PARAMETERS = StragglerParameters(
    shed_after_ms=1_000, replace_after_ms=10_000, half_life_ms=100
)
RANKS = 4


def observe_rank_one(*, slowness, load, seconds, detector=None, start_s=0):
    detector = detector or StragglerDetector(ranks=RANKS, parameters=PARAMETERS)
    loads = [1.0, load, 1.0, 1.0]
    work_ms = [20.0, 20.0 * load * slowness, 20.0, 20.0]
    for second in range(start_s, start_s + seconds):
        detector.observe(work_ms=work_ms, loads=loads, now_ms=1_000.0 * second)
    return detector


def test_busy_rank_is_not_a_straggler():
    detector = observe_rank_one(slowness=1.0, load=2.5, seconds=20)
    assert detector.health() == [RankHealth.GOOD] * RANKS
    assert detector.planning_speeds().tolist() == [1.0] * RANKS


def test_straggler_is_shed_then_replaced():
    detector = observe_rank_one(slowness=1.5, load=1.0, seconds=4)
    assert detector.health()[1] is RankHealth.SHED
    assert 0.6 < detector.planning_speeds()[1] < 0.7
    observe_rank_one(slowness=1.5, load=1.0, seconds=12, detector=detector, start_s=4)
    assert detector.health()[1] is RankHealth.REPLACE
    detector.reset_rank(1)
    assert detector.health()[1] is RankHealth.GOOD


def test_brief_slowness_does_not_shed_a_rank():
    detector = observe_rank_one(slowness=1.5, load=1.0, seconds=1)
    observe_rank_one(slowness=1.0, load=1.0, seconds=5, detector=detector, start_s=1)
    assert detector.health()[1] is RankHealth.GOOD


def test_recovered_rank_is_planned_at_full_speed():
    detector = observe_rank_one(slowness=1.5, load=1.0, seconds=4)
    observe_rank_one(slowness=1.0, load=1.0, seconds=5, detector=detector, start_s=4)
    assert detector.planning_speeds()[1] == 1.0


def test_very_slow_rank_is_replaced_at_once():
    detector = observe_rank_one(slowness=5.0, load=1.0, seconds=5)
    assert detector.health()[1] is RankHealth.REPLACE
