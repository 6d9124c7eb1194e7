"""What all exchanges of a gateway share."""

import random

from carobroute.gateway._call_records import CallRecorder
from carobroute.gateway._configuration import ConfigurationInForce
from carobroute.gateway._dispatch import Dispatcher
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._rank_groups import GroupPaces
from carobroute.gateway._retry_budget import RetryWindow
from carobroute.gateway._suspect_requests import SuspectRequests
from carobroute.gateway._target_pool import TargetPool
from carobroute.gateway._targets import TargetDirectory
from carobroute.utils import Clock


class GatewayContext:
    """Parts of a gateway that an exchange uses.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    parameters : GatewayParameters
        Times and bounds.
    configuration : ConfigurationInForce
        Routes and keys.
    directory : TargetDirectory
        Targets.
    dispatcher : Dispatcher
        Gives targets to calls.
    pool : TargetPool
        Connections to targets.
    retries : RetryWindow
        Bound on repeats.
    suspects : SuspectRequests
        Requests that were in flight when targets crashed.
    paces : GroupPaces
        Times of rank groups' passes.
    recorder : CallRecorder
        Logs and counts what happens to calls.
    """

    __slots__ = (
        "clock",
        "configuration",
        "directory",
        "dispatcher",
        "is_stopping",
        "paces",
        "parameters",
        "pool",
        "random",
        "recorder",
        "retries",
        "suspects",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        parameters: GatewayParameters,
        configuration: ConfigurationInForce,
        directory: TargetDirectory,
        dispatcher: Dispatcher,
        pool: TargetPool,
        retries: RetryWindow,
        suspects: SuspectRequests,
        paces: GroupPaces,
        recorder: CallRecorder,
    ):
        self.clock = clock
        self.random = random
        self.parameters = parameters
        self.configuration = configuration
        self.directory = directory
        self.dispatcher = dispatcher
        self.pool = pool
        self.retries = retries
        self.suspects = suspects
        self.paces = paces
        self.recorder = recorder
        self.is_stopping = False

    @property
    def should_close_connections(self) -> bool:
        """Whether callers should open their next connection elsewhere."""
        return self.is_stopping or not self.configuration.accepts_keys
