"""Routing configuration of the operators, and the targets' own entries."""

import enum

import msgspec

from carobroute.domain._instances import CallClass

MS_PER_S = 1_000
BITS_PER_BYTE = 8


class ListedTargetState(enum.StrEnum):
    """State of a target in the platform's list of targets."""

    READY = "ready"
    LEAVING = "leaving"


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """One service of a route, and its share of the route's calls.

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
    """Rules for the calls with one host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Host and path prefix of the calls that the route applies to.
    call_class : CallClass
        Whether one call may run more than once.
    streaming : bool
        Whether answers are event streams.
    resumable : bool
        Whether another target may continue a stream.
    timeout_ms : float
        Longest time for a call, in milliseconds.
    latency_target_ms, gap_target_ms : float
        Longest time to the first byte, and between two events, of an answer that is on
        time, in milliseconds; 0 for no target.
    priority : int
        Priority of the route's calls; 0 is the highest.
    shares : list of ServiceShare
        Services that the route's calls go to.
    max_attempts : int
        Largest number of targets to which one call is sent.
    allows_anonymous : bool
        Whether calls without an API key are accepted.
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
    allows_anonymous: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a call may be sent again after it may have run."""
        return self.call_class is CallClass.IDEMPOTENT


class ExpertProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Experts of a service whose engines run in groups of ranks.

    Parameters
    ----------
    layer_sets, experts_per_set : int
        Number of layer sets, whose layers share one layout, and of experts in each.
    max_experts_per_rank : int
        Largest number of experts of one layer set that a rank can hold.
    max_received_per_rank : int
        Largest number of experts of one layer set that a rank can receive while it
        still holds its previous ones.
    expert_mb, link_mbps : float
        Size of an expert, and rate at which a rank copies it.
    work_share : float
        Fraction of the work for a token that is done by experts.
    """

    layer_sets: int
    experts_per_set: int
    max_experts_per_rank: int
    max_received_per_rank: int
    expert_mb: float
    link_mbps: float
    work_share: float

    @property
    def copy_ms(self) -> float:
        """Time in which a rank copies one expert."""
        if not self.link_mbps:
            return 0.0
        return self.expert_mb * BITS_PER_BYTE * MS_PER_S / self.link_mbps


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Published speed and capacity of a service's engines.

    Parameters
    ----------
    slots : int
        Largest number of calls that one target runs at a time.
    kv_capacity_tokens : int
        Capacity of a target's KV cache, in tokens.
    step_ms, sequence_ms, context_ms_per_1k : float
        Time of a decode step: fixed part, part for each running call, and part for
        each 1,000 tokens of context.
    prefill_tokens_per_s : float
        Prompt tokens processed per second.
    attention_ms_per_1m : float
        Additional prefill time for a million pairs of tokens.
    prefill_chunk_tokens : int
        Largest number of prompt tokens processed in one step.
    steps_per_pass : int
        Decode steps in one pass, which is the number of tokens in one event.
    usual_prompt_tokens, usual_output_tokens : float
        Mean prompt and output sizes of calls.
    forming_ms : float
        Time that a rank group takes to form again and open.
    report_lag_ms : float
        Age of the state that a target's report shows.
    experts : ExpertProfile or None
        Experts, if the engines run in groups of ranks; None if they do not.
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
    report_lag_ms: float
    experts: ExpertProfile | None


class ServiceProfile(msgspec.Struct, frozen=True, kw_only=True):
    """One service and the properties of its targets.

    Parameters
    ----------
    name, health_path : str
        Name of the service, and path of its health check.
    max_connections : int
        Largest number of connections that a target accepts from all callers together.
    engine : EngineProfile or None
        Profile of the service's engines; None for a plain service.
    cold_ms : float
        Time for which a target is cold after its start, in milliseconds.
    cold_calls_per_s : float
        Calls a second that a cold target stands from all gateways; 0 for no limit.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None
    cold_ms: float = 0.0
    cold_calls_per_s: float = 0.0


class TeamProfile(msgspec.Struct, frozen=True, kw_only=True):
    """A team and its API keys.

    Parameters
    ----------
    name : str
        Name of the team.
    keys : list of str
        API keys of the team's callers.
    priority : int or None
        Priority of the team's calls, which overrides that of the route; None to use
        the route's.
    """

    name: str
    keys: list[str]
    priority: int | None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on callers' requests and connections.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest size of a request's headers, and of its body.
    header_timeout_ms, idle_timeout_ms : float
        Longest time for a caller to send the headers, and between two requests on a
        connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class RoutingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Routing configuration as the operators have put it in force.

    Parameters
    ----------
    version : int
        Version, which increases with each change.
    routes : list of Route
        All routes.
    services : list of ServiceProfile
        All services.
    teams : list of TeamProfile
        Teams with their API keys; empty if no caller needs one.
    bounds : CallerLimits
        Limits on callers' requests and connections.
    """

    version: int
    routes: list[Route]
    services: list[ServiceProfile]
    teams: list[TeamProfile]
    bounds: CallerLimits


class TargetEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a target, as the target describes itself in its entry.

    Parameters
    ----------
    incarnation : str
        Identifier of the run; a target that restarts may keep it.
    started_ms : int
        Wall-clock time of the start, in milliseconds; 0 if the entry has none.
    service, address, data_centre : str
        Service, `host:port` and data centre of the target.
    slots : int
        Largest number of calls that the target runs at a time.
    condition : ListedTargetState
        Whether the target takes new calls.
    slow_start_ms : float
        Remaining time for which the target is slow after its start, in milliseconds.
    group, rank : str, int
        Rank group of the target, and its rank there; empty and -1 for none.
    group_epoch : int
        Number of times that the group has formed.
    group_size : int
        Number of ranks in the group.
    is_group_open : bool
        Whether the group runs calls.
    """

    incarnation: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    condition: ListedTargetState
    slow_start_ms: float
    group: str = ""
    rank: int = -1
    group_epoch: int = 0
    group_size: int = 0
    is_group_open: bool = True
