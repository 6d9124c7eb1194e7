"""What the platform and its operators write, as bytes on the wire."""

from typing import Any

import msgspec

from carobroute.domain import (
    CallClass,
    ListedTargetState,
    Route,
    RoutingConfiguration,
    TargetEntry,
)


def encode_configuration(configuration: RoutingConfiguration) -> bytes:
    """Return the operators' row of a configuration without engines."""
    bounds = configuration.bounds
    return msgspec.json.encode(
        {
            "version": configuration.version,
            "routes": [_route(route) for route in configuration.routes],
            "services": [
                {
                    "name": service.name,
                    "healthPath": service.health_path,
                    "maxConns": service.max_connections,
                }
                for service in configuration.services
            ],
            "tenants": [
                {"name": team.name, "apiKeys": list(team.keys)}
                for team in configuration.teams
            ],
            "limits": {
                "maxHeaderBytes": bounds.header_bytes,
                "maxBodyBytes": bounds.body_bytes,
                "headerTimeoutMs": bounds.header_timeout_ms,
                "idleTimeoutMs": bounds.idle_timeout_ms,
            },
        }
    )


def encode_target(entry: TargetEntry) -> bytes:
    """Return the row that a target keeps of itself."""
    ready = entry.condition is ListedTargetState.READY
    group = {
        "group": {
            "name": entry.group,
            "epoch": entry.group_epoch,
            "rank": entry.rank,
            "state": "open" if entry.is_group_open else "broken",
        },
        "size": entry.group_size,
    }
    return msgspec.json.encode(
        {
            "service": entry.service,
            "address": entry.address,
            "zone": entry.data_centre,
            "version": "v1",
            "slots": entry.slots,
            "state": "ready" if ready else "draining",
            "coldRemainingMs": entry.slow_start_ms,
            "born": entry.started_ms,
            "seq": 1,
            **(group if entry.group else {}),
        }
    )


def encode_settings(
    *,
    name: str,
    data_centre: str,
    ip: str,
    ports: tuple[int, int, int],
    store_address: str,
    revoke_ms: float,
    stop_ms: float,
    retry_share: float = 0.1,
    retry_slack: float = 10.0,
) -> bytes:
    """Return the settings file of a process.

    Parameters
    ----------
    name, data_centre, ip : str
        Name of the process, where it stands, and its address.
    ports : tuple of int
        Ports for callers, for questions of readiness, and for other processes.
    store_address : str
        `host:port` of the store.
    revoke_ms, stop_ms : float
        Time after which a key that was taken away opens nothing, and time from the
        signal to stop to the kill.
    retry_share, retry_slack : float
        Retries allowed in 10 s: a share of the calls, and a fixed number.
    """
    callers, ready, peers = ports
    return msgspec.json.encode(
        {
            "node": name,
            "ip": ip,
            "zone": data_centre,
            "region": "r",
            "zones": {data_centre: "r"},
            "listen": {"front": f"{ip}:{callers}", "ready": f"{ip}:{ready}"},
            "portRange": [peers, peers],
            "platform": {"address": store_address},
            "bounds": {
                "strictRevoke": bool(revoke_ms),
                "revokeMs": revoke_ms,
                "graceS": stop_ms / 1_000,
                "retryBudgetRatio": retry_share,
                "retryBudgetSlack": retry_slack,
            },
        }
    )


def _route(route: Route) -> dict[str, Any]:
    kind = "safe" if route.call_class is CallClass.IDEMPOTENT else "unsafe"
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "kind": "stream" if route.streaming else kind,
        "timeoutMs": route.timeout_ms,
        "targetLatencyMs": route.latency_target_ms,
        "gapTargetMs": route.gap_target_ms,
        "priority": route.priority,
        "backends": [
            {"service": share.service, "weight": share.weight} for share in route.shares
        ],
        "maxAttempts": route.max_attempts,
        "allowAnonymous": route.allows_anonymous,
        "resumeStreams": route.resumable,
    }
