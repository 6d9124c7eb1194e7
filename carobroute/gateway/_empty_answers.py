"""Plain answers without a length or chunks that end before their body."""

from carobroute.utils import Clock

# Time for which a service whose target broke an answer off before its body is not
# believed to answer without one, in milliseconds.
REFUTED_RETENTION_MS = 600_000.0
# Answers without a body, confirmed by second targets one after the other, after which
# further ones of the service may be taken for complete. They are more than the ends of
# streams that are needed (`MIN_PROVEN_ENDS`), since these answers have no content that
# could show a break.
MIN_CONFIRMED_ANSWERS = 8
# Believed answers of a service for each one that a second target is to confirm, so that
# the belief can be refuted. That is less than the retries that the budget grants for
# each call in the deployments, 0.2, of which failures need most.
ANSWERS_PER_CONFIRMATION = 8


class EmptyAnswers:
    """Tells which services may answer without a body, length or chunks.

    Such an answer may have been broken off after its head. A second target that answers
    the same call so, too, shows that it is whole, unless targets of the service are
    known to break answers off there. After several of these in a row, an answer is
    believed without a second one, until one is refuted.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> answers = EmptyAnswers(clock=clock)
    >>> answers.is_witness_believed("orders")
    True
    >>> for _ in range(MIN_CONFIRMED_ANSWERS):
    ...     answers.note_confirmed("orders")
    >>> answers.is_believed("orders")
    True
    >>> answers.note_refuted("orders")
    >>> answers.is_believed("orders"), answers.is_witness_believed("orders")
    (False, False)
    >>> clock.advance_ms(REFUTED_RETENTION_MS)
    >>> answers.is_believed("orders"), answers.is_witness_believed("orders")
    (False, True)
    """

    __slots__ = ("_clock", "_confirmed", "_refuted_ms", "_unchecked")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        # Empty answers that were confirmed since the last refutation, by service.
        self._confirmed: dict[str, int] = {}
        # Monotonic time at which an empty answer was last found broken off, by service.
        self._refuted_ms: dict[str, float] = {}
        # Answers that were believed since the last confirmation, by service.
        self._unchecked: dict[str, int] = {}

    def note_confirmed(self, service: str) -> None:
        """Note that a call that had no body at one target has none at another.

        Several in a row end an earlier refutation.
        """
        self._confirmed[service] = self._confirmed.get(service, 0) + 1
        self._unchecked[service] = 0
        if self._confirmed[service] >= MIN_CONFIRMED_ANSWERS:
            self._refuted_ms.pop(service, None)

    def note_refuted(self, service: str) -> None:
        """Note that a call that had no body at one target has one at another."""
        self._confirmed[service] = 0
        self._refuted_ms[service] = self._clock.now_ms()

    def note_believed(self, service: str) -> None:
        """Note an answer without a body that was believed without a second one."""
        self._unchecked[service] = self._unchecked.get(service, 0) + 1

    def is_witness_believed(self, service: str) -> bool:
        """Return whether a second answer without a body shows that the first is whole.

        Parameters
        ----------
        service : str
            Service of the call.
        """
        refuted_ms = self._refuted_ms.get(service)
        if refuted_ms is None:
            return True
        return self._clock.now_ms() - refuted_ms >= REFUTED_RETENTION_MS

    def has_confirmed(self, service: str) -> bool:
        """Return whether such answers were confirmed, and none was refuted since."""
        return self._confirmed.get(service, 0) > 0 and self.is_witness_believed(service)

    def is_believed(self, service: str) -> bool:
        """Return whether an answer without a body needs no second one."""
        return self._confirmed.get(
            service, 0
        ) >= MIN_CONFIRMED_ANSWERS and self.is_witness_believed(service)

    def is_check_due(self, service: str) -> bool:
        """Return whether a believed answer should be confirmed once more."""
        return self._unchecked.get(service, 0) + 1 >= ANSWERS_PER_CONFIRMATION
