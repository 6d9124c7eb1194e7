"""Rows, requests, results and parameters of the order ledger."""

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
    """One call that must not be run twice.

    Parameters
    ----------
    team : str
        Team of the caller.
    key : str
        Idempotency key of the caller, or empty.
    request_id : str
        Identifier assigned by the entry; identifies a call without a key.
    fingerprint : str
        Content hash of service, method, path and body.
    service : str
        Service to call.
    retention_ms : float
        Time for which the answer is kept, in milliseconds; at least
        `MIN_RETENTION_MS`.
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
    """State of an order."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Complete answer of a target.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Headers that are forwarded to the caller.
    body : bytes
        Complete body.
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
        Target that runs the order, and incarnation and link address of the local
        process that claimed it.
    claim_id : str
        Identifier of the claim.
    state : OrderState
        State of the order.
    claimed_wall_ms, ended_wall_ms : float
        Wall-clock times of the claim and of its end, for operators only.
    answer : StoredAnswer or None
        Answer of a finished order; the body is empty if `body_object` is set.
    body_object : str
        Name of the object that holds a large body, or empty.
    detail : str
        Reason why the outcome is unknown.
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
    """Permission for this process alone to forward the order once.

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
        Time for which the answer is kept, in milliseconds.
    """

    row: OrderRow
    version: int
    clock_version: int
    fence: int
    forward_before_ms: float
    retention_ms: float


class ClaimFinished(msgspec.Struct, frozen=True, kw_only=True):
    """The stored answer of an order that has run before."""

    answer: StoredAnswer


class ClaimElsewhere(msgspec.Struct, frozen=True, kw_only=True):
    """Target and incarnation of another local process, which may run the order."""

    target: str
    incarnation: str


ClaimOutcome = ClaimGranted | ClaimFinished | ClaimElsewhere


class LedgerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the ledger.

    Parameters
    ----------
    max_batch : int
        Maximum number of writes in one transaction. Each takes up to four entries, of
        which the platform's store accepts a hundred.
    max_queued : int
        Maximum number of claims that wait for a transaction.
    max_parallel_transactions : int
        Maximum number of transactions in progress at the same time.
    min_interval_ms : float
        Minimum time between the starts of two transactions.
    claim_timeout_ms : float
        Timeout of one claim.
    outcome_timeout_ms : float
        Timeout of one attempt of a write that is retried until it is definite.
    refuse_after_failure_ms : float
        Time for which claims are refused at once after the table service failed one.
    lease_ms : float
        Time within which an order is forwarded, from the start of its claim.
    longest_call_ms : float
        Maximum duration of one call to the target.
    max_inline_bytes : int
        Maximum size of an answer body that is stored in the row itself.
    max_abandoned_claims : int
        Maximum number of abandoned claims that this process keeps in memory.
    max_unsettled : int
        Maximum number of queued outcome writes, and number of writes without a definite
        outcome from which on the rows of abandoned claims are not released.
    tombstone_retention_ms : float
        Time for which the row of a released claim, its tombstone, is kept.
    """

    max_batch: int = 22
    max_queued: int = 2_000
    max_parallel_transactions: int = 4
    min_interval_ms: float = 20.0
    claim_timeout_ms: float = 1_500.0
    outcome_timeout_ms: float = 10_000.0
    refuse_after_failure_ms: float = 400.0
    lease_ms: float = 3_000.0
    longest_call_ms: float = 10_000.0
    max_inline_bytes: int = 8 * 1024
    max_abandoned_claims: int = 100_000
    max_unsettled: int = 10_000
    tombstone_retention_ms: float = 3_600_000.0


def order_row_key(team: str, key: str, request_id: str = "") -> str:
    """Return the row key of an order, from its key or else its request identifier.

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
    """Return the content hash by which reuse of a key is detected."""
    head = "\0".join((service, method.upper(), path, ""))
    return content_hash(head.encode() + body)


encode_row = msgspec.msgpack.Encoder().encode
order_row_decoder = msgspec.msgpack.Decoder(OrderRow)
