"""Configuration and list entries of a small deployment, for the cases."""

from stand_ins import HOST, TENANT, TENANT_KEY

ORDERS_SERVICE = "wuno96b"
MODEL_SERVICE = "huvo11a"
STREAM_PATH = "/lohu930/2f"
UNSAFE_PATH = "/puxa403/2f"
BORN_MS = 1_796_000_000_000

ENGINE = {
    "slots": 6,
    "kvCapacityTokens": 186000,
    "kvTokenBytes": 192512,
    "linkMbps": 180000.0,
    "stride": 5,
    "models": [{"name": "m"}],
    "step_ms": 5.85,
    "per_seq_ms": 0.71,
    "context_per_k": 0.072,
    "read_per_s": 61200.0,
    "pairs_per_m": 0.325,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "delays": [],
    "usual": {"prompt": 835, "answer": 139},
    "sets": 4,
    "experts": 72,
    "placements": 8,
    "spare": 3,
    "expertMb": 780.0,
    "expertShare": 0.85,
    "form_ms": 600.0,
}


def build_configuration() -> dict:
    """Return the operator's configuration, with a stream and an unsafe route."""
    stream_route = {
        "name": "r-1",
        "host": HOST,
        "pathPrefix": "/lohu930/",
        "kind": "stream",
        "timeoutMs": 8000,
        "targetLatencyMs": 402,
        "priority": 1,
        "service": MODEL_SERVICE,
        "maxAttempts": 2,
        "allowAnonymous": False,
        "sticky": True,
        "resumeStreams": True,
        "gapTargetMs": 120,
    }
    unsafe_route = {
        "name": "r-2",
        "host": HOST,
        "pathPrefix": "/puxa403/",
        "kind": "unsafe",
        "timeoutMs": 1000,
        "targetLatencyMs": 200,
        "priority": 2,
        "service": ORDERS_SERVICE,
        "maxAttempts": 1,
        "allowAnonymous": False,
    }
    return {
        "version": 7,
        "routes": [stream_route, unsafe_route],
        "services": [
            {
                "name": MODEL_SERVICE,
                "healthPath": "/health",
                "maxConns": 248,
                "engine": ENGINE,
            },
            {"name": ORDERS_SERVICE, "healthPath": "/health", "maxConns": 96},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [TENANT_KEY]}],
    }


def build_entry(service: str, address: str, **more: object) -> dict:
    """Return a runner's entry in the list."""
    return {
        "service": service,
        "address": address,
        "zone": "svea-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": BORN_MS,
        "seq": 1,
        **more,
    }


def build_call_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "X-Api-Key": TENANT_KEY,
    }
