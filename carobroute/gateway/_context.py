"""What all exchanges of a gateway share."""

import random

from carobroute.gateway._call_records import CallRecorder
from carobroute.gateway._configuration import ConfigurationInForce
from carobroute.gateway._dispatch import Dispatcher
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._rank_groups import GroupPaces
from carobroute.gateway._retry_budget import RetryWindow
from carobroute.gateway._suspect_requests import Suspects
from carobroute.gateway._target_pool import TargetPool
from carobroute.gateway._targets import TargetDirectory
from carobroute.utils import Clock


class GatewayServices:
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
    suspects : Suspects
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
        "paces",
        "parameters",
        "pool",
        "random",
        "recorder",
        "retries",
        "stopping",
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
        suspects: Suspects,
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
        self.stopping = False

    @property
    def closes_connections(self) -> bool:
        """Whether callers should open their next connection elsewhere."""
        return self.stopping or not self.configuration.keys_proved
