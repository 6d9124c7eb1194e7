"""Transport of the expert map switch: delivery to members, and calls over links."""

from collections.abc import Callable
from typing import Any

from returns.result import Result

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Endpoint, Message, Nack, Peer
from carobroute.placement._interface import GroupMember, GroupPeers
from carobroute.placement._member import RankMember
from carobroute.placement._messages import (
    AskJoin,
    AskOutcome,
    Decide,
    FetchMap,
    LoadMap,
    Prepare,
    Probe,
    ReplaceRanks,
)

HANDLER_NAMES: dict[type[Message], str] = {
    AskJoin: "on_ask_join",
    AskOutcome: "on_ask_outcome",
    Decide: "on_decide",
    FetchMap: "on_fetch_map",
    LoadMap: "on_load",
    Prepare: "on_prepare",
    Probe: "on_probe",
    ReplaceRanks: "on_replace_ranks",
}


def dispatch(member: RankMember, request: Message) -> Any:
    """Return the member's reply to `request`, or an awaitable of it."""
    return member.ownership_refusal() or getattr(member, HANDLER_NAMES[type(request)])(
        request
    )


class SwitchService:
    """Delivers the messages of the switch to the members in one process.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that receives the messages.
    """

    __slots__ = ("_members",)

    def __init__(self, *, endpoint: Endpoint):
        self._members: dict[str, RankMember] = {}
        for message_type in HANDLER_NAMES:
            endpoint.handle(message_type, self._deliver)

    def add(self, member: RankMember) -> None:
        """Deliver messages of the member's group to `member`."""
        self._members[member.group] = member

    def remove(self, group: str) -> None:
        """Stop delivering messages of `group`."""
        self._members.pop(group, None)

    def _deliver(self, peer: Peer, request: Any) -> Any:
        member = self._members.get(request.group)
        if member is None:
            detail = f"no ranks of group {request.group!r} are hosted here"
            return Nack(fault=Fault(kind=ErrorKind.NOT_FOUND, detail=detail))
        return dispatch(member, request)


class LinkPeers(GroupPeers):
    """Calls to a group's members over links.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that makes the calls.
    members : callable
        Returns the group's members with their current addresses.
    """

    __slots__ = ("_addresses", "_endpoint", "_members")

    def __init__(self, *, endpoint: Endpoint, members: Callable[[], list[GroupMember]]):
        self._endpoint = endpoint
        self._members = members
        self._addresses: dict[str, str] = {}

    def members(self) -> list[GroupMember]:
        """Return all members of the group."""
        return self._members()

    async def call(
        self, member: GroupMember, request: Message, *, timeout_ms: float
    ) -> Result[Any, Fault]:
        """Send `request` to `member` and return its reply."""
        if not member.address:
            # Waits for the timeout, so that a caller that retries does not spin.
            await self._endpoint.clock.sleep_ms(timeout_ms)
            detail = f"no address is known for member {member.name}"
            return fail(ErrorKind.PEER_LOST, detail)
        self._close_replaced_link(member)
        peer = self._endpoint.peer(member.address)
        return await peer.call(request, timeout_ms=timeout_ms)

    def _close_replaced_link(self, member: GroupMember) -> None:
        """Close the link to a process that was replaced at another address."""
        old_address = self._addresses.get(member.name)
        if old_address is not None and old_address != member.address:
            self._endpoint.forget(old_address)
        self._addresses[member.name] = member.address
