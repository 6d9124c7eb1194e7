"""Calls to the ranks of a group: reports, counts of experts, orders."""

import enum

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from carobroute.engines import HttpTransport
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform._call_headers import EXPECTED_TARGET

REPORT_PATH = "/api/report"
COUNTS_PATH = "/api/picked"
ORDER_PATH = "/api/order"

OK_STATUS = 200
BEGUN_STATUS = 202
REFUSED_STATUSES = frozenset({400, 409, 412, 421})


class ArmedSwitch(msgspec.Struct, frozen=True):
    """A switch that a rank will make by itself.

    Parameters
    ----------
    version : int
        Map that the rank switches to.
    step : int
        Pass as which begins it does.
    """

    version: int
    step: int


class RankReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of a rank, as of some hundred milliseconds ago.

    Parameters
    ----------
    epoch : int
        Times that the group has formed.
    group_open : bool
        Whether the group makes passes.
    pace : float
        How much slower than published the rank is; 1 if it is not.
    orders : int
        Orders that have begun something since the rank started.
    running, queued : int
        Calls that run and wait there.
    step : int
        Last pass that was begun.
    version : int
        Map in use; 0 is the one that assigns experts in turn.
    prepared : int or None
        Map that is ready to be switched to.
    armed : ArmedSwitch or None
        Switch that the rank will make by itself.
    held_step : int or None
        Pass that the group does not begin before it is released.
    """

    epoch: int
    group_open: bool
    pace: float
    orders: int
    running: int
    queued: int
    step: int
    version: int
    prepared: int | None
    armed: ArmedSwitch | None
    held_step: int | None


class ExpertCounts(msgspec.Struct, frozen=True, kw_only=True):
    """How often a rank's calls chose each expert since the rank started.

    Parameters
    ----------
    epoch, step : int
        Formation of the group, and the last pass counted.
    counts : list of int
        All experts of the first set of layers, then those of the next.
    """

    epoch: int
    step: int
    counts: list[int]


class HeldExperts(msgspec.Struct, frozen=True, kw_only=True):
    """Experts that a rank holds.

    Parameters
    ----------
    epoch, version : int
        Formation of the group, and the map in use.
    sets : list of list of int
        Experts of the rank in each set of layers.
    """

    epoch: int
    version: int
    sets: list[list[int]]


class OrderAction(enum.StrEnum):
    """What a rank is told to do about its map."""

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    RELEASE = "go"


class OrderResult(enum.StrEnum):
    """What is known of an order.

    An order without an answer may have been accepted, or be carried out later.
    """

    BEGUN = "begun"
    HOLDS_ALREADY = "holds_already"
    REFUSED = "refused"
    UNSENT = "unsent"
    UNANSWERED = "unanswered"


class RankOrder(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An order to a rank.

    Parameters
    ----------
    action : OrderAction
        What to do.
    epoch : int
        Formation of the group that is meant.
    version : int or None
        Map that is meant.
    step : int or None
        Pass that is meant.
    layout : list or None
        Experts by set and rank, of a map to prepare.
    expected_orders : int or None
        Orders that must have begun something at the rank before.
    """

    action: OrderAction = msgspec.field(name="op")
    epoch: int
    version: int | None = None
    step: int | None = None
    layout: list[list[list[int]]] | None = msgspec.field(default=None, name="map")
    expected_orders: int | None = msgspec.field(default=None, name="expect")


class _WireGroup(msgspec.Struct):
    epoch: int = 0
    state: str = "open"


class _WireReport(msgspec.Struct):
    group: _WireGroup
    # Counts orders, not reports.
    seq: int
    step: int = 0
    map: int = 0
    running: int = 0
    queued: int = 0
    pace: float = 1.0
    prepared: int | None = None
    armed: ArmedSwitch | None = None
    # The pass that is held back, not a count.
    held: int | None = None


class _WireCounts(msgspec.Struct):
    step: int
    epoch: int
    counts: list[int]


class _WireMap(msgspec.Struct):
    version: int
    experts: list[list[int]]


class _WireHeld(msgspec.Struct):
    epoch: int
    map: _WireMap


_report_decoder = msgspec.json.Decoder(_WireReport)
_counts_decoder = msgspec.json.Decoder(_WireCounts)
_held_decoder = msgspec.json.Decoder(_WireHeld)


