"""Maps that a member has loaded or is loading beside the one in force."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Result, Success

from carobroute.errors import Fault
from carobroute.placement._map import ExpertMap, MapVersion
from carobroute.utils import TaskSet

Load = Callable[[ExpertMap], Awaitable[Result[None, Fault]]]


class MapLoads:
    """Loads one map at a time; a higher version stops the load of a lower one.

    Parameters
    ----------
    load : callable
        Coroutine function that has the ranks load a map's experts.
    tasks : TaskSet
        Runs the load.
    """

    def __init__(self, *, load: Load, tasks: TaskSet):
        self._load = load
        self._tasks = tasks
        self._known: dict[MapVersion, ExpertMap] = {}
        self._loaded: set[MapVersion] = set()
        self._task: asyncio.Task | None = None
        self._loading: MapVersion | None = None
        self._lowest: MapVersion | None = None
        self._refusal = ""

    def __contains__(self, version: MapVersion) -> bool:
        return version in self._loaded

    def known(self, version: MapVersion) -> ExpertMap | None:
        """Return a map whose content is known here."""
        return self._known.get(version)

    def obstacle(self, version: MapVersion) -> str:
        """Return why a load of `version` cannot begin, or an empty string."""
        if self._lowest is not None and version < self._lowest:
            return f"version {version} is overridden by ticket {self._lowest.ticket}"
        if self._loading is not None and version < self._loading:
            return f"version {self._loading} is being loaded"
        return ""

    def begin(self, expert_map: ExpertMap) -> str:
        """Begin to load `expert_map`, or go on; return why the load failed."""
        version = expert_map.version
        if self._loading == version:
            refusal = self._refusal
            if refusal:
                self._loading = None
            return refusal
        self._stop()
        self._loading, self._refusal = version, ""
        self._known[version] = expert_map
        self._task = self._tasks.spawn(self._run(expert_map), name="load map")
        return ""

    def stop_below(self, version: MapVersion) -> None:
        """Stop a load of a lower version, and begin none any more."""
        if self._lowest is None or self._lowest < version:
            self._lowest = version
        if self._loading is not None and self._loading < version:
            self._stop()

    def add(self, expert_map: ExpertMap) -> None:
        """Note a map that the ranks have loaded."""
        self._known[expert_map.version] = expert_map
        self._loaded.add(expert_map.version)

    def forget_loaded(self) -> None:
        """Note that the ranks start anew with nothing loaded."""
        self._stop()
        self._loaded.clear()

    def prune(self, in_force: MapVersion) -> list[MapVersion]:
        """Forget maps that are not needed; return what is kept if any was loaded."""
        kept = {in_force}
        if self._loading is not None and self._loading > in_force:
            kept.add(self._loading)
        else:
            self._loading = None
        if self._loaded <= kept:
            return []
        self._loaded &= kept
        self._known = {v: m for v, m in self._known.items() if v in kept}
        return sorted(kept)

    async def _run(self, expert_map: ExpertMap) -> None:
        result = await self._load(expert_map)
        if isinstance(result, Success):
            self._loaded.add(expert_map.version)
        elif self._loading == expert_map.version:
            self._refusal = str(result.failure())

    def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._task, self._loading = None, None
