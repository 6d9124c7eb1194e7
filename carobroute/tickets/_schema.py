"""Schema of change tickets and of the configuration that results from them."""

import msgspec

from carobroute.domain import CallClass, ServiceKind, TargetState

MAX_REMOVAL_RECORDS = 10_000


class TicketPart(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base of the parts of a ticket.

    A field at its default value is not encoded. A process of the previous version can
    therefore read a ticket that does not use a new field, and the hash is the same.
    """


class CallRule(TicketPart, frozen=True, kw_only=True):
    """Call class of the calls that match a method and a path prefix.

    Parameters
    ----------
    method : str
        HTTP method, or `*` for every method.
    path : str
        Prefix of the path below the service.
    call_class : CallClass
        Whether such a call may be repeated.
    """

    method: str
    path: str
    call_class: CallClass


class ServiceObject(TicketPart, frozen=True, kw_only=True, tag="service"):
    """One service and the handling of its calls.

    Parameters
    ----------
    name : str
        Name, also the first part of a plain service's path.
    kind : ServiceKind
        Model service or plain service.
    models : list of str
        Model names that callers may ask for; model services only.
    engine : str
        Name of the engine adapter.
    calls : list of CallRule
        Rules in order of precedence; a call that matches none is non-idempotent.
    key_required : bool
        Whether a non-idempotent call must carry an idempotency key.
    first_token_ms, between_tokens_ms : float
        Latency targets, in milliseconds.
    retention_s : int
        Time for which a finished order's answer is kept, in seconds.
    routing : str
        Name of the routing policy.
    """

    name: str
    kind: ServiceKind
    models: list[str] = []
    engine: str = "openai"
    calls: list[CallRule] = []
    key_required: bool = False
    first_token_ms: float = 360.0
    between_tokens_ms: float = 73.0
    retention_s: int = 86_400
    routing: str = "carob"


class TargetObject(TicketPart, frozen=True, kw_only=True, tag="target"):
    """One target of a service.

    Parameters
    ----------
    name : str
        Name of the target.
    service : str
        Service that the target belongs to.
    data_centre : str
        Data centre of the target.
    state : TargetState
        Serving or draining.
    honours_fencing : bool
        Whether the target rejects an order with an outdated fencing number.
    concurrency : int
        Maximum number of concurrent calls.
    ranks : list of int
        Ranks of the group that the target hosts.
    group : str
        Group that those ranks belong to; empty for none.
    leave_within_s : float
        Time limit for draining the target, in seconds; 0 for no limit.
    """

    name: str
    service: str
    data_centre: str
    state: TargetState = TargetState.SERVING
    honours_fencing: bool = False
    concurrency: int = 8
    ranks: list[int] = []
    group: str = ""
    leave_within_s: float = 0.0


class TeamObject(TicketPart, frozen=True, kw_only=True, tag="team"):
    """One team of callers and its limits.

    Parameters
    ----------
    name : str
        Name of the team.
    key_hashes : list of str
        SHA-256 of each valid API key, as hexadecimal digits.
    weight : float
        Share of a contended target, relative to other teams.
    requests_per_s : float
        Fleet-wide limit of requests a second; 0 for none.
    priority : int
        Highest priority that the team may ask for, 0 (lowest) to 9.
    services : list of str
        Services that the team may call; empty for all.
    """

    name: str
    key_hashes: list[str]
    weight: float = 1.0
    requests_per_s: float = 0.0
    priority: int = 5
    services: list[str] = []


class ExpertPlacement(TicketPart, frozen=True, kw_only=True):
    """Pinned placement of a group's experts.

    Parameters
    ----------
    layers : list of list of list of int
        For each layer and expert, the ranks that hold a copy.
    """

    layers: list[list[list[int]]]


class GroupObject(TicketPart, frozen=True, kw_only=True, tag="group"):
    """One group of ranks that share a model's experts and run its passes in lockstep.

    Parameters
    ----------
    name : str
        Name of the group.
    service : str
        Model service that the group runs.
    ranks : int
        Number of ranks.
    layers, experts : int
        Number of layers, and of experts in each layer.
    slots_per_rank : int
        Expert copies that a rank can hold in one layer.
    planner : str
        Name of the placement planner.
    weigh : str
        Goal of the planner: `skew` (even load of the ranks) or `cost` (few moves of
        copies).
    pinned : ExpertPlacement or None
        Fixed placement that overrides the planner's.
    """

    name: str
    service: str
    ranks: int
    layers: int
    experts: int
    slots_per_rank: int = 2
    planner: str = "incremental"
    weigh: str = "skew"
    pinned: ExpertPlacement | None = None


class KeyRingObject(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="key_ring",
    forbid_unknown_fields=True,
):
    """Public keys of the links; the first key of each list is preferred.

    Parameters
    ----------
    accepted : list of str
        CURVE keys of processes that may open a link, in Z85 encoding.
    servers : list of str
        CURVE keys of listening sockets, in Z85 encoding.
    name : str
        Always `links`; there is one ring.
    """

    accepted: list[str]
    servers: list[str]
    name: str = "links"


TicketObject = ServiceObject | TargetObject | TeamObject | GroupObject | KeyRingObject


def object_key(entry: TicketObject) -> str:
    """Return the key of a ticket object.

    Examples
    --------
    >>> object_key(TeamObject(name="till", key_hashes=[]))
    'team/till'
    """
    tag = type(entry).__struct_config__.tag
    return f"{tag}/{entry.name}"


class Ticket(TicketPart, frozen=True, kw_only=True):
    """One change: the whole new state of each object that it sets.

    Parameters
    ----------
    number : int
        Number assigned on acceptance, from 1 up; 0 before.
    based_on : int
        Number of the last ticket that the author had read.
    token : str
        Identity of the filing, by which a retry after a lost answer is recognized.
    author : str
        Operator who filed the ticket.
    reason : str
        Reason of the change, for readers of the log.
    objects : list of ServiceObject, TargetObject, TeamObject, GroupObject or \
            KeyRingObject
        Objects to set, each with its whole new state.
    removed : list of str
        Keys of objects to remove.
    filed_ms : float
        Wall-clock time of acceptance, in milliseconds; informational.
    chain : str
        Hash of this ticket and of all tickets before it, assigned on acceptance.
    """

    based_on: int
    token: str
    author: str
    objects: list[TicketObject]
    reason: str = ""
    removed: list[str] = []
    number: int = 0
    filed_ms: float = 0.0
    chain: str = ""


class ObjectInForce(msgspec.Struct, frozen=True, kw_only=True):
    """An object with the number of the ticket that last set it."""

    number: int
    entry: TicketObject


class Configuration:
    """State that results from all tickets up to `number`.

    Parameters
    ----------
    number : int, default=0
        Number of the last ticket applied.
    objects : dict of str to ObjectInForce, default=None
        Objects in force by key.
    removed : dict of str to int, default=None
        Number of the ticket that removed an object, by key.
    chain : str, default=""
        Hash of all tickets up to `number`.
    """

    __slots__ = ("_chain", "_number", "_objects", "_removed")

    def __init__(
        self,
        *,
        number: int = 0,
        objects: dict[str, ObjectInForce] | None = None,
        removed: dict[str, int] | None = None,
        chain: str = "",
    ):
        self._number = number
        self._objects = dict(objects or {})
        self._removed = dict(removed or {})
        self._chain = chain

    @property
    def number(self) -> int:
        """Number of the last ticket applied."""
        return self._number

    @property
    def objects(self) -> dict[str, ObjectInForce]:
        """Objects in force by key."""
        return self._objects

    @property
    def removed(self) -> dict[str, int]:
        """Number of the ticket that removed an object, by key."""
        return self._removed

    @property
    def chain(self) -> str:
        """Hash of all tickets up to `number`, or empty."""
        return self._chain

    def number_of(self, key: str) -> int:
        """Return the number of the ticket that last set or removed `key`, or 0."""
        known = self._objects.get(key)
        return max(known.number if known else 0, self._removed.get(key, 0))

    def service(self, name: str) -> ServiceObject | None:
        """Return the service called `name`, or None."""
        return self._entry(f"service/{name}", ServiceObject)

    def target(self, name: str) -> TargetObject | None:
        """Return the target called `name`, or None."""
        return self._entry(f"target/{name}", TargetObject)

    def team(self, name: str) -> TeamObject | None:
        """Return the team called `name`, or None."""
        return self._entry(f"team/{name}", TeamObject)

    def group(self, name: str) -> GroupObject | None:
        """Return the group called `name`, or None."""
        return self._entry(f"group/{name}", GroupObject)

    def key_ring(self) -> KeyRingObject | None:
        """Return the key ring of the links, or None if no ticket has set one."""
        return self._entry("key_ring/links", KeyRingObject)

    def services(self) -> list[ServiceObject]:
        """Return all services in key order."""
        return self._entries(ServiceObject)

    def targets(self, service: str | None = None) -> list[TargetObject]:
        """Return the targets of `service`, or all, in key order."""
        entries = self._entries(TargetObject)
        return [e for e in entries if service is None or e.service == service]

    def teams(self) -> list[TeamObject]:
        """Return all teams in key order."""
        return self._entries(TeamObject)

    def groups(self) -> list[GroupObject]:
        """Return all groups in key order."""
        return self._entries(GroupObject)

    def with_ticket(self, ticket: Ticket) -> "Configuration":
        """Return the configuration with `ticket` applied on top.

        An object that a later ticket has already changed stays as it is, so applying
        tickets in any order, or twice, never reverts an object.
        """
        objects, removed = dict(self._objects), dict(self._removed)
        for entry in ticket.objects:
            key = object_key(entry)
            if self.number_of(key) < ticket.number:
                objects[key] = ObjectInForce(number=ticket.number, entry=entry)
                removed.pop(key, None)
        for key in ticket.removed:
            if self.number_of(key) < ticket.number:
                objects.pop(key, None)
                removed[key] = ticket.number
        newer = ticket.number > self._number
        return Configuration(
            number=max(self._number, ticket.number),
            objects=objects,
            removed=_newest_removals(removed),
            chain=ticket.chain if newer else self._chain,
        )

    def _entry(self, key, kind):
        found = self._objects.get(key)
        return found.entry if found and isinstance(found.entry, kind) else None

    def _entries(self, kind):
        return [
            self._objects[key].entry
            for key in sorted(self._objects)
            if isinstance(self._objects[key].entry, kind)
        ]


def _newest_removals(removed: dict[str, int]) -> dict[str, int]:
    """Return the newest `MAX_REMOVAL_RECORDS` entries of `removed`, by number."""
    if len(removed) <= MAX_REMOVAL_RECORDS:
        return removed
    by_number = sorted(removed.items(), key=lambda item: (item[1], item[0]))
    return dict(by_number[-MAX_REMOVAL_RECORDS:])
