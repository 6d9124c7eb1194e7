"""Instances of the system, and the roles, states and classes shared by packages."""

import enum

import msgspec


class InstanceRole(enum.StrEnum):
    """Role of an instance: entry for callers, or local process beside a target."""

    ENTRY = "entry"
    LOCAL = "local"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list of instances."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetState(enum.StrEnum):
    """State of a target in a ticket."""

    SERVING = "serving"
    DRAINING = "draining"


class ServiceKind(enum.StrEnum):
    """Kind of a service's targets: model servers or plain servers."""

    MODEL = "model"
    PLAIN = "plain"


class CallClass(enum.StrEnum):
    """Whether one call may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a process of the system, as the platform lists it.

    Parameters
    ----------
    name : str
        Name of the slot, which stays when the process is replaced.
    incarnation : str
        Identifier of this run.
    role : InstanceRole
        Role of the process.
    data_centre : str
        Data centre of the instance.
    region : str
        Region of that data centre.
    address : str
        Address for links between instances, as `tcp://host:port`.
    http_address : str, default=""
        HTTP address for callers; empty for a local process.
    target : str, default=""
        Name of the target beside a local process; empty for an entry.
    service : str, default=""
        Service of that target; empty for an entry.
    state : InstanceState, default=InstanceState.LIVE
        State in the platform's list.
    """

    name: str
    incarnation: str
    role: InstanceRole
    data_centre: str
    region: str
    address: str
    http_address: str = ""
    target: str = ""
    service: str = ""
    state: InstanceState = InstanceState.LIVE
