"""One member process of the switch benchmark: the product's endpoint and member.

It takes the group's layout on the command line and runs a coordinator when told to.
"""

import argparse
import asyncio
import random
import signal

import msgspec
from aiohttp import web
from returns.result import Success

from carobroute.errors import ErrorKind, fail
from carobroute.links import Endpoint, LinkParameters
from carobroute.placement import (
    CoordinatorParameters,
    GroupMember,
    HttpRankEngine,
    LinkPeers,
    MemberParameters,
    RankMember,
    SwitchCoordinator,
    SwitchService,
    make_map,
)
from carobroute.utils import Clock, new_incarnation, run_event_loop

GROUP = "bench"
MOST_DELAY_S = 0.01
repeated: set[asyncio.Task] = set()
LINKS = LinkParameters(ping_busy_ms=100, ping_idle_ms=400, silence_ms=400, reopen_ms=10)


def bench_map(ranks: int, revision: int):
    """Return a map that differs for each revision."""
    layer = [[(expert + revision) % ranks] for expert in range(ranks)]
    return make_map([layer], ticket=1, revision=revision)


class LossyPeers(LinkPeers):
    """Calls of which some are lost, late, repeated or out of order."""

    def __init__(self, *, loss: float, draw: random.Random, **options):
        super().__init__(**options)
        self._loss = loss
        self._draw = draw

    async def call(self, member, entry, *, timeout_ms):
        await asyncio.sleep(self._draw.uniform(0, MOST_DELAY_S if self._loss else 0))
        if self._draw.random() < self._loss:
            await asyncio.sleep(timeout_ms / 1_000)
            return fail(ErrorKind.PEER_LOST, "lost before it was sent")
        if self._draw.random() < self._loss:
            copy = msgspec.structs.replace(entry)
            task = asyncio.create_task(
                super().call(member, copy, timeout_ms=timeout_ms)
            )
            await asyncio.sleep(0)
            repeated.add(task)
            task.add_done_callback(repeated.discard)
        reply = await super().call(member, entry, timeout_ms=timeout_ms)
        if self._draw.random() < self._loss:
            return fail(ErrorKind.PEER_LOST, "reply lost")
        return reply


class MemberProcess:
    """Runs one member and, on request, one switch at a time."""

    def __init__(self, arguments: argparse.Namespace):
        self._arguments = arguments
        self._clock = Clock()
        self._incarnation = new_incarnation(arguments.name)
        self._endpoint = Endpoint(
            name=arguments.name,
            role="local",
            data_centre="suva",
            incarnation=self._incarnation,
            clock=self._clock,
            parameters=LINKS,
        )
        self._addresses: list[str] = []
        self._events: dict[str, int] = {}
        self._member: RankMember | None = None
        self._peers: LossyPeers | None = None

    def _members(self) -> list[GroupMember]:
        count, each = len(self._addresses), self._arguments.ranks_each
        return [
            GroupMember(
                name=f"m{index}",
                address=self._addresses[index],
                ranks=tuple(range(index * each, (index + 1) * each)),
            )
            for index in range(count)
        ]

    def _note(self, name: str, **fields: object) -> None:
        self._events[name] = self._events.get(name, 0) + 1

    async def run(self) -> None:
        """Serve until SIGTERM."""
        bind = f"tcp://127.0.0.1:{self._arguments.link_port or '*'}"
        await self._endpoint.start(bind)
        application = web.Application()
        application.router.add_post("/members", self._learn)
        application.router.add_post("/switch", self._switch)
        application.router.add_get("/dump", self._dump)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        link = self._endpoint.address
        print(f"READY address=http://127.0.0.1:{port} link={link}", flush=True)
        stopped = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
        await stopped.wait()

    async def _learn(self, request: web.Request) -> web.Response:
        """Take the addresses of all members; start the member on the first."""
        self._addresses = await request.json()
        if self._peers is None:
            self._peers = LossyPeers(
                endpoint=self._endpoint,
                members=self._members,
                loss=self._arguments.loss,
                draw=random.Random(self._arguments.seed),
            )
            if self._arguments.index >= 0:
                self._start_member()
        return web.Response()

    def _start_member(self) -> None:
        each, index = self._arguments.ranks_each, self._arguments.index
        ranks = range(index * each, (index + 1) * each)
        total = each * len(self._addresses)
        self._member = RankMember(
            group=GROUP,
            name=self._arguments.name,
            incarnation=self._incarnation,
            ranks=ranks,
            engine=HttpRankEngine(
                address=self._arguments.engine, ranks=ranks, owner=self._incarnation
            ),
            peers=self._peers,
            clock=self._clock,
            initial_map=lambda: bench_map(total, 0),
            parameters=MemberParameters(call_timeout_ms=100),
            on_event=self._note,
        )
        service = SwitchService(endpoint=self._endpoint)
        service.add(self._member)
        self._member.start()

    async def _switch(self, request: web.Request) -> web.Response:
        """Switch to a revision; may end this process before it can decide."""
        body = await request.json()
        total = self._arguments.ranks_each * len(self._addresses)
        coordinator = SwitchCoordinator(
            group=GROUP,
            incarnation=self._incarnation,
            fence=lambda: body["fence"],
            is_lease_held=lambda: True,
            peers=self._peers,
            clock=self._clock,
            parameters=CoordinatorParameters(probe_ms=1_000, load_ms=3_000),
            on_event=self._note,
        )
        if body.get("die_in_promise"):
            self._die_in_promise(coordinator)
        result = await coordinator.switch(bench_map(total, body["revision"]))
        answer = {"ok": isinstance(result, Success), "detail": str(result)}
        return web.json_response(answer)

    def _die_in_promise(self, coordinator: SwitchCoordinator) -> None:
        """Kill this process between the last promise and the decision."""
        gather = coordinator._gather_promises

        async def gather_and_die(*arguments):
            refusal = await gather(*arguments)
            if not refusal:
                signal.raise_signal(signal.SIGKILL)
            return refusal

        coordinator._gather_promises = gather_and_die  # type: ignore[method-assign]

    async def _dump(self, request: web.Request) -> web.Response:
        dump = self._member.dump() if self._member else {}
        body = msgspec.json.encode({"member": dump, "events": self._events})
        return web.Response(body=body, content_type="application/json")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--index", type=int, default=-1, help="-1: coordinator only")
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ranks-each", type=int, required=True)
    parser.add_argument("--engine", required=True)
    parser.add_argument("--link-port", type=int, default=0)
    run_event_loop(MemberProcess(parser.parse_args()).run())


if __name__ == "__main__":
    main()
