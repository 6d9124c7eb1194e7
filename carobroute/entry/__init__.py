"""The entry: takes callers' requests, admits, routes and streams answers back."""

from carobroute.entry._app import CallerInterface, CallerParameters
from carobroute.entry._call import Call
from carobroute.entry._demand import DemandExchange
from carobroute.entry._exchange import Exchange, ExchangeParameters, ExchangeTable
from carobroute.entry._feed import TargetFeed
from carobroute.entry._parse import CallParser, call_class_of, key_hash
from carobroute.entry._run import CallRun
from carobroute.entry._services import RelayParameters, RelayServices
from carobroute.entry._writer import CallerWriter, error_response

__all__ = [
    "Call",
    "CallParser",
    "CallRun",
    "CallerInterface",
    "CallerParameters",
    "CallerWriter",
    "DemandExchange",
    "Exchange",
    "ExchangeParameters",
    "ExchangeTable",
    "RelayParameters",
    "RelayServices",
    "TargetFeed",
    "call_class_of",
    "error_response",
    "key_hash",
]
