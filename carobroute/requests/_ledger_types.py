"""What the order ledger keeps and what it answers."""

import enum
from urllib.parse import quote

import msgspec

from carobroute.utils import content_hash

ORDERS_TABLE = "orders"
EXPIRY_TABLE = "order_expiry"
CLOCK_TABLE = "order_clock"
CLOCK_KEY = "clock"
FENCES_TABLE = "fences"
MAX_KEY_BYTES = 255
MIN_RETENTION_MS = 60_000.0
MS_PER_S = 1_000


class OrderRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of one call that may not be repeated.

    Parameters
    ----------
    team : str
        Team of the caller.
    key : str
        The caller's idempotency key, or empty.
    request_id : str
        Identifier given by the entry; the identity of a call without a key.
    fingerprint : str
        Content hash of service, method, path and body.
    service : str
        Service called.
    retention_ms : float
        How long the answer is kept, in milliseconds; at least `MIN_RETENTION_MS`.
    deadline_ms : float
        Monotonic time after which the call must not be forwarded.
    """

    team: str
    key: str
    request_id: str
    fingerprint: str
    service: str
    retention_ms: float
    deadline_ms: float

    @property
    def row_key(self) -> str:
        """Key of the order's row."""
        return order_row_key(self.team, self.key, self.request_id)


class OrderState(enum.StrEnum):
    """What is known of an order."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Whole answer of a target.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Headers that are passed on.
    body : bytes
        Whole body.
    """

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""


class OrderRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of one order.

    Parameters
    ----------
    team, key, request_id, fingerprint, service : str
        See `OrderRequest`.
    target, incarnation, address : str
        Target that runs the order, and the local process that claimed it.
    claim_id : str
        Identity of the claim.
    state : OrderState
        What is known of the order.
    claimed_wall_ms, ended_wall_ms : float
        Wall-clock times, for operators only.
    answer : StoredAnswer or None
        Answer of a finished order; its body is empty if `body_object` is set.
    body_object : str
        Object that holds a large body.
    detail : str
        Why the outcome is unknown.
    """

    team: str
    key: str
    request_id: str
    fingerprint: str
    service: str
    target: str
    incarnation: str
    address: str
    claim_id: str
    state: OrderState
    claimed_wall_ms: float
    ended_wall_ms: float = 0.0
    answer: StoredAnswer | None = None
    body_object: str = ""
    detail: str = ""


class ClaimGranted(msgspec.Struct, frozen=True, kw_only=True):
    """This process, and no other, may forward the order once.

    Parameters
    ----------
    row : OrderRow
        The claim as stored.
    version : int
        Version of the stored row.
    clock_version : int
        Version of the ledger's clock row under which the claim was made.
    fence : int
        Fencing number to send with the call.
    forward_before_ms : float
        Monotonic time after which the call must not be forwarded.
    retention_ms : float
        How long the answer is to be kept.
    """

    row: OrderRow
    version: int
    clock_version: int
    fence: int
    forward_before_ms: float
    retention_ms: float


class ClaimFinished(msgspec.Struct, frozen=True, kw_only=True):
    """The order ran before; this is its answer."""

    answer: StoredAnswer


class ClaimElsewhere(msgspec.Struct, frozen=True, kw_only=True):
    """Another local process holds the order."""

    target: str
    incarnation: str


ClaimOutcome = ClaimGranted | ClaimFinished | ClaimElsewhere


class LedgerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of the ledger.

    Parameters
    ----------
    max_batch : int
        Writes in one transaction. Each takes up to four entries, of which the
        platform's store accepts a hundred.
    max_queued : int
        Claims that may wait for a transaction.
    workers : int
        Transactions under way at a time.
    pause_ms : float
        Shortest time between the starts of two transactions.
    claim_timeout_ms : float
        Longest time for one claim.
    effect_timeout_ms : float
        Longest time for one try of what is retried until it is definite.
    refuse_ms : float
        Time for which claims are refused at once after the store failed one.
    lease_ms : float
        Time after the start of its claim within which an order is forwarded.
    longest_call_ms : float
        Longest time of one call to the target.
    inline_bytes : int
        Largest answer that is kept in the row itself.
    max_remembered : int
        Abandoned claims that this process remembers.
    max_unsettled : int
        Abandoned claims whose rows are being released at a time.
    tombstone_ms : float
        How long the row of a released claim is kept.
    """

    max_batch: int = 22
    max_queued: int = 2_000
    workers: int = 4
    pause_ms: float = 20.0
    claim_timeout_ms: float = 1_500.0
    effect_timeout_ms: float = 10_000.0
    refuse_ms: float = 400.0
    lease_ms: float = 3_000.0
    longest_call_ms: float = 10_000.0
    inline_bytes: int = 8 * 1024
    max_remembered: int = 100_000
    max_unsettled: int = 10_000
    tombstone_ms: float = 3_600_000.0


def order_row_key(team: str, key: str, request_id: str = "") -> str:
    """Return the row key of an order; one without a key is known by its request.

    Examples
    --------
    >>> order_row_key("till", "order 7")
    'till/k/order%207'
    >>> order_row_key("till", "", "ab12")
    'till/r/ab12'
    """
    kind, name = ("k", key) if key else ("r", request_id)
    return f"{quote(team, safe='')}/{kind}/{quote(name, safe='')}"


def order_fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the content hash that tells one order from another."""
    head = "\0".join((service, method.upper(), path, ""))
    return content_hash(head.encode() + body)


encode_row = msgspec.msgpack.Encoder().encode
order_row_decoder = msgspec.msgpack.Decoder(OrderRow)
