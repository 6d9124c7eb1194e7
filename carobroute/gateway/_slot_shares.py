"""Shares of the targets' slots that each gateway uses first."""

from collections.abc import Callable, Mapping

import xxhash

from carobroute.gateway._targets import TargetDirectory
from carobroute.utils import Clock

# Ranges are computed again after this time; it is short against the life of a call.
REFRESH_INTERVAL_MS = 250.0
# Smallest weight of a gateway, as a part of the mean weight. One that was idle gets
# slots for its next calls.
MIN_WEIGHT_RATIO = 0.2


class SlotShares:
    """Divides the slots of a service among gateways in proportion to their calls.

    All slots are ordered by data centre and then by a hash, and so are the gateways.
    Each gateway has a range of that order, as long as its share of all calls, which
    mostly lies in its own data centre. Gateways with the same digests compute the same
    ranges. Shares are a preference, not a limit: where gateways disagree for a while,
    or one uses a slot of another, calls meet at a target and one of them waits.

    Parameters
    ----------
    clock : Clock
        Source of time.
    data_centre, name : str
        Data centre and incarnation of this gateway.
    directory : TargetDirectory
        Known targets.
    calls_per_s : callable
        Returns the calls per second of each gateway, this one included, by its data
        centre and incarnation.

    Examples
    --------
    >>> from carobroute.testing.gateway_data import make_target_entry
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> directory = TargetDirectory(
    ...     clock=clock, store_outage_ms=1_500.0, lapsed_grace_ms=2_200.0)
    >>> entries = [
    ...     make_target_entry(incarnation=f"i-{n}", service="model", slots=3)
    ...     for n in range(4)
    ... ]
    >>> _ = directory.update(entries)
    >>> rates = {("a", "gateway-1"): 2.0, ("b", "gateway-2"): 1.0}
    >>> shares = [
    ...     SlotShares(clock=clock, data_centre=data_centre, name=name,
    ...                directory=directory, calls_per_s=lambda: rates)
    ...     for data_centre, name in rates
    ... ]
    >>> [sum(share.own_slots("model").values()) for share in shares]
    [8, 4]
    """

    __slots__ = (
        "_calls_per_s",
        "_clock",
        "_directory",
        "_key",
        "_order_by_service",
        "_own_by_service",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        data_centre: str,
        name: str,
        directory: TargetDirectory,
        calls_per_s: Callable[[], Mapping[tuple[str, str], float]],
    ):
        self._clock = clock
        self._key = (data_centre, name)
        self._directory = directory
        self._calls_per_s = calls_per_s
        # Targets that the order was computed for, and the order of their slots.
        self._order_by_service: dict[str, tuple[frozenset[str], list[str]]] = {}
        # Time of the computation, and this gateway's slots at each target.
        self._own_by_service: dict[str, tuple[float, dict[str, int]]] = {}

    def own_slots(self, service: str) -> Mapping[str, int]:
        """Return how many slots of each target this gateway uses first."""
        now_ms = self._clock.now_ms()
        computed_ms, own = self._own_by_service.get(service, (float("-inf"), {}))
        if now_ms - computed_ms >= REFRESH_INTERVAL_MS:
            own = self._compute(service)
            self._own_by_service[service] = (now_ms, own)
        return own

    def _compute(self, service: str) -> dict[str, int]:
        order = self._slot_order(service)
        first, last = self._own_range()
        own: dict[str, int] = {}
        for incarnation in order[round(first * len(order)) : round(last * len(order))]:
            own[incarnation] = own.get(incarnation, 0) + 1
        return own

    def _slot_order(self, service: str) -> list[str]:
        """Return the incarnation of the target of each slot, ordered by hash."""
        usable = [t for t in self._directory.targets(service) if t.is_usable]
        key = frozenset(target.incarnation for target in usable)
        known_key, order = self._order_by_service.get(service, (None, []))
        if known_key != key:
            slots = [
                (
                    target.entry.data_centre,
                    _hash_slot(target.incarnation, slot),
                    target.incarnation,
                )
                for target in usable
                for slot in range(target.entry.slots)
            ]
            order = [incarnation for _, _, incarnation in sorted(slots)]
            self._order_by_service[service] = (key, order)
        return order

    def _own_range(self) -> tuple[float, float]:
        """Return the bounds of this gateway's range, as parts of all slots."""
        rates = self._calls_per_s()
        min_weight = MIN_WEIGHT_RATIO * sum(rates.values()) / max(1, len(rates))
        weights = {name: max(rate, min_weight) or 1.0 for name, rate in rates.items()}
        total = sum(weights.values())
        before = sum(weight for name, weight in weights.items() if name < self._key)
        return before / total, (before + weights[self._key]) / total


def _hash_slot(incarnation: str, slot: int) -> int:
    return xxhash.xxh64_intdigest(f"{incarnation}/{slot}".encode())
