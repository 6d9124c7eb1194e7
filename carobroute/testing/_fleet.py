"""A whole desk as real processes: stand-ins, local processes and entries."""

import asyncio
import contextlib
import sys
from collections import Counter
from collections.abc import Coroutine, Mapping
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import yaml

from carobroute.domain import ServiceKind
from carobroute.settings import parse_yaml
from carobroute.standins._reserved_ports import reserve_port
from carobroute.testing._processes import Child, ProcessGroup
from carobroute.testing._waiting import wait_until

REGION_OF_EXAMPLES = "region"
START_AT_A_TIME = 10
GROUP_FIELDS = frozenset({"group", "ranks"})
PLAIN_STAND_IN = "orders"
MODEL_STAND_IN = "engine"


class FleetShape(msgspec.Struct, frozen=True, kw_only=True):
    """How many processes a fleet has, and how they are set.

    Parameters
    ----------
    entries : int
        Entry instances, spread over the data centres.
    models, plains : int
        Targets taken of the first ticket's model and plain services; -1 for all.
    engine_options, order_options, platform_options : list of str
        Further options of the stand-ins.
    rank_groups : bool
        Whether groups that are whole get a stand-in for their ranks.
    settings : dict
        Sections merged into every settings file.
    target_fields : dict
        Fields that every target of the first ticket is given.
    team_fields : dict
        Fields that every team of the first ticket is given.
    seed : int
        Seed of the stand-ins.
    """

    entries: int = 3
    models: int = -1
    plains: int = -1
    engine_options: list[str] = []
    order_options: list[str] = []
    platform_options: list[str] = []
    rank_groups: bool = False
    settings: dict[str, dict[str, Any]] = {}
    target_fields: dict[str, Any] = {}
    team_fields: dict[str, Any] = {}
    seed: int = 1


class FleetTarget:
    """One target, its stand-in and the local process beside it."""

    def __init__(self, *, fields: Mapping[str, Any], kind: ServiceKind):
        self.fields = dict(fields)
        self.kind = kind
        self.stand_in: Child
        self.local: Child
        self.settings_file: Path

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.fields["name"]

    @property
    def service(self) -> str:
        """Service of the target."""
        return self.fields["service"]


