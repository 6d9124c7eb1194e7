"""Schema of change tickets and of the configuration that they add up to."""

import msgspec

from carobroute.world import CallClass, ServiceKind, TargetState

MAX_REMOVED = 10_000


class TicketPart(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base of everything that a ticket is made of.

    A field at its default is not written, so that a process of the version before
    reads a ticket that makes no use of a new field, and its hash stays the same.
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
    """One service and how its calls are treated.

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
        First match decides; a call that matches none is non-idempotent.
    key_required : bool
        Whether a non-idempotent call must carry an idempotency key.
    first_token_ms, between_tokens_ms : float
        Latency targets, in milliseconds.
    retention_s : int
        How long a finished order's answer is kept, in seconds.
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
        Service that it belongs to.
    data_centre : str
        Data centre that it stands in.
    state : TargetState
        Serving or draining.
    honours_fencing : bool
        Whether the target refuses an order with an old fencing number.
    concurrency : int
        Calls that the target runs at a time.
    ranks : list of int
        Ranks of the group that the target hosts.
    group : str
        Group that those ranks belong to; empty for none.
    leave_within_s : float
        Time that a draining target has left, in seconds; 0 for no limit.
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
    """One group of ranks that runs in lock-step on an expert map.

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
        `skew` or `cost`.
    pinned : ExpertPlacement or None
        Placement that outranks the planner's.
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
    """Public keys of the links; the first of each list is preferred.

    Parameters
    ----------
    accepted : list of str
        CURVE keys of processes that may open a link, Z85.
    servers : list of str
        CURVE keys of listening sockets, Z85.
    name : str
        `links`, the only ring there is.
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
    """One change: the whole new state of each object that it touches.

    Parameters
    ----------
    number : int
        Given on acceptance, from 1 up; 0 before.
    based_on : int
        Last number that the author had read.
    token : str
        Identity of the filing, which settles a lost answer.
    author : str
        Operator who filed it.
    reason : str
        Why, for those who read the log.
    objects : list of ServiceObject, TargetObject, TeamObject, GroupObject or \
            KeyRingObject
        New whole states.
    removed : list of str
        Keys of objects that cease to exist.
    filed_ms : float
        Wall-clock time of acceptance, for records only.
    chain : str
        Hash of this ticket and of all before it, given on acceptance.
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
    """An object with the number of the ticket that last touched it."""

    number: int
    entry: TicketObject


class Configuration:
    """The state that all tickets up to `number` add up to.

    Parameters
    ----------
    number : int, default=0
        Highest ticket number contained.
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
        """Highest ticket number contained."""
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
        """Return the number of the ticket that last touched `key`, or 0."""
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

        An object that a later ticket already set is left as it is, so applying
        tickets in any order, or twice, never takes an object back.
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
            removed=_newest(removed),
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


def _newest(removed: dict[str, int]) -> dict[str, int]:
    """Return the newest `MAX_REMOVED` entries of `removed`."""
    if len(removed) <= MAX_REMOVED:
        return removed
    by_number = sorted(removed.items(), key=lambda item: (item[1], item[0]))
    return dict(by_number[-MAX_REMOVED:])
