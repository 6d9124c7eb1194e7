import pytest

from carobroute.testing import wait_until

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("groups"),
]
FLEET = {"models": 4, "plains": 1, "rank_groups": True}
GROUP = "klang-model-group-a"


async def steps(fleet):
    """Return the steps that the ranks themselves recorded."""
    record = await fleet.read_json(fleet.rank_groups[GROUP].address, "/_record")
    return record["steps"]


def ticket_of(step):
    """Return the ticket of the map that the first rank used in a step."""
    number, *_revision_and_digest = step["versions"][0]
    return number


def latest_ticket(steps):
    return ticket_of(steps[-1]) if steps else 0


async def test_pinned_placement_comes_into_force_in_one_step(fleet):
    """All ranks of a group change to a ticket's map in the same step."""
    await wait_until(lambda: steps(fleet), what="the group steps")
    group = next(e for e in fleet.ticket["objects"] if e.get("name") == GROUP)
    layer = [[expert % group["ranks"]] for expert in range(group["experts"])]
    ticket = {
        "author": "elsa",
        "reason": "pin the placement",
        "based_on": 1,
        "token": "pin-placement",
        "objects": [{**group, "pinned": {"layers": [layer] * group["layers"]}}],
    }
    await fleet.file_ticket(fleet.entries[0], ticket)

    async def in_force():
        return latest_ticket(await steps(fleet)) == 2

    await wait_until(in_force, what="the pinned map is in force", timeout_s=60)
    recorded = await steps(fleet)
    mixed = [s for s in recorded if any(v != s["versions"][0] for v in s["versions"])]
    assert mixed == []
    tickets = [ticket_of(step) for step in recorded]
    assert tickets == sorted(tickets)


async def test_group_goes_on_when_a_member_is_replaced(fleet):
    """The ranks do not step without the member, and step on with the new one."""
    await wait_until(lambda: steps(fleet), what="the group steps")
    target = fleet.targets[0]
    await target.local.kill()
    await fleet.start_local(target)
    before = (await steps(fleet))[-1]["step"]

    async def going_on():
        return (await steps(fleet))[-1]["step"] > before + 20

    await wait_until(going_on, what="the group steps on", timeout_s=60)
    recorded = await steps(fleet)
    mixed = [s for s in recorded if any(v != s["versions"][0] for v in s["versions"])]
    assert mixed == []
