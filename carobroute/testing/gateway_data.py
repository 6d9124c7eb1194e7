"""Builders of routes, targets and configurations for tests of the gateway."""

from typing import Any

from carobroute.domain import (
    CallClass,
    CallerLimits,
    EngineProfile,
    ExpertProfile,
    ListedTargetState,
    Route,
    RoutingConfiguration,
    ServiceProfile,
    ServiceShare,
    TargetEntry,
    TeamProfile,
)
from carobroute.gateway._cold_starts import ColdProfile, ColdStarts, TargetRates
from carobroute.gateway._rate_limits import RateLimits
from carobroute.platform import RankReport
from carobroute.utils import Clock


def make_target_entry(**changes: Any) -> TargetEntry:
    """Return the list entry of a ready target."""
    fields: dict[str, Any] = {
        "incarnation": "i-1",
        "started_ms": 1,
        "service": "orders",
        "address": "127.0.0.1:1",
        "data_centre": "a",
        "slots": 6,
        "condition": ListedTargetState.READY,
        "slow_start_ms": 0.0,
    }
    return TargetEntry(**{**fields, **changes})


def make_cold_starts(
    clock: Clock, profile: ColdProfile | None = None, heard_share: float = 1.0
) -> ColdStarts:
    """Return the cold targets of a service with that profile; None for no limit."""
    return ColdStarts(
        clock=clock,
        find_profile=lambda run_id: profile,
        heard_share=lambda: heard_share,
    )


def make_target_rates(clock: Clock, named: RateLimits) -> TargetRates:
    """Return limits that targets have named, while none of them is cold."""
    return TargetRates(named=named, cold=make_cold_starts(clock))


def make_route(**changes: Any) -> Route:
    """Return a route of idempotent calls to the service `orders`."""
    fields: dict[str, Any] = {
        "name": "r-1",
        "host": "shop.example",
        "path_prefix": "/orders/",
        "call_class": CallClass.IDEMPOTENT,
        "streaming": False,
        "resumable": False,
        "timeout_ms": 1_000.0,
        "latency_target_ms": 150.0,
        "gap_target_ms": 0.0,
        "priority": 2,
        "shares": [ServiceShare(service="orders", weight=1.0)],
        "max_attempts": 2,
        "allows_anonymous": False,
    }
    return Route(**{**fields, **changes})


def make_service(**changes: Any) -> ServiceProfile:
    """Return the plain service `orders`."""
    fields: dict[str, Any] = {
        "name": "orders",
        "health_path": "/health",
        "max_connections": 96,
        "engine": None,
    }
    return ServiceProfile(**{**fields, **changes})


def make_engine(**changes: Any) -> EngineProfile:
    """Return the profile of an engine without experts."""
    fields: dict[str, Any] = {
        "slots": 6,
        "kv_capacity_tokens": 186_000,
        "step_ms": 5.85,
        "sequence_ms": 0.71,
        "context_ms_per_1k": 0.072,
        "prefill_tokens_per_s": 61_200.0,
        "attention_ms_per_1m": 0.325,
        "prefill_chunk_tokens": 512,
        "steps_per_pass": 5,
        "usual_prompt_tokens": 835.0,
        "usual_output_tokens": 139.0,
        "forming_ms": 600.0,
        "report_lag_ms": 200.0,
        "experts": None,
    }
    return EngineProfile(**{**fields, **changes})


def make_experts(**changes: Any) -> ExpertProfile:
    """Return the experts of a service whose engines run in groups of ranks."""
    fields: dict[str, Any] = {
        "layer_sets": 4,
        "experts_per_set": 72,
        "max_experts_per_rank": 8,
        "max_received_per_rank": 2,
        "expert_mb": 420.0,
        "link_mbps": 44_000.0,
        "work_share": 0.85,
    }
    return ExpertProfile(**{**fields, **changes})


def make_rank_report(**changes: Any) -> RankReport:
    """Return the report of a rank that runs nothing."""
    fields: dict[str, Any] = {
        "epoch": 1,
        "is_group_open": True,
        "slowdown": 1.0,
        "order_count": 0,
        "running": 0,
        "queued": 0,
        "step": 1,
        "version": 0,
        "prepared": None,
        "armed": None,
        "held_step": None,
    }
    return RankReport(**{**fields, **changes})


def make_configuration(**changes: Any) -> RoutingConfiguration:
    """Return a configuration with one route, one service and one team."""
    fields: dict[str, Any] = {
        "version": 1,
        "routes": [make_route()],
        "services": [make_service()],
        "teams": [TeamProfile(name="lund", keys=["key-1"], priority=None)],
        "bounds": CallerLimits(),
    }
    return RoutingConfiguration(**{**fields, **changes})
