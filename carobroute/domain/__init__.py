"""Shared domain types: instances, targets, routes, services and teams."""

from carobroute.domain._instances import (
    CallClass,
    Instance,
    InstanceRole,
    InstanceState,
    ServiceKind,
    TargetState,
)
from carobroute.domain._routing import (
    CallerLimits,
    EngineProfile,
    ExpertProfile,
    ListedTargetState,
    Route,
    RoutingConfiguration,
    ServiceProfile,
    ServiceShare,
    TargetEntry,
    TeamProfile,
)

__all__ = [
    "CallClass",
    "CallerLimits",
    "EngineProfile",
    "ExpertProfile",
    "Instance",
    "InstanceRole",
    "InstanceState",
    "ListedTargetState",
    "Route",
    "RoutingConfiguration",
    "ServiceKind",
    "ServiceProfile",
    "ServiceShare",
    "TargetEntry",
    "TargetState",
    "TeamProfile",
]
