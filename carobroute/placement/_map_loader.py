"""Loading of further expert maps while another map is in force."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Result, Success

from carobroute.errors import Fault
from carobroute.placement._map import ExpertMap, MapVersion
from carobroute.utils import TaskSet

Load = Callable[[ExpertMap], Awaitable[Result[None, Fault]]]


class MapLoader:
    """Loads one map at a time; a higher version cancels the load of a lower one.

    `version in loader` tells whether the ranks have loaded a map.

    Parameters
    ----------
    load : callable
        Coroutine function that makes the ranks load a map's experts.
    tasks : TaskSet
        Set in which the load runs as a task.
    """

    def __init__(self, *, load: Load, tasks: TaskSet):
        self._load = load
        self._tasks = tasks
        self._maps: dict[MapVersion, ExpertMap] = {}
        self._loaded: set[MapVersion] = set()
        self._task: asyncio.Task | None = None
        self._loading: MapVersion | None = None
        self._min_version: MapVersion | None = None
        self._refusal = ""

    def __contains__(self, version: MapVersion) -> bool:
        return version in self._loaded

    def known_map(self, version: MapVersion) -> ExpertMap | None:
        """Return the map with `version`, or None if its content is not known here."""
        return self._maps.get(version)

    def refusal_reason(self, version: MapVersion) -> str:
        """Return why `version` cannot be loaded, or an empty string."""
        if self._min_version is not None and version < self._min_version:
            return (
                f"version {version} is overridden by ticket {self._min_version.ticket}"
            )
        if self._loading is not None and version < self._loading:
            return f"higher version {self._loading} is being loaded"
        return ""

    def start(self, expert_map: ExpertMap) -> str:
        """Start to load `expert_map`, unless its load was started already.

        Returns
        -------
        refusal : str
            Why the load that was started already failed, or an empty string.
        """
        version = expert_map.version
        if self._loading == version:
            refusal = self._refusal
            if refusal:
                self._loading = None
            return refusal
        self._cancel()
        self._loading, self._refusal = version, ""
        self._maps[version] = expert_map
        self._task = self._tasks.spawn(self._run(expert_map), name="load map")
        return ""

    def cancel_below(self, version: MapVersion) -> None:
        """Cancel a load below `version`, and refuse such loads from now on."""
        if self._min_version is None or self._min_version < version:
            self._min_version = version
        if self._loading is not None and self._loading < version:
            self._cancel()

    def mark_loaded(self, expert_map: ExpertMap) -> None:
        """Record a map that the ranks have loaded."""
        self._maps[expert_map.version] = expert_map
        self._loaded.add(expert_map.version)

    def clear_loaded(self) -> None:
        """Record that the ranks restart without any loaded map."""
        self._cancel()
        self._loaded.clear()

    def prune(self, in_force: MapVersion) -> list[MapVersion]:
        """Forget all maps but the one in force and a higher one whose load was started.

        Returns
        -------
        kept : list of MapVersion
            Versions whose experts the ranks must keep; empty if there is nothing to
            unload.
        """
        kept = {in_force}
        if self._loading is not None and self._loading > in_force:
            kept.add(self._loading)
        else:
            self._loading = None
        self._maps = {v: m for v, m in self._maps.items() if v in kept}
        if self._loaded <= kept:
            return []
        self._loaded &= kept
        return sorted(kept)

    async def _run(self, expert_map: ExpertMap) -> None:
        result = await self._load(expert_map)
        if isinstance(result, Success):
            self._loaded.add(expert_map.version)
        elif self._loading == expert_map.version:
            self._refusal = str(result.failure())

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._task, self._loading = None, None
