"""Messages of the expert map switch."""

import enum

from carobroute.links import Message, message
from carobroute.placement._map import Attempt, ExpertMap, MapVersion


class SwitchOutcome(enum.StrEnum):
    """Outcome of an attempt, as far as a member knows it."""

    PROMISED = "promised"
    SWITCHED = "switched"
    ABORTED = "aborted"
    UNKNOWN = "unknown"


class MemberReply(Message):
    """Base class of a member's replies.

    Parameters
    ----------
    incarnation : str
        Incarnation of the member, which the receiver compares with the roster.
    epoch : int
        Epoch that the member is in.
    """

    incarnation: str
    epoch: int


@message
class LoadMap(Message, tag="load_map"):
    """Request to load a map's experts in addition to those of the map in force."""

    group: str
    epoch: int
    expert_map: ExpertMap


@message
class LoadReply(MemberReply, tag="load_reply"):
    """Progress of a load; `LoadMap` is repeated until `loaded` or `refusal` is set."""

    step: int
    step_ms: float
    loaded: bool = False
    refusal: str = ""


@message
class Prepare(Message, tag="prepare_switch"):
    """Request to promise not to begin `step` before the attempt's outcome is known."""

    group: str
    epoch: int
    attempt: Attempt
    version: MapVersion
    step: int


@message
class PrepareReply(MemberReply, tag="prepare_reply"):
    """Promise, or the reason for its refusal."""

    attempt: Attempt
    promised: bool
    step: int
    refusal: str = ""


@message
class Decide(Message, tag="decide_switch"):
    """Decision of the coordinator about its attempt."""

    group: str
    epoch: int
    attempt: Attempt
    switch: bool


@message
class AskOutcome(Message, tag="ask_outcome"):
    """Request for the outcome of an attempt; the reply binds the member."""

    group: str
    epoch: int
    attempt: Attempt


@message
class OutcomeReply(MemberReply, tag="outcome_reply"):
    """Outcome of an attempt, as far as the member knows it."""

    attempt: Attempt
    outcome: SwitchOutcome


@message
class AskJoin(Message, tag="ask_join"):
    """Request for the version that a member had in force when it entered `epoch`."""

    group: str
    epoch: int


@message
class JoinReply(MemberReply, tag="join_reply"):
    """Version that the member had in force when it entered the epoch."""

    version: MapVersion


@message
class FetchMap(Message, tag="fetch_map"):
    """Request for the content of a map."""

    group: str
    version: MapVersion


@message
class MapReply(MemberReply, tag="map_reply"):
    """Content of a map, or None if the member does not have it."""

    expert_map: ExpertMap | None = None


@message
class Probe(Message, tag="probe_member"):
    """Request for a member's state."""

    group: str


@message
class ProbeReply(MemberReply, tag="probe_reply"):
    """State of a member.

    Parameters
    ----------
    joined : bool
        Whether the member has joined the epoch.
    version : MapVersion
        Version of the map in force.
    step : int
        Highest step begun.
    step_ms : float
        Duration of a recent step.
    high_water : Attempt
        Highest attempt that the member has seen.
    undecided : bool
        Whether the member has an open promise.
    work_ms : dict of int to float
        Work time of each of the member's ranks in a recent step.
    """

    joined: bool
    version: MapVersion
    step: int
    step_ms: float
    high_water: Attempt
    undecided: bool
    work_ms: dict[int, float] = {}


@message
class ReplaceRanks(Message, tag="replace_ranks"):
    """Request to replace a member's ranks, which begins the epoch after `epoch`."""

    group: str
    epoch: int