class RankClient:
    """Sends calls to ranks; each is sent once.

    Parameters
    ----------
    order_ms : float, default=50
        Longest wait for the answer to an order, after which it may be sent again: many
        round trips between data centres.
    prepare_ms : float, default=600
        The same for an order with a whole map, which slow links take a while to carry.
    read_ms : float, default=200
        The same for reports and counts.
    """

    __slots__ = ("_order_ms", "_prepare_ms", "_read_ms")

    def __init__(
        self,
        *,
        order_ms: float = 50.0,
        prepare_ms: float = 600.0,
        read_ms: float = 200.0,
    ):
        self._order_ms = order_ms
        self._prepare_ms = prepare_ms
        self._read_ms = read_ms

    async def report(self, transport: HttpTransport) -> Result[RankReport, Fault]:
        """Return a rank's report."""
        answered = await self._get(transport, REPORT_PATH)
        return answered.bind(decode_rank_report)

    async def counts(self, transport: HttpTransport) -> Result[ExpertCounts, Fault]:
        """Return how often a rank's calls chose each expert."""
        answered = await self._get(transport, COUNTS_PATH)
        return answered.bind(_decode_counts)

    async def held(self, transport: HttpTransport) -> Result[HeldExperts, Fault]:
        """Return which experts a rank holds."""
        answered = await self._get(transport, COUNTS_PATH + "?lists=1")
        return answered.bind(_decode_held)

    async def order(
        self, transport: HttpTransport, incarnation: str, order: RankOrder
    ) -> OrderResult:
        """Send an order, and return what is known of it."""
        whole_map = order.action is OrderAction.PREPARE
        limit_ms = self._prepare_ms if whole_map else self._order_ms
        sent = await transport.send(
            "POST",
            ORDER_PATH,
            headers={
                "Content-Type": "application/json",
                EXPECTED_TARGET: incarnation,
            },
            body=msgspec.json.encode(order),
            first_byte_ms=limit_ms,
            fresh=True,
        )
        if isinstance(sent, Failure):
            unsent = sent.failure().not_run
            return OrderResult.UNSENT if unsent else OrderResult.UNANSWERED
        response = sent.unwrap()
        response.close()
        if response.status == OK_STATUS:
            return OrderResult.HOLDS_ALREADY
        if response.status == BEGUN_STATUS:
            return OrderResult.BEGUN
        if response.status in REFUSED_STATUSES:
            return OrderResult.REFUSED
        return OrderResult.UNANSWERED

    async def _get(self, transport: HttpTransport, path: str) -> Result[bytes, Fault]:
        sent = await transport.send(
            "GET", path, first_byte_ms=self._order_ms, fresh=False
        )
        if isinstance(sent, Failure):
            return sent
        response = sent.unwrap()
        try:
            data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return fail(ErrorKind.TARGET_FAILED, f"{path} broke off: {error!r}")
        finally:
            response.close()
        if response.status != OK_STATUS:
            return fail(ErrorKind.TARGET_FAILED, f"{path} answered {response.status}")
        return Success(data)


def decode_rank_report(data: bytes) -> Result[RankReport, Fault]:
    """Return the report in `data`, or a `TARGET_FAILED` fault."""
    try:
        wire = _report_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return fail(ErrorKind.TARGET_FAILED, f"a rank's report: {error}")
    return Success(
        RankReport(
            epoch=wire.group.epoch,
            group_open=wire.group.state == "open",
            pace=wire.pace,
            orders=wire.seq,
            running=wire.running,
            queued=wire.queued,
            step=wire.step,
            version=wire.map,
            prepared=wire.prepared,
            armed=wire.armed,
            held_step=wire.held,
        )
    )


def _decode_counts(data: bytes) -> Result[ExpertCounts, Fault]:
    try:
        wire = _counts_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return fail(ErrorKind.TARGET_FAILED, f"a rank's counts: {error}")
    return Success(ExpertCounts(epoch=wire.epoch, step=wire.step, counts=wire.counts))


def _decode_held(data: bytes) -> Result[HeldExperts, Fault]:
    try:
        wire = _held_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return fail(ErrorKind.TARGET_FAILED, f"a rank's experts: {error}")
    return Success(
        HeldExperts(epoch=wire.epoch, version=wire.map.version, sets=wire.map.experts)
    )
