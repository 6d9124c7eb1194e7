from carobroute.engines import CacheEvent, CacheEvents
from carobroute.local._cache_news import BLOCKS_PER_NEWS, CacheReporter
from carobroute.utils import ManualClock


def make_reporter():
    return CacheReporter(target="t", engine=None, endpoint=None, clock=ManualClock())


def events(*numbers, run="r1", blocks=1):
    made = [
        CacheEvent(seq=n, stored=[n * 1_000 + k for k in range(blocks)])
        for n in numbers
    ]
    return CacheEvents(incarnation=run, events=made)


def test_gap_in_the_events_is_a_gap_in_the_news():
    reporter = make_reporter()
    reporter.take(events(1, 2))
    first = reporter.next_news()
    reporter.take(events(5))
    second = reporter.next_news()
    assert (first.sequence, second.sequence) == (1, 3)


def test_news_is_bounded_and_in_sequence():
    reporter = make_reporter()
    reporter.take(events(1, blocks=3 * BLOCKS_PER_NEWS))
    sizes, numbers = [], []
    while (news := reporter.next_news()) is not None:
        sizes.append(len(news.stored) + len(news.removed))
        numbers.append(news.sequence)
    assert sizes == [BLOCKS_PER_NEWS] * 3
    assert numbers == [1, 2, 3]


def test_new_run_of_the_target_starts_over():
    reporter = make_reporter()
    reporter.take(events(7))
    reporter.take(events(1, run="r2"))
    news = reporter.next_news()
    assert (news.run, news.sequence, news.stored) == ("r2", 1, [1_000])
