"""Inputs and results of routing: target views, queries and choices."""

import msgspec

from carobroute.domain import TargetState

FIRST_TOKEN_TARGET_MS = 360.0
BETWEEN_TOKENS_TARGET_MS = 73.0


class TargetView(msgspec.Struct, frozen=True, kw_only=True):
    """A target as described by the configuration and the instance list.

    Parameters
    ----------
    name, service, data_centre : str
        Name of the target, the service that it belongs to and its data centre.
    region, group : str, default=""
        Region of its data centre, and the group of ranks that it belongs to.
    concurrency : int, default=8
        Calls that it runs at the same time.
    state : TargetState, default=TargetState.SERVING
        State according to the ticket in force.
    incarnation : str, default=""
        Incarnation of its local process; empty while none is known.
    ticket : int, default=0
        Number of the last ticket that changed the target.
    """

    name: str
    service: str
    data_centre: str
    region: str = ""
    group: str = ""
    concurrency: int = 8
    state: TargetState = TargetState.SERVING
    incarnation: str = ""
    ticket: int = 0


class RouteQuery(msgspec.Struct, frozen=True, kw_only=True):
    """One request that needs a target.

    Parameters
    ----------
    service : str
        Service to call.
    team : str
        Team of the caller.
    priority : int
        0 (lowest) to 9.
    prompt_blocks : list of int
        Chained hashes of the prompt's blocks.
    tokens : int
        Estimated tokens of the prompt.
    data_centre : str
        Data centre of this entry.
    excluded : frozenset of str
        Targets that must not be chosen, such as those tried before.
    deadline_ms : float
        Time left until the first byte, in milliseconds; 0 for no limit.
    idempotency_key : str
        Idempotency key of the caller, or empty. Requests with the same key prefer
        the same target, because its local process may still hold the answer.
    first_token_ms, between_tokens_ms : float
        Latency targets of the service, in milliseconds.
    is_light : bool
        Whether the team sends no more than the mean of recent teams, so that its
        calls are served before queued calls of other teams. Set by the router.
    is_flooding : bool
        Whether the team sends most of the requests and targets refuse many of
        them. Set by the router.
    """

    service: str
    team: str = ""
    priority: int = 5
    prompt_blocks: list[int] = []
    tokens: int = 0
    data_centre: str = ""
    excluded: frozenset[str] = frozenset()
    deadline_ms: float = 0.0
    idempotency_key: str = ""
    first_token_ms: float = FIRST_TOKEN_TARGET_MS
    between_tokens_ms: float = BETWEEN_TOKENS_TARGET_MS
    is_light: bool = False
    is_flooding: bool = False


class CandidateInputs(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs of the cost of one candidate target.

    Parameters
    ----------
    target, data_centre : str
        Name and data centre of the target.
    load : float
        Calls at the target: this entry's own calls, and those of other entries as of
        the last load report.
    report_age_ms : float
        Age of the load report, in milliseconds.
    cached_blocks : int
        Blocks of the prompt believed to be in its prefix cache.
    step_ms : float
        Step time of the target's group, in milliseconds.
    first_ms : float
        Expected time to the first token, in milliseconds.
    cost_ms : float
        Cost by which the candidates are compared, in milliseconds.
    share : float
        Fraction of the full weight during slow start, at most 1.
    """

    target: str
    data_centre: str
    load: float
    report_age_ms: float
    cached_blocks: int
    step_ms: float
    first_ms: float
    cost_ms: float
    share: float


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """A chosen target and the inputs of the choice.

    Parameters
    ----------
    target : str
        Name of the chosen target.
    policy, reason : str
        Name of the policy, and its reason in one word.
    candidates : list of CandidateInputs
        Targets that were compared.
    available, known : int
        Number of targets in the subset that could take the request and are not
        ejected, and of all targets in the subset.
    """

    target: str
    policy: str
    reason: str
    candidates: list[CandidateInputs]
    available: int
    known: int
