"""Digests that gateways send to each other, and what the latest ones say together."""

import msgspec

from carobroute.gateway._part_evidence import EvidenceReport
from carobroute.gateway._rate_limits import LimitReport
from carobroute.gateway._shared_reads import StoreKnowledge
from carobroute.utils import Clock, Count, DatagramAddress, Duration, Number

# Time for which a gateway that is not heard any more may still send calls.
RECENT_GATEWAYS_MS = 30_000.0


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """State of one gateway, as sent to its peers.

    Parameters
    ----------
    incarnation : str
        Incarnation of the gateway.
    address : str
        `host:port` on which the gateway receives digests.
    number : int
        Sequence number among the digests of this incarnation.
    calls : dict of str to int
        Calls in flight at each incarnation of a target.
    crashes_by_request : dict of str to list of str
        Crashes of targets with each suspect request in flight, keyed by
        the request's fingerprint.
    calls_per_s : float
        Recent rate of calls to rank groups.
    knowledge : StoreKnowledge
        What the gateway knows of the store.
    duties : list of str
        Duties that the gateway holds.
    capacity : float
        Bandwidth of the gateway's link, in Mbit/s.
    data_centre : str
        Data centre of the gateway.
    slowdowns : dict of str to float
        Slowdown of each slow target in reports that the gateway has read.
    part_evidence : dict of str to EvidenceReport
        Crashes and prompt parts of each service.
    trials : dict of str to bool
        Prompt parts whose trial the gateway claims, and whether it runs.
    is_evidence_complete : bool
        Whether `part_evidence` is all that the gateway knows.
    limits : dict of str to LimitReport
        Rate limits that targets have named, by the run of the target.
    leaving : list of str
        Runs of targets that have said that they leave.
    ejected : list of str
        Runs of targets that the gateway has ejected for their answers.
    returned : list of str
        Runs of targets that the gateway has taken back after trial calls, during their
        slow start.
    cold : dict of str to float
        Remaining cold time of runs of targets, in milliseconds.
    imbalances : dict of str to float
        Imbalance of experts of each rank group that the gateway sees.
    waiting : dict of int to int
        Calls that wait at the gateway for a rank group, by priority.
    """

    incarnation: str
    address: DatagramAddress
    number: Count
    calls: dict[str, Count]
    crashes_by_request: dict[str, list[str]]
    calls_per_s: Duration = 0.0
    knowledge: StoreKnowledge = StoreKnowledge()
    duties: list[str] = []
    capacity: Duration = 0.0
    data_centre: str = ""
    slowdowns: dict[str, Duration] = {}
    part_evidence: dict[str, EvidenceReport] = {}
    trials: dict[str, bool] = {}
    is_evidence_complete: bool = False
    limits: dict[str, LimitReport] = {}
    leaving: list[str] = []
    ejected: list[str] = []
    returned: list[str] = []
    cold: dict[str, Number] = {}
    imbalances: dict[str, Number] = {}
    waiting: dict[int, Count] = {}


