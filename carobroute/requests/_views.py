"""What routing is asked, what it knows of targets, and what it answers."""

import msgspec

from carobroute.world import TargetState

FIRST_TOKEN_MS = 360.0
BETWEEN_TOKENS_MS = 73.0


class TargetView(msgspec.Struct, frozen=True, kw_only=True):
    """A target as configuration and the instance list show it.

    Parameters
    ----------
    name, service, data_centre : str
        Which target, and where it stands.
    region, group : str, default=""
        Region of its data centre, and the group that its ranks belong to.
    concurrency : int, default=8
        Calls that it runs at a time.
    state : TargetState, default=TargetState.SERVING
        State in the ticket in force.
    incarnation : str, default=""
        Run of its local process; empty while none is known.
    ticket : int, default=0
        Number of the ticket that last touched the target.
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
        Service that is called.
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
        Targets that must not be chosen.
    deadline_ms : float
        Time left to the first byte, in milliseconds; 0 for no limit.
    idempotency_key : str
        The caller's key, or empty. The same key prefers the same target, whose
        local process may still hold the answer.
    first_token_ms, between_tokens_ms : float
        Latency targets of the service.
    light : bool
        Whether the team sends little enough to be served before what is queued;
        the router fills it in.
    flooding : bool
        Whether targets refuse much of what the team sends; the router fills it in.
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
    first_token_ms: float = FIRST_TOKEN_MS
    between_tokens_ms: float = BETWEEN_TOKENS_MS
    light: bool = False
    flooding: bool = False


class CandidateInputs(msgspec.Struct, frozen=True, kw_only=True):
    """What was known of one target when it was weighed.

    Parameters
    ----------
    target, data_centre : str
        Which target.
    load : float
        Calls there: own ones, and others' as of the last report.
    report_age_ms : float
        Age of that report, in milliseconds.
    cached_blocks : int
        Blocks of the prompt believed to be in its prefix cache.
    step_ms : float
        Step time of its group, in milliseconds.
    first_ms : float
        Expected time to the first token, in milliseconds.
    cost_ms : float
        What the candidates were compared by.
    share : float
        Share of full weight during slow start, at most 1.
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
    """A chosen target and the inputs that explain it.

    Parameters
    ----------
    target : str
        The target.
    policy, reason : str
        Policy that chose, and why in one word.
    candidates : list of CandidateInputs
        Targets that were weighed.
    available, known : int
        Targets of the service that could take the request, and all of them.
    """

    target: str
    policy: str
    reason: str
    candidates: list[CandidateInputs]
    available: int
    known: int
