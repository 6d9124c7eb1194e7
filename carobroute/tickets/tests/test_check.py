import pytest

from carobroute.domain import TargetState
from carobroute.testing import make_service, make_target, make_team, make_ticket
from carobroute.tickets import (
    Configuration,
    ExpertPlacement,
    GroupObject,
    check_ticket,
    dump_ticket,
    load_ticket_file,
    parse_ticket,
)


def configuration_of(*objects):
    ticket = make_ticket(*objects)
    return Configuration().with_ticket(
        type(ticket)(
            number=1, based_on=0, token="t", author="a", objects=ticket.objects
        )
    )


def make_group(**fields):
    settings = {"ranks": 2, "layers": 1, "experts": 3, **fields}
    return GroupObject(name="g", service="model-desk", **settings)


IN_FORCE = configuration_of(make_service(), make_target(), make_target("runner-2"))


@pytest.mark.parametrize(
    "objects, removed, path",
    [
        ([], [], "objects"),
        ([make_target(service="none")], [], "objects[target/runner-1].service"),
        ([make_target(group="none")], [], "objects[target/runner-1].group"),
        ([make_target(concurrency=0)], [], "objects[target/runner-1].concurrency"),
        ([make_team(weight=float("nan"))], [], "objects[team/counter].weight"),
        ([make_team(services=["none"])], [], "objects[team/counter].services"),
        ([make_team(), make_team()], [], "team/counter"),
        ([], ["target/none"], "removed"),
        ([], ["service/model-desk"], "removed"),
        ([], ["target/runner-1", "target/runner-2"], "service/model-desk"),
        ([make_group(slots_per_rank=1)], [], "objects[group/g].slots_per_rank"),
        (
            [make_group(pinned=ExpertPlacement(layers=[[[0], [1], []]]))],
            [],
            "objects[group/g].pinned.layers[0][2]",
        ),
        (
            [make_group(pinned=ExpertPlacement(layers=[[[0], [1], [2]]]))],
            [],
            "objects[group/g].pinned.layers[0][2]",
        ),
        (
            [make_group(pinned=ExpertPlacement(layers=[[[0], [0], [0]]]))],
            [],
            "objects[group/g].pinned.layers[0]",
        ),
        ([make_group(), make_target(group="g", ranks=[0])], [], "group/g.ranks"),
    ],
)
def test_each_fault_has_the_path_of_its_field(objects, removed, path):
    faults = check_ticket(make_ticket(*objects, removed=removed), IN_FORCE)
    assert path in [fault.path for fault in faults]


def test_last_target_of_a_service_cannot_be_drained():
    drained = [
        make_target(name, state=TargetState.DRAINING)
        for name in ("runner-1", "runner-2")
    ]
    faults = check_ticket(make_ticket(*drained), IN_FORCE)
    assert [fault.path for fault in faults] == ["service/model-desk"]
    assert not check_ticket(make_ticket(drained[0]), IN_FORCE)


def test_all_faults_are_returned_together():
    ticket = make_ticket(
        make_target(service="none", concurrency=0), make_team(priority=11)
    )
    assert len(check_ticket(ticket, IN_FORCE)) == 3


def test_valid_ticket_has_no_fault():
    pinned = ExpertPlacement(layers=[[[0], [1], [0, 1]]])
    ticket = make_ticket(
        make_group(pinned=pinned),
        make_target("runner-3", group="g", ranks=[0, 1]),
        make_team(services=["model-desk"]),
    )
    assert check_ticket(ticket, IN_FORCE) == []


def test_ticket_file_round_trip(tmp_path):
    ticket = make_ticket(make_service(), make_target(), removed=["team/x"])
    path = tmp_path / "ticket.yaml"
    path.write_text(dump_ticket(ticket))
    assert load_ticket_file(path).unwrap() == ticket


def test_unknown_field_is_rejected_with_its_path():
    text = b"{based_on: 0, token: t, author: a, objects: [{type: team, nam: x}]}"
    assert "objects[0]" in parse_ticket(text).failure().detail
