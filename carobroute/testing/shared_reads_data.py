"""Gateways that read one store and pass on to each other what they know of it."""

import asyncio
import io
import json
import random
from typing import Any

from returns.result import Result

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.gateway import (
    ActiveConfiguration,
    GatewayParameters,
    TargetDirectory,
)
from carobroute.gateway._evacuations import Evacuations
from carobroute.gateway._shared_reads import SharedReads, StoreKnowledge
from carobroute.gateway._store_watch import ConfigurationWatcher, TargetListPoller
from carobroute.gateway._targets import DirectoryChange
from carobroute.platform import RowsAnswer, RowStore
from carobroute.telemetry import EventLog
from carobroute.testing.row_store_data import MemoryRowStore
from carobroute.utils import Clock, ManualClock

REVOKE_MS = 5_000.0
DIGEST_INTERVAL_MS = 408.0


def encode_configuration(version: int) -> bytes:
    """Return the row of a configuration with one route."""
    route = {
        "name": "r",
        "host": "a.example",
        "pathPrefix": "/x/",
        "kind": "safe",
        "service": "one",
    }
    return json.dumps(
        {"version": version, "routes": [route], "services": [{"name": "one"}]}
    ).encode()


def encode_entry(**changes: object) -> bytes:
    """Return the row of a target."""
    fields = {
        "service": "one",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
    }
    return json.dumps({**fields, **changes}).encode()


class CutStore(RowStore):
    """Way of one gateway to a store, which may be cut.

    Parameters
    ----------
    store : MemoryRowStore
        The store.
    """

    def __init__(self, *, store: MemoryRowStore):
        super().__init__(base_url="http://127.0.0.1:1")
        self._store = store
        self.is_cut = False

    @property
    def era(self) -> int:
        """Era of the store."""
        return self._store.era

    async def read(self, table: str, **options: object) -> Result[RowsAnswer, Fault]:
        """Return rows, or a fault while the way is cut."""
        if self.is_cut:
            return fail(ErrorKind.STORE_UNAVAILABLE, "cut")
        return await self._store.read(table, **options)  # type: ignore[arg-type]

    async def watch(
        self, table: str, *, after: int, wait_ms: float
    ) -> Result[RowsAnswer, Fault]:
        """Return changes, or a fault if the way is cut."""
        if self.is_cut:
            return fail(ErrorKind.STORE_UNAVAILABLE, "cut")
        answer = await self._store.watch(table, after=after, wait_ms=wait_ms)
        return fail(ErrorKind.STORE_UNAVAILABLE, "cut") if self.is_cut else answer


class ReadingGateway:
    """The parts of a gateway that read the store.

    Parameters
    ----------
    fleet : ReadingFleet
        Fleet of the gateway.
    name : str
        Incarnation of the gateway.
    """

    def __init__(self, *, fleet: "ReadingFleet", name: str):
        clock = fleet.clock
        self.name = name
        self.known: dict[str, StoreKnowledge] = {}
        self.store = CutStore(store=fleet.store)
        self.configuration = ActiveConfiguration(
            clock=clock, revoke_ms=REVOKE_MS, margin_ms=400.0
        )
        parameters = GatewayParameters()
        self.directory = TargetDirectory(
            clock=clock,
            store_outage_ms=parameters.store_outage_ms(fleet.drain_ms, 1_200.0),
            lapsed_grace_ms=2_200.0,
        )
        self.evacuations = Evacuations(clock=clock)
        self.shared = SharedReads(
            clock=clock,
            name=name,
            evacuations=self.evacuations,
            configuration=self.configuration,
            directory=self.directory,
            peers=lambda: self.known,
        )
        events = EventLog(name=name, stream=io.StringIO(), clock=clock)
        self._watcher = ConfigurationWatcher(
            store=self.store,
            configuration=self.configuration,
            evacuations=self.evacuations,
            wait_ms=parameters.watch_timeout_ms(REVOKE_MS),
            parameters=parameters,
            events=events,
            clock=clock,
            random=fleet.random,
            shared=self.shared,
            on_change=lambda: fleet.spread(self),
        )
        self._poller = TargetListPoller(
            store=self.store,
            directory=self.directory,
            on_change=lambda change: (
                fleet.spread(self) if change.gone or change.leaving else None
            ),
            interval_ms=parameters.target_poll_interval_ms(fleet.drain_ms),
            parameters=parameters,
            events=events,
            clock=clock,
            random=fleet.random,
            shared=self.shared,
        )

    def start(self) -> list[asyncio.Task]:
        """Start to read, and return the tasks."""
        return [
            asyncio.create_task(self._watcher.run()),
            asyncio.create_task(self._poller.run()),
        ]


