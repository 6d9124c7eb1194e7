"""Shared domain types: instances, targets, routes, services and teams."""

from carobroute.world._routing import (
    CallerBounds,
    EngineProfile,
    ExpertProfile,
    KeyHolder,
    Route,
    RoutingConfiguration,
    ServiceProfile,
    ServiceShare,
    TargetCondition,
    TargetEntry,
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
    "CallerBounds",
    "EngineProfile",
    "ExpertProfile",
    "Instance",
    "InstanceRole",
    "InstanceState",
    "KeyHolder",
    "Route",
    "RoutingConfiguration",
    "ServiceKind",
    "ServiceProfile",
    "ServiceShare",
    "TargetCondition",
    "TargetEntry",
    "TargetState",
]
