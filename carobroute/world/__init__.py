"""Objects that mirror the world: instances, data centres, targets, teams, groups."""

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
    "Instance",
    "InstanceRole",
    "InstanceState",
    "ServiceKind",
    "TargetState",
]
