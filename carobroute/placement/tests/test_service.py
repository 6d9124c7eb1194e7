from carobroute.errors import ErrorKind
from carobroute.links import Endpoint
from carobroute.placement import GroupMember, LinkPeers, SwitchService
from carobroute.placement._messages import Probe
from carobroute.utils import Clock


def make_endpoint(name):
    return Endpoint(
        name=name,
        role="local",
        data_centre="suva",
        incarnation=f"{name}~1",
        clock=Clock(),
    )


async def test_call_to_a_member_without_address_or_ranks_is_a_fault():
    caller, receiver = make_endpoint("here"), make_endpoint("there")
    await caller.start()
    address = await receiver.start()
    SwitchService(endpoint=receiver)
    peers = LinkPeers(endpoint=caller, members=list)
    without_address = GroupMember(name="a", address="", ranks=(0,))
    no_address = await peers.call(without_address, Probe(group="g"), timeout_ms=5)
    assert no_address.failure().kind is ErrorKind.PEER_LOST
    without_ranks = GroupMember(name="a", address=address, ranks=(0,))
    no_ranks = await peers.call(without_ranks, Probe(group="g"), timeout_ms=5_000)
    assert no_ranks.failure().kind is ErrorKind.NOT_FOUND
    await caller.stop()
    await receiver.stop()


async def test_link_to_a_replaced_process_is_closed():
    caller = make_endpoint("here")
    await caller.start()
    peers = LinkPeers(endpoint=caller, members=list)
    for port in (9, 10, 11):
        member = GroupMember(name="a", address=f"tcp://127.0.0.1:{port}", ranks=(0,))
        await peers.call(member, Probe(group="g"), timeout_ms=5)
    assert [peer.address for peer in caller.peers] == ["tcp://127.0.0.1:11"]
    await caller.stop()
