"""Requests that crash their targets: blame, trial, refusal, clearing."""

import enum
from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.engines import prompt_text
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Message, message
from carobroute.requests._blames import BlameEntry, BlameTable
from carobroute.utils import Clock, content_hash, rendezvous_order, rendezvous_winner

TRIAL_SHARE = 0.25
MIN_TRIAL_TARGETS = 1


class Verdict(enum.StrEnum):
    """How a request that is not refused may run."""

    FREE = "free"
    ALONE = "alone"


@message
class Blame(Message, tag="blame"):
    """Tells which requests were in flight at crashes, and which were cleared.

    Parameters
    ----------
    entries : list of BlameEntry
        What is new to the sender, or all that it knows.
    """

    entries: list[BlameEntry]


@message
class Trial(Message, tag="trial"):
    """Tells the entries which suspect a local process is about to run alone.

    Should the local process die with its target, only this shows which of the calls
    that it held was running.

    Parameters
    ----------
    incarnation : str
        The local process.
    fingerprint : str
        The suspect; empty once it has ended.
    """

    incarnation: str
    fingerprint: str


class QuarantineParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of the quarantine.

    Parameters
    ----------
    refuse_ms : float
        How long a request is refused after the last crash that it is held to have
        caused. Then it is a suspect again.
    forget_ms : float
        How long a crash is remembered.
    max_fingerprints, max_crashes, max_trials : int
        Suspects, crashes and trials remembered.
    """

    refuse_ms: float = 600_000.0
    forget_ms: float = 3_600_000.0
    max_fingerprints: int = 4_096
    max_crashes: int = 128
    max_trials: int = 1_024


class Quarantine:
    """Keeps a request that crashes each target that runs it from running again.

    All that was in flight at a crash is suspect. A suspect runs alone, at a target
    that every entry picks alike, so that resends through several entries meet at one
    target. Survival clears it. A second crash while alone, or being the only request
    in common to two crashes, has it refused everywhere for a while.

    What is known grows only: crashes and clearings are unions, so messages may be
    late, repeated and reordered.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parameters : QuarantineParameters, default=None
        Times and bounds.

    Notes
    -----
    At most two targets are lost to one request that is resent: the one where it was
    first in flight, and its trial. Copies that are in flight at further targets
    before the first crash can each take theirs.
    """

    __slots__ = ("_blames", "_clock", "_in_flight", "_parameters", "_trials")

    def __init__(self, *, clock: Clock, parameters: QuarantineParameters | None = None):
        self._clock = clock
        self._parameters = parameters or QuarantineParameters()
        self._blames = BlameTable(
            clock=clock,
            forget_ms=self._parameters.forget_ms,
            max_fingerprints=self._parameters.max_fingerprints,
            max_crashes=self._parameters.max_crashes,
        )
        self._in_flight: dict[str, dict[str, int]] = {}
        self._trials: dict[str, str] = {}

    @property
    def suspects(self) -> list[str]:
        """Fingerprints that run alone or are refused."""
        return self._blames.suspects()

    def dump(self) -> list[dict[str, object]]:
        """Return each suspect with the crashes that it is held to, in plain data."""
        return [
            {
                "fingerprint": fingerprint,
                "crashes": self._blames.strikes(fingerprint),
                "refused": isinstance(self.check(fingerprint), Failure),
            }
            for fingerprint in self.suspects
        ]

    def check(self, fingerprint: str) -> Result[Verdict, Fault]:
        """Return how a request may run, or a `QUARANTINED` fault."""
        age_ms = self._blames.convicted_age_ms(fingerprint)
        if age_ms is not None and age_ms < self._parameters.refuse_ms:
            return fail(
                ErrorKind.QUARANTINED,
                f"request {fingerprint} was in flight at"
                f" {self._blames.strikes(fingerprint)} crashes of targets",
                retry_after_ms=self._parameters.refuse_ms - age_ms,
            )
        suspect = self._blames.strikes(fingerprint) > 0
        return Success(Verdict.ALONE if suspect else Verdict.FREE)

    def begin(self, fingerprint: str, target: str) -> Result[Verdict, Fault]:
        """Note that a request is about to run at `target`, unless it is refused."""
        verdict = self.check(fingerprint)
        if isinstance(verdict, Success):
            running = self._in_flight.setdefault(target, {})
            running[fingerprint] = running.get(fingerprint, 0) + 1
        return verdict

    def end(self, fingerprint: str, target: str) -> None:
        """Note that a request has left `target`, with no bearing on its guilt."""
        running = self._in_flight.get(target, {})
        count = running.get(fingerprint, 0)
        if count > 1:
            running[fingerprint] = count - 1
        else:
            running.pop(fingerprint, None)
        if not running:
            self._in_flight.pop(target, None)

    def end_ok(self, fingerprint: str, target: str) -> Blame | None:
        """Note that `target` ran a request to its end.

        Returns
        -------
        news : Blame or None
            What the other processes must hear, if this cleared a suspect.
        """
        self.end(fingerprint, target)
        cleared = self._blames.clear(fingerprint)
        return Blame(entries=cleared) if cleared else None

    def target_crashed(
        self, target: str, crash: str, *, alone: str = ""
    ) -> Blame | None:
        """Blame all that is in flight at `target`, which has crashed.

        Parameters
        ----------
        target : str
            The target.
        crash : str
            Identifier of the crash, the same from all who saw it: the incarnation
            that ended.
        alone : str, default=""
            Fingerprint that was running with nothing beside it, if one was.

        Returns
        -------
        news : Blame or None
            What the other processes must hear.
        """
        running = self._in_flight.pop(target, {})
        if alone:
            running.setdefault(alone, 1)
        entries = [
            BlameEntry(fingerprint=fp, crash=crash, alone=fp == alone) for fp in running
        ]
        news = self._blames.merge(entries)
        return Blame(entries=news) if news else None

    def merge(self, blame: Blame) -> Blame | None:
        """Take what another process knows; return what was news here, to pass on."""
        news = self._blames.merge(blame.entries)
        return Blame(entries=news) if news else None

    def digest(self) -> Blame:
        """Return all that is known, for a process that has just started."""
        return Blame(entries=self._blames.entries())

    def blame_of(self, fingerprint: str) -> Blame:
        """Return what is known of one request."""
        return Blame(entries=self._blames.entries(fingerprint))

    def note_trial(self, trial: Trial) -> None:
        """Note which suspect runs alone beside a local process."""
        self._trials.pop(trial.incarnation, None)
        if trial.fingerprint:
            self._trials[trial.incarnation] = trial.fingerprint
        while len(self._trials) > self._parameters.max_trials:
            del self._trials[next(iter(self._trials))]

    def trial_at(self, incarnation: str) -> str:
        """Return the suspect that ran alone beside a local process, or nothing."""
        return self._trials.get(incarnation, "")

    def trial_target(self, fingerprint: str, targets: Iterable[str]) -> str | None:
        """Return the target where a suspect runs, the same from every entry.

        Trials are kept to a share of the targets, since one empties its target.
        """
        names = list(targets)
        few = max(MIN_TRIAL_TARGETS, int(len(names) * TRIAL_SHARE))
        return rendezvous_winner(fingerprint, rendezvous_order("trial", names)[:few])


def request_fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a request's content.

    Of a model call only the prompt counts, so that other headers or parameters do not
    make it another request.

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
