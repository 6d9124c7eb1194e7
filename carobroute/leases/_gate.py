"""Refuses orders of holders that another has replaced."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.leases._lease import TABLE, LeaseRow
from carobroute.tables import TableClient
from carobroute.utils import BoundedDict

MAX_DUTIES = 2_000


class FenceGate:
    """Highest fence seen for each duty, in front of a target.

    A target that honours fences refuses an old one itself. For one that ignores them
    the local process beside it asks this gate right before it sends an order, without
    an await in between; it is the only one that talks to the target. The numbers are
    held in memory, so a new process reads them from the table before its first order.

    Parameters
    ----------
    table : TableClient
        The table service.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    __slots__ = ("_highest", "_on_event", "_table")

    def __init__(
        self, *, table: TableClient, on_event: Callable[..., None] | None = None
    ):
        self._table = table
        self._on_event = on_event or (lambda *args, **fields: None)
        self._highest: BoundedDict[str, int] = BoundedDict(most=MAX_DUTIES)

    def highest(self, duty: str) -> int | None:
        """Return the highest fence known of `duty`, or None before `recover`."""
        return self._highest.get(duty)

    async def recover(self, duty: str) -> Result[int, Fault]:
        """Read the fence of `duty` from the table; needed once before `admit`."""
        known = self._highest.get(duty)
        if known is not None:
            return Success(known)
        found = await self._table.read(TABLE, duty)
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        fence = msgspec.msgpack.decode(row.value, type=LeaseRow).fence if row else 0
        # An order with a higher fence may have come during the await.
        self._highest[duty] = max(fence, self._highest.get(duty, 0))
        return Success(self._highest[duty])

    def admit(self, duty: str, fence: int) -> Result[int, Fault]:
        """Return `fence` if no newer holder of `duty` was seen."""
        known = self._highest.get(duty)
        if known is None:
            return fail(
                ErrorKind.STORE_UNAVAILABLE,
                f"the fence of {duty} is not yet read from the table",
            )
        if fence < known:
            self._on_event(
                "stale_fence", level="warning", duty=duty, got=fence, expected=known
            )
            return fail(
                ErrorKind.STALE_FENCE,
                f"{duty}: got fence {fence}, expected at least {known}",
            )
        self._highest[duty] = fence
        return Success(fence)
