"""One process that runs only the control parts of the product.

It prints `IN_FORCE number chain wall_ms` for each configuration that it puts in force,
and on SIGUSR1 one line `COUNTS` with what its links have sent and received.
"""

import argparse
import asyncio
import contextlib
import json
import random
import signal

from aiohttp import web

from carobroute.domain import Instance, InstanceRole
from carobroute.leases import DutyScheduler, Lease, LeaseManager
from carobroute.links import Endpoint
from carobroute.membership import Directory, ListPoller, Overlay
from carobroute.tables import open_platform
from carobroute.tickets import ConfigurationKeeper, TicketLog, ticket_routes
from carobroute.utils import Clock, new_incarnation, run_event_loop

FLEET_DUTIES = ("orders/expire", "tickets/compact")


class ControlNode:
    """Links, directory, overlay, keeper and duties of one process."""

    def __init__(self, arguments: argparse.Namespace):
        self.arguments = arguments
        self.clock = Clock()
        self.incarnation = new_incarnation(arguments.name)
        self.random = random.Random(self.incarnation)
        self.platform = open_platform(
            table_url=arguments.platform,
            objects_url=arguments.platform,
            instances_url=arguments.platform,
            clock=self.clock,
            random=self.random,
        )
        self.endpoint = Endpoint(
            name=arguments.name,
            role="entry",
            data_centre=arguments.data_centre,
            incarnation=self.incarnation,
            clock=self.clock,
            ticket_number=lambda: self.keeper.current.number,
            on_event=self._event,
        )
        self.log = TicketLog(
            table=self.platform.table, clock=self.clock, on_event=self._event
        )
        self.keeper: ConfigurationKeeper

    async def run(self) -> None:
        """Run until SIGTERM."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self._print_counts)
        link = await self.endpoint.start()
        self._build(self.arguments.advertise or link)
        await self.poller.start()
        await self.poller.wait_polled(2_000)
        await self.overlay.start()
        await self.keeper.start()
        await self._start_duties()
        operator = await self._serve_operators() if self.arguments.operator else "-"
        while not stop.is_set():
            if (await self.keeper.wait_ready(1_000)).value_or(None) is not None:
                break
        number = self.keeper.current.number
        print(f"READY address={operator} link={link} number={number}", flush=True)
        await stop.wait()

    def _build(self, address: str) -> None:
        arguments = self.arguments
        own = Instance(
            name=arguments.name,
            incarnation=self.incarnation,
            role=InstanceRole.ENTRY,
            data_centre=arguments.data_centre,
            region=arguments.region,
            address=address,
        )
        parts = {"clock": self.clock, "on_event": self._event}
        self.directory = Directory(own=own, **parts)
        self.poller = ListPoller(
            instances=self.platform.instances,
            directory=self.directory,
            random=self.random,
            **parts,
        )
        links = {"directory": self.directory, "endpoint": self.endpoint}
        self.overlay = Overlay(random=self.random, **links, **parts)
        self.keeper = ConfigurationKeeper(
            log=self.log,
            random=self.random,
            name=arguments.name,
            overlay=self.overlay,
            **links,
            **parts,
        )
        self.keeper.on_change(self._print_in_force)

    async def _start_duties(self) -> None:
        """Take part in the duties that any process of the fleet may hold."""
        leases = LeaseManager(
            table=self.platform.table,
            clock=self.clock,
            incarnation=self.incarnation,
            on_event=self._event,
        )
        self.duties = DutyScheduler(
            leases=leases,
            name=self.arguments.name,
            clock=self.clock,
            random=self.random,
            on_event=self._event,
        )
        for name in FLEET_DUTIES:
            self.duties.add(name, self._hold, self._candidates)
        await self.duties.start()

    async def _hold(self, lease: Lease) -> None:
        await asyncio.Event().wait()

    def _candidates(self) -> list[str]:
        return [entry.name for entry in self.directory.live()]

    async def _serve_operators(self) -> str:
        application = web.Application()
        application.add_routes(ticket_routes(self.keeper, self.log, self.directory))
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        return f"http://{host}:{port}"

    def _print_in_force(self, configuration) -> None:
        wall_ms = self.clock.wall_ms()
        print(
            f"IN_FORCE {configuration.number} {configuration.chain} {wall_ms:.3f}",
            flush=True,
        )

    def _print_counts(self) -> None:
        counts = {
            **self.endpoint.counts,
            "links": len(self.endpoint.peers),
            "known": len(self.directory.instances()),
            "bridge": self.overlay.is_bridge,
        }
        print(f"COUNTS {json.dumps(counts)}", flush=True)

    def _event(self, name: str, /, *, level: str = "info", **fields) -> None:
        if level == "error" or self.arguments.verbose:
            print(f"EVENT {name} {level} {json.dumps(fields, default=str)}", flush=True)


def main() -> None:
    """Read the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--region", default="viti-levu")
    parser.add_argument("--platform", required=True)
    parser.add_argument("--advertise", default="")
    parser.add_argument("--operator", action="store_true")
    parser.add_argument("--verbose", action="store_true")
    with contextlib.suppress(KeyboardInterrupt):
        run_event_loop(ControlNode(parser.parse_args()).run())


if __name__ == "__main__":
    main()
