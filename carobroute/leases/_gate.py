"""Refusal of orders from holders whose duty was taken over."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.leases._lease import TABLE, LeaseRow
from carobroute.tables import TableClient
from carobroute.utils import BoundedDict

MAX_DUTIES = 2_000


class FenceGate:
    """Checks the fencing numbers of orders to a target that ignores them.

    A target that honours fencing refuses old numbers itself. For any other target, its
    local process, the only sender of orders to it, calls `check_fence` right before it
    sends an order, without an await in between. The highest number of each duty is kept
    in memory, so a new process reads it from the table before its first order.

    Parameters
    ----------
    table : TableClient
        Client of the table service.
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
        """Return the highest fence known for `duty`, or None before `recover`."""
        return self._highest.get(duty)

    async def load_fence(self, duty: str) -> Result[int, Fault]:
        """Read the fence of `duty` from the table if unknown; `admit` requires it."""
        highest = self._highest.get(duty)
        if highest is not None:
            return Success(highest)
        result = await self._table.read(TABLE, duty)
        if isinstance(result, Failure):
            return result
        row = result.unwrap()
        fence = msgspec.msgpack.decode(row.value, type=LeaseRow).fence if row else 0
        # An order with a higher fence may have been admitted during the await.
        self._highest[duty] = max(fence, self._highest.get(duty, 0))
        return Success(self._highest[duty])

    def check_fence(self, duty: str, fence: int) -> Result[int, Fault]:
        """Return `fence` if it is not below the highest fence known for `duty`."""
        highest = self._highest.get(duty)
        if highest is None:
            return fail(
                ErrorKind.STORE_UNAVAILABLE,
                f"the fence of duty {duty} has not been read from the table",
            )
        if fence < highest:
            self._on_event(
                "stale_fence", level="warning", duty=duty, got=fence, expected=highest
            )
            return fail(
                ErrorKind.STALE_FENCE,
                f"{duty}: got fence {fence}, expected at least {highest}",
            )
        self._highest[duty] = fence
        return Success(fence)
