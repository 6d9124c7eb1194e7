"""Decisions about requests: limits, routing, retries, quarantine."""

from carobroute.requests._carob import CarobParameters, CarobPolicy
from carobroute.requests._health import HealthParameters
from carobroute.requests._policies import RoutingPolicy, routing_policies
from carobroute.requests._prefix import PrefixIndex
from carobroute.requests._router import Router
from carobroute.requests._subset import choose_subset
from carobroute.requests._views import CandidateInputs, Choice, RouteQuery, TargetView

__all__ = [
    "CandidateInputs",
    "CarobParameters",
    "CarobPolicy",
    "Choice",
    "HealthParameters",
    "PrefixIndex",
    "RouteQuery",
    "Router",
    "RoutingPolicy",
    "TargetView",
    "choose_subset",
    "routing_policies",
]
