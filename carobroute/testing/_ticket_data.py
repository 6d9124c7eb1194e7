"""Builders of tickets and instances for tests."""

from carobroute.domain import Instance, InstanceRole, ServiceKind
from carobroute.tickets import ServiceObject, TargetObject, TeamObject, Ticket
from carobroute.tickets._schema import TicketObject
from carobroute.utils import new_token


def make_ticket(
    *objects: TicketObject,
    based_on: int = 0,
    token: str = "",
    author: str = "mere",
    removed: list[str] | None = None,
) -> Ticket:
    """Return a ticket that sets `objects`."""
    return Ticket(
        based_on=based_on,
        token=token or new_token(),
        author=author,
        objects=list(objects),
        removed=removed or [],
    )


def make_service(name: str = "model-desk") -> ServiceObject:
    """Return a model service."""
    return ServiceObject(name=name, kind=ServiceKind.MODEL, models=["carob-1"])


def make_target(name: str = "runner-1", **fields) -> TargetObject:
    """Return a serving target of the service `model-desk`."""
    settings = {"service": "model-desk", "data_centre": "suva", **fields}
    return TargetObject(name=name, **settings)


def make_team(name: str = "counter", **fields) -> TeamObject:
    """Return a team, without keys unless they are given."""
    return TeamObject(name=name, **{"key_hashes": [], **fields})


def make_instance(
    name: str,
    *,
    incarnation: str = "",
    data_centre: str = "suva",
    role: InstanceRole = InstanceRole.ENTRY,
    address: str = "",
    **fields,
) -> Instance:
    """Return an instance of region `viti-levu`."""
    return Instance(
        name=name,
        incarnation=incarnation or f"{name}~1",
        role=role,
        data_centre=data_centre,
        region=fields.pop("region", "viti-levu"),
        address=address or f"tcp://{name}:1",
        **fields,
    )
