"""Sections of a settings file.

A section holds numbers with their unit in the key, and secrets only as the path of a
file that holds them.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from carobroute.domain import InstanceRole
from carobroute.telemetry import LogSettings

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
HostPort = Annotated[str, Meta(pattern=r"^(\[[0-9A-Fa-f:]+\]|[^\s:/]+):[0-9]{1,5}$")]
LinkAddress = Annotated[str, Meta(pattern=r"^tcp://[^\s/]+:([0-9]{1,5}|\*)$")]
Url = Annotated[str, Meta(pattern=r"^https?://[^\s]+$")]
FilePath = Annotated[str, Meta(min_length=1)]
PositiveInt = Annotated[int, Meta(ge=1)]
PositiveMs = Annotated[float, Meta(gt=0, le=86_400_000)]
Ms = Annotated[float, Meta(ge=0, le=86_400_000)]
Share = Annotated[float, Meta(ge=0, le=1)]


class InstanceSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Who the process is and where it stands.

    Parameters
    ----------
    name : str
        Stable name of the instance's slot.
    role : {'entry', 'local'}
        What the process does.
    data_centre, region : str
        Where it stands.
    stop_timeout_ms : float
        Time from the stop signal until whoever started the process kills it. Calls
        that are still in flight are ended before that.
    """

    name: Name
    role: InstanceRole
    data_centre: Name
    region: Name
    stop_timeout_ms: PositiveMs = 30_000.0


class CurveSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """CURVE keys of the links, as certificate files that `zmq.auth` writes.

    A key ring that a ticket puts in force takes the place of the accepted directory
    and of the order of keys; the secrets themselves only ever come from files.

    Parameters
    ----------
    own_directory : str
        Secret certificates of this process.
    servers_directory : str
        Secret certificates of the fleet's listening sockets.
    accepted_directory : str
        Public certificates of peers that may connect.
    """

    own_directory: FilePath
    servers_directory: FilePath
    accepted_directory: FilePath


class LinkSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Links to the system's other processes.

    Parameters
    ----------
    bind : str
        Address to listen on, as `tcp://host:port`; port `*` or 0 takes a free one.
    announce : str
        Address that peers use, where it differs from the one bound; empty for none.
    curve : CurveSettings or None
        Keys; without them links are plain.
    ping_busy_ms, ping_idle_ms : float
        Interval of pings while calls are in flight on a link, and otherwise.
    silence_ms : float
        Silence after a ping at which a connection is given up.
    reopen_ms, reopen_most_ms : float
        First and longest delay before a new connection is opened.
    max_queued : int
        Messages that may wait for one peer.
    """

    bind: LinkAddress = "tcp://127.0.0.1:*"
    announce: Annotated[str, Meta(pattern=r"^(tcp://[^\s/]+:[0-9]{1,5})?$")] = ""
    curve: CurveSettings | None = None
    ping_busy_ms: PositiveMs = 500.0
    ping_idle_ms: PositiveMs = 5_000.0
    silence_ms: PositiveMs = 1_500.0
    reopen_ms: PositiveMs = 50.0
    reopen_most_ms: PositiveMs = 2_000.0
    max_queued: PositiveInt = 20_000


class PlatformSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Where the platform's services answer.

    Parameters
    ----------
    adapter : str
        Registered name of the platform's clients.
    table_url, objects_url, instances_url, weights_url : str
        Base address of each service; empty for one that is not used.
    token_file : str
        File that holds the token for those services; empty for none.
    timeout_ms : float
        Longest wait for one answer.
    """

    table_url: Url
    objects_url: Url
    instances_url: Url
    weights_url: Annotated[str, Meta(pattern=r"^(https?://[^\s]+)?$")] = ""
    adapter: Name = "http"
    token_file: str = ""
    timeout_ms: PositiveMs = 2_000.0


class EntrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What only an entry needs.

    Parameters
    ----------
    http_bind : str
        `host:port` that callers reach; port 0 takes a free one.
    tls_certificate_file, tls_key_file : str
        Certificate chain and key in PEM; both or neither.
    max_body_bytes, max_header_bytes : int
        Largest request body and header block accepted.
    max_connections, max_in_flight : int
        Callers' connections, and requests, served at a time.
    body_timeout_ms : float
        Longest time that a caller may take to send its request.
    write_timeout_ms : float
        Longest time that a caller may leave an answer unread.
    default_deadline_ms : float
        Time to the first byte for a request without a deadline of its own.
    balancer_lag_ms : float
        Time for which the platform's balancer may still send new requests after
        the health check fails.
    """

    http_bind: HostPort = "127.0.0.1:0"
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    max_body_bytes: PositiveInt = 16 * 1024 * 1024
    max_header_bytes: PositiveInt = 32 * 1024
    max_connections: PositiveInt = 4_096
    max_in_flight: PositiveInt = 2_048
    body_timeout_ms: PositiveMs = 30_000.0
    write_timeout_ms: PositiveMs = 60_000.0
    default_deadline_ms: PositiveMs = 30_000.0
    balancer_lag_ms: Ms = 5_000.0


class LocalSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What only a local process needs.

    Parameters
    ----------
    target, service : str
        Target that the process stands beside, and its service.
    url : str
        Base address of the target.
    ranks_url : str
        Where the target's ranks take orders; empty for a target without any.
    engine : str
        Engine adapter that outranks the service's; empty for the service's.
    token_file : str
        File that holds the token that the target asks for; empty for none.
    buffer_bytes : int
        Bytes of answers kept until entries have acknowledged them.
    answer_keep_ms : float
        Time for which a finished answer is kept for a caller that comes back.
    longest_call_ms : float
        Longest time that one order may run in the target; a new process waits it out
        before its first order where the target ignores fencing numbers.
    """

    target: Name
    service: Name
    url: Url
    ranks_url: Annotated[str, Meta(pattern=r"^(https?://[^\s]+)?$")] = ""
    engine: str = ""
    token_file: str = ""
    buffer_bytes: PositiveInt = 64 * 1024 * 1024
    answer_keep_ms: Ms = 60_000.0
    longest_call_ms: PositiveMs = 60_000.0


class OperatorSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Operators' calls: state dump, metrics, health, tickets.

    Parameters
    ----------
    http_bind : str
        `host:port`, apart from callers'; port 0 takes a free one.
    token_file : str
        File of tokens, one a line; without it only loopback addresses may call.
    """

    http_bind: HostPort = "127.0.0.1:0"
    token_file: str = ""


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All settings of one process.

    Parameters
    ----------
    instance : InstanceSettings
        Who the process is.
    platform : PlatformSettings
        Where the platform answers.
    links, operator, log : LinkSettings, OperatorSettings, LogSettings
        Sections with defaults.
    entry : EntrySettings or None
        Required for role `entry` only.
    local : LocalSettings or None
        Required for role `local` only.
    """

    instance: InstanceSettings
    platform: PlatformSettings
    links: LinkSettings = LinkSettings()
    operator: OperatorSettings = OperatorSettings()
    log: LogSettings = LogSettings()
    entry: EntrySettings | None = None
    local: LocalSettings | None = None
