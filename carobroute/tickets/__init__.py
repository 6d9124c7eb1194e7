"""Change tickets: schema, validation, acceptance and distribution."""

from carobroute.tickets import (  # noqa: F401  (register their checks on import)
    _check_groups,
    _check_keys,
)
from carobroute.tickets._check import (
    TicketFault,
    check_ticket,
    describe_faults,
    ticket_checks,
)
from carobroute.tickets._compact import TicketCompactor
from carobroute.tickets._file import dump_ticket, load_ticket_file, parse_ticket
from carobroute.tickets._keeper import ConfigurationKeeper, KeeperParameters
from carobroute.tickets._log import TicketLog
from carobroute.tickets._operator_api import ticket_routes
from carobroute.tickets._schema import (
    CallRule,
    Configuration,
    ExpertPlacement,
    GroupObject,
    KeyRingObject,
    ObjectInForce,
    ServiceObject,
    TargetObject,
    TeamObject,
    Ticket,
    TicketObject,
    object_key,
)

__all__ = [
    "TicketCompactor",
    "ConfigurationKeeper",
    "KeeperParameters",
    "CallRule",
    "Configuration",
    "ExpertPlacement",
    "GroupObject",
    "KeyRingObject",
    "ObjectInForce",
    "ServiceObject",
    "TargetObject",
    "TeamObject",
    "Ticket",
    "TicketFault",
    "TicketLog",
    "TicketObject",
    "check_ticket",
    "describe_faults",
    "dump_ticket",
    "load_ticket_file",
    "object_key",
    "parse_ticket",
    "ticket_checks",
    "ticket_routes",
]
