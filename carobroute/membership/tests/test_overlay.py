import random

import pytest

from carobroute.domain import InstanceState
from carobroute.links import Endpoint, LinkParameters
from carobroute.membership import (
    Directory,
    ListPoller,
    ListPollerParameters,
    Overlay,
    OverlayParameters,
    Suspicions,
)
from carobroute.membership._overlay import choose_neighbours
from carobroute.testing import FakeInstanceList, make_instance, wait_until
from carobroute.utils import Clock, ManualClock

LINKS = LinkParameters(
    ping_busy_ms=20, ping_idle_ms=40, silence_ms=200, reopen_ms=10, reopen_most_ms=50
)
FAST = OverlayParameters(tend_ms=20, silent_ms=150, fan_out=2)


class Node:
    """One process with an overlay."""

    def __init__(self, name, data_centre="suva"):
        self.name, self.data_centre = name, data_centre
        self.incarnation = f"{name}~1"
        self.endpoint = Endpoint(
            name=name,
            role="entry",
            data_centre=data_centre,
            incarnation=self.incarnation,
            clock=Clock(),
            parameters=LINKS,
        )

    async def bind(self):
        address = await self.endpoint.start()
        self.instance = make_instance(
            self.name, data_centre=self.data_centre, address=address
        )
        self.directory = Directory(clock=Clock(), own=self.instance)
        self.overlay = Overlay(
            directory=self.directory,
            endpoint=self.endpoint,
            clock=Clock(),
            random=random.Random(self.name),
            parameters=FAST,
        )

    async def stop(self):
        await self.overlay.stop()
        await self.endpoint.stop()


async def start_nodes(specs):
    nodes = [Node(name, data_centre) for name, data_centre in specs]
    for node in nodes:
        await node.bind()
    for node in nodes:
        node.directory.update_from_list([n.instance for n in nodes])
        await node.overlay.start()
    return nodes


@pytest.fixture
async def nodes():
    specs = [(f"{dc}-{i}", dc) for dc in ("suva", "nadi") for i in range(4)]
    entries = await start_nodes(specs)
    yield entries
    for node in entries:
        await node.stop()


async def test_news_of_an_instance_reaches_every_data_centre(nodes):
    newcomer = make_instance("late", address="tcp://127.0.0.1:9")
    nodes[0].directory.learn([newcomer])
    nodes[0].overlay.spread([newcomer])
    await wait_until(lambda: all(n.directory.by_name("late") for n in nodes))


async def test_leaving_spreads_along_the_links(nodes):
    own = nodes[0].instance
    nodes[0].directory.mark_leaving(own.name, own.incarnation, "hot")
    assert nodes[0].directory.own.state is InstanceState.LEAVING
    await wait_until(
        lambda: all(n.directory.is_leaving(own.incarnation) for n in nodes)
    )


async def test_dead_process_becomes_suspected_and_loses_its_bridge_role(nodes):
    bridges = nodes[0].overlay.bridges("suva")
    dead = next(node for node in nodes if node.name == bridges[0])
    others = [n for n in nodes if n is not dead and n.data_centre == "suva"]
    await dead.stop()
    await wait_until(
        lambda: all(bridges[0] not in n.overlay.bridges("suva") for n in others)
    )


async def test_one_observers_broken_path_is_not_a_death(nodes):
    """The address that one process holds for another is wrong."""
    observer = nodes[0]
    addresses = {peer.address for peer in observer.overlay.neighbours}
    target = next(n for n in nodes if n.endpoint.address in addresses)
    wrong = make_instance(
        target.name, incarnation=target.incarnation, address="tcp://127.0.0.1:9"
    )
    others = [n.instance for n in nodes if n is not target]
    observer.directory.update_from_list([*others, wrong])
    await wait_until(
        lambda: any(
            n.overlay.suspicions.is_accused(target.incarnation) for n in nodes[2:4]
        )
    )
    assert not any(n.overlay.suspicions.is_suspected(target.incarnation) for n in nodes)


def test_two_observers_outweigh_one_that_hears():
    clock = ManualClock()
    suspicions = Suspicions(clock=clock)
    for observer in ("a", "b"):
        suspicions.note(observer, 1, ["x~1"], [])
    assert suspicions.is_suspected("x~1")
    suspicions.note("c", 1, [], ["x~1"])
    assert suspicions.is_suspected("x~1")
    suspicions.note("d", 1, [], ["x~1"])
    assert not suspicions.is_suspected("x~1")
    suspicions.note("e", 1, ["x~1"], [])
    assert suspicions.is_suspected("x~1")
    clock.advance_ms(20_001)
    assert not suspicions.is_suspected("x~1")


def test_neighbours_form_one_connected_graph_that_moves_little():
    names = [f"n-{i}" for i in range(114)]
    members = {name: make_instance(name) for name in names}

    def links(own, members):
        others = {k: v for k, v in members.items() if k != own}
        return choose_neighbours(own, others, 4)

    reached, frontier = {names[0]}, [names[0]]
    graph = {name: set(links(name, members)) for name in names}
    for name in names:
        for other in graph[name]:
            graph[other].add(name)
    while frontier:
        found = graph[frontier.pop()] - reached
        reached |= found
        frontier.extend(found)
    assert reached == set(names)
    without = {k: v for k, v in members.items() if k != "n-7"}
    moved = sum(links(name, members) != links(name, without) for name in without)
    assert moved <= 20


async def test_poller_fills_the_directory_and_backs_off():
    clock = ManualClock()
    listed = FakeInstanceList()
    own = make_instance("entry-0")
    directory = Directory(clock=clock, own=own)
    poller = ListPoller(
        instances=listed,
        directory=directory,
        clock=clock,
        random=random.Random(1),
        parameters=ListPollerParameters(jitter=0.0),
    )
    assert await poller.announce()
    assert await poller.poll_once()
    assert directory.by_name("entry-0") == own
    assert poller.delay_ms() == 1_500
    for number in range(1_000):
        await listed.announce(make_instance(f"runner-{number}"))
    await poller.poll_once()
    # 1,001 entries of 225 bytes at 2 KiB/s.
    assert poller.delay_ms() == pytest.approx(109_973, rel=0.001)
    listed.available = False
    assert not await poller.poll_once()


def test_older_report_of_an_observer_changes_nothing():
    suspicions = Suspicions(clock=ManualClock())
    assert suspicions.note("a", 2, [], ["x~1"])
    assert not suspicions.note("a", 1, ["x~1"], [])
    assert not suspicions.note("a", 2, ["x~1"], [])
    assert not suspicions.is_accused("x~1")


async def test_reports_do_not_circle(nodes):
    """A report and its withdrawal overtake each other on different ways."""
    observer = nodes[0].overlay
    for _ in range(5):
        observer._report(["x~1"], [])
        observer._report([], ["x~1"])
    await wait_until(
        lambda: all(
            n.overlay.suspicions.note(nodes[0].incarnation, observer._sequence, [], [])
            is False
            for n in nodes
        )
    )
    handled = sum(n.endpoint.counts["frames_received"] for n in nodes)
    quiet = OverlayParameters(tend_ms=20).tend_ms
    await nodes[0].overlay._clock.sleep_ms(quiet * 10)
    grown = sum(n.endpoint.counts["frames_received"] for n in nodes) - handled
    # Pings go on; a report that circles makes thousands of frames in this time.
    assert grown < 1_000
