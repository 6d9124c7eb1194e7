"""Admission, queueing, routing, retries, orders and quarantine of requests."""

from carobroute.health import HealthParameters
from carobroute.requests._admission import (
    Admission,
    AdmissionParameters,
    TeamDemand,
    TeamTotals,
)
from carobroute.requests._blame_broadcaster import BlameBroadcaster
from carobroute.requests._blame_table import BlameRecord
from carobroute.requests._fair_queue import FairQueue, FairQueueParameters, Slot
from carobroute.requests._least_cost_policy import LeastCostParameters, LeastCostPolicy
from carobroute.requests._ledger import Ledger, read_order
from carobroute.requests._ledger_claimer import SendClaimQuery
from carobroute.requests._ledger_cleaner import CleanerParameters, LedgerCleaner
from carobroute.requests._ledger_messages import ClaimQuery, ClaimState, ClaimStatus
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
from carobroute.requests._policies import RoutingPolicy, routing_policies
from carobroute.requests._prefix_index import PrefixIndex
from carobroute.requests._quarantine import (
    BlameMessage,
    Isolation,
    Quarantine,
    QuarantineParameters,
    TrialMessage,
    request_fingerprint,
)
from carobroute.requests._retries import RetryDecision, RetryParameters, RetryPolicy
from carobroute.requests._retry_after import jittered_retry_after_ms
from carobroute.requests._router import Router, SentCall
from carobroute.requests._routing_types import (
    CandidateInputs,
    Choice,
    RouteQuery,
    TargetView,
)
from carobroute.requests._subsetting import choose_subset

__all__ = [
    "Admission",
    "AdmissionParameters",
    "BlameBroadcaster",
    "BlameMessage",
    "BlameRecord",
    "CandidateInputs",
    "Choice",
    "ClaimElsewhere",
    "ClaimFinished",
    "ClaimGranted",
    "ClaimOutcome",
    "ClaimQuery",
    "ClaimState",
    "ClaimStatus",
    "CleanerParameters",
    "FairQueue",
    "FairQueueParameters",
    "HealthParameters",
    "Isolation",
    "LeastCostParameters",
    "LeastCostPolicy",
    "Ledger",
    "LedgerCleaner",
    "LedgerParameters",
    "OrderRequest",
    "OrderRow",
    "OrderState",
    "PrefixIndex",
    "Quarantine",
    "QuarantineParameters",
    "RetryDecision",
    "RetryParameters",
    "RetryPolicy",
    "RouteQuery",
    "Router",
    "RoutingPolicy",
    "SendClaimQuery",
    "SentCall",
    "Slot",
    "StoredAnswer",
    "TargetView",
    "TeamDemand",
    "TeamTotals",
    "TrialMessage",
    "choose_subset",
    "jittered_retry_after_ms",
    "order_fingerprint",
    "read_order",
    "request_fingerprint",
    "routing_policies",
]
