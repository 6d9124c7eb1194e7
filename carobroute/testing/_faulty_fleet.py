"""A desk as real processes with a fault proxy on every path between them."""

from pathlib import Path
from typing import Any

import yaml

from carobroute.testing._fault_proxy import FaultProxy, ProxiedPort
from carobroute.testing._fleet import Fleet, FleetShape, FleetTarget
from carobroute.testing._processes import Child

PLATFORM = "platform"


class FaultyFleet(Fleet):
    """Fleet whose links, targets and platform are reached through a fault proxy.

    Parameters
    ----------
    desk, directory : Path
        Desk of `examples/`, and where settings files are written.
    shape : FleetShape
        How many processes.
    seed : int
        Seed of the proxy's random delays.
    """

    def __init__(
        self,
        *,
        desk: Path,
        directory: Path,
        shape: FleetShape | None = None,
        seed: int = 1,
    ):
        super().__init__(desk=desk, directory=directory, shape=shape)
        self.proxy = FaultProxy(seed=seed)
        self.platform_port: ProxiedPort
        self._links: dict[str, ProxiedPort] = {}
        self._targets: dict[str, ProxiedPort] = {}
        self._platforms: dict[str, ProxiedPort] = {}

    def link_port(self, name: str) -> ProxiedPort:
        """Port through which peers reach the process `name`."""
        return self._links[name]

    def target_port(self, name: str) -> ProxiedPort:
        """Port through which the local process reaches the target `name`."""
        return self._targets[name]

    def platform_port_of(self, name: str) -> ProxiedPort:
        """Port through which the process `name` reaches the platform."""
        return self._platforms[name]

    @property
    def platform_ports(self) -> list[ProxiedPort]:
        """Ports through which all processes reach the platform."""
        return list(self._platforms.values())

    @property
    def ports(self) -> list[ProxiedPort]:
        """All ports of the proxy."""
        groups = (self._links, self._targets, self._platforms)
        return [port for group in groups for port in group.values()]

    def heal(self) -> None:
        """Take back every fault that holds."""
        for port in self.ports:
            port.heal()

    async def close(self) -> None:
        """Stop everything that was started."""
        await super().close()
        await self.proxy.close()

    async def start_entry(self, number: int, *, stderr: int | None = None) -> Child:
        """Start or replace entry `number`."""
        name = f"entry-{number}"
        await self._open_ports(name)
        child = await super().start_entry(number, stderr=stderr)
        self._links[name].forward_to(child.ready["link"])
        return child

    async def start_stand_in(self, target: FleetTarget, port: int = 0) -> None:
        """Start or replace the stand-in of a target."""
        await super().start_stand_in(target, port)
        if target.name not in self._targets:
            self._targets[target.name] = await self.proxy.port()
        self._targets[target.name].forward_to(target.stand_in.address)

    async def start_local(
        self, target: FleetTarget, *, url: str = "", stderr: int | None = None
    ) -> None:
        """Start or replace the local process beside a target."""
        name = f"local-{target.name}"
        await self._open_ports(name)
        own = f"http://{self._targets[target.name].address}"
        await super().start_local(target, url=url or own, stderr=stderr)
        self._links[name].forward_to(target.local.ready["link"])

    def cut_off(self, data_centre: str) -> None:
        """Have no link pass between `data_centre` and the others, until `heal`.

        The platform stays within reach of all.
        """
        others = set(self.data_centres) - {data_centre}
        for name, port in self._links.items():
            inside = self.centre_of(name) == data_centre
            port.silent_labels |= others if inside else {data_centre}

    def centre_of(self, name: str) -> str:
        """Return the data centre of a process."""
        if name.startswith("entry-"):
            number = int(name.removeprefix("entry-"))
            return self.data_centres[number % len(self.data_centres)]
        return self.target(name.removeprefix("local-")).fields["data_centre"]

    def _centre_in(self, data: bytes) -> str:
        """Return the data centre that a process names in its first message."""
        found = [name for name in self.data_centres if name.encode() in data]
        return found[0] if len(found) == 1 else ""

    async def _open_ports(self, name: str) -> None:
        if name not in self._links:
            self._links[name] = await self.proxy.port(classify=self._centre_in)
            self._platforms[name] = await self.proxy.port(self.platform.address)

    def _write_settings(self, name: str, sections: dict[str, Any]) -> Path:
        path = super()._write_settings(name, sections)
        merged = yaml.safe_load(path.read_text())
        links = merged.setdefault("links", {})
        links["announce"] = f"tcp://{self._links[name].address}"
        for key in list(merged["platform"]):
            if key.endswith("_url"):
                merged["platform"][key] = f"http://{self._platforms[name].address}"
        path.write_text(yaml.safe_dump(merged))
        return path
