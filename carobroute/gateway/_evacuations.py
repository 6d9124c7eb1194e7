"""Data centres that the operators have asked to empty, and how old that is."""

from collections.abc import Callable, Collection

import msgspec

from carobroute.platform import FIRST_ERA
from carobroute.utils import Clock, Count, Integer

# Time in which the operators write again what a store that came back from an older copy
# has lost. Until then, evacuations that the copy lacks hold.
REWRITE_MS = 2_000.0
# Era before the first reading.
NO_ERA = -1


class EvacuationReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of evacuations, as told to peers.

    Parameters
    ----------
    era : int
        Era of the store that it comes from; -1 before the first reading. A store that
        names no eras is always in era 0.
    is_settled : bool
        Whether the operators have had time to write again in this era.
    version : int
        Version of the store at the reading or change that it comes from.
    data_centres : list of str
        Data centres that are to get no calls.
    """

    era: Integer = NO_ERA
    is_settled: bool = False
    version: Count = 0
    data_centres: list[str] = []


EvacuationCallback = Callable[[str, bool, str], None]


class Evacuations:
    """Data centres whose targets get no new calls.

    The knowledge comes from readings and changes of the operators' table, here or at a
    peer. What is newer by the era and version of the store replaces what is older, so
    a late answer or digest neither ends nor brings back an evacuation. While the store
    is away, the last knowledge holds. After the store has come back from an older copy,
    evacuations from before hold until the operators have had time to write again.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_change : callable, optional
        Called with a data centre, whether it is to be empty now, and the source: the
        `store` or a `peer`.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> evacuations = Evacuations(clock=ManualClock())
    >>> evacuations.apply_reading(1, 7, {"a"})
    >>> evacuations.merge(EvacuationReport(1, True, 6, []))
    >>> sorted(evacuations.data_centres)
    ['a']
    >>> evacuations.apply_change(8, "a", is_evacuated=False)
    >>> sorted(evacuations.data_centres)
    []
    """

    __slots__ = (
        "_changed_ms",
        "_clock",
        "_data_centres",
        "_era",
        "_is_settled",
        "_on_change",
        "_settles_ms",
        "_version",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        on_change: EvacuationCallback = lambda data_centre, is_evacuated, source: None,
    ):
        self._clock = clock
        self._on_change = on_change
        self._data_centres: frozenset[str] = frozenset()
        self._era = NO_ERA
        self._version = 0
        self._is_settled = False
        # Boot time from which on a reading in this era settles it.
        self._settles_ms = 0.0
        self._changed_ms = clock.boot_time_ms()

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres whose targets get no new calls."""
        return self._data_centres

    @property
    def version(self) -> int:
        """Version of the store that the knowledge comes from."""
        return self._version

    @property
    def era(self) -> int:
        """Era of the store that the knowledge comes from; -1 before the first one."""
        return self._era

    @property
    def unchanged_ms(self) -> float:
        """Time since the last change."""
        return self._clock.boot_time_ms() - self._changed_ms

    @property
    def settles_in_ms(self) -> float | None:
        """Time until a reading settles a new era of the store; None if it is settled.

        It is 0 if a reading is due.
        """
        if self._is_settled:
            return None
        return max(0.0, self._settles_ms - self._clock.boot_time_ms())

    def apply_reading(
        self,
        era: int,
        version: int,
        data_centres: Collection[str],
        sent_ms: float | None = None,
    ) -> None:
        """Apply a complete reading of the operators' table.

        Parameters
        ----------
        era, version : int
            Era and version of the store in the answer.
        data_centres : collection of str
            Data centres that it lists as to be emptied.
        sent_ms : float or None, default=None
            Boot time at which the reading was sent; None for now.
        """
        if era < self._era or (era == self._era and version < self._version):
            return
        if era > self._era:
            self._begin_era(era)
        self._version = version
        if not self._is_settled:
            now_ms = self._clock.boot_time_ms()
            self._is_settled = (now_ms if sent_ms is None else sent_ms) >= (
                self._settles_ms
            )
        held = frozenset() if self._is_settled else self._data_centres
        self._replace(held.union(data_centres), "store")

    def apply_change(
        self, version: int, data_centre: str, *, is_evacuated: bool
    ) -> None:
        """Apply a change of one row, which a watch in the era in force has brought."""
        if version <= self._version:
            return
        self._version = version
        changed = {data_centre}
        self._replace(
            self._data_centres | changed
            if is_evacuated
            else self._data_centres - changed,
            "store",
        )

    def merge(self, report: EvacuationReport) -> None:
        """Take over what a peer knows, if it is newer."""
        if report.era < self._era or report.era == NO_ERA:
            return
        if report.era > self._era:
            self._begin_era(report.era)
        if not (self._is_settled or report.is_settled):
            # Each may know an evacuation that the copy lacks.
            self._version = max(self._version, report.version)
            self._replace(self._data_centres.union(report.data_centres), "peer")
            return
        settles = report.is_settled and not self._is_settled
        is_newer = report.is_settled and report.version > self._version
        if not is_newer and not (settles and report.version == self._version):
            return
        self._version = report.version
        self._is_settled = True
        self._replace(frozenset(report.data_centres), "peer")

    def report(self) -> EvacuationReport:
        """Return what peers should know."""
        return EvacuationReport(
            self._era, self._is_settled, self._version, sorted(self._data_centres)
        )

    def _begin_era(self, era: int) -> None:
        """Hold what is known, as the store may have come back from an older copy."""
        is_first_knowledge = self._era == NO_ERA and era <= FIRST_ERA
        self._era, self._version = era, 0
        self._is_settled = is_first_knowledge
        self._settles_ms = self._clock.boot_time_ms() + REWRITE_MS

    def _replace(self, data_centres: frozenset[str], source: str) -> None:
        before, self._data_centres = self._data_centres, data_centres
        if before == data_centres:
            return
        self._changed_ms = self._clock.boot_time_ms()
        for name in sorted(before ^ data_centres):
            self._on_change(name, name in data_centres, source)
