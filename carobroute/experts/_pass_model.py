"""Time of a pass of a rank group, by its streams and its engine's published figures."""

import math

import msgspec

from carobroute.domain import EngineProfile

PAIRS_PER_M = 1_000_000.0
TOKENS_PER_K = 1_000.0
MS_PER_S = 1_000.0
# Steps of the search for the number of streams with which a pass lasts a given time.
SEARCH_STEPS = 12
# Terms of the expected largest number of prompts that one rank reads.
MAX_PROMPTS = 8


class PassModel(msgspec.Struct, frozen=True, kw_only=True):
    """Time of a pass of all ranks of a group.

    All ranks execute a pass together. It lasts as long as the slowest rank's own part
    and, layer set by layer set, the part of the rank whose experts have most tokens.
    The imbalance is the tokens of that rank against the mean.

    Parameters
    ----------
    ranks, slots : int
        Number of ranks, and of streams that each can run.
    fixed_ms : float
        Part of a pass that does not depend on the streams.
    stream_ms : float
        Part for each stream that a rank writes.
    prompt_ms : float
        Part for a usual prompt that a rank reads.
    events : float
        Passes for which a usual stream runs.
    work_share : float
        Share of the work for a token that is done by experts.

    Examples
    --------
    >>> model = PassModel(ranks=24, slots=5, fixed_ms=22.75, stream_ms=11.0,
    ...                   prompt_ms=14.3, events=19.0, work_share=0.85)
    >>> round(model.pass_ms(3.0, 2.0))
    92
    >>> round(model.find_imbalance(model.pass_ms(3.0, 2.5), 3.0), 2)
    2.5
    >>> round(model.max_streams(135.0, 3.0), 1)
    3.4
    """

    ranks: int
    slots: int
    fixed_ms: float
    stream_ms: float
    prompt_ms: float
    events: float
    work_share: float

    @classmethod
    def from_engine(
        cls, engine: EngineProfile, *, ranks: int, slots: int
    ) -> "PassModel":
        """Return the model of a group with the published figures of its engines."""
        prompt, answer = engine.usual_prompt_tokens, engine.usual_output_tokens
        context_k = (prompt + answer / 2) / TOKENS_PER_K
        step_ms = engine.sequence_ms + engine.context_ms_per_1k * context_k
        prompt_ms = engine.attention_ms_per_1m * prompt * prompt / 2 / PAIRS_PER_M
        if engine.prefill_tokens_per_s:
            prompt_ms += prompt / engine.prefill_tokens_per_s * MS_PER_S
        return cls(
            ranks=ranks,
            slots=slots,
            fixed_ms=engine.steps_per_pass * engine.step_ms,
            stream_ms=engine.steps_per_pass * step_ms,
            prompt_ms=prompt_ms,
            events=max(1.0, answer / engine.steps_per_pass),
            work_share=engine.experts.work_share if engine.experts else 0.0,
        )

    def pass_ms(self, streams: float, imbalance: float) -> float:
        """Return the time of a pass.

        Parameters
        ----------
        streams : float
            Mean number of streams of a rank.
        imbalance : float
            Tokens of the most loaded rank's experts against the mean.
        """
        return self._own_ms(streams) + imbalance * self._shared_ms(streams)

    def find_imbalance(self, pass_ms: float, streams: float) -> float:
        """Return the imbalance with which a pass lasts a given time; at least 1."""
        shared_ms = self._shared_ms(streams)
        if shared_ms <= 0.0:
            return 1.0
        return max(1.0, (pass_ms - self._own_ms(streams)) / shared_ms)

    def max_streams(self, pass_ms: float, imbalance: float) -> float:
        """Return the mean number of streams of a rank with which passes are in time.

        It is between 1 and the slots of a rank.
        """
        least, most = 1.0, float(self.slots)
        if self.pass_ms(most, imbalance) <= pass_ms:
            return most
        for _ in range(SEARCH_STEPS):
            middle = (least + most) / 2
            if self.pass_ms(middle, imbalance) <= pass_ms:
                least = middle
            else:
                most = middle
        return least

    def first_event_ms(self, pass_ms: float) -> float:
        """Return the time until the first event of a stream that finds a free slot.

        It waits for half a pass on average, then its prompt is read, and the event is
        there at the end of the pass after that.
        """
        return 2.5 * pass_ms

    def _own_ms(self, streams: float) -> float:
        """Return the part of the slowest rank that does not depend on experts."""
        most_streams = min(float(self.slots), streams + 1.0)
        most_prompts = self._most_prompts(streams / self.events)
        own_ms = most_streams * self.stream_ms + most_prompts * self.prompt_ms
        return self.fixed_ms + (1.0 - self.work_share) * own_ms

    def _shared_ms(self, streams: float) -> float:
        """Return the part of the experts if all ranks have as many tokens."""
        read_ms = streams / self.events * self.prompt_ms
        return self.work_share * (streams * self.stream_ms + read_ms)

    def _most_prompts(self, mean: float) -> float:
        """Return the expected largest number of prompts that begin at one rank.

        They come at each rank at random, `mean` in a pass.
        """
        expected, term, at_most = 0.0, math.exp(-mean), 0.0
        for count in range(MAX_PROMPTS):
            at_most += term
            expected += 1.0 - at_most**self.ranks
            term *= mean / (count + 1)
        return expected


class ImbalanceEstimate:
    """Largest recent imbalance of a group, which falls slowly when it is not seen.

    Demand for experts changes every few seconds, and a map that serves it takes a
    while. So the largest imbalance of the last seconds counts, and not the one of now.

    Parameters
    ----------
    usual : float
        Imbalance that is assumed while none is seen.
    """

    __slots__ = ("_held_until_ms", "_seen_ms", "_usual", "_value")

    # Part of the way to a larger imbalance that one observation takes.
    ATTACK = 0.5
    # Time for which an imbalance counts in full: two changes of demand fit into it.
    HOLD_MS = 6_000.0
    # An observation of this part of the estimate confirms it.
    CONFIRMING_SHARE = 0.9
    # Time in which it then loses most of its weight.
    RELEASE_MS = 3_000.0

    def __init__(self, *, usual: float):
        self._usual = usual
        self._value = usual
        self._seen_ms: float | None = None
        self._held_until_ms = float("-inf")

    @property
    def value(self) -> float:
        """The estimate."""
        return self._value

    def note(self, imbalance: float | None, now_ms: float) -> None:
        """Add an observation; None lets the estimate go towards the usual one."""
        elapsed_ms = 0.0 if self._seen_ms is None else now_ms - self._seen_ms
        self._seen_ms = now_ms
        goal = self._usual if imbalance is None else imbalance
        if imbalance is not None and goal >= self.CONFIRMING_SHARE * self._value:
            self._held_until_ms = now_ms + self.HOLD_MS
            self._value += self.ATTACK * max(0.0, goal - self._value)
        if now_ms < self._held_until_ms:
            return
        kept = math.exp(-elapsed_ms / self.RELEASE_MS)
        self._value = goal + kept * (self._value - goal)

    def reset(self) -> None:
        """Forget all observations, as of a group that has formed anew."""
        self._value = self._usual
        self._held_until_ms = float("-inf")
