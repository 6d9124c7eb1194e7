"""Settings file that the platform writes for each process."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Result

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.utils import DECODING_ERRORS, Number, decode_foreign

SETTINGS_VARIABLE = "CAROBROUTE_NODE_FILE"


class PlatformDeadlines(msgspec.Struct, frozen=True, kw_only=True):
    """Deadlines and retry limits that the platform sets for the system.

    Parameters
    ----------
    drain_ms : float
        Time from the listing of a target as leaving until it must get no new calls.
    stop_ms : float
        Time from the stop signal until the process is killed.
    configuration_ms : float
        Time from the acknowledgement of a configuration until it must be in force
        everywhere.
    revoke_ms : float
        Time from the removal of a key until it must be refused; 0 for no deadline.
    retry_share, retry_slack : float
        Retries allowed in a window: `retry_share` times the calls, plus `retry_slack`.
    retry_window_ms : float
        Length of that window.
    stall_ms : float
        Time for which a rank group stalls when it loses a rank.
    """

    drain_ms: float = 2_000.0
    stop_ms: float = 8_000.0
    configuration_ms: float = 2_000.0
    revoke_ms: float = 0.0
    retry_share: float = 0.1
    retry_slack: float = 10.0
    retry_window_ms: float = 10_000.0
    stall_ms: float = 1_500.0


class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity, addresses and deadlines of one process.

    Parameters
    ----------
    name, data_centre, region, ip : str
        Name of the instance, its location, and its IP address.
    data_centres : dict of str to str
        Region of each data centre, by the data centre's name.
    caller_address, ready_address : str
        `host:port` of the listener for callers, and of the readiness check.
    peer_ports : tuple of int
        First and last port for traffic between instances.
    store_address : str
        `host:port` of the platform's store.
    heartbeat_ms : float
        Interval at which targets renew their entries in the list. An entry lapses
        after three of them without a renewal.
    link_mbps : float
        Bandwidth of the instance's network link; 0 if it is not known.
    bounds : PlatformDeadlines
        Deadlines and retry limits.
    """

    name: str
    data_centre: str
    region: str
    ip: str
    data_centres: dict[str, str]
    caller_address: str
    ready_address: str
    peer_ports: tuple[int, int]
    store_address: str
    heartbeat_ms: float = 1_200.0
    link_mbps: float = 0.0
    bounds: PlatformDeadlines


# 0 if the platform names no ports.
_Port = Annotated[int, Meta(ge=0, le=65_535)]


class _WireBounds(msgspec.Struct, rename="camel"):
    drain_ms: Number = 2_000
    grace_s: Number = 8
    config_apply_ms: Number = 2_000
    strict_revoke: bool = False
    revoke_ms: Number = 0
    retry_budget_ratio: Number = 0.1
    retry_budget_slack: Number = 10
    budget_window_s: Number = 10
    stall_ms: Number = msgspec.field(default=1_500.0, name="stall_ms")


class _WireListen(msgspec.Struct):
    front: str = ""
    ready: str = ""


class _WireCapacity(msgspec.Struct, rename="camel"):
    link_mbps: Number = 0.0


class _WirePlatform(msgspec.Struct):
    address: str


class _WireSettings(msgspec.Struct, rename="camel"):
    # Name of the machine, not of a process on it.
    node: str
    ip: str
    zone: str
    region: str
    listen: _WireListen
    platform: _WirePlatform
    zones: dict[str, str] = {}
    port_range: tuple[_Port, _Port] = (0, 0)
    heartbeat_ms: Number = 1_200
    limits: _WireCapacity = msgspec.field(default_factory=_WireCapacity)
    bounds: _WireBounds = msgspec.field(default_factory=_WireBounds)


_settings_decoder = msgspec.json.Decoder(_WireSettings)


def decode_settings(data: bytes) -> Result[ProcessSettings, Fault]:
    """Decode settings, or return an `INVALID_TICKET` fault that gives the reason.

    Unknown fields are ignored.
    """
    return decode_foreign(
        lambda content: _build_settings(_settings_decoder.decode(content)),
        data,
        kind=ErrorKind.INVALID_TICKET,
        what="settings",
    )


def _build_settings(wire: _WireSettings) -> ProcessSettings:
    bounds = wire.bounds
    return ProcessSettings(
        name=wire.node,
        data_centre=wire.zone,
        region=wire.region,
        ip=wire.ip,
        data_centres=wire.zones,
        caller_address=wire.listen.front,
        ready_address=wire.listen.ready,
        peer_ports=wire.port_range,
        store_address=wire.platform.address,
        heartbeat_ms=wire.heartbeat_ms,
        link_mbps=wire.limits.link_mbps,
        bounds=PlatformDeadlines(
            drain_ms=bounds.drain_ms,
            stop_ms=bounds.grace_s * 1_000,
            configuration_ms=bounds.config_apply_ms,
            revoke_ms=bounds.revoke_ms if bounds.strict_revoke else 0.0,
            retry_share=bounds.retry_budget_ratio,
            retry_slack=bounds.retry_budget_slack,
            retry_window_ms=bounds.budget_window_s * 1_000,
            stall_ms=bounds.stall_ms,
        ),
    )


def find_settings_faults(data: bytes) -> list[str]:
    """Return a message for each invalid field of a settings file.

    Examples
    --------
    >>> for fault in find_settings_faults(b'{"node": 7, "zone": "a"}')[:2]:
    ...     print(fault)
    node: Expected `str`, got `int`
    ip: missing
    """
    try:
        fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    except DECODING_ERRORS as error:
        return [f"not a JSON object: {error}"]
    faults = []
    for field in msgspec.structs.fields(_WireSettings):
        value = fields.get(field.encode_name)
        if value is None:
            if field.required:
                faults.append(f"{field.encode_name}: missing")
            continue
        try:
            msgspec.json.decode(value, type=field.type)
        except DECODING_ERRORS as error:
            faults.append(f"{field.encode_name}: {error}")
    return faults


def read_settings(path: Path) -> Result[ProcessSettings, Fault]:
    """Read and decode the settings file at `path`.

    Returns a `NOT_FOUND` fault if the file cannot be read.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return fail(ErrorKind.NOT_FOUND, f"settings file cannot be read: {error}")
    return decode_settings(data)
