"""The running instances and the closed sets of states they can be in."""

import enum

import msgspec


class InstanceRole(enum.StrEnum):
    """What an instance does."""

    ENTRY = "entry"
    LOCAL = "local"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetState(enum.StrEnum):
    """State of a target in a ticket."""

    SERVING = "serving"
    DRAINING = "draining"


class ServiceKind(enum.StrEnum):
    """What a service's targets are."""

    MODEL = "model"
    PLAIN = "plain"


class CallClass(enum.StrEnum):
    """Whether a call may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a process of the system, as the platform lists it.

    Parameters
    ----------
    name : str
        Stable name of the slot, kept across replacements.
    incarnation : str
        Identifier of this run.
    role : InstanceRole
        Entry, or local process beside a target.
    data_centre : str
        Data centre that the instance stands in.
    region : str
        Region of that data centre.
    address : str
        Link address, as `tcp://host:port`.
    http_address : str, default=""
        Callers' HTTP address of an entry.
    target : str, default=""
        Name of the target that a local process stands beside.
    service : str, default=""
        Service of that target.
    state : InstanceState, default=InstanceState.LIVE
        Live or leaving.
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
