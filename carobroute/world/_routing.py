"""What the operators have put in force for callers, and the targets that serve it."""

import enum

import msgspec

from carobroute.world._world import CallClass


class TargetCondition(enum.StrEnum):
    """What the platform's list says of a target."""

    READY = "ready"
    LEAVING = "leaving"


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """One service of a route, with its share of the route's calls.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share relative to the other services of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of one host and path prefix, and how they are served.

    Parameters
    ----------
    name, host, path_prefix : str
        Identity of the route, and what selects it.
    call_class : CallClass
        Whether one call may run more than once.
    streaming : bool
        Whether answers are event streams.
    resumable : bool
        Whether a stream may be continued by another target.
    timeout_ms : float
        Longest time that a caller is kept, in milliseconds.
    latency_target_ms, gap_target_ms : float
        Time to the first byte, and between two events, within which an answer is on
        time; 0 where there is none.
    priority : int
        Rank among routes; 0 comes first.
    shares : list of ServiceShare
        Services that the route's calls go to.
    max_attempts : int
        Targets that one call may be sent to.
    anonymous : bool
        Whether callers need no key.
    """

    name: str
    host: str
    path_prefix: str
    call_class: CallClass
    streaming: bool
    resumable: bool
    timeout_ms: float
    latency_target_ms: float
    gap_target_ms: float
    priority: int
    shares: list[ServiceShare]
    max_attempts: int
    anonymous: bool

    @property
    def repeatable(self) -> bool:
        """Whether a call may be sent again after it may have run."""
        return self.call_class is CallClass.IDEMPOTENT


class ExpertProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Experts of a service's engines, which run in groups of ranks.

    Parameters
    ----------
    sets, experts : int
        Sets of layers that are placed together, and experts in each.
    places : int
        Experts of one set that a rank holds at most.
    spare : int
        Experts of one set that a rank can take in while it holds its old ones.
    expert_mb, link_mbps : float
        Size of an expert, and speed at which a rank copies it.
    share : float
        Share of the work for tokens that experts do.
    """

    sets: int
    experts: int
    places: int
    spare: int
    expert_mb: float
    link_mbps: float
    share: float


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Published speed and size of a service's engines.

    Parameters
    ----------
    slots : int
        Calls that one target runs at a time.
    kv_capacity_tokens : int
        Tokens that a target's memory holds.
    step_ms, sequence_ms, context_ms_per_1k : float
        Time of a decode step: fixed part, part of each running call, and part of
        each 1,000 tokens of context.
    prefill_tokens_per_s : float
        Prompt tokens read a second.
    attention_ms_per_1m : float
        Further time of reading, for a million pairs of tokens.
    prefill_chunk_tokens : int
        Prompt tokens read in one step at most.
    steps_per_pass : int
        Decode steps made at a time, which is the tokens of one event.
    usual_prompt_tokens, usual_output_tokens : float
        Mean sizes of calls.
    forming_ms : float
        Time that a rank group takes to open again.
    experts : ExpertProfile or None
        Experts, where ranks run in groups.
    """

    slots: int
    kv_capacity_tokens: int
    step_ms: float
    sequence_ms: float
    context_ms_per_1k: float
    prefill_tokens_per_s: float
    attention_ms_per_1m: float
    prefill_chunk_tokens: int
    steps_per_pass: int
    usual_prompt_tokens: float
    usual_output_tokens: float
    forming_ms: float
    experts: ExpertProfile | None


class ServiceProfile(msgspec.Struct, frozen=True, kw_only=True):
    """One service.

    Parameters
    ----------
    name, health_path : str
        Name, and path of the health check.
    max_connections : int
        Connections that a target takes from all callers together.
    engine : EngineProfile or None
        Engines behind the service; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None


class KeyHolder(msgspec.Struct, frozen=True, kw_only=True):
    """A team, as a caller's key names it.

    Parameters
    ----------
    name : str
        Name of the team.
    keys : list of str
        Keys that the team's callers send.
    priority : int or None
        Rank that goes before that of the route; None for the route's.
    """

    name: str
    keys: list[str]
    priority: int | None


class CallerBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what callers send.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest headers and body.
    header_timeout_ms, idle_timeout_ms : float
        Longest time to send headers, and between two requests of a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class RoutingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that the operators have put in force for callers.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes : list of Route
        All routes.
    services : list of ServiceProfile
        All services.
    teams : list of KeyHolder
        Teams with their keys; empty where no caller needs one.
    bounds : CallerBounds
        Bounds on what callers send.
    """

    version: int
    routes: list[Route]
    services: list[ServiceProfile]
    teams: list[KeyHolder]
    bounds: CallerBounds


class TargetEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a target, as it lists itself.

    Parameters
    ----------
    incarnation : str
        Identifier of the run; a target that starts again may keep it.
    started_ms : int
        Wall-clock time of the start in milliseconds; 0 where it is not told.
    service, address, data_centre : str
        Service, `host:port`, and where the target stands.
    slots : int
        Calls that the target runs at a time.
    condition : TargetCondition
        Whether it takes new calls.
    cold_ms : float
        How much longer the target is slow after its start.
    group, rank : str, int
        Rank group that the target belongs to, and its rank; empty and -1 for none.
    group_epoch : int
        Times that the group has formed.
    group_size : int
        Ranks of the group.
    group_open : bool
        Whether the group runs calls.
    """

    incarnation: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    condition: TargetCondition
    cold_ms: float
    group: str = ""
    rank: int = -1
    group_epoch: int = 0
    group_size: int = 0
    group_open: bool = True
