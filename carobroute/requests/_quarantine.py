"""Quarantine of requests that crash targets."""

import enum
from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.engines import prompt_text
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Message, message
from carobroute.requests._blame_table import BlameRecord, BlameTable
from carobroute.utils import Clock, content_hash, rendezvous_order, rendezvous_winner

TRIAL_TARGET_SHARE = 0.25
MIN_TRIAL_TARGETS = 1


class Isolation(enum.StrEnum):
    """Whether a request may share its target with other requests."""

    SHARED = "free"
    ALONE = "alone"


@message
class BlameMessage(Message, tag="blame"):
    """Message about requests in flight at crashes, and requests that are cleared.

    Parameters
    ----------
    entries : list of BlameRecord
        Blame entries that are new to the sender, or all that it has.
    """

    entries: list[BlameRecord]


@message
class TrialMessage(Message, tag="trial"):
    """Message to the entry processes about the suspect that a local process runs alone.

    If the local process crashes together with its target, only this message shows
    which of its calls was running.

    Parameters
    ----------
    incarnation : str
        Incarnation of the local process.
    fingerprint : str
        Fingerprint of the suspect; empty when it has ended.
    """

    incarnation: str
    fingerprint: str


class QuarantineParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the quarantine.

    Parameters
    ----------
    quarantine_ms : float
        Time for which a request is refused after the last crash that it is confirmed
        to cause. After that it is a suspect again.
    crash_retention_ms : float
        Time for which a crash is kept.
    max_fingerprints, max_crashes, max_trials : int
        Maximum number of suspects, crashes and trials kept.
    """

    quarantine_ms: float = 600_000.0
    crash_retention_ms: float = 3_600_000.0
    max_fingerprints: int = 4_096
    max_crashes: int = 128
    max_trials: int = 1_024


class Quarantine:
    """Stops requests that crash every target that runs them.

    All requests in flight at a crash are suspects. A suspect runs alone in a trial, at
    a target that is the same for every entry, so that resends through several entries
    reach one target. It is cleared if it completes. It is confirmed as the cause and
    refused everywhere for a time after a second crash while it ran alone, or if it is
    the only request that two crashes have in common.

    The state is a union of crashes and clearings and only grows, so messages may be
    late, repeated and reordered.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parameters : QuarantineParameters, default=None
        Parameters of the quarantine.

    Notes
    -----
    A request that is resent crashes at most two targets: the one where it was first
    in flight, and the one of its trial. Copies already in flight at other targets
    before the first crash can crash these as well.
    """

    __slots__ = (
        "_blame_table",
        "_clock",
        "_in_flight",
        "_parameters",
        "_trial_fingerprints",
    )

    def __init__(self, *, clock: Clock, parameters: QuarantineParameters | None = None):
        self._clock = clock
        self._parameters = parameters or QuarantineParameters()
        self._blame_table = BlameTable(
            clock=clock,
            crash_retention_ms=self._parameters.crash_retention_ms,
            max_fingerprints=self._parameters.max_fingerprints,
            max_crashes=self._parameters.max_crashes,
        )
        self._in_flight: dict[str, dict[str, int]] = {}
        self._trial_fingerprints: dict[str, str] = {}

    @property
    def suspects(self) -> list[str]:
        """Fingerprints of the requests that run alone or are refused."""
        return self._blame_table.suspects()

    def dump(self) -> list[dict[str, object]]:
        """Return each suspect with its number of crashes, as plain data."""
        return [
            {
                "fingerprint": fingerprint,
                "crashes": self._blame_table.crash_count(fingerprint),
                "refused": isinstance(self.check(fingerprint), Failure),
            }
            for fingerprint in self.suspects
        ]

    def check(self, fingerprint: str) -> Result[Isolation, Fault]:
        """Return how a request may run, or a `QUARANTINED` fault if it is refused."""
        age_ms = self._blame_table.confirmed_crash_age_ms(fingerprint)
        if age_ms is not None and age_ms < self._parameters.quarantine_ms:
            return fail(
                ErrorKind.QUARANTINED,
                f"request {fingerprint} was in flight at"
                f" {self._blame_table.crash_count(fingerprint)} crashes of targets",
                retry_after_ms=self._parameters.quarantine_ms - age_ms,
            )
        is_suspect = self._blame_table.crash_count(fingerprint) > 0
        return Success(Isolation.ALONE if is_suspect else Isolation.SHARED)

    def begin(self, fingerprint: str, target: str) -> Result[Isolation, Fault]:
        """Record that a request starts at `target`, unless it is refused."""
        verdict = self.check(fingerprint)
        if isinstance(verdict, Success):
            running = self._in_flight.setdefault(target, {})
            running[fingerprint] = running.get(fingerprint, 0) + 1
        return verdict

    def end(self, fingerprint: str, target: str) -> None:
        """Record that a request has left `target`, without clearing it."""
        running = self._in_flight.get(target, {})
        count = running.get(fingerprint, 0)
        if count > 1:
            running[fingerprint] = count - 1
        else:
            running.pop(fingerprint, None)
        if not running:
            self._in_flight.pop(target, None)

    def end_completed(self, fingerprint: str, target: str) -> BlameMessage | None:
        """Record that a request completed at `target`, which clears a suspect.

        Returns
        -------
        news : BlameMessage or None
            Message for the other processes, if a suspect was cleared.
        """
        self.end(fingerprint, target)
        cleared = self._blame_table.clear(fingerprint)
        return BlameMessage(entries=cleared) if cleared else None

    def note_crash(
        self, target: str, crash: str, *, alone: str = ""
    ) -> BlameMessage | None:
        """Make all requests in flight at the crashed `target` suspects.

        Parameters
        ----------
        target : str
            Name of the target.
        crash : str
            Identifier of the crash, the same for all processes that observe it: the
            incarnation that ended.
        alone : str, default=""
            Fingerprint of the request that was running alone, if any.

        Returns
        -------
        news : BlameMessage or None
            Message for the other processes, if there are new blame entries.
        """
        running = self._in_flight.pop(target, {})
        if alone:
            running.setdefault(alone, 1)
        entries = [
            BlameRecord(fingerprint=name, crash=crash, alone=name == alone)
            for name in running
        ]
        news = self._blame_table.merge(entries)
        return BlameMessage(entries=news) if news else None

    def merge(self, blame: BlameMessage) -> BlameMessage | None:
        """Merge blame entries of another process; return the new ones, to forward."""
        news = self._blame_table.merge(blame.entries)
        return BlameMessage(entries=news) if news else None

    def snapshot(self) -> BlameMessage:
        """Return all blame entries, for a process that has just started."""
        return BlameMessage(entries=self._blame_table.entries())

    def blame_of(self, fingerprint: str) -> BlameMessage:
        """Return the blame entries of one request."""
        return BlameMessage(entries=self._blame_table.entries(fingerprint))

    def note_trial(self, trial: TrialMessage) -> None:
        """Record the suspect that runs alone at a local process."""
        self._trial_fingerprints.pop(trial.incarnation, None)
        if trial.fingerprint:
            self._trial_fingerprints[trial.incarnation] = trial.fingerprint
        while len(self._trial_fingerprints) > self._parameters.max_trials:
            del self._trial_fingerprints[next(iter(self._trial_fingerprints))]

    def trial_fingerprint(self, incarnation: str) -> str:
        """Return the suspect that ran alone at a local process, or an empty string."""
        return self._trial_fingerprints.get(incarnation, "")

    def trial_target(self, fingerprint: str, targets: Iterable[str]) -> str | None:
        """Return the target for a suspect's trial, the same for every entry.

        Trials are limited to a share of the targets, because a target runs nothing
        else during a trial.
        """
        names = list(targets)
        trial_count = max(MIN_TRIAL_TARGETS, int(len(names) * TRIAL_TARGET_SHARE))
        return rendezvous_winner(
            fingerprint, rendezvous_order("trial", names)[:trial_count]
        )


def request_fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the content hash that identifies a request in the quarantine.

    For a model call only the service and the prompt are hashed, so that a resend with
    other parameters has the same fingerprint.

    Examples
    --------
    >>> one = b'{"prompt": "ring", "max_tokens": 5}'
    >>> two = b'{"prompt": "ring", "max_tokens": 6}'
    >>> path = "/v1/completions"
    >>> request_fingerprint("klang-model", "POST", path, one) == request_fingerprint(
    ...     "klang-model", "POST", path, two)
    True
    """
    prompt = prompt_text(body)
    if prompt:
        return content_hash(f"{service}\0{prompt}".encode())
    return content_hash(f"{service}\0{method}\0{path}\0".encode() + body)
