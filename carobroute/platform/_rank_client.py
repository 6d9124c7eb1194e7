"""Client for the ranks of a group: reports, expert counts and orders."""

import asyncio
import enum
from typing import TypeVar

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from carobroute.engines import HttpTransport, WatchedResponse, describe_error
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform._call_headers import (
    EXPECTED_TARGET_HEADER,
    REQUEST_ID_HEADER,
    SEAL_HEADER,
)
from carobroute.utils import Count, Duration, Integer, decode_foreign

REPORT_PATH = "/api/report"
COUNTS_PATH = "/api/picked"
ORDER_PATH = "/api/order"

MS_PER_S = 1_000
# Largest answer to a read; counts of many experts take some ten kilobytes.
MAX_ANSWER_BYTES = 1 << 20
OK_STATUS = 200
BEGUN_STATUS = 202
REFUSED_STATUSES = frozenset({400, 409, 412, 421})

T = TypeVar("T")


class ArmedSwitch(msgspec.Struct, frozen=True):
    """A switch that a rank makes at a given pass without a further order.

    Parameters
    ----------
    version : int
        Version of the map that the rank switches to.
    step : int
        Number of the first pass that uses that map.
    """

    version: Count
    step: Count


class RankReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of a rank, some hundred milliseconds old when it is read.

    Parameters
    ----------
    epoch : int
        Number of times that the group has formed.
    is_group_open : bool
        Whether the group makes passes.
    slowdown : float
        Step time of the rank divided by the published one; 1 at published speed.
    order_count : int
        Number of orders since the rank's start that have begun an operation.
    running, queued : int
        Calls that run and calls that are queued at the rank.
    step : int
        Number of the last pass that has begun.
    version : int
        Version of the map in use; 0 is the initial one, with experts in round-robin.
    prepared : int or None
        Version of the map that the rank is ready to switch to.
    armed : ArmedSwitch or None
        Switch that the rank is armed for.
    held_step : int or None
        Number of the pass that the group does not begin until the rank releases it.
    started_ms : int or None
        Unix time of the rank's start in milliseconds; None if it is missing.
    """

    epoch: int
    is_group_open: bool
    slowdown: float
    order_count: int
    running: int
    queued: int
    step: int
    version: int
    prepared: int | None
    armed: ArmedSwitch | None
    held_step: int | None
    started_ms: int | None = None


class ExpertCounts(msgspec.Struct, frozen=True, kw_only=True):
    """How often a rank's calls have chosen each expert since the rank's start.

    Parameters
    ----------
    epoch, step : int
        Formation of the group, and the last pass that is counted.
    counts : list of int
        Counts of all experts of the first layer set, then of the next.
    """

    epoch: int
    step: int
    counts: list[int]


class HeldExperts(msgspec.Struct, frozen=True, kw_only=True):
    """Experts that a rank holds under the map in use.

    Parameters
    ----------
    epoch, version : int
        Formation of the group, and version of the map in use.
    experts_by_set : list of list of int
        Experts of the rank in each layer set.
    """

    epoch: int
    version: int
    experts_by_set: list[list[int]]


class OrderAction(enum.StrEnum):
    """Operations on the expert map of a rank."""

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    RELEASE = "go"


class OrderResult(enum.StrEnum):
    """Outcome of an order, as far as the sender knows it.

    After `BEGUN`, the rank still carries out the order. After `IN_EFFECT`, it is in the
    ordered state; its value does not refer to a hold. An unsent order has no effect.
    The rank may have accepted an unanswered order, or may carry it out later.
    """

    BEGUN = "begun"
    IN_EFFECT = "holds_already"
    REFUSED = "refused"
    UNSENT = "unsent"
    UNANSWERED = "unanswered"


class RankOrder(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An order to a rank.

    Parameters
    ----------
    action : OrderAction
        Operation to carry out.
    epoch : int
        Formation of the group to which the order applies.
    version : int or None
        Version of the map to which the order applies.
    step : int or None
        Number of the pass to which the order applies.
    layout : list or None
        Experts by layer set and rank, for a map to prepare.
    expected_orders : int or None
        Order count that the rank must report for it to accept the order.
    """

    action: OrderAction = msgspec.field(name="op")
    epoch: int
    version: int | None = None
    step: int | None = None
    layout: list[list[list[int]]] | None = msgspec.field(default=None, name="map")
    expected_orders: int | None = msgspec.field(default=None, name="expect")


class _WireGroup(msgspec.Struct):
    epoch: Count = 0
    state: str = "open"


class _WireReport(msgspec.Struct):
    group: _WireGroup
    # Counts orders, not reports.
    seq: Count
    step: Integer = 0
    map: Count = 0
    running: Count = 0
    queued: Count = 0
    pace: Duration = 1.0
    prepared: Count | None = None
    armed: ArmedSwitch | None = None
    # Number of the pass that is held back, not a count.
    held: Count | None = None
    # Time of the start, not an age.
    born: Count | None = None


class _WireCounts(msgspec.Struct):
    step: Count
    epoch: Count
    counts: list[Count]


class _WireMap(msgspec.Struct):
    version: Count
    experts: list[list[Count]]


class _WireHeld(msgspec.Struct):
    epoch: Count
    map: _WireMap


_report_decoder = msgspec.json.Decoder(_WireReport)
_counts_decoder = msgspec.json.Decoder(_WireCounts)
_held_decoder = msgspec.json.Decoder(_WireHeld)


