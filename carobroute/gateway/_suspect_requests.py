"""Requests that were in flight when targets crashed."""

from collections import OrderedDict

import xxhash

from carobroute.utils import Clock

MAX_ENTRIES = 4_096
# Longer than the interval at which callers retry, shorter than an operators' work day.
CRASH_RETENTION_MS = 600_000.0
# Covers three heartbeats, after which a crashed target leaves the list, and its
# restart.
INTERRUPTION_RETENTION_MS = 8_000.0


def request_fingerprint(host: str, path: str, team: str, body: bytes) -> str:
    """Return a hash of a request's content, equal for every repetition of it.

    Examples
    --------
    >>> one = request_fingerprint("a.example", "/p/", "k", b"{}")
    >>> one == request_fingerprint("a.example", "/p/", "k", b"{}"), len(one)
    (True, 16)
    """
    digest = xxhash.xxh3_64(body)
    digest.update(f"\0{host}\0{path}\0{team}".encode())
    return digest.hexdigest()


class SuspectRequests:
    """Counts, for each request, the target crashes during which it was in flight.

    A request whose answer broke off is remembered for `INTERRUPTION_RETENTION_MS`,
    because the crash that caused it is only detected later.

    Parameters
    ----------
    clock : Clock
        Source of time.
    crash_limit : int
        Number of crashes from which a request is refused.

    Notes
    -----
    Crashes of a request are a set of names of runs of targets (`crash_name`) that only
    grows until it is answered, so reports from other gateways may arrive late, twice
    and in any order. Those that an answer has cleared are not taken from later reports,
    which gateways would pass on to each other for ever.

    Examples
    --------
    >>> suspects = SuspectRequests(clock=Clock(), crash_limit=2)
    >>> suspects.note_interrupted("f1", "i-1")
    >>> suspects.note_crash("i-1")
    ['f1']
    >>> suspects.is_refused("f1")
    False
    >>> suspects.note_interrupted("f1", "i-2")
    >>> suspects.note_crash("i-2"), suspects.is_refused("f1")
    (['f1'], True)
    """

    __slots__ = (
        "_answered",
        "_cleared",
        "_clock",
        "_crash_limit",
        "_crashes",
        "_interrupted",
    )

    def __init__(self, *, clock: Clock, crash_limit: int):
        self._clock = clock
        self._crash_limit = crash_limit
        self._answered: OrderedDict[str, None] = OrderedDict()
        # Crashes that an answer has cleared, which reports may still name.
        self._cleared: OrderedDict[str, set[str]] = OrderedDict()
        self._crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._interrupted: OrderedDict[str, dict[str, float]] = OrderedDict()

    def note_interrupted(self, fingerprint: str, crash: str) -> None:
        """Note that the answer to a request broke off at a target."""
        self._interrupted.setdefault(crash, {})[fingerprint] = self._clock.now_ms()
        self._interrupted.move_to_end(crash)
        while len(self._interrupted) > MAX_ENTRIES:
            self._interrupted.popitem(last=False)

    def has_interrupted(self, crash: str) -> bool:
        """Whether answers to requests have lately broken off at a target."""
        return bool(self._recent_interruptions(crash))

    def note_crash(self, crash: str) -> list[str]:
        """Count a crash for the requests that it interrupted, and return these."""
        suspects = self._recent_interruptions(crash)
        self._interrupted.pop(crash, None)
        for fingerprint in suspects:
            self.add_crash(fingerprint, crash)
        return suspects

    def add_crash(self, fingerprint: str, crash: str, *, age_ms: float = 0.0) -> None:
        """Note that a request was in flight when a target crashed some time ago."""
        if crash in self._cleared.get(fingerprint, ()):
            return
        at_ms = self._clock.now_ms() - age_ms
        self._crashes.setdefault(fingerprint, {})[crash] = at_ms
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > MAX_ENTRIES:
            self._crashes.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request that was answered."""
        crashes = self._crashes.pop(fingerprint, None)
        if crashes:
            self._cleared.setdefault(fingerprint, set()).update(crashes)
            self._cleared.move_to_end(fingerprint)
            while len(self._cleared) > MAX_ENTRIES:
                self._cleared.popitem(last=False)
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        while len(self._answered) > MAX_ENTRIES:
            self._answered.popitem(last=False)

    def was_answered(self, fingerprint: str) -> bool:
        """Return whether a target has answered a request of late."""
        return fingerprint in self._answered

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request has reached the limit of recent crashes."""
        crashes = self._crashes.get(fingerprint)
        if not crashes:
            return False
        oldest_ms = self._clock.now_ms() - CRASH_RETENTION_MS
        return sum(at_ms > oldest_ms for at_ms in crashes.values()) >= self._crash_limit

    def refused_requests(self) -> list[str]:
        """Return the fingerprints of the requests that are refused."""
        return [name for name in self._crashes if self.is_refused(name)]

    def crashes_by_request(self) -> dict[str, list[str]]:
        """Return the incarnations that crashed with each suspect request in flight."""
        return {
            fingerprint: list(crashes) for fingerprint, crashes in self._crashes.items()
        }

    def _recent_interruptions(self, crash: str) -> list[str]:
        oldest_ms = self._clock.now_ms() - INTERRUPTION_RETENTION_MS
        interrupted = self._interrupted.get(crash, {})
        return [name for name, at_ms in interrupted.items() if at_ms > oldest_ms]
