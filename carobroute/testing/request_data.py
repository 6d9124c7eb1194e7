"""Builders of routers, queues, queries and load reports for tests."""

import random

from carobroute.links import LoadReport
from carobroute.requests import FairQueue, RouteQuery, Router, TargetView
from carobroute.utils import Clock

SERVICE = "klang-model"
DATA_CENTRES = ("svea-a", "svea-b", "svea-c")


def make_view(name: str, **fields) -> TargetView:
    """Return a target of `SERVICE` in data centre svea-a."""
    fields.setdefault("data_centre", DATA_CENTRES[0])
    fields.setdefault("incarnation", f"{name}~1")
    fields.setdefault("region", "svealand")
    return TargetView(name=name, service=SERVICE, **fields)


def make_router(clock: Clock, views: list[TargetView], **fields) -> Router:
    """Return a router of an entry in svea-a with the targets `views`."""
    fields.setdefault("random", random.Random(1))
    router = Router(clock=clock, name="entry-1", data_centre=DATA_CENTRES[0], **fields)
    router.update_targets(views)
    return router


def make_query(**fields) -> RouteQuery:
    """Return a query for `SERVICE` from svea-a."""
    return RouteQuery(service=SERVICE, data_centre=DATA_CENTRES[0], **fields)


def make_report(target: str, sequence: int, **fields) -> LoadReport:
    """Return a load report of a target, by default an idle one."""
    fields = {"running": 0, "queued": 0, "concurrency": 8, "step_ms": 20.0, **fields}
    return LoadReport(target=target, sequence=sequence, **fields)


def make_queue(clock: Clock, *, concurrency: int = 4, **fields) -> FairQueue:
    """Return a fair queue with a fixed seed."""
    return FairQueue(
        concurrency=concurrency, clock=clock, random=random.Random(1), **fields
    )


def count_choices(router: Router, count: int, **query) -> dict[str, int]:
    """Return how often each target is chosen; no call is recorded as sent."""
    chosen: dict[str, int] = {}
    for _ in range(count):
        target = router.choose(make_query(**query)).unwrap().target
        chosen[target] = chosen.get(target, 0) + 1
    return chosen
