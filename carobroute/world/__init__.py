"""Shared domain types: instances, targets, routes, services and teams."""

from carobroute.world._routing import (
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
from carobroute.world._world import (
    CallClass,
    Instance,
    InstanceRole,
    InstanceState,
    ServiceKind,
    TargetState,
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