class ReadingFleet:
    """Gateways, the store that they read, and the digests between them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    size : int
        Number of gateways.
    drain_ms : float
        Time within which calls to a leaving target must stop.
    """

    def __init__(
        self, *, clock: Clock, random: random.Random, size: int, drain_ms: float
    ):
        self.clock = clock
        self.random = random
        self.drain_ms = drain_ms
        self.store = MemoryRowStore(clock=clock)
        self.store.put("op", "config", encode_configuration(1))
        for number in range(8):
            self.store.put("servers", f"i-{number}", encode_entry())
        self.gateways = [
            ReadingGateway(fleet=self, name=f"gateway-{n}") for n in range(size)
        ]
        # Gateways whose digests do not arrive.
        self.silent: set[str] = set()
        self._tasks: list[asyncio.Task] = []

    def add_gateway(self, name: str, *, is_silent: bool = False) -> ReadingGateway:
        """Start one more gateway, which may hear no digests at first."""
        if is_silent:
            self.silent = {gateway.name for gateway in self.gateways}
        gateway = ReadingGateway(fleet=self, name=name)
        self.gateways.append(gateway)
        self._tasks += gateway.start()
        return gateway

    def spread(self, sender: ReadingGateway) -> None:
        """Deliver a digest of one gateway to the others."""
        knowledge = sender.shared.current_knowledge()
        for gateway in self.gateways:
            if gateway is not sender and sender.name not in self.silent:
                gateway.known[sender.name] = knowledge
                gateway.shared.apply_knowledge(knowledge)

    async def run(self) -> None:
        """Read, and send digests, until cancelled."""
        for gateway in self.gateways:
            self._tasks += gateway.start()
        try:
            while True:
                for gateway in self.gateways:
                    await self.clock.sleep_ms(DIGEST_INTERVAL_MS / len(self.gateways))
                    self.spread(gateway)
        finally:
            for task in self._tasks:
                task.cancel()


class StoreScenario:
    """A store, with the watcher and the poller that read it."""

    def __init__(self) -> None:
        self.clock = ManualClock(start_ms=100_000)
        self.store = MemoryRowStore(clock=self.clock)
        self.log = io.StringIO()
        self.active = ActiveConfiguration(
            clock=self.clock, revoke_ms=5_000.0, margin_ms=400.0
        )
        self.directory = TargetDirectory(
            clock=self.clock, store_outage_ms=1_500.0, lapsed_grace_ms=2_200.0
        )
        self.changes: list[DirectoryChange] = []
        self.evacuations = Evacuations(clock=self.clock)
        parameters = GatewayParameters()
        shared: dict[str, Any] = {
            "store": self.store,
            "parameters": parameters,
            "events": EventLog(name="t", stream=self.log, clock=self.clock),
            "clock": self.clock,
            "random": random.Random(1),
        }
        self.watcher = ConfigurationWatcher(
            configuration=self.active,
            evacuations=self.evacuations,
            wait_ms=parameters.watch_timeout_ms(REVOKE_MS),
            **shared,
        )
        self.poller = TargetListPoller(
            directory=self.directory,
            on_change=self.changes.append,
            interval_ms=800.0,
            **shared,
        )