class PeerState:
    """Latest digest of each peer, and the calls of all peers at each target.

    Parameters
    ----------
    clock : Clock
        Source of time.
    calls_expiry_ms : float
        Silence after which a peer's calls are no longer counted.
    gone_after_ms : float
        Silence after which a peer counts as gone.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> peer_state = PeerState(clock=clock, calls_expiry_ms=1_000, gone_after_ms=700)
    >>> peer_state.update(Digest("a", "10.0.0.1:7000", 1, {"run-1": 2}, {}))
    True
    >>> peer_state.update(Digest("b", "10.0.0.2:7000", 1, {"run-1": 1}, {}))
    True
    >>> peer_state.calls_at("run-1")
    3
    >>> clock.advance_ms(1_001)
    >>> peer_state.drop_silent()
    >>> peer_state.calls_at("run-1"), peer_state.peer_count
    (0, 0)
    """

    __slots__ = (
        "_calls_by_target",
        "_calls_expiry_ms",
        "_clock",
        "_ejections_by_run",
        "_gone_after_ms",
        "_last_heard_ms",
        "_latest",
        "_slowdown_by_target",
        "_recent_ms",
        "_started_ms",
    )

    def __init__(self, *, clock: Clock, calls_expiry_ms: float, gone_after_ms: float):
        self._clock = clock
        self._calls_expiry_ms = calls_expiry_ms
        self._gone_after_ms = gone_after_ms
        self._started_ms = clock.now_ms()
        self._latest: dict[str, Digest] = {}
        # When each address was last heard of, for longer than its calls count.
        self._recent_ms: dict[str, float] = {}
        self._last_heard_ms: dict[str, float] = {}
        self._calls_by_target: dict[str, int] = {}
        # Greatest slowdown that a peer knows of; None until it is asked for again.
        self._slowdown_by_target: dict[str, float] | None = None
        self._ejections_by_run: dict[str, int] = {}

    @property
    def peer_count(self) -> int:
        """Number of peers that have sent a digest recently."""
        return len(self._latest)

    @property
    def addresses(self) -> set[str]:
        """Addresses on which these peers receive digests."""
        return {digest.address for digest in self._latest.values()}

    @property
    def live_peers(self) -> list[str]:
        """Incarnations of the peers that are not gone."""
        return [name for name in self._latest if not self.is_gone(name)]

    def imbalances_of(self, group: str) -> list[float]:
        """Return the imbalances of a rank group that live peers see."""
        return [
            digest.imbalances[group]
            for name, digest in self._latest.items()
            if group in digest.imbalances and not self.is_gone(name)
        ]

    def waiting(self) -> list[dict[int, int]]:
        """Return the calls that wait at each live peer, by priority."""
        return [
            digest.waiting
            for name, digest in self._latest.items()
            if digest.waiting and not self.is_gone(name)
        ]

    def heard_share(self, min_gateways: int = 1) -> float:
        """Return the share of the recent gateways that are heard, with this one.

        Parameters
        ----------
        min_gateways : int, default=1
            Gateways that are there at least, whether they have been heard or not.
        """
        oldest_ms = self._clock.now_ms() - RECENT_GATEWAYS_MS
        for address, heard_ms in list(self._recent_ms.items()):
            if heard_ms < oldest_ms:
                del self._recent_ms[address]
        known = max(len(self._recent_ms) + 1, min_gateways)
        return min(1.0, (len(self.live_peers) + 1) / known)

    def host_of(self, incarnation: str) -> str:
        """Return the host of a peer; empty if it is not known."""
        digest = self._latest.get(incarnation)
        return digest.address.rpartition(":")[0] if digest else ""

    def sum_ages_ms(self) -> float:
        """Return the sum of the ages of all peers' digests."""
        now_ms = self._clock.now_ms()
        return sum(now_ms - heard_ms for heard_ms in self._last_heard_ms.values())

    def calls_per_s(self) -> dict[tuple[str, str], float]:
        """Return the recent rate of calls to rank groups of each peer.

        Keys are the data centre and the incarnation of the peer.
        """
        return {
            (digest.data_centre, name): digest.calls_per_s
            for name, digest in self._latest.items()
        }

    def slowdown_at(self, incarnation: str) -> float:
        """Return the slowdown of a target that peers know; 1 if they know of none."""
        slowdowns = self._slowdown_by_target
        if slowdowns is None:
            slowdowns = self._slowdown_by_target = self._merge_slowdowns()
        return slowdowns.get(incarnation, 1.0)

    def _merge_slowdowns(self) -> dict[str, float]:
        merged: dict[str, float] = {}
        for digest in self._latest.values():
            for incarnation, slowdown in digest.slowdowns.items():
                merged[incarnation] = max(slowdown, merged.get(incarnation, 1.0))
        return merged

    def count_ejections(self, run_id: str) -> int:
        """Return the number of peers that have ejected a run of a target."""
        return self._ejections_by_run.get(run_id, 0)

    def has_returned(self, run_id: str) -> bool:
        """Return whether a peer has just taken back a run of a target."""
        return any(run_id in digest.returned for digest in self._latest.values())

    def knowledge(self) -> dict[str, StoreKnowledge]:
        """Return what each peer knows of the store."""
        return {name: digest.knowledge for name, digest in self._latest.items()}

    def find_holder(self, duty: str) -> str:
        """Return the peer that says that it holds a duty; empty for none.

        A peer that has been silent for too long does not count.
        """
        for name, digest in self._latest.items():
            if duty in digest.duties and not self.is_gone(name):
                return name
        return ""

    def count_stronger(self, name: str, capacity: float) -> int:
        """Return the number of peers that a gateway leaves a duty to.

        These are the live peers with a larger link, or with an equal one and a name
        that comes first.
        """
        own = (-capacity, name)
        return sum(
            (-digest.capacity, peer) < own and not self.is_gone(peer)
            for peer, digest in self._latest.items()
        )

    def is_known(self, incarnation: str) -> bool:
        """Return whether a gateway has sent a digest recently."""
        return incarnation in self._latest

    def trials_of(self, part: str) -> dict[str, bool]:
        """Return the live peers that claim the trial of a part.

        Values tell whether the trial runs.
        """
        return {
            name: digest.trials[part]
            for name, digest in self._latest.items()
            if part in digest.trials and not self.is_gone(name)
        }

    def is_gone(self, incarnation: str) -> bool:
        """Return whether a gateway has been silent for so long that it is gone.

        The silence of a gateway without any digest counts from this object's creation.
        """
        last_heard_ms = self._last_heard_ms.get(incarnation, self._started_ms)
        return self._clock.now_ms() - last_heard_ms > self._gone_after_ms

    def calls_at(self, incarnation: str) -> int:
        """Return the calls that peers have in flight at a target incarnation."""
        return self._calls_by_target.get(incarnation, 0)

    def update(self, digest: Digest) -> bool:
        """Apply a digest; return False unless it is newer than the known one."""
        known = self._latest.get(digest.incarnation)
        if known is not None and digest.number <= known.number:
            return False
        for old in list(self._latest.values()):
            # A restarted gateway has none of the calls of its previous incarnation.
            if old.address == digest.address:
                self._drop(old)
        self._latest[digest.incarnation] = digest
        self._slowdown_by_target = None
        self._last_heard_ms[digest.incarnation] = self._clock.now_ms()
        self._recent_ms[digest.address] = self._clock.now_ms()
        self._add_digest(digest, 1)
        return True

    def drop_silent(self) -> None:
        """Drop peers whose digests have expired."""
        oldest_ms = self._clock.now_ms() - self._calls_expiry_ms
        for name, last_heard_ms in list(self._last_heard_ms.items()):
            if last_heard_ms < oldest_ms:
                self._drop(self._latest[name])

    def _drop(self, digest: Digest) -> None:
        del self._latest[digest.incarnation]
        self._slowdown_by_target = None
        del self._last_heard_ms[digest.incarnation]
        self._add_digest(digest, -1)

    def _add_digest(self, digest: Digest, sign: int) -> None:
        """Add a digest to the totals, or subtract it if `sign` is -1."""
        for target, calls in digest.calls.items():
            _add_count(self._calls_by_target, target, sign * calls)
        for run_id in digest.ejected:
            _add_count(self._ejections_by_run, run_id, sign)


def _add_count(totals: dict[str, int], name: str, count: int) -> None:
    """Add to one of the totals, of which those that are 0 are dropped."""
    total = totals.get(name, 0) + count
    if total > 0:
        totals[name] = total
    else:
        totals.pop(name, None)