class RankClient:
    """Sends calls to ranks, each once without a retry.

    Parameters
    ----------
    order_timeout_ms : float, default=50
        Longest wait for the answer to an order, after which the caller may send it
        again; it covers many round trips between data centres.
    map_ms_per_byte : float, default=0.008
        Added for each byte of an order that carries a map: several of them share a
        slow link.
    read_timeout_ms : float, default=200
        The same for reports and counts.
    """

    __slots__ = ("_map_ms_per_byte", "_order_timeout_ms", "_read_timeout_ms")

    def __init__(
        self,
        *,
        order_timeout_ms: float = 50.0,
        map_ms_per_byte: float = 0.008,
        read_timeout_ms: float = 200.0,
    ):
        self._order_timeout_ms = order_timeout_ms
        self._map_ms_per_byte = map_ms_per_byte
        self._read_timeout_ms = read_timeout_ms

    async def read_report(self, transport: HttpTransport) -> Result[RankReport, Fault]:
        """Return a rank's report."""
        answered = await self._get(transport, REPORT_PATH)
        return answered.bind(decode_rank_report)

    async def read_counts(
        self, transport: HttpTransport
    ) -> Result[ExpertCounts, Fault]:
        """Return how often a rank's calls have chosen each expert."""
        answered = await self._get(transport, COUNTS_PATH)
        return answered.bind(_decode_counts)

    async def read_held_experts(
        self, transport: HttpTransport
    ) -> Result[HeldExperts, Fault]:
        """Return the experts that a rank holds."""
        answered = await self._get(transport, COUNTS_PATH + "?lists=1")
        return answered.bind(_decode_held)

    async def send_order(
        self, transport: HttpTransport, incarnation: str, order: RankOrder
    ) -> OrderResult:
        """Send an order once, and return its outcome as far as it is known.

        The answer is a bare status. So each order has a new connection, on which no
        second copy of an answer to an earlier one can wait.
        """
        body = msgspec.json.encode(order)
        timeout_ms = self._order_timeout_ms
        if order.action is OrderAction.PREPARE:
            timeout_ms += self._map_ms_per_byte * len(body)
        sent = await transport.send(
            "POST",
            ORDER_PATH,
            headers={
                "Content-Type": "application/json",
                EXPECTED_TARGET_HEADER: incarnation,
            },
            body=body,
            first_byte_ms=timeout_ms,
            new_connection=True,
        )
        if isinstance(sent, Failure):
            unsent = sent.failure().not_run
            return OrderResult.UNSENT if unsent else OrderResult.UNANSWERED
        response = sent.unwrap()
        response.close()
        if _answers_caller(response):
            return OrderResult.UNANSWERED
        if response.status == OK_STATUS:
            return OrderResult.IN_EFFECT
        if response.status == BEGUN_STATUS:
            return OrderResult.BEGUN
        if response.status in REFUSED_STATUSES:
            return OrderResult.REFUSED
        return OrderResult.UNANSWERED

    async def _get(self, transport: HttpTransport, path: str) -> Result[bytes, Fault]:
        sent = await transport.send(
            "GET", path, first_byte_ms=self._read_timeout_ms, new_connection=False
        )
        if isinstance(sent, Failure):
            return sent
        response = sent.unwrap()
        if _answers_caller(response):
            response.drop_connection()
            return fail(
                ErrorKind.TARGET_FAILED, f"{path}: the answer is that to a caller"
            )
        try:
            async with asyncio.timeout(self._read_timeout_ms / MS_PER_S):
                data = await response.read(MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return fail(
                ErrorKind.TARGET_FAILED,
                f"{path}: reading the answer failed: {describe_error(error)}",
            )
        finally:
            response.close()
        if response.status != OK_STATUS:
            return fail(
                ErrorKind.TARGET_FAILED,
                f"{path} answered with status {response.status}",
            )
        return Success(data)


def _answers_caller(response: WatchedResponse) -> bool:
    """Return whether an answer belongs to a caller's request, which it then names."""
    return bool(
        response.headers.get(REQUEST_ID_HEADER) or SEAL_HEADER in response.headers
    )


def decode_rank_report(data: bytes) -> Result[RankReport, Fault]:
    """Decode a rank's report, or return a `TARGET_FAILED` fault."""
    return _decode(_report_decoder, data, "a rank's report").map(
        lambda wire: RankReport(
            epoch=wire.group.epoch,
            is_group_open=wire.group.state == "open",
            slowdown=wire.pace,
            order_count=wire.seq,
            running=wire.running,
            queued=wire.queued,
            step=wire.step,
            version=wire.map,
            prepared=wire.prepared,
            armed=wire.armed,
            held_step=wire.held,
            started_ms=wire.born,
        )
    )


def _decode_counts(data: bytes) -> Result[ExpertCounts, Fault]:
    return _decode(_counts_decoder, data, "a rank's counts").map(
        lambda wire: ExpertCounts(epoch=wire.epoch, step=wire.step, counts=wire.counts)
    )


def _decode_held(data: bytes) -> Result[HeldExperts, Fault]:
    return _decode(_held_decoder, data, "a rank's experts").map(
        lambda wire: HeldExperts(
            epoch=wire.epoch, version=wire.map.version, experts_by_set=wire.map.experts
        )
    )


def _decode(
    decoder: msgspec.json.Decoder[T], data: bytes, what: str
) -> Result[T, Fault]:
    return decode_foreign(decoder.decode, data, kind=ErrorKind.TARGET_FAILED, what=what)
