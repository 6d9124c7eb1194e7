"""Requests that were in flight when targets crashed."""

from collections import OrderedDict

import xxhash

from carobroute.utils import Clock

MAX_REQUESTS = 4_096
# Longer than callers take to come again, shorter than a day of operators' work.
FORGET_MS = 600_000.0
# Three heartbeats, after which a crashed target leaves the list, and its restart.
BROKEN_MS = 8_000.0


def fingerprint(host: str, path: str, key: str, body: bytes) -> str:
    """Return the identity of a request's content, whoever sends it again.

    Examples
    --------
    >>> one = fingerprint("a.example", "/p/", "k", b"{}")
    >>> one == fingerprint("a.example", "/p/", "k", b"{}"), len(one)
    (True, 16)
    """
    digest = xxhash.xxh3_64(body)
    digest.update(f"\0{host}\0{path}\0{key}".encode())
    return digest.hexdigest()


class Suspects:
    """Counts, for each request, the crashes at which it was in flight.

    A request is at a run of a target from when it is sent until it ends there. One
    that broke off stays on record for a while, since the crash behind it shows later.

    Parameters
    ----------
    clock : Clock
        Source of time.
    crash_limit : int
        Crashes from which a request is not sent to targets any more.

    Notes
    -----
    What is known grows only: each request has a set of crashes, named by the runs
    that ended, so what other gateways tell may come late, twice and in any order.

    Examples
    --------
    >>> suspects = Suspects(clock=Clock(), crash_limit=2)
    >>> suspects.broke_off("f1", "run-1")
    >>> suspects.crashed("run-1")
    ['f1']
    >>> suspects.refuses("f1")
    False
    >>> suspects.broke_off("f1", "run-2")
    >>> suspects.crashed("run-2"), suspects.refuses("f1")
    (['f1'], True)
    """

    __slots__ = ("_broken", "_clock", "_crash_limit", "_crashes")

    def __init__(self, *, clock: Clock, crash_limit: int):
        self._clock = clock
        self._crash_limit = crash_limit
        self._crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._broken: OrderedDict[str, dict[str, float]] = OrderedDict()

    def broke_off(self, request: str, run: str) -> None:
        """Note that a request's answer broke off at a run of a target."""
        self._broken.setdefault(run, {})[request] = self._clock.now_ms()
        self._broken.move_to_end(run)
        while len(self._broken) > MAX_REQUESTS:
            self._broken.popitem(last=False)

    def crashed(self, run: str) -> list[str]:
        """Blame what broke off lately at a run that has crashed, and return it."""
        oldest_ms = self._clock.now_ms() - BROKEN_MS
        broken = self._broken.pop(run, {})
        blamed = [request for request, at_ms in broken.items() if at_ms > oldest_ms]
        for request in blamed:
            self.blame(request, run)
        return blamed

    def blame(self, request: str, run: str) -> None:
        """Note that a request was in flight when a run crashed."""
        self._crashes.setdefault(request, {})[run] = self._clock.now_ms()
        self._crashes.move_to_end(request)
        while len(self._crashes) > MAX_REQUESTS:
            self._crashes.popitem(last=False)

    def cleared(self, request: str) -> None:
        """Note that a request ran to its end."""
        self._crashes.pop(request, None)

    def refuses(self, request: str) -> bool:
        """Return whether a request is held to crash its targets."""
        crashes = self._crashes.get(request)
        if not crashes:
            return False
        oldest_ms = self._clock.now_ms() - FORGET_MS
        return sum(at > oldest_ms for at in crashes.values()) >= self._crash_limit

    def blames(self) -> dict[str, list[str]]:
        """Return each suspect with the runs that crashed under it."""
        return {request: list(runs) for request, runs in self._crashes.items()}
