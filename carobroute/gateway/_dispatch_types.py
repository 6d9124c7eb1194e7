"""Parameters, requests and results of the dispatcher."""

import msgspec

from carobroute.domain import ServiceProfile
from carobroute.gateway._targets import Target


class DispatchParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Weights, limits and intervals of the dispatcher.

    Parameters
    ----------
    plain_queue_ratio : float
        Calls that may wait at a target of a plain service, as a share of its slots.
    remote_load_penalty : float
        Load added to targets in other data centres, as a share of their slots:
        traffic between data centres is charged for.
    completion_window_ms : float
        Window over which the rate of completed calls is measured.
    max_wait_ratio : float
        Part of the latency target that a call may wait for a slot. The rest is for
        reading its prompt and producing the first event.
    min_wait_limit_ms : float
        Time that a call may wait even if `max_wait_ratio` allows less, because
        gateways see each other's calls with a delay.
    queue_check_interval_ms : float
        Interval at which queues are checked while no call of this gateway ends.
    limited_wait_ratio : float
        Part of its remaining time that a call may wait for a token of a target, where
        all targets limit their rate. The rest is for running it.
    default_wait_ms : float
        Wait that is assumed if none can be estimated: retry delay while a service has
        no usable target, and expected wait while no completion rate is known.
    """

    plain_queue_ratio: float = 1.0
    remote_load_penalty: float = 0.1
    completion_window_ms: float = 2_000.0
    max_wait_ratio: float = 0.5
    min_wait_limit_ms: float = 60.0
    queue_check_interval_ms: float = 25.0
    limited_wait_ratio: float = 0.5
    default_wait_ms: float = 1_000.0


class DispatchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a slot at a target, on behalf of one call.

    Parameters
    ----------
    request_id : str
        Identifier of the call.
    service : ServiceProfile
        Service that is called.
    priority : int
        Priority among queued calls; 0 comes first.
    latency_target_ms : float
        Target for the time to the first byte, in milliseconds.
    remaining_ms : float
        Time in which the call may still be sent, in milliseconds.
    excluded_targets : frozenset of str
        Incarnations of targets that have been tried already.
    may_have_run : bool
        Whether an earlier attempt may have run. Refusing such a call is not safe, so
        it may wait for all of `remaining_ms`.
    may_try : bool
        Whether the call may be a trial of an ejected target: it can be sent to another
        target if that fails.
    """

    request_id: str
    service: ServiceProfile
    priority: int
    latency_target_ms: float
    remaining_ms: float
    excluded_targets: frozenset[str] = frozenset()
    may_have_run: bool = False
    may_try: bool = True


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Slot at a target, with the inputs of the decision.

    Parameters
    ----------
    target : Target
        Selected target. The call counts as in flight there until it is released.
    load : float
        Load of the target before this call, including calls of other gateways.
    usable_count, listed_count : int
        Number of usable targets of the service, and of all its targets.
    waited_ms : float
        Time in the queue, in milliseconds.
    list_age_ms : float
        Age of the list of targets, in milliseconds.
    limit_per_s : float or None
        Rate limit of the target, in calls a second; None if it names none.
    is_trial : bool
        Whether the target is ejected, and the call a trial of it.
    """

    target: Target
    load: float
    usable_count: int
    listed_count: int
    waited_ms: float
    list_age_ms: float
    limit_per_s: float | None = None
    is_trial: bool = False
