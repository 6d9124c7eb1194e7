"""The commands against the real routes, on a log with a fake table."""

import asyncio
import random
import threading

import pytest
import yaml
from aiohttp import web
from typer.testing import CliRunner

from carobroute.cli._ticket import ticket_app
from carobroute.links import Endpoint
from carobroute.membership import Directory
from carobroute.testing import (
    FakeTable,
    make_instance,
    make_service,
    make_target,
    make_ticket,
)
from carobroute.tickets import (
    ConfigurationKeeper,
    TicketLog,
    dump_ticket,
    ticket_routes,
)
from carobroute.utils import Clock


class Server:
    """The operators' routes, served by a thread with a loop of its own."""

    def __init__(self):
        self.table = FakeTable(clock=Clock())
        self._started = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._serve()))

    def start(self):
        self._thread.start()
        assert self._started.wait(20)

    def stop(self):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(20)

    async def _serve(self):
        clock = Clock()
        self._loop, self._stop = asyncio.get_running_loop(), asyncio.Event()
        endpoint = Endpoint(
            name="entry-0",
            role="entry",
            data_centre="suva",
            incarnation="entry-0~1",
            clock=clock,
        )
        await endpoint.start()
        directory = Directory(clock=clock, own=make_instance("entry-0"))
        log = TicketLog(table=self.table, clock=clock)
        keeper = ConfigurationKeeper(
            log=log,
            endpoint=endpoint,
            directory=directory,
            clock=clock,
            random=random.Random(1),
            name="entry-0",
        )
        await keeper.start()
        await keeper.wait_ready(10_000)
        app = web.Application()
        app.add_routes(ticket_routes(keeper, log, directory))
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"http://127.0.0.1:{port}"
        self._started.set()
        await self._stop.wait()
        await keeper.stop()
        await endpoint.stop()
        await runner.cleanup()


@pytest.fixture
def server():
    entry = Server()
    entry.start()
    yield entry
    entry.stop()


@pytest.fixture
def run(server):
    def invoke(*arguments):
        command = [*map(str, arguments), "--address", server.address]
        return CliRunner().invoke(ticket_app, command)

    return invoke


@pytest.fixture
def first(tmp_path, run):
    """File ticket 1, a service with two targets."""
    path = tmp_path / "1.yaml"
    ticket = make_ticket(make_service(), make_target(), make_target("runner-2"))
    path.write_text(dump_ticket(ticket))
    result = run("file", path)
    assert result.exit_code == 0, result.output
    return path


def test_filing_the_same_file_again_gets_the_same_number(first, run):
    again = run("file", first, "--wait-s", "10")
    assert again.exit_code == 0
    assert again.output.startswith(
        "accepted as ticket 1\nticket 1 is in force at 1 of 1\nslowest entry-0"
    )


def test_drain_is_drafted_shown_and_filed(first, run, tmp_path):
    path = tmp_path / "2.yaml"
    assert run("new", "--drain", "runner-1", "--file", path).exit_code == 0
    assert "target/runner-1  state  serving   draining" in run("diff", path).output
    assert run("check", path).output == "no fault on top of ticket 1\n"
    assert run("file", path).output == "accepted as ticket 2\n"
    assert "state: draining" in run("show", "2").output
    assert len(run("log").output.splitlines()) == 3


def test_undo_is_the_next_ticket(first, run, tmp_path):
    second, third = tmp_path / "2.yaml", tmp_path / "3.yaml"
    run("new", "--drain", "runner-1", "--file", second)
    run("file", second)
    assert run("new", "--from", "1", "--file", third).exit_code == 0
    drafted = yaml.safe_load(third.read_text())
    assert [(o["name"], o["state"]) for o in drafted["objects"]] == [
        ("runner-1", "serving")
    ]
    assert run("file", third).output == "accepted as ticket 3\n"


def test_draining_the_last_target_is_refused_with_the_reason(first, run, tmp_path):
    path = tmp_path / "2.yaml"
    run("new", "--drain", "runner-1", "--drain", "runner-2", "--file", path)
    checked = run("check", path, "--output", "json")
    assert checked.exit_code == 1
    assert "no serving target after this ticket" in checked.output
    filed = run("file", path)
    assert filed.exit_code == 1
    assert "no serving target after this ticket" in filed.output


def test_loser_of_a_race_is_told_and_exits_with_3(first, run, tmp_path):
    one, two = tmp_path / "a.yaml", tmp_path / "b.yaml"
    for path in (one, two):
        run("new", "--drain", "runner-1", "--file", path)
    assert run("file", one).exit_code == 0
    lost = run("file", two)
    assert lost.exit_code == 3
    assert "changed since ticket 1: target/runner-1 by ticket 2" in lost.output


def test_unreachable_entry_exits_with_5(tmp_path):
    command = ["log", "--address", "http://127.0.0.1:9"]
    assert CliRunner().invoke(ticket_app, command).exit_code == 5


def test_offline_check_needs_no_entry(tmp_path):
    path = tmp_path / "t.yaml"
    path.write_text(dump_ticket(make_ticket(make_target())))
    result = CliRunner().invoke(ticket_app, ["check", str(path)])
    assert result.exit_code == 1
    assert "a service that exists" in result.output
