import re
from pathlib import Path

import openai
import pytest
import pytest_asyncio

from benchmarks._callers import expected_text

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("openai_client"),
]
MODEL = "klang-model"
TOKENS = 12
OPERATORS = Path(__file__).parents[2] / "docs" / "operators"
MESSAGES = [{"role": "user", "content": "Engrave four lines for a wedding bell."}]


@pytest_asyncio.fixture(loop_scope="module")
async def client(fleet):
    async with openai.AsyncOpenAI(
        base_url=f"{fleet.entry_url(0)}/v1",
        api_key=fleet.team_keys["head-office"],
        max_retries=0,
    ) as client:
        yield client


async def test_ordinary_client_reads_streams_answers_and_errors(client):
    """A client of the OpenAI interface needs nothing changed but its base URL."""
    expected = expected_text({"body": {"messages": MESSAGES}}, TOKENS)
    stream = await client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=TOKENS, stream=True
    )
    parts = [
        event.choices[0].delta.content or "" async for event in stream if event.choices
    ]
    assert "".join(parts) == expected
    whole = await client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=TOKENS
    )
    assert whole.choices[0].message.content == expected
    models = await client.models.list()
    assert MODEL in [model.id for model in models.data]
    with pytest.raises(openai.NotFoundError) as caught:
        await client.chat.completions.create(model="no-model", messages=MESSAGES)
    assert caught.value.code == "unknown_service"


async def test_metrics_tell_of_calls_links_and_targets(fleet, client):
    await client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=TOKENS
    )
    entry = await read_metrics(fleet, fleet.entries[0])
    assert entry["carobroute_ready"] == 1
    assert entry["carobroute_ticket_in_force"] == 1
    assert entry["carobroute_peers_up"] >= len(fleet.targets)
    served = 'carobroute_requests_total{answer="200",service="klang-model"'
    assert sum(value for name, value in entry.items() if name.startswith(served)) >= 1
    local = await read_metrics(fleet, fleet.targets[0].local)
    assert local["carobroute_target_leaving"] == 0
    assert "carobroute_orders_unknown" in local


async def test_alert_rules_and_dashboard_name_metrics_that_exist(fleet, client):
    text = ""
    for child in (fleet.entries[0], fleet.targets[0].local):
        async with fleet.session.get(f"http://{child.address}/metrics") as response:
            text += await response.text()
    exposed = set(re.findall(r"^# TYPE (carobroute_\w+) ", text, re.M))
    for name in ("alerts.yaml", "dashboard.json"):
        page = (OPERATORS / name).read_text()
        named = set(re.findall(r"\bcarobroute_\w+", page))
        named = {metric.removesuffix("_bucket") for metric in named}
        assert named, name
        assert named - exposed == set(), name


async def read_metrics(fleet, child):
    """Return the values that a process exposes, by name and labels."""
    url = f"http://{child.address}/metrics"
    async with fleet.session.get(url) as response:
        lines = (await response.text()).splitlines()
    pairs = [line.rpartition(" ") for line in lines if not line.startswith("#")]
    return {name: float(value) for name, _, value in pairs}
