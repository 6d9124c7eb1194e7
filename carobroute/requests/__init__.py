"""Requests: the ledger that runs an order at most once."""

from carobroute.requests._ledger import Ledger, read_order
from carobroute.requests._ledger_claims import Ask
from carobroute.requests._ledger_clean import CleanParameters, LedgerCleaner
from carobroute.requests._ledger_messages import AskClaim, ClaimState, ClaimStatus
from carobroute.requests._ledger_types import (
    ClaimElsewhere,
    ClaimFinished,
    ClaimGranted,
    ClaimOutcome,
    LedgerParameters,
    OrderRequest,
    OrderRow,
    OrderState,
    StoredAnswer,
    order_fingerprint,
)

__all__ = [
    "Ask",
    "AskClaim",
    "ClaimElsewhere",
    "ClaimFinished",
    "ClaimGranted",
    "ClaimOutcome",
    "ClaimState",
    "ClaimStatus",
    "CleanParameters",
    "Ledger",
    "LedgerCleaner",
    "LedgerParameters",
    "OrderRequest",
    "OrderRow",
    "OrderState",
    "StoredAnswer",
    "order_fingerprint",
    "read_order",
]
