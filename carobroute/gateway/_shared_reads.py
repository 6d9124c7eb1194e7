"""Knowledge of the store that gateways pass on to each other, with its age.

A few gateways read the configuration and the list of targets all the time. The others
take from their digests that what they know is still current, and read only what has
changed. What a peer passes on is dated by the store's clock, so it is never taken for
younger than it is.
"""

from collections.abc import Callable, Mapping

import msgspec
import xxhash

from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._evacuations import EvacuationReport, Evacuations
from carobroute.gateway._targets import TargetDirectory
from carobroute.utils import Clock, Integer, Number

# Gateways that read the store all the time; the others follow while one of them works.
READER_COUNT = 3
# A date from the future of the store's clock, beyond this tolerance, is not believed.
CLOCK_TOLERANCE_MS = 100.0
# Largest difference in speed between the store's clock and a machine's.
MAX_CLOCK_DRIFT = 0.0005
# Time after the store's clock was set, in which dates from before that may come in.
# Keys are accepted for a shorter time than this.
DISTRUST_MS = 10_000.0
# A gateway that follows reads the configuration itself from this part of the age on up
# to which keys are accepted, and from this age if there is no such limit.
MAX_FOLLOWED_RATIO = 0.75
MAX_FOLLOWED_AGE_MS = 4_600.0
# Interval at which a gateway that follows asks for a first configuration.
FIRST_READ_INTERVAL_MS = 2_000.0
# Age of the list of targets, in intervals of the readers, from which on a gateway that
# follows reads it itself.
MAX_LIST_AGE_INTERVALS = 1.5
# Shortest time between two readings of the list, in intervals of the readers, while
# targets come and go one after the other.
MIN_READ_SPACING_INTERVALS = 0.6


