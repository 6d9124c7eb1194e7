"""Traffic of the two desks: skewed prompt prefixes whose popularity drifts."""

import random

import msgspec
import xxhash

from benchmarks._fleet import BLOCK_TOKENS, Call


class CallKind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of call.

    Parameters
    ----------
    share : float
        Share of all calls.
    families : int
        Shared prefixes; 0 for prompts that share nothing.
    prefix : int
        Tokens of a shared prefix.
    own : tuple of int
        Least and most own tokens.
    output : tuple of int
        Least and most tokens of the answer.
    """

    share: float
    families: int
    prefix: int
    own: tuple[int, int]
    output: tuple[int, int]


class Desk(msgspec.Struct, frozen=True, kw_only=True):
    """One desk's traffic."""

    name: str
    data_centres: tuple[str, ...]
    kinds: tuple[CallKind, ...]
    teams: tuple[float, ...] = (6, 4, 3, 1, 1, 1, 1, 0.5, 0.5, 0.3)
    skew: float = 1.1
    drift_s: float = 20.0


KLANGBJALLRA = Desk(
    name="klangbjallra",
    data_centres=("svea-a", "svea-b", "svea-c"),
    kinds=(
        CallKind(share=0.6, families=24, prefix=640, own=(48, 112), output=(24, 80)),
        CallKind(share=0.25, families=12, prefix=960, own=(32, 96), output=(40, 120)),
        CallKind(share=0.15, families=0, prefix=0, own=(500, 1200), output=(60, 140)),
    ),
)
VATUKOULA = Desk(
    name="vatukoula",
    data_centres=("suva", "lautoka", "nadi"),
    kinds=(
        CallKind(share=0.5, families=40, prefix=800, own=(48, 112), output=(40, 110)),
        CallKind(share=0.3, families=160, prefix=960, own=(32, 96), output=(30, 90)),
        CallKind(share=0.2, families=0, prefix=0, own=(500, 1200), output=(60, 140)),
    ),
)
DESKS = (KLANGBJALLRA, VATUKOULA)


class Traffic:
    """Draws calls of one desk.

    Parameters
    ----------
    desk : Desk
        The desk.
    seed : int
        Seed of all chance.
    """

    def __init__(self, *, desk: Desk, seed: int):
        self._desk = desk
        self._random = random.Random(f"traffic {seed}")
        self._weights = [
            [1.0 / (n + 1) ** desk.skew for n in range(kind.families)]
            for kind in desk.kinds
        ]

    def gap_ms(self, rate: float) -> float:
        """Return the time to the next call at `rate` calls a second."""
        return self._random.expovariate(rate) * 1_000

    def entry(self, entries: int) -> int:
        """Return the entry that the platform's balancer picks."""
        return self._random.randrange(entries)

    def call(self, now_ms: float, team: str = "") -> Call:
        """Return one call that arrives now."""
        desk, source = self._desk, self._random
        index = source.choices(
            range(len(desk.kinds)), [kind.share for kind in desk.kinds]
        )[0]
        kind = desk.kinds[index]
        blocks: list[int] = []
        if kind.families:
            family = source.choices(range(kind.families), self._weights[index])[0]
            # Popularity drifts: the ranks move on to other families in time.
            shift = int(now_ms / 1_000 / desk.drift_s)
            family = (family + 5 * shift) % kind.families
            count = kind.prefix // BLOCK_TOKENS
            blocks = [
                xxhash.xxh3_64_intdigest(f"{index} {family} {n}".encode())
                for n in range(count)
            ]
        own = source.randint(*kind.own)
        blocks += [source.getrandbits(62) for _ in range(own // BLOCK_TOKENS)]
        if not team:
            names = range(len(desk.teams))
            team = f"team-{source.choices(names, desk.teams)[0]}"
        return Call(
            team=team,
            arrived_ms=now_ms,
            blocks=blocks,
            tokens=kind.prefix + own,
            output=source.randint(*kind.output),
        )
