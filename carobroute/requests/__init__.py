"""Decisions about requests: limits, routing, retries, quarantine."""

from carobroute.requests._admission import (
    Admission,
    AdmissionParameters,
    TeamDemand,
    TeamTotals,
)
from carobroute.requests._blames import BlameEntry
from carobroute.requests._carob import CarobParameters, CarobPolicy
from carobroute.requests._fair_queue import FairQueue, FairQueueParameters, Slot
from carobroute.requests._health import HealthParameters
from carobroute.requests._policies import RoutingPolicy, routing_policies
from carobroute.requests._prefix import PrefixIndex
from carobroute.requests._quarantine import (
    Blame,
    Quarantine,
    QuarantineParameters,
    Verdict,
    request_fingerprint,
)
from carobroute.requests._retries import RetryDecision, RetryParameters, RetryPolicy
from carobroute.requests._router import Router
from carobroute.requests._spread import spread_retry_after_ms
from carobroute.requests._subset import choose_subset
from carobroute.requests._views import CandidateInputs, Choice, RouteQuery, TargetView

__all__ = [
    "Admission",
    "AdmissionParameters",
    "Blame",
    "BlameEntry",
    "CandidateInputs",
    "CarobParameters",
    "CarobPolicy",
    "Choice",
    "FairQueue",
    "FairQueueParameters",
    "HealthParameters",
    "PrefixIndex",
    "Quarantine",
    "QuarantineParameters",
    "RetryDecision",
    "RetryParameters",
    "RetryPolicy",
    "RouteQuery",
    "Router",
    "RoutingPolicy",
    "Slot",
    "TargetView",
    "TeamDemand",
    "TeamTotals",
    "Verdict",
    "choose_subset",
    "request_fingerprint",
    "routing_policies",
    "spread_retry_after_ms",
]