class StoreKnowledge(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of the store, dated by the store's clock.

    Parameters
    ----------
    reaches_store : bool
        Whether the gateway's last call to the store was answered.
    configuration_version : int
        Version of the active configuration; -1 for none.
    configuration_ms : float
        Time at which the store provably held no newer one.
    targets_hash : int
        Hash of the list of targets; 0 before the first reading.
    targets_ms : float
        Time at which the store held that list.
    evacuations : EvacuationReport
        Data centres that are to get no calls.
    """

    reaches_store: bool = False
    configuration_version: Integer = -1
    configuration_ms: Number = 0.0
    targets_hash: int = 0
    targets_ms: Number = 0.0
    evacuations: EvacuationReport = EvacuationReport()


class StoreClock:
    """Conversion between the store's clock and the boot time of this machine.

    The store took its time between the sending of a call and its answer, which bounds
    the offset of the two clocks from both sides. An answer outside of these bounds
    shows that the store's clock was set; dates from before that can't be told from
    later ones, so for a while none is converted.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> store_clock = StoreClock(clock=ManualClock(start_ms=1_000.0))
    >>> store_clock.to_boot_ms(500.0) is None
    True
    >>> store_clock.note_answer(sent_ms=1_000.0, store_ms=400.0)
    >>> store_clock.to_boot_ms(300.0)
    900.0
    """

    __slots__ = ("_clock", "_distrusted_until_ms", "_max_ms", "_min_ms", "_noted_ms")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        # Bounds of boot time minus the store's time, as of `_noted_ms`.
        self._min_ms: float | None = None
        self._max_ms = 0.0
        self._noted_ms = 0.0
        self._distrusted_until_ms = 0.0

    def note_answer(self, *, sent_ms: float, store_ms: float) -> None:
        """Note the store's time in an answer that has just arrived.

        Parameters
        ----------
        sent_ms : float
            Boot time at which the call was sent.
        store_ms : float
            Time of the store in its answer.
        """
        received_ms = self._clock.boot_time_ms()
        min_ms, max_ms = sent_ms - store_ms, received_ms - store_ms
        if self._min_ms is not None:
            drift_ms = MAX_CLOCK_DRIFT * (received_ms - self._noted_ms)
            known_min_ms = self._min_ms - drift_ms
            known_max_ms = self._max_ms + drift_ms
            if min_ms > known_max_ms or max_ms < known_min_ms:
                self._distrusted_until_ms = received_ms + DISTRUST_MS
            else:
                min_ms, max_ms = max(min_ms, known_min_ms), min(max_ms, known_max_ms)
        self._min_ms, self._max_ms, self._noted_ms = min_ms, max_ms, received_ms

    def to_boot_ms(self, store_ms: float) -> float | None:
        """Return the boot time for a time of the store; None if it is not known.

        It is never too young. A time in the future is not believed, and gives None
        as well.
        """
        now_ms = self._clock.boot_time_ms()
        if self._min_ms is None or now_ms < self._distrusted_until_ms:
            return None
        drift_ms = MAX_CLOCK_DRIFT * (now_ms - self._noted_ms)
        boot_ms = store_ms + self._min_ms - drift_ms
        if boot_ms > now_ms + CLOCK_TOLERANCE_MS:
            return None
        return min(boot_ms, now_ms)


class SharedReads:
    """Decides whether this gateway reads the store itself, or follows its peers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    name : str
        Incarnation of this gateway.
    configuration : ActiveConfiguration
        Configuration whose proof peers may renew.
    directory : TargetDirectory
        Targets whose list peers may confirm.
    peers : callable
        Returns what each live peer knows of the store, by its incarnation.
    evacuations : Evacuations, default=None
        Evacuations that peers may know earlier; None for ones of its own.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_directory",
        "_evacuations",
        "_name",
        "_peers",
        "is_configuration_outdated",
        "is_target_list_outdated",
        "reaches_store",
        "store_clock",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        name: str,
        configuration: ActiveConfiguration,
        directory: TargetDirectory,
        peers: Callable[[], Mapping[str, StoreKnowledge]],
        evacuations: Evacuations | None = None,
    ):
        self._evacuations = evacuations or Evacuations(clock=clock)
        self._clock = clock
        self._name = name
        self._configuration = configuration
        self._directory = directory
        self._peers = peers
        self.store_clock = StoreClock(clock=clock)
        # Whether the last call of this gateway to the store was answered.
        self.reaches_store = False
        # Whether a peer knows another state, which must be read.
        self.is_configuration_outdated = False
        self.is_target_list_outdated = False

    @property
    def newest_peer_version(self) -> int:
        """Newest version of the configuration that a live peer knows; -1 for none."""
        known = (peer.configuration_version for peer in self._peers().values())
        return max(known, default=-1)

    @property
    def is_reader(self) -> bool:
        """Whether this gateway reads the store all the time."""
        own_order = _order(self._name)
        before = sum(
            knowledge.reaches_store and _order(name) < own_order
            for name, knowledge in self._peers().items()
        )
        return before < READER_COUNT

    def should_read_configuration(self, idle_ms: float) -> bool:
        """Return whether the configuration must be read or watched now.

        Parameters
        ----------
        idle_ms : float
            Time since the last call of this gateway for it.
        """
        if self.is_reader:
            return True
        if self._configuration.table is None:
            return self.is_configuration_outdated or idle_ms > FIRST_READ_INTERVAL_MS
        max_age_ms = MAX_FOLLOWED_RATIO * min(
            self._configuration.max_proof_age_ms, MAX_FOLLOWED_AGE_MS
        )
        is_stale = self._configuration.proof_age_ms > max_age_ms
        return is_stale or self.is_configuration_outdated

    def should_read_targets(self, interval_ms: float, idle_ms: float) -> bool:
        """Return whether the list of targets must be read now.

        Parameters
        ----------
        interval_ms : float
            Interval at which readers read it.
        idle_ms : float
            Time since this gateway has read it.
        """
        is_stale = self._directory.age_ms >= MAX_LIST_AGE_INTERVALS * interval_ms
        if self.is_reader:
            is_stale = self._directory.age_ms >= interval_ms
        is_outdated = (
            self.is_target_list_outdated
            and idle_ms >= MIN_READ_SPACING_INTERVALS * interval_ms
        )
        return is_stale or is_outdated

    def current_knowledge(self) -> StoreKnowledge:
        """Return what this gateway knows, for its next digest."""
        return StoreKnowledge(
            reaches_store=self.reaches_store,
            configuration_version=self._configuration.version,
            configuration_ms=self._configuration.proof_store_ms,
            targets_hash=self._directory.list_hash,
            targets_ms=self._directory.list_store_ms,
            evacuations=self._evacuations.report(),
        )

    def apply_knowledge(self, knowledge: StoreKnowledge) -> None:
        """Take over what a peer knows, or note that something must be read."""
        self._evacuations.merge(knowledge.evacuations)
        proof_ms = self.store_clock.to_boot_ms(knowledge.configuration_ms)
        table = self._configuration.table
        if table is None:
            self.is_configuration_outdated |= knowledge.configuration_version >= 0
        elif proof_ms is not None:
            if knowledge.configuration_version == table.version:
                self._configuration.confirm_current(
                    proof_ms, knowledge.configuration_ms
                )
            elif knowledge.configuration_version > table.version:
                self.is_configuration_outdated = True
        read_ms = self.store_clock.to_boot_ms(knowledge.targets_ms)
        if read_ms is None or not knowledge.targets_hash:
            return
        if knowledge.targets_hash == self._directory.list_hash:
            self._directory.confirm(read_ms, knowledge.targets_ms)
        elif knowledge.targets_ms > self._directory.list_store_ms:
            self.is_target_list_outdated = True


def _order(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
