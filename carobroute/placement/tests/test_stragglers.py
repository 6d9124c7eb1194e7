from carobroute.placement import RankHealth, StragglerParameters, StragglerWatch

BOUNDS = StragglerParameters(
    patience_ms=1_000, replace_after_ms=10_000, half_life_ms=100
)
RANKS = 4


def watch_rank_one(*, slowness, load, seconds, watch=None, start_s=0):
    watch = watch or StragglerWatch(ranks=RANKS, parameters=BOUNDS)
    loads = [1.0, load, 1.0, 1.0]
    work_ms = [20.0, 20.0 * load * slowness, 20.0, 20.0]
    for second in range(start_s, start_s + seconds):
        watch.observe(work_ms=work_ms, loads=loads, now_ms=1_000.0 * second)
    return watch


def test_a_busy_rank_is_no_straggler():
    watch = watch_rank_one(slowness=1.0, load=2.5, seconds=20)
    assert watch.health() == [RankHealth.GOOD] * RANKS
    assert watch.planned_speeds().tolist() == [1.0] * RANKS


def test_a_straggler_is_shed_then_replaced():
    watch = watch_rank_one(slowness=1.5, load=1.0, seconds=4)
    assert watch.health()[1] is RankHealth.SHED
    assert 0.6 < watch.planned_speeds()[1] < 0.7
    watch_rank_one(slowness=1.5, load=1.0, seconds=12, watch=watch, start_s=4)
    assert watch.health()[1] is RankHealth.REPLACE
    watch.forget(1)
    assert watch.health()[1] is RankHealth.GOOD


def test_a_moment_of_slowness_is_not_acted_on():
    watch = watch_rank_one(slowness=1.5, load=1.0, seconds=1)
    watch_rank_one(slowness=1.0, load=1.0, seconds=5, watch=watch, start_s=1)
    assert watch.health()[1] is RankHealth.GOOD


def test_a_rank_that_recovers_takes_its_share_again():
    watch = watch_rank_one(slowness=1.5, load=1.0, seconds=4)
    watch_rank_one(slowness=1.0, load=1.0, seconds=5, watch=watch, start_s=4)
    assert watch.planned_speeds()[1] == 1.0


def test_a_very_slow_rank_is_replaced_without_waiting():
    watch = watch_rank_one(slowness=5.0, load=1.0, seconds=5)
    assert watch.health()[1] is RankHealth.REPLACE
