"""Decoders of the operators' configuration and of the targets' entries."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta
from returns.result import Result

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
from carobroute.errors import ErrorKind, Fault
from carobroute.utils import (
    Address,
    Count,
    Integer,
    Name,
    Number,
    Size,
    decode_foreign,
)

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
# Slots of a target that are used at most: shares of them are worked out slot by slot.
MAX_SLOTS = 1_024
_MS_PER_S = 1_000.0
_MAX_RANK = (1 << 16) - 1
# Identifiers of targets are sent to them in a header.
_INCARNATION = Annotated[str, Meta(pattern=r"\A[!-~]{1,200}\Z")]


class _WireShare(msgspec.Struct):
    service: str
    weight: Number = 1.0


class _WireRoute(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Number = 30_000.0
    target_latency_ms: Number = 0.0
    gap_target_ms: Number = 0.0
    priority: Integer = 5
    service: str = ""
    # Services of a split route, not single targets.
    backends: list[_WireShare] = []
    max_attempts: Integer = 1
    allow_anonymous: bool = False
    resume_streams: bool = False


class _WireUsual(msgspec.Struct):
    prompt: Number = 0.0
    answer: Number = 0.0


class _WireEngine(msgspec.Struct):
    slots: Integer = 1
    kv_capacity_tokens: Integer = msgspec.field(default=0, name="kvCapacityTokens")
    step_ms: Number = 0.0
    per_seq_ms: Number = 0.0
    context_per_k: Number = 0.0
    read_per_s: Number = 0.0
    pairs_per_m: Number = 0.0
    chunk: Integer = 0
    stride: Integer = 1
    form_ms: Number = 0.0
    report_lag_ms: Number = 0.0
    sets: Size = 0
    experts: Size = 0
    placements: Size = 0
    spare: Size = 0
    expert_mb: Number = msgspec.field(default=0.0, name="expertMb")
    expert_share: Number = msgspec.field(default=0.0, name="expertShare")
    link_mbps: Number = msgspec.field(default=0.0, name="linkMbps")
    usual: _WireUsual = msgspec.field(default_factory=_WireUsual)


class _WireService(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = ""
    max_conns: Integer = 0
    engine: _WireEngine | None = None
    cold_start_s: Number = 0.0
    cold_per_s: Number = 0.0


class _WireTenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: Integer | None = None


class _WireLimits(msgspec.Struct, rename="camel"):
    max_header_bytes: Integer = 16_384
    max_body_bytes: Integer = 4_194_304
    header_timeout_ms: Number = 3_000.0
    idle_timeout_ms: Number = 15_000.0


class _WireConfiguration(msgspec.Struct):
    version: Integer
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    tenants: list[_WireTenant] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


class _WireGroup(msgspec.Struct):
    name: Name = ""
    epoch: Count = 0
    rank: Annotated[int, Meta(ge=-1, le=_MAX_RANK)] = -1
    state: str = _OPEN_GROUP_STATE


class _WireEntry(msgspec.Struct, rename="camel"):
    service: Annotated[Name, Meta(min_length=1)]
    address: Address
    zone: Name
    # Version of the target's software; like `seq` not used, but each entry has it.
    version: str
    state: str
    slots: Size
    # Remaining time of the slow start, not an age.
    cold_remaining_ms: Number
    seq: Count
    # Wall-clock time of the start; not every target names it.
    born: Count = 0
    group: _WireGroup | None = None
    # Ranks of the group, not of the target.
    size: Size = 0


_configuration_decoder = msgspec.json.Decoder(_WireConfiguration)
_entry_decoder = msgspec.json.Decoder(_WireEntry)


def decode_configuration(data: bytes) -> Result[RoutingConfiguration, Fault]:
    """Decode a configuration, or return an `INVALID_TICKET` fault."""
    return decode_foreign(
        lambda content: _build_configuration(_configuration_decoder.decode(content)),
        data,
        kind=ErrorKind.INVALID_TICKET,
        what="configuration",
    )


def decode_target_entry(incarnation: str, data: bytes) -> Result[TargetEntry, Fault]:
    """Decode a target's entry, or return an `INVALID_TICKET` fault.

    Other programs may write entries too. A missing field, a field of another type or
    out of range, an unknown state or undecodable bytes make an entry invalid.

    Parameters
    ----------
    incarnation : str
        Identifier of the target's run, under which the entry is stored.
    data : bytes
        The entry.
    """
    return decode_foreign(
        lambda entry: _build_entry(incarnation, _entry_decoder.decode(entry)),
        data,
        kind=ErrorKind.INVALID_TICKET,
        what=f"target entry {incarnation!r}",
    )


def _build_entry(incarnation: str, wire: _WireEntry) -> TargetEntry:
    group = wire.group or _WireGroup()
    if wire.size and group.rank >= wire.size:
        raise ValueError(f"rank {group.rank} of a group of {wire.size}")
    return TargetEntry(
        incarnation=msgspec.convert(incarnation, _INCARNATION),
        started_ms=wire.born,
        service=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        slots=min(max(1, wire.slots), MAX_SLOTS),
        condition=_CONDITION_BY_STATE[wire.state],
        slow_start_ms=max(0.0, wire.cold_remaining_ms),
        group=group.name,
        rank=group.rank,
        group_epoch=group.epoch,
        group_size=wire.size,
        is_group_open=group.state == _OPEN_GROUP_STATE,
    )


def _build_configuration(wire: _WireConfiguration) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=wire.version,
        routes=[_convert_route(route) for route in wire.routes],
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
        cold_ms=max(0.0, wire.cold_start_s) * _MS_PER_S,
        cold_calls_per_s=max(0.0, wire.cold_per_s),
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
