"""The platform's settings file of one process."""

from pathlib import Path

import msgspec
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail

SETTINGS_VARIABLE = "CAROBROUTE_NODE_FILE"


class TimeBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Times within which the platform expects the system to act.

    Parameters
    ----------
    drain_ms : float
        After a target is listed as leaving, it gets no further call.
    stop_ms : float
        From the signal to stop to the kill.
    configuration_ms : float
        After a configuration is acknowledged, it is in force everywhere.
    revoke_ms : float
        After a key is taken away, it opens nothing; 0 where this is not required.
    retry_share, retry_slack : float
        Repeats allowed in a window: this share of the calls, and so many more.
    retry_window_ms : float
        Length of that window.
    stall_ms : float
        Time for which a rank group stalls when one of its ranks is lost.
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
    """What the platform tells a process about itself.

    Parameters
    ----------
    name, data_centre, region, ip : str
        Name of the instance, where it stands, and its address.
    data_centres : dict of str to str
        Region of each data centre.
    caller_address, ready_address : str
        `host:port` where callers connect, and where readiness is asked.
    peer_ports : tuple of int
        First and last port for traffic between instances.
    store_address : str
        `host:port` of the platform's store.
    bounds : TimeBounds
        Times that bind the process.
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
    bounds: TimeBounds


class _WireBounds(msgspec.Struct, rename="camel"):
    drain_ms: float = 2_000
    grace_s: float = 8
    config_apply_ms: float = 2_000
    strict_revoke: bool = False
    revoke_ms: float = 0
    retry_budget_ratio: float = 0.1
    retry_budget_slack: float = 10
    budget_window_s: float = 10
    stall_ms: float = msgspec.field(default=1_500.0, name="stall_ms")


class _WireListen(msgspec.Struct):
    front: str = ""
    ready: str = ""


class _WirePlatform(msgspec.Struct):
    address: str


class _WireSettings(msgspec.Struct, rename="camel"):
    # The name of the machine, not of a process on it.
    node: str
    ip: str
    zone: str
    region: str
    listen: _WireListen
    platform: _WirePlatform
    zones: dict[str, str] = {}
    port_range: tuple[int, int] = (0, 0)
    bounds: _WireBounds = msgspec.field(default_factory=_WireBounds)


def decode_settings(data: bytes) -> Result[ProcessSettings, Fault]:
    """Return the settings in `data`, or an `INVALID_TICKET` fault that names why not.

    Unknown fields are ignored.
    """
    try:
        wire = msgspec.json.decode(data, type=_WireSettings)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return fail(ErrorKind.INVALID_TICKET, f"settings cannot be read: {error}")
    bounds = wire.bounds
    return Success(
        ProcessSettings(
            name=wire.node,
            data_centre=wire.zone,
            region=wire.region,
            ip=wire.ip,
            data_centres=wire.zones,
            caller_address=wire.listen.front,
            ready_address=wire.listen.ready,
            peer_ports=wire.port_range,
            store_address=wire.platform.address,
            bounds=TimeBounds(
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
    )


def settings_faults(data: bytes) -> list[str]:
    """Return every fault of a settings file, by field; none if it is good.

    Examples
    --------
    >>> for fault in settings_faults(b'{"node": 7, "zone": "a"}')[:2]:
    ...     print(fault)
    node: Expected `str`, got `int`
    ip: missing
    """
    try:
        fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
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
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            faults.append(f"{field.encode_name}: {error}")
    return faults


def read_settings(path: Path) -> Result[ProcessSettings, Fault]:
    """Return the settings in the file at `path`, or why there are none."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return fail(ErrorKind.NOT_FOUND, f"no settings file: {error}")
    return decode_settings(data)
