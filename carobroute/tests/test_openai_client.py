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
