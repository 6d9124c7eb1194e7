"""The entry that sends calls to targets itself, on the users' platform."""

from carobroute.gateway._configuration import (
    Caller,
    ConfigurationInForce,
    RoutingTable,
    choose_service,
)
from carobroute.gateway._dispatch import (
    Dispatcher,
    DispatchParameters,
    DispatchRequest,
    Grant,
)
from carobroute.gateway._event_framing import EventCutter
from carobroute.gateway._exchange import Exchange
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._process import GatewayProcess, load_or_raise, settings_path
from carobroute.gateway._retry_budget import RetryWindow
from carobroute.gateway._suspect_requests import SuspectRequests, request_fingerprint
from carobroute.gateway._targets import Target, TargetDirectory

__all__ = [
    "Caller",
    "ConfigurationInForce",
    "DispatchParameters",
    "DispatchRequest",
    "Dispatcher",
    "EventCutter",
    "Exchange",
    "GatewayParameters",
    "GatewayProcess",
    "Grant",
    "RetryWindow",
    "RoutingTable",
    "SuspectRequests",
    "Target",
    "TargetDirectory",
    "choose_service",
    "request_fingerprint",
    "load_or_raise",
    "settings_path",
]
