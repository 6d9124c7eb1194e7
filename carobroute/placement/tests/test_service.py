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


async def test_members_without_address_or_ranks_are_faults():
    here, there = make_endpoint("here"), make_endpoint("there")
    await here.start()
    address = await there.start()
    SwitchService(endpoint=there)
    peers = LinkPeers(endpoint=here, members=list)
    unknown = GroupMember(name="a", address="", ranks=(0,))
    lost = await peers.call(unknown, Probe(group="g"), timeout_ms=5)
    assert lost.failure().kind is ErrorKind.PEER_LOST
    other = GroupMember(name="a", address=address, ranks=(0,))
    refused = await peers.call(other, Probe(group="g"), timeout_ms=5_000)
    assert refused.failure().kind is ErrorKind.NOT_FOUND
    await here.stop()
    await there.stop()


async def test_link_to_a_replaced_process_is_closed():
    here = make_endpoint("here")
    await here.start()
    peers = LinkPeers(endpoint=here, members=list)
    for port in (9, 10, 11):
        member = GroupMember(name="a", address=f"tcp://127.0.0.1:{port}", ranks=(0,))
        await peers.call(member, Probe(group="g"), timeout_ms=5)
    assert [peer.address for peer in here.peers] == ["tcp://127.0.0.1:11"]
    await here.stop()