class Fleet:
    """One desk of `examples/` as real processes on loopback.

    Parameters
    ----------
    desk : Path
        Directory of the desk: `ticket-1.yaml`, `team-keys.yaml`, `requests.yaml`.
    directory : Path
        Where settings files are written.
    shape : FleetShape
        How many processes.
    """

    def __init__(self, *, desk: Path, directory: Path, shape: FleetShape | None = None):
        self.desk = desk
        self.directory = directory
        self.shape = shape or FleetShape()
        self.group = ProcessGroup(directory=Path.cwd())
        self.ticket = _read_yaml(desk / "ticket-1.yaml")
        self.team_keys: dict[str, str] = _read_yaml(desk / "team-keys.yaml")
        self.requests: list[dict[str, Any]] = _read_yaml(desk / "requests.yaml")
        self.rank_groups: dict[str, Child] = {}
        self._whole_groups: set[str] = set()
        self.platform: Child
        self.entries: list[Child] = []
        self.entry_files: list[Path] = []
        self.targets = self._choose_targets()
        self._session: aiohttp.ClientSession | None = None
        # Ports of all stand-ins: none is reached at the address of an ended one.
        self._reserved = contextlib.ExitStack()

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session for calls by the bench itself."""
        assert self._session is not None
        return self._session

    @property
    def data_centres(self) -> list[str]:
        """Data centres of the desk, in order."""
        return sorted({target.fields["data_centre"] for target in self.targets})

    async def __aenter__(self) -> "Fleet":
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=False)
        )
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def start(self) -> None:
        """Start everything, the platform first, and file the first ticket."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.platform = await self._stand_in("platform", *self.shape.platform_options)
        first = await self.start_entry(0)
        await self.file_ticket(first)
        if self.shape.rank_groups:
            await self._start_rank_groups()
        starts: list[Coroutine[Any, Any, Any]] = [
            self.start_target(target) for target in self.targets
        ]
        starts += [self.start_entry(n) for n in range(1, self.shape.entries)]
        gate = asyncio.Semaphore(START_AT_A_TIME)
        await asyncio.gather(*[_through(gate, start) for start in starts])
        for entry in self.entries:
            await self.wait_known(entry)

    async def wait_known(self, entry: Child) -> None:
        """Wait until an entry knows the local process beside every target."""
        names = {target.name for target in self.targets}

        async def known() -> bool:
            dump = await self.read_json(entry.address, "/operator/dump")
            return names <= {instance["target"] for instance in dump["directory"]}

        await wait_until(known, what=f"{entry.name} knows every target", timeout_s=60)

    async def close(self) -> None:
        """Stop everything that was started."""
        await self.group.close()
        self._reserved.close()
        if self._session is not None:
            await self._session.close()

    async def start_entry(self, number: int, *, stderr: int | None = None) -> Child:
        """Start or replace entry `number`."""
        centre = self.data_centres[number % len(self.data_centres)]
        path = self._write_settings(
            f"entry-{number}",
            {
                "instance": self._instance(f"entry-{number}", "entry", centre),
                "entry": {"balancer_lag_ms": 200},
            },
        )
        child = await self.group.start(
            f"entry-{number}",
            "-m",
            "carobroute.daemon",
            "entry",
            "--settings",
            str(path),
            stderr=stderr,
        )
        if number < len(self.entries):
            self.entries[number] = child
        else:
            # Entries start side by side; the list keeps their order.
            self.entries += [child] * (number + 1 - len(self.entries))
            self.entries[number] = child
        return child

    async def start_target(self, target: FleetTarget) -> None:
        """Start a target's stand-in and the local process beside it."""
        await self.start_stand_in(target)
        await self.start_local(target)

    async def start_stand_in(self, target: FleetTarget, port: int = 0) -> None:
        """Start or replace the stand-in of a target."""
        if target.kind is ServiceKind.MODEL:
            options = ["--name", target.name, *self.shape.engine_options]
            kind = MODEL_STAND_IN
        else:
            options = list(self.shape.order_options)
            kind = PLAIN_STAND_IN
        if target.fields.get("honours_fencing"):
            options.append("--honours-fencing")
        target.stand_in = await self._stand_in(kind, *options, port=port)

    async def start_local(
        self, target: FleetTarget, *, url: str = "", stderr: int | None = None
    ) -> None:
        """Start or replace the local process beside a target."""
        name = f"local-{target.name}"
        centre = target.fields["data_centre"]
        target.settings_file = self._write_settings(
            name,
            {
                "instance": self._instance(name, "local", centre),
                "local": {
                    "target": target.name,
                    "service": target.service,
                    "url": url or target.stand_in.address,
                    "ranks_url": self._ranks_url(target),
                },
            },
        )
        target.local = await self.group.start(
            name,
            "-m",
            "carobroute.daemon",
            "local",
            "--settings",
            str(target.settings_file),
            stderr=stderr,
        )

    def _ranks_url(self, target: FleetTarget) -> str:
        group = self.rank_groups.get(target.fields.get("group", ""))
        return group.address if group is not None else ""

    async def file_ticket(self, entry: Child, fields: Mapping | None = None) -> str:
        """File a ticket with the command-line tool and return what it printed."""
        fields = dict(fields or self._first_ticket())
        path = self.directory / f"ticket-{fields['token']}.yaml"
        path.write_text(yaml.safe_dump(fields, sort_keys=False))
        return await self.run_tool(
            "ticket", "file", str(path), "--address", entry.ready["operator"]
        )

    async def run_tool(self, *arguments: str) -> str:
        """Run `carobroute` to its end and return its standard output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "carobroute.cli",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        if process.returncode:
            raise RuntimeError(
                f"carobroute {' '.join(arguments)} ended with {process.returncode}:"
                f" {errors.decode()}"
            )
        return output.decode()

    def entry_url(self, number: int) -> str:
        """Return the callers' URL of entry `number`."""
        return f"http://{self.entries[number].ready['http']}"

    def headers(self, team: str) -> dict[str, str]:
        """Return the headers that authenticate `team`."""
        return {"Authorization": f"Bearer {self.team_keys[team]}"}

    def target(self, name: str) -> FleetTarget:
        """Return the target called `name`."""
        return next(target for target in self.targets if target.name == name)

    def targets_of(self, kind: ServiceKind) -> list[FleetTarget]:
        """Return the targets of one kind of service."""
        return [target for target in self.targets if target.kind is kind]

    async def read_json(self, address: str, path: str) -> Any:
        """Return the decoded answer to a GET request at a process or stand-in."""
        url = address if "://" in address else f"http://{address}"
        async with self.session.get(url + path) as response:
            response.raise_for_status()
            return await response.json()

    def _choose_targets(self) -> list[FleetTarget]:
        kinds = {
            entry["name"]: ServiceKind(entry["kind"])
            for entry in self.ticket["objects"]
            if entry["type"] == "service"
        }
        objects = self.ticket["objects"]
        members = Counter(e["group"] for e in objects if e.get("group"))
        left = {
            ServiceKind.MODEL: self.shape.models,
            ServiceKind.PLAIN: self.shape.plains,
        }
        chosen = []
        for entry in self.ticket["objects"]:
            if entry["type"] != "target":
                continue
            kind = kinds[entry["service"]]
            if left[kind] != 0:
                left[kind] -= 1
                fields = {**entry, **self.shape.target_fields}
                chosen.append(FleetTarget(fields=fields, kind=kind))
        kept = Counter(target.fields.get("group", "") for target in chosen)
        self._whole_groups = {name for name in members if kept[name] == members[name]}
        for target in chosen:
            if target.fields.get("group") not in self._whole_groups:
                for name in GROUP_FIELDS & target.fields.keys():
                    del target.fields[name]
        return chosen

    def _first_ticket(self) -> dict[str, Any]:
        """Return the desk's first ticket with the targets and teams of this fleet."""
        objects: list[dict[str, Any]] = []
        for entry in self.ticket["objects"]:
            if entry["type"] == "team":
                objects.append({**entry, **self.shape.team_fields})
            elif (
                entry["type"] == "service"
                or entry["type"] == "group"
                and entry["name"] in self._whole_groups
            ):
                objects.append(entry)
        objects += [target.fields for target in self.targets]
        return {**self.ticket, "objects": objects}

    async def _start_rank_groups(self) -> None:
        """Start a stand-in for the ranks of each group that is whole."""
        for entry in self.ticket["objects"]:
            if entry["type"] == "group" and entry["name"] in self._whole_groups:
                options = []
                for name in ("ranks", "layers", "experts"):
                    options += [f"--{name}", str(entry[name])]
                child = await self._stand_in("rank-group", *options)
                self.rank_groups[entry["name"]] = child

    def _instance(self, name: str, role: str, data_centre: str) -> dict[str, str]:
        return {
            "name": name,
            "role": role,
            "data_centre": data_centre,
            "region": REGION_OF_EXAMPLES,
        }

    def _write_settings(self, name: str, sections: dict[str, Any]) -> Path:
        address = self.platform.address
        platform = {
            f"{service}_url": address
            for service in ("table", "objects", "instances", "weights")
        }
        merged = {"platform": platform, **sections}
        for section, values in self.shape.settings.items():
            if section in ("entry", "local") and section not in merged:
                continue
            merged[section] = {**merged.get(section, {}), **values}
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(merged))
        return path

    async def _stand_in(self, kind: str, *options: str, port: int = 0) -> Child:
        if not port:
            held = self._reserved.enter_context(reserve_port())
            port = held.getsockname()[1]
        return await self.group.start(
            f"stand-in {kind}",
            "-m",
            "carobroute.standins",
            kind,
            "--port",
            str(port),
            "--seed",
            str(self.shape.seed),
            *options,
        )


async def _through(gate: asyncio.Semaphore, start) -> None:
    async with gate:
        await start


def _read_yaml(path: Path) -> Any:
    return parse_yaml(path.read_text()).unwrap()
