"""Links of the expert map switch: messages to members, and calls between them."""

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

HANDLERS: dict[type[Message], str] = {
    AskJoin: "on_ask_join",
    AskOutcome: "on_ask_outcome",
    Decide: "on_decide",
    FetchMap: "on_fetch_map",
    LoadMap: "on_load",
    Prepare: "on_prepare",
    Probe: "on_probe",
    ReplaceRanks: "on_replace_ranks",
}


def dispatch(member: RankMember, entry: Message) -> Any:
    """Return the member's reply to `entry`, or an awaitable of it."""
    return member.refusal() or getattr(member, HANDLERS[type(entry)])(entry)


class SwitchService:
    """Delivers the messages of the switch to the members hosted in one process.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint whose messages are handled.
    """

    __slots__ = ("_members",)

    def __init__(self, *, endpoint: Endpoint):
        self._members: dict[str, RankMember] = {}
        for kind in HANDLERS:
            endpoint.handle(kind, self._deliver)

    def add(self, member: RankMember) -> None:
        """Deliver the messages of the member's group to it."""
        self._members[member.group] = member

    def remove(self, group: str) -> None:
        """Stop delivering messages of `group`."""
        self._members.pop(group, None)

    def _deliver(self, peer: Peer, entry: Any) -> Any:
        member = self._members.get(entry.group)
        if member is None:
            detail = f"no ranks of group {entry.group!r} are hosted here"
            return Nack(fault=Fault(kind=ErrorKind.NOT_FOUND, detail=detail))
        return dispatch(member, entry)


class LinkPeers(GroupPeers):
    """Calls to a group's members over links.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that calls them.
    members : callable
        Returns the group's members, with the address of each one's process now.
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
        self, member: GroupMember, entry: Message, *, timeout_ms: float
    ) -> Result[Any, Fault]:
        """Send `entry` to `member` and return its reply."""
        if not member.address:
            # Waits as a call would, so that callers that try again do not spin.
            await self._endpoint.clock.sleep_ms(timeout_ms)
            detail = f"no address known of {member.name}"
            return fail(ErrorKind.PEER_LOST, detail)
        self._follow_address(member)
        peer = self._endpoint.peer(member.address)
        return await peer.call(entry, timeout_ms=timeout_ms)

    def _follow_address(self, member: GroupMember) -> None:
        """Close the link to the process that a member's new one replaced."""
        before = self._addresses.get(member.name)
        if before is not None and before != member.address:
            self._endpoint.forget(before)
        self._addresses[member.name] = member.address
