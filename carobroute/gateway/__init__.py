"""Gateway that takes callers' requests and sends them to targets itself."""

from carobroute.gateway._configuration import (
    ActiveConfiguration,
    Caller,
    RoutingTable,
    choose_service,
)
from carobroute.gateway._dispatch import Dispatcher
from carobroute.gateway._dispatch_types import (
    DispatchParameters,
    DispatchRequest,
    Grant,
)
from carobroute.gateway._event_framing import EventFramer
from carobroute.gateway._exchange import Exchange
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._process import (
    GatewayProcess,
    load_process_settings,
    settings_path_from_environment,
)
from carobroute.gateway._retry_budget import RetryBudget
from carobroute.gateway._suspect_requests import SuspectRequests, request_fingerprint
from carobroute.gateway._targets import DirectoryChange, Target, TargetDirectory

__all__ = [
    "ActiveConfiguration",
    "Caller",
    "DirectoryChange",
    "DispatchParameters",
    "DispatchRequest",
    "Dispatcher",
    "EventFramer",
    "Exchange",
    "GatewayParameters",
    "GatewayProcess",
    "Grant",
    "RetryBudget",
    "RoutingTable",
    "SuspectRequests",
    "Target",
    "TargetDirectory",
    "choose_service",
    "load_process_settings",
    "request_fingerprint",
    "settings_path_from_environment",
]
