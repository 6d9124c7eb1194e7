"""Answers kept so that a resend with the same idempotency key gets them."""

from collections import OrderedDict

import msgspec
from returns.result import Result, Success

from carobroute.domain import CallClass
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Submit
from carobroute.local._answers import Answer
from carobroute.utils import Clock


class HeldKey(msgspec.Struct, frozen=True):
    """Identity that a caller gave its request."""

    team: str
    idempotency_key: str


class HeldAnswer:
    """One answer that is kept.

    Parameters
    ----------
    answer : Answer
        The answer.
    fingerprint : str
        Content hash of the request that it answers.
    """

    __slots__ = ("answer", "closed_ms", "fingerprint")

    def __init__(self, *, answer: Answer, fingerprint: str):
        self.answer = answer
        self.fingerprint = fingerprint
        self.closed_ms = 0.0


class HeldAnswers:
    """Answers to idempotent calls that carried a key, for a while after their end.

    Parameters
    ----------
    clock : Clock
        Source of time.
    retain_ms : float
        How long an answer is kept after its end.
    retain_most : int
        Answers kept at the most; the oldest go first.
    """

    __slots__ = ("_clock", "_held", "_retain_ms", "_retain_most")

    def __init__(self, *, clock: Clock, retain_ms: float, retain_most: int):
        self._clock = clock
        self._retain_ms = retain_ms
        self._retain_most = retain_most
        self._held: OrderedDict[HeldKey, HeldAnswer] = OrderedDict()

    def __len__(self) -> int:
        return len(self._held)

    def find(self, submit: Submit) -> Result[Answer | None, Fault]:
        """Return the answer to the same request, None, or a `KEY_REUSED` fault."""
        if not submit.idempotency_key or submit.call_class is not CallClass.IDEMPOTENT:
            return Success(None)
        if submit.resume_from:
            return Success(None)
        found = self._held.get(HeldKey(submit.team, submit.idempotency_key))
        if found is None:
            return Success(None)
        if found.fingerprint != submit.fingerprint:
            return fail(
                ErrorKind.KEY_REUSED,
                "the idempotency key was used for another request",
            )
        if found.answer.fault is not None or not found.answer.whole:
            return Success(None)
        return Success(found.answer)

    def add(self, submit: Submit, answer: Answer) -> None:
        """Keep `answer` under the key of `submit`."""
        key = HeldKey(submit.team, submit.idempotency_key)
        answer.kept = True
        self._held[key] = HeldAnswer(answer=answer, fingerprint=submit.fingerprint)
        self._held.move_to_end(key)

    def expire(self) -> list[Answer]:
        """Stop keeping what is too old or too much, and return it."""
        now_ms = self._clock.now_ms()
        dropped = []
        for key, entry in list(self._held.items()):
            if entry.answer.closed and not entry.closed_ms:
                entry.closed_ms = now_ms
            old = entry.closed_ms and now_ms - entry.closed_ms > self._retain_ms
            if old or len(self._held) > self._retain_most:
                del self._held[key]
                entry.answer.kept = False
                dropped.append(entry.answer)
        return dropped
