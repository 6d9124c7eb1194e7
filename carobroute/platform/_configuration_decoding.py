"""Decoders of the operators' configuration and of the targets' entries."""

from typing import Any

import msgspec
from returns.result import Result, Success

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
from carobroute.errors import ErrorKind, Fault, fail

_CALL_CLASS_BY_KIND = {
    "safe": CallClass.IDEMPOTENT,
    "unsafe": CallClass.NON_IDEMPOTENT,
    "stream": CallClass.NON_IDEMPOTENT,
}
_STREAM_KIND = "stream"
_CONDITION_BY_STATE = {
    "ready": ListedTargetState.READY,
    "draining": ListedTargetState.LEAVING,
}
_OPEN_GROUP_STATE = "open"


class _WireShare(msgspec.Struct):
    service: str
    weight: float = 1.0


class _WireRoute(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 0.0
    gap_target_ms: float = 0.0
    priority: int = 5
    service: str = ""
    # Services of a split route, not single targets.
    backends: list[_WireShare] = []
    max_attempts: int = 1
    allow_anonymous: bool = False
    resume_streams: bool = False


class _WireUsual(msgspec.Struct):
    prompt: float = 0.0
    answer: float = 0.0


class _WireEngine(msgspec.Struct):
    slots: int = 1
    kv_capacity_tokens: int = msgspec.field(default=0, name="kvCapacityTokens")
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    pairs_per_m: float = 0.0
    chunk: int = 0
    stride: int = 1
    form_ms: float = 0.0
    report_lag_ms: float = 0.0
    sets: int = 0
    experts: int = 0
    placements: int = 0
    spare: int = 0
    expert_mb: float = msgspec.field(default=0.0, name="expertMb")
    expert_share: float = msgspec.field(default=0.0, name="expertShare")
    link_mbps: float = msgspec.field(default=0.0, name="linkMbps")
    usual: _WireUsual = msgspec.field(default_factory=_WireUsual)


class _WireService(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = ""
    max_conns: int = 0
    engine: _WireEngine | None = None


class _WireTenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _WireLimits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _WireConfiguration(msgspec.Struct):
    version: int
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    tenants: list[_WireTenant] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


class _WireGroup(msgspec.Struct):
    name: str = ""
    epoch: int = 0
    rank: int = -1
    state: str = _OPEN_GROUP_STATE


class _WireEntry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    # Remaining time of the slow start, not an age.
    cold_remaining_ms: float = 0.0
    # Wall-clock time of the start.
    born: int = 0
    group: _WireGroup | None = None
    # Ranks of the group, not of the target.
    size: int = 0


_configuration_decoder = msgspec.json.Decoder(_WireConfiguration)
_entry_decoder = msgspec.json.Decoder(_WireEntry)


def decode_configuration(data: bytes) -> Result[RoutingConfiguration, Fault]:
    """Decode a configuration, or return an `INVALID_TICKET` fault."""
    try:
        wire = _configuration_decoder.decode(data)
        routes = [_convert_route(route) for route in wire.routes]
    except (msgspec.DecodeError, UnicodeDecodeError, KeyError) as error:
        return fail(
            ErrorKind.INVALID_TICKET, f"configuration cannot be decoded: {error}"
        )
    return Success(
        RoutingConfiguration(
            version=wire.version,
            routes=routes,
            services=[_convert_service(service) for service in wire.services],
            teams=[
                TeamProfile(name=team.name, keys=team.api_keys, priority=team.priority)
                for team in wire.tenants
            ],
            bounds=CallerLimits(
                header_bytes=wire.limits.max_header_bytes,
                body_bytes=wire.limits.max_body_bytes,
                header_timeout_ms=wire.limits.header_timeout_ms,
                idle_timeout_ms=wire.limits.idle_timeout_ms,
            ),
        )
    )


def decode_target_entry(incarnation: str, data: bytes) -> Result[TargetEntry, Fault]:
    """Decode a target's entry, or return an `INVALID_TICKET` fault.

    Other programs may write entries too. A missing field, a field of another type, an
    unknown state or undecodable bytes make an entry invalid.

    Parameters
    ----------
    incarnation : str
        Identifier of the target's run, under which the entry is stored.
    data : bytes
        The entry.
    """
    try:
        wire = _entry_decoder.decode(data)
        condition = _CONDITION_BY_STATE[wire.state]
    except (msgspec.DecodeError, UnicodeDecodeError, KeyError) as error:
        return fail(
            ErrorKind.INVALID_TICKET,
            f"target entry {incarnation!r} cannot be decoded: {error!r}",
        )
    host, _, port = wire.address.rpartition(":")
    if not host or not port.isdigit() or not wire.service or not incarnation:
        detail = (
            f"target entry {incarnation!r} lacks an incarnation, a service or a "
            f"host:port address: {wire.address!r}"
        )
        return fail(ErrorKind.INVALID_TICKET, detail)
    group = wire.group or _WireGroup()
    return Success(
        TargetEntry(
            incarnation=incarnation,
            started_ms=wire.born,
            service=wire.service,
            address=wire.address,
            data_centre=wire.zone,
            slots=max(1, wire.slots),
            condition=condition,
            slow_start_ms=wire.cold_remaining_ms,
            group=group.name,
            rank=group.rank,
            group_epoch=group.epoch,
            group_size=wire.size,
            is_group_open=group.state == _OPEN_GROUP_STATE,
        )
    )


def _convert_route(wire: _WireRoute) -> Route:
    is_streaming = wire.kind == _STREAM_KIND
    call_class = _CALL_CLASS_BY_KIND[wire.kind]
    if is_streaming and wire.resume_streams:
        call_class = CallClass.IDEMPOTENT
    shares = [
        ServiceShare(service=share.service, weight=share.weight)
        for share in wire.backends
    ] or [ServiceShare(service=wire.service, weight=1.0)]
    return Route(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        call_class=call_class,
        streaming=is_streaming,
        resumable=is_streaming and wire.resume_streams,
        timeout_ms=wire.timeout_ms,
        latency_target_ms=wire.target_latency_ms,
        gap_target_ms=wire.gap_target_ms,
        priority=wire.priority,
        shares=shares,
        max_attempts=max(1, wire.max_attempts),
        allows_anonymous=wire.allow_anonymous,
    )


def _convert_service(wire: _WireService) -> ServiceProfile:
    return ServiceProfile(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        engine=None if wire.engine is None else _convert_engine(wire.engine),
    )


def _convert_engine(wire: _WireEngine) -> EngineProfile:
    values: dict[str, Any] = {
        "slots": wire.slots,
        "kv_capacity_tokens": wire.kv_capacity_tokens,
        "step_ms": wire.step_ms,
        "sequence_ms": wire.per_seq_ms,
        "context_ms_per_1k": wire.context_per_k,
        "prefill_tokens_per_s": wire.read_per_s,
        "attention_ms_per_1m": wire.pairs_per_m,
        "prefill_chunk_tokens": wire.chunk,
        "steps_per_pass": max(1, wire.stride),
        "usual_prompt_tokens": wire.usual.prompt,
        "usual_output_tokens": wire.usual.answer,
        "forming_ms": wire.form_ms,
        "report_lag_ms": wire.report_lag_ms,
        "experts": _convert_experts(wire),
    }
    return EngineProfile(**values)


def _convert_experts(wire: _WireEngine) -> ExpertProfile | None:
    if not wire.sets or not wire.experts:
        return None
    return ExpertProfile(
        layer_sets=wire.sets,
        experts_per_set=wire.experts,
        max_experts_per_rank=wire.placements,
        max_received_per_rank=wire.spare,
        expert_mb=wire.expert_mb,
        link_mbps=wire.link_mbps,
        work_share=wire.expert_share,
    )
