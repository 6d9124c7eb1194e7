"""Verdicts on streams that have ended without an error, by their framing."""

import enum
from collections.abc import Iterable

from carobroute.engines import Framing
from carobroute.gateway._crash_detector import CrashDetector
from carobroute.gateway._final_events import FinalEventLines
from carobroute.gateway._retry_budget import RetryBudget
from carobroute.gateway._stream_lengths import StreamLengths
from carobroute.gateway._targets import Target

# Ends of streams without a length or chunks, confirmed one after the other, after which
# this counts as the usual framing of a service.
UNFRAMED_STREAK = 6
# Weight of the last stream in the share of a service's streams without a framing.
SHARE_WEIGHT = 1 / 16
# Largest part of the retry budget that confirmations leave for failures.
MAX_FAILURE_RATIO = 0.5


class EndVerdict(enum.StrEnum):
    """Whether a stream that has ended without an error is complete.

    Attributes
    ----------
    COMPLETE
        It is taken for complete.
    UNPROVEN
        It may lack events; a target has to be asked for the rest.
    BROKEN
        It lacks events, since its target has crashed.
    """

    COMPLETE = "complete"
    UNPROVEN = "unproven"
    BROKEN = "broken"


class StreamEndJudge:
    """Judges whether streams are complete that have ended without an error.

    The connections of a process that crashes are closed in order, so the end of a
    connection does not prove that a stream without a length or chunks is complete. A
    resumption after its last event does, if its answer has a framing of its own.

    Parameters
    ----------
    detector : CrashDetector
        Tells whether a target has crashed.

    Examples
    --------
    >>> judge = StreamEndJudge(detector=None)
    >>> for _ in range(UNFRAMED_STREAK):
    ...     judge.note_confirmation("model", found_events=False)
    >>> judge.is_usually_unframed("model")
    True
    >>> judge.note_framing("model", Framing.CHUNKS)
    >>> judge.is_usually_unframed("model")
    False
    """

    __slots__ = (
        "_confirmed",
        "_detector",
        "_final_events",
        "_lengths",
        "_unframed_shares",
    )

    def __init__(self, *, detector: CrashDetector):
        self._detector = detector
        # Ends without framing that were confirmed since the last stream with one, or
        # the last end that was not, by service.
        self._confirmed: dict[str, int] = {}
        self._final_events: dict[str, FinalEventLines] = {}
        # Numbers of events of whole streams, by service and route.
        self._lengths: dict[tuple[str, str], StreamLengths] = {}
        # Share of the streams without a framing, of late, by service.
        self._unframed_shares: dict[str, float] = {}

    def final_event(self, service: str) -> FinalEventLines:
        """Return what tells the last event of a service's streams from the others."""
        lines = self._final_events.get(service)
        if lines is None:
            lines = self._final_events[service] = FinalEventLines()
        return lines

    def note_framing(self, service: str, framing: Framing) -> None:
        """Note the framing of a service's stream."""
        is_unframed = framing is Framing.CONNECTION
        if not is_unframed:
            self._confirmed[service] = 0
        share = self._unframed_shares.get(service, 0.0)
        self._unframed_shares[service] = share + SHARE_WEIGHT * (is_unframed - share)

    def lengths(self, service: str, route: str) -> StreamLengths:
        """Return the numbers of events of a route's whole streams."""
        lengths = self._lengths.get((service, route))
        if lengths is None:
            lengths = self._lengths[service, route] = StreamLengths()
        return lengths

    def reserve(
        self,
        service: str,
        budget: RetryBudget,
        targets: Iterable[Target],
        *,
        shorter_share: float,
    ) -> float:
        """Return the retries that the confirmation of an end leaves for others.

        Failures find what the crash of the busiest target would take at once, and as
        many as they have taken in the last window. The longer a stream is among those
        of its route, the more is left for shorter ones, where many have no framing.

        Parameters
        ----------
        service : str
            Service that is called.
        budget : RetryBudget
            Retries of this gateway.
        targets : iterable of Target
            Targets of the service.
        shorter_share : float
            Share of the streams of late that were shorter.
        """
        limit = budget.limit(service)
        unframed_share = self._unframed_shares.get(service, 0.0)
        burst = max((target.in_flight for target in targets), default=0)
        failures = min(
            float(max(burst, budget.failure_count(service))),
            MAX_FAILURE_RATIO * limit,
        )
        return failures + unframed_share * shorter_share * (limit - failures)

    def note_confirmation(self, service: str, *, found_events: bool) -> None:
        """Note a resumption without framing, after a stream without framing.

        Parameters
        ----------
        service : str
            Service of the streams.
        found_events : bool
            Whether it brought events, so that the first stream had broken off.
        """
        if not found_events:
            self._confirmed[service] = self._confirmed.get(service, 0) + 1
        elif not self.is_usually_unframed(service):
            self._confirmed[service] = 0

    def is_usually_unframed(self, service: str) -> bool:
        """Return whether the service's streams have neither a length nor chunks.

        Resumptions of such streams prove nothing either.
        """
        return self._confirmed.get(service, 0) >= UNFRAMED_STREAK

    def has_record(self, target: Target) -> bool:
        """Return whether ends of the target's or service's streams were confirmed.

        Then an orderly answer without events confirms an end, also without a framing.
        """
        return target.stream_ends.is_proven or self.is_usually_unframed(
            target.entry.service
        )

    def find_unframed(self, targets: Iterable[Target]) -> set[str]:
        """Return the targets whose answers prove nothing, if others may prove an end.

        Parameters
        ----------
        targets : iterable of Target
            Targets of one service that are not excluded.

        Returns
        -------
        incarnations : set of str
            Empty if no usable target sends streams with a length or chunks.
        """
        unframed, framed = set(), set()
        for target in targets:
            framing = target.stream_ends.framing
            if framing is Framing.CONNECTION:
                unframed.add(target.incarnation)
            elif framing is not None and target.is_usable:
                framed.add(target.incarnation)
        return unframed if framed else set()

    async def judge(
        self,
        target: Target,
        framing: Framing,
        *,
        is_resumable: bool,
    ) -> EndVerdict:
        """Return the verdict on a stream of `target` that has ended without an error.

        Parameters
        ----------
        target : Target
            Target that sent the stream.
        framing : Framing
            What showed the end.
        is_resumable : bool
            Whether a target may be asked for the rest.
        """
        if framing is not Framing.CONNECTION:
            return EndVerdict.COMPLETE
        if is_resumable:
            return EndVerdict.UNPROVEN
        has_crashed = await self._detector.has_crashed_at_end(target)
        return EndVerdict.BROKEN if has_crashed else EndVerdict.COMPLETE
