"""Which peers a process keeps links to for control, and news of instances.

Within a data centre each process links to the few members that rendezvous hashing
ranks highest for it, and to its successor on a ring of hashed names. Such a graph
stays connected when members fail, has a diameter that grows with the logarithm of the
members, and moves few links when one comes or goes. The bridges of a data centre, the
first of another rendezvous order, also link to bridges of the other data centres of
the region and to one data centre of each other region.
"""

import random as random_module
from collections.abc import Callable

import msgspec

from carobroute.domain import Instance
from carobroute.links import Endpoint, Message, Peer
from carobroute.membership._directory import Directory
from carobroute.membership._messages import (
    InstanceDigest,
    InstanceNews,
    SuspicionNews,
)
from carobroute.membership._suspicion import Suspicions
from carobroute.utils import Clock, TaskSet, rendezvous_order, rendezvous_winner

OWNER = "overlay"
MAX_NEWS = 2_000


class OverlayParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and intervals of the overlay.

    Parameters
    ----------
    fan_out : int
        Links that each process opens within its data centre.
    bridges : int
        Processes of a data centre that link to others and read the store often.
    tend_ms : float
        Interval of adjusting links and of looking for silent neighbours.
    digest_ms : float
        Mean interval of comparing the known instances with one neighbour.
    report_ms : float
        Shortest interval of reporting the same silent neighbours again.
    silent_ms : float
        Silence of a link at which its peer is suspected.
    """

    fan_out: int = 4
    bridges: int = 2
    tend_ms: float = 1_000.0
    digest_ms: float = 30_000.0
    report_ms: float = 8_000.0
    silent_ms: float = 8_000.0


class Overlay:
    """Keeps the control links of one process and passes on news of instances.

    Parameters
    ----------
    directory : Directory
        Known instances.
    endpoint : Endpoint
        This process's links.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    suspicions : Suspicions, default=None
        Where observations are collected.
    parameters : OverlayParameters, default=None
        Sizes and intervals.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        endpoint: Endpoint,
        clock: Clock,
        random: random_module.Random,
        suspicions: Suspicions | None = None,
        parameters: OverlayParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._directory = directory
        self._endpoint = endpoint
        self._clock = clock
        self._random = random
        self._suspicions = suspicions or Suspicions(clock=clock)
        self._parameters = parameters or OverlayParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._neighbours: dict[str, Peer] = {}
        self._wanted: dict[str, Instance] = {}
        self._reported: set[str] = set()
        self._reported_ms = 0.0
        self._sequence = 0
        self._stale = True
        self._greeted: set[str] = set()
        self._tasks = TaskSet(on_failure=self._task_failed)

    @property
    def suspicions(self) -> Suspicions:
        """What observers say of instances."""
        return self._suspicions

    @property
    def _own(self) -> str:
        return self._directory.own.incarnation

    @property
    def neighbours(self) -> list[Peer]:
        """Peers that this process keeps control links to."""
        return list(self._neighbours.values())

    @property
    def is_bridge(self) -> bool:
        """Whether this process is one of its data centre's bridges."""
        own = self._directory.own
        return own.name in self.bridges(own.data_centre)

    def bridges(self, data_centre: str) -> list[str]:
        """Return the names of the bridges of `data_centre`."""
        names = [entry.name for entry in self._candidates(data_centre)]
        order = rendezvous_order(f"bridge/{data_centre}", names)
        return order[: self._parameters.bridges]

    async def start(self) -> None:
        """Begin to keep links and to pass on news."""
        self._endpoint.handle(InstanceNews, self._on_news)
        self._endpoint.handle(InstanceDigest, self._on_digest)
        self._endpoint.handle(SuspicionNews, self._on_suspicions)
        self._directory.on_change(self._mark_stale)
        self._directory.on_leaving(lambda instance: self.spread([instance]))
        self._suspicions.on_change(self._mark_stale)
        self._tend_links()
        self._tasks.spawn(self._tend(), name="overlay")

    async def stop(self) -> None:
        """End the task; the endpoint closes the links."""
        await self._tasks.close()

    def spread(self, instances: list[Instance]) -> None:
        """Tell all linked peers about `instances`."""
        self._send_to_all(InstanceNews(instances=instances[:MAX_NEWS]))

    def _candidates(self, data_centre: str) -> list[Instance]:
        own = self._directory.own.name
        return [
            entry
            for entry in self._directory.live(data_centre)
            if entry.name == own or not self._suspicions.is_suspected(entry.incarnation)
        ]

    def _mark_stale(self) -> None:
        self._stale = True

    async def _tend(self) -> None:
        while True:
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep_ms(self._parameters.tend_ms * jitter)
            if self._stale:
                self._tend_links()
            self._greet()
            self._compare()
            self._observe()

    # Links.

    def _tend_links(self) -> None:
        self._stale = False
        wanted = {entry.address: entry for entry in self._choose()}
        for address in [a for a in self._neighbours if a not in wanted]:
            del self._neighbours[address]
            self._greeted.discard(address)
            self._endpoint.forget(address, OWNER)
        for address in wanted:
            self._neighbours[address] = self._endpoint.peer(address, OWNER)
        self._wanted = wanted

    def _choose(self) -> list[Instance]:
        own = self._directory.own
        members = {
            entry.name: entry
            for entry in self._directory.live(own.data_centre)
            if entry.name != own.name
        }
        names = choose_neighbours(own.name, members, self._parameters.fan_out)
        chosen = [members[name] for name in names]
        if self.is_bridge:
            chosen.extend(self._choose_remote())
        return chosen

    def _choose_remote(self) -> list[Instance]:
        """One bridge of each data centre here, and one of each other region."""
        own = self._directory.own
        regions: dict[str, set[str]] = {}
        for entry in self._directory.live():
            regions.setdefault(entry.region, set()).add(entry.data_centre)
        near = regions.pop(own.region, set()) - {own.data_centre}
        data_centres = sorted(near)
        for region in sorted(regions):
            # Each data centre links to another one over there, as far as they go.
            winner = rendezvous_winner(f"{own.data_centre}/{region}", regions[region])
            data_centres.append(winner or "")
        chosen = []
        for data_centre in data_centres:
            bridges = self.bridges(data_centre)
            name = rendezvous_winner(own.name, bridges)
            remote = self._directory.by_name(name) if name else None
            if remote is not None:
                chosen.append(remote)
        return chosen

    def _greet(self) -> None:
        """Show a new neighbour this instance, so that it passes news on to us."""
        for address, peer in self._neighbours.items():
            if address not in self._greeted and peer.up:
                self._greeted.add(address)
                peer.send(InstanceNews(instances=[self._directory.own]))
                peer.send(InstanceDigest(hashes=self._directory.bucket_hashes()))

    # News.

    def _on_news(self, peer: Peer, entry: InstanceNews) -> None:
        self._directory.heard(peer.incarnation)
        news = self._directory.learn(entry.instances[:MAX_NEWS])
        if news:
            self._send_to_all(InstanceNews(instances=news), but=peer)

    def _send_to_all(self, entry: Message, but: Peer | None = None) -> None:
        for peer in self._endpoint.peers:
            known = not peer.address or peer.address in self._neighbours
            if peer is not but and peer.up and known:
                peer.send(msgspec.structs.replace(entry))

    def _compare(self) -> None:
        """Now and then compare with one neighbour, for news that a link lost."""
        share = self._parameters.tend_ms / self._parameters.digest_ms
        peers = [peer for peer in self._neighbours.values() if peer.up]
        if peers and self._random.random() < share:
            peer = self._random.choice(peers)
            peer.send(InstanceDigest(hashes=self._directory.bucket_hashes()))

    def _on_digest(self, peer: Peer, entry: InstanceDigest) -> None:
        own = self._directory.bucket_hashes()
        pairs = zip(own, entry.hashes, strict=False)
        different = {i for i, (mine, other) in enumerate(pairs) if mine != other}
        if not different:
            return
        entries = self._directory.in_buckets(different)
        peer.send(InstanceNews(instances=entries[:MAX_NEWS]))
        if not entry.answered:
            peer.send(InstanceDigest(hashes=own, answered=True))

    # Suspicions.

    def _observe(self) -> None:
        """Report which neighbours are silent, when that changes and now and then."""
        silent, heard = self._look()
        cleared = (self._reported - silent) | heard
        new = silent - self._reported
        now_ms = self._clock.now_ms()
        again = silent and now_ms - self._reported_ms >= self._parameters.report_ms
        if new or cleared or again:
            self._report(sorted(silent), sorted(cleared))
            self._reported_ms = now_ms
        self._reported = silent

    def _look(self) -> tuple[set[str], set[str]]:
        """Return the neighbours that are silent, and those accused that are heard."""
        silent, heard = set(), set()
        for address, peer in self._neighbours.items():
            expected = self._wanted[address].incarnation
            if peer.up and peer.silent_ms < self._parameters.silent_ms:
                if peer.incarnation != expected:
                    continue
                self._directory.heard(expected)
                if self._suspicions.is_accused(expected, but=self._own):
                    heard.add(expected)
            elif peer.silent_ms >= self._parameters.silent_ms:
                silent.add(expected)
        return silent, heard

    def _report(self, silent: list[str], heard: list[str]) -> None:
        self._sequence += 1
        news = SuspicionNews(
            observer=self._own, sequence=self._sequence, silent=silent, heard=heard
        )
        self._suspicions.note(self._own, self._sequence, silent, heard)
        self._send_to_all(news)

    def _on_suspicions(self, peer: Peer, entry: SuspicionNews) -> None:
        if self._suspicions.note(
            entry.observer, entry.sequence, entry.silent, entry.heard
        ):
            self._send_to_all(entry, but=peer)
            if self._own in entry.silent:
                # Whoever hears this process clears it: the path was at fault.
                self._on_event("suspected", level="warning", observer=entry.observer)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))


def choose_neighbours(own: str, names: dict[str, Instance], fan_out: int) -> list[str]:
    """Return the names that `own` links to: a successor and the nearest by hash.

    Examples
    --------
    >>> choose_neighbours("a", {}, 4)
    []
    """
    if len(names) <= fan_out:
        return list(names)
    ring = rendezvous_order("ring", [*names, own])
    successor = ring[(ring.index(own) + 1) % len(ring)]
    ranked = rendezvous_order(own, names)
    return list(dict.fromkeys([successor, *ranked]))[:fan_out]
