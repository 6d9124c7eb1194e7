from pathlib import Path

import msgspec
import pytest

from carobroute.settings import check_value, load_settings, parse_yaml
from carobroute.tickets import Configuration, Ticket

EXAMPLES = Path(__file__).parents[3] / "examples"
DESKS = ["klangbjallra", "vatukoula"]


@pytest.mark.parametrize("desk", DESKS)
def test_settings_are_whole(desk):
    files = [EXAMPLES / desk / "entry.yaml", *(EXAMPLES / desk).glob("local-*.yaml")]
    assert len(files) == 3
    for file in files:
        load_settings(file).unwrap()


@pytest.mark.parametrize("desk", DESKS)
def test_first_ticket_describes_the_desk(desk):
    text = (EXAMPLES / desk / "ticket-1.yaml").read_text()
    data = parse_yaml(text).unwrap()
    assert check_value(data, Ticket) == []
    ticket = msgspec.structs.replace(msgspec.convert(data, Ticket), number=1)
    configuration = Configuration().with_ticket(ticket)
    targets = configuration.targets()
    assert len(targets) == 15
    assert len({target.data_centre for target in targets}) == 3
    assert len(configuration.teams()) == 10
    for group in configuration.groups():
        hosted = [r for t in targets if t.group == group.name for r in t.ranks]
        assert sorted(hosted) == list(range(group.ranks))


@pytest.mark.parametrize("desk", DESKS)
def test_requests_name_known_teams(desk):
    keys = parse_yaml((EXAMPLES / desk / "team-keys.yaml").read_text()).unwrap()
    requests = parse_yaml((EXAMPLES / desk / "requests.yaml").read_text()).unwrap()
    assert {request["team"] for request in requests} <= set(keys)
