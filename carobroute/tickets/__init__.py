"""Change tickets: schema, validation, acceptance, spreading."""

from carobroute.tickets._schema import (
    CallRule,
    Configuration,
    ExpertPlacement,
    GroupObject,
    ObjectInForce,
    ServiceObject,
    TargetObject,
    TeamObject,
    Ticket,
    TicketObject,
    object_key,
)

__all__ = [
    "CallRule",
    "Configuration",
    "ExpertPlacement",
    "GroupObject",
    "ObjectInForce",
    "ServiceObject",
    "TargetObject",
    "TeamObject",
    "Ticket",
    "TicketObject",
    "object_key",
]
