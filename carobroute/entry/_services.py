"""What all calls of an entry share."""

import msgspec

from carobroute.entry._exchange import ExchangeParameters, ExchangeTable
from carobroute.links import Endpoint
from carobroute.membership import Directory
from carobroute.requests import BlameBroadcaster, Quarantine, RetryPolicy, Router
from carobroute.telemetry import DecisionLog
from carobroute.utils import Clock


class RelayParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Where an entry stands, and the times of its exchanges.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.
    exchange : ExchangeParameters
        Times of each attempt.
    """

    data_centre: str
    exchange: ExchangeParameters = ExchangeParameters()


class RelayServices:
    """Links, policies and records that every call of an entry uses.

    Parameters
    ----------
    parameters : RelayParameters
        Where the entry stands, and times.
    endpoint : Endpoint
        Links of this process.
    exchanges : ExchangeTable
        Attempts in progress.
    directory : Directory
        Which instance stands beside which target.
    router : Router
        Chooses targets.
    retries : RetryPolicy
        Decides what follows a fault.
    quarantine : Quarantine
        Knows requests that crash targets.
    blames : BlameBroadcaster
        Passes on what the quarantine learns.
    clock : Clock
        Source of time.
    decisions : DecisionLog
        Where decisions are kept for `explain`.
    """

    __slots__ = (
        "blames",
        "clock",
        "decisions",
        "directory",
        "endpoint",
        "exchanges",
        "parameters",
        "quarantine",
        "retries",
        "router",
    )

    def __init__(
        self,
        *,
        parameters: RelayParameters,
        endpoint: Endpoint,
        exchanges: ExchangeTable,
        directory: Directory,
        router: Router,
        retries: RetryPolicy,
        quarantine: Quarantine,
        blames: BlameBroadcaster,
        clock: Clock,
        decisions: DecisionLog,
    ):
        self.parameters = parameters
        self.endpoint = endpoint
        self.exchanges = exchanges
        self.directory = directory
        self.router = router
        self.retries = retries
        self.quarantine = quarantine
        self.blames = blames
        self.clock = clock
        self.decisions = decisions
