import asyncio

import aiohttp
import msgspec
import pytest
from aiohttp import web

from carobroute.domain import ServiceKind
from carobroute.entry import CallerInterface, CallerParameters, CallParser, key_hash
from carobroute.requests import Admission
from carobroute.telemetry import EventLog, Metrics
from carobroute.testing import make_service, make_team, make_ticket, wait_until
from carobroute.tickets import Configuration, ServiceObject
from carobroute.utils import Clock

API_KEY = "till-key"
MAX_BODY = 10_000
GOOD_BODY = b'{"model": "desk", "messages": [{"role": "user", "content": "ring"}]}'


def make_configuration():
    model = msgspec.structs.replace(make_service("model-desk"), models=["desk"])
    plain = ServiceObject(name="orders", kind=ServiceKind.PLAIN, key_required=True)
    team = make_team("till", key_hashes=[key_hash(API_KEY)], services=["model-desk"])
    both = make_team("both", key_hashes=[key_hash("both-key")])
    ticket = make_ticket(model, plain, team, both)
    return Configuration().with_ticket(msgspec.structs.replace(ticket, number=1))


class Server:
    """Callers' interface on a free port, up to the point where calls are relayed."""

    def __init__(self, **parameters):
        clock, configuration = Clock(), make_configuration()
        values = {
            "max_body_bytes": MAX_BODY,
            "body_timeout_ms": 200.0,
            "write_timeout_ms": 1_000.0,
            "max_in_flight": 4,
        }
        self.callers = CallerInterface(
            parameters=CallerParameters(**{**values, **parameters}),
            parser=CallParser(
                clock=clock, incarnation="entry~1", default_deadline_ms=1_000.0
            ),
            admission=Admission(clock=clock, random=None, name="entry"),
            services=None,
            configuration=lambda: configuration,
            clock=clock,
            events=EventLog(name="entry", level="error"),
            metrics=Metrics(),
        )
        self.port = 0

    async def __aenter__(self):
        self._runner = web.AppRunner(self.callers.application(), access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = self._runner.addresses[0][1]
        return self

    async def __aexit__(self, *exc_info):
        await self._runner.cleanup()

    async def post(self, path, body, **headers):
        headers = {"Authorization": f"Bearer {API_KEY}", **headers}
        url = f"http://127.0.0.1:{self.port}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=body, headers=headers) as response,
        ):
            return response, await response.json(content_type=None)


CHAT = "/v1/chat/completions"


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "kind"),
    [
        (CHAT, GOOD_BODY, {"Authorization": ""}, 401, "unauthenticated"),
        (CHAT, GOOD_BODY, {"Authorization": "Bearer no"}, 401, "unauthenticated"),
        (CHAT, b"{", {}, 400, "bad_request"),
        (CHAT, b"\xff\xfe", {}, 400, "bad_request"),
        (CHAT, b"[]", {}, 400, "bad_request"),
        (CHAT, b'{"model": 3, "messages": []}', {}, 400, "bad_request"),
        (CHAT, b'{"model": "desk"}', {}, 400, "bad_request"),
        (CHAT, b'{"model": "no", "prompt": "x"}', {}, 404, "unknown_service"),
        (CHAT, b"x" * (MAX_BODY + 1), {}, 413, "too_large"),
        (CHAT, GOOD_BODY, {"X-Deadline-Ms": "soon"}, 400, "bad_request"),
        (CHAT, GOOD_BODY, {"X-Deadline-Ms": "nan"}, 400, "bad_request"),
        (CHAT, GOOD_BODY, {"X-Deadline-Ms": "-1"}, 400, "bad_request"),
        (CHAT, GOOD_BODY, {"X-Priority": "11"}, 400, "bad_request"),
        (CHAT, GOOD_BODY, {"Idempotency-Key": "k" * 300}, 400, "bad_request"),
        ("/orders/charges", b"{}", {}, 403, "forbidden"),
        (
            "/orders/charges",
            b"{}",
            {"Authorization": "Bearer both-key"},
            400,
            "key_required",
        ),
        ("/nowhere/x", b"{}", {}, 404, "unknown_service"),
        ("/model-desk/x", b"{}", {}, 404, "unknown_service"),
        ("/", b"{}", {}, 404, "unknown_service"),
    ],
)
async def test_bad_request_gets_a_clear_answer(path, body, headers, status, kind):
    async with Server() as server:
        response, answer = await server.post(path, body, **headers)
        assert (response.status, answer["error"]["code"]) == (status, kind)
        assert answer["error"]["outcome"] == "not_run"
        assert answer["error"]["request_id"]
        assert server.callers.in_flight == 0


async def test_body_that_does_not_arrive_is_refused_and_costs_nothing_lasting():
    async with Server() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        head = (
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
            f"Authorization: Bearer {API_KEY}\r\n\r\n{{"
        )
        writer.write(head.encode())
        line = await asyncio.wait_for(reader.readline(), 20)
        assert b" 400 " in line
        assert server.callers.in_flight == 0
        writer.close()


# Guards against 500 for header bytes that are no UTF-8: a caller's mistake.
@pytest.mark.parametrize("key", [b"\xff\xfe", b"caf\xe9"])
async def test_a_key_that_is_no_utf_8_is_not_known(key):
    async with Server() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n".encode()
            + b"Authorization: Bearer "
            + key
            + b"\r\n\r\n{}"
        )
        line = await asyncio.wait_for(reader.readline(), 20)
        assert b" 401 " in line
        writer.close()


async def test_caller_that_closes_half_way_costs_nothing_lasting():
    async with Server(body_timeout_ms=20_000.0) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
        writer.write(f"{head}Authorization: Bearer {API_KEY}\r\n\r\n".encode())
        await wait_until(lambda: server.callers.in_flight, what="it is being read")
        writer.close()
        await wait_until(lambda: not server.callers.in_flight, what="it is dropped")


async def test_flood_beyond_the_limit_is_refused_with_a_time_to_return():
    async with Server(max_in_flight=0) as server:
        response, answer = await server.post(CHAT, GOOD_BODY)
        assert (response.status, answer["error"]["code"]) == (503, "overloaded")
        assert int(response.headers["Retry-After"]) >= 1


async def test_garbage_is_refused_by_the_http_library():
    async with Server() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"\x00\x01\x02 not http\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 20)
        assert b" 400 " in line
        writer.close()
