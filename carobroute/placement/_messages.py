"""Messages of the expert map switch."""

import enum

from carobroute.links import Message, message
from carobroute.placement._map import Attempt, ExpertMap, MapVersion


class SwitchOutcome(enum.StrEnum):
    """What a member knows about an attempt."""

    PROMISED = "promised"
    SWITCHED = "switched"
    ABORTED = "aborted"
    UNKNOWN = "unknown"


class MemberReply(Message):
    """Base of a member's replies.

    Parameters
    ----------
    incarnation : str
        Incarnation of the member, which the asker compares with the roster.
    epoch : int
        Epoch of the rank group that the member is in.
    """

    incarnation: str
    epoch: int


@message
class LoadMap(Message, tag="load_map"):
    """Asks a member to load a map's experts beside those of the map in force."""

    group: str
    epoch: int
    expert_map: ExpertMap


@message
class LoadReply(MemberReply, tag="load_reply"):
    """State of a load; sent again until `loaded` or `refusal` is set."""

    step: int
    step_ms: float
    loaded: bool = False
    refusal: str = ""


@message
class Prepare(Message, tag="prepare_switch"):
    """Asks a member to promise not to pass `step` before it knows the outcome."""

    group: str
    epoch: int
    attempt: Attempt
    version: MapVersion
    step: int


@message
class PrepareReply(MemberReply, tag="prepare_reply"):
    """Promise, or the reason for refusing it."""

    attempt: Attempt
    promised: bool
    step: int
    refusal: str = ""


@message
class Decide(Message, tag="decide_switch"):
    """Outcome of an attempt, from its coordinator."""

    group: str
    epoch: int
    attempt: Attempt
    switch: bool


@message
class AskOutcome(Message, tag="ask_outcome"):
    """Asks a member what it knows about an attempt, and binds it to its answer."""

    group: str
    epoch: int
    attempt: Attempt


@message
class OutcomeReply(MemberReply, tag="outcome_reply"):
    """What a member knows about an attempt."""

    attempt: Attempt
    outcome: SwitchOutcome


@message
class AskJoin(Message, tag="ask_join"):
    """Asks which map a member had in force when it entered `epoch`."""

    group: str
    epoch: int


@message
class JoinReply(MemberReply, tag="join_reply"):
    """The map in force at a member when it entered the epoch."""

    version: MapVersion


@message
class FetchMap(Message, tag="fetch_map"):
    """Asks for the content of a map."""

    group: str
    version: MapVersion


@message
class MapReply(MemberReply, tag="map_reply"):
    """Content of a map, if the member knows it."""

    expert_map: ExpertMap | None = None


@message
class Probe(Message, tag="probe_member"):
    """Asks for a member's state."""

    group: str


@message
class ProbeReply(MemberReply, tag="probe_reply"):
    """A member's state.

    Parameters
    ----------
    joined : bool
        Whether the member takes part in the epoch.
    version : MapVersion
        Map in force.
    step : int
        Highest step begun.
    step_ms : float
        Recent time of a step, in milliseconds.
    high_water : Attempt
        Highest attempt that the member has seen.
    undecided : bool
        Whether a promise is open.
    work_ms : dict of int to float
        Time that each rank hosted there worked in a recent step.
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
    """Orders a member to start its ranks anew, in the epoch after `epoch`."""

    group: str
    epoch: int
