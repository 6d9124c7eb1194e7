"""Seeded traces of expert popularity and rank speed."""

from collections.abc import Callable

import msgspec
import numpy as np

from carobroute.utils import Registry

LAYERS, EXPERTS, RANKS, SLOTS = 8, 64, 16, 6
ROUNDS = 72
RANKS_OF_INSTANCE = 2
SPREAD = 1.0
DRIFT = 0.06
SLOWED = 0.6

traces: Registry[Callable[..., "Trace"]] = Registry(kind="drift trace")
"""Traces by name."""


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """What happens in each round.

    Parameters
    ----------
    shares : ndarray of shape (rounds, layers, experts)
        True share of a layer's tokens.
    speeds : ndarray of shape (rounds, ranks)
        True relative speed of each rank, 0 while its instance is lost.
    """

    shares: np.ndarray
    speeds: np.ndarray


def _logits(draw: np.random.Generator, drift: float) -> np.ndarray:
    steps = draw.normal(0, drift, size=(ROUNDS, LAYERS, EXPERTS))
    steps[0] = draw.normal(0, SPREAD, size=(LAYERS, EXPERTS))
    return steps.cumsum(axis=0)


def _trace(logits: np.ndarray, speeds: np.ndarray | None = None) -> Trace:
    shares = np.exp(logits)
    shares /= shares.sum(axis=2, keepdims=True)
    if speeds is None:
        speeds = np.ones((ROUNDS, RANKS))
    return Trace(shares=shares, speeds=speeds)


def _raise(
    draw: np.random.Generator, logits: np.ndarray, factor: float, shape: np.ndarray
) -> None:
    """Raise a few experts of each layer by `factor` where `shape` is 1."""
    for layer in range(LAYERS):
        chosen = draw.choice(EXPERTS, size=5, replace=False)
        logits[:, layer, chosen] += np.log(factor) * shape[:, None]


@traces.register("slow_drift")
def slow_drift(draw: np.random.Generator) -> Trace:
    """Popularity wanders."""
    return _trace(_logits(draw, DRIFT))


@traces.register("wedding_peak")
def wedding_peak(draw: np.random.Generator) -> Trace:
    """Engraving questions rise over a few rounds and fall again."""
    logits = _logits(draw, DRIFT / 3)
    rounds = np.arange(ROUNDS)
    shape = np.clip(np.minimum((rounds - 20) / 5, (52 - rounds) / 5), 0, 1)
    _raise(draw, logits, 6.0, shape)
    return _trace(logits)


@traces.register("month_end")
def month_end(draw: np.random.Generator) -> Trace:
    """Quote drafting jumps from one round to the next, and back."""
    logits = _logits(draw, DRIFT / 3)
    rounds = np.arange(ROUNDS)
    _raise(draw, logits, 8.0, ((rounds >= 24) & (rounds < 48)).astype(float))
    return _trace(logits)


@traces.register("straggler")
def straggler(draw: np.random.Generator) -> Trace:
    """One rank is slow for a third of the time."""
    speeds = np.ones((ROUNDS, RANKS))
    speeds[20:48, int(draw.integers(RANKS))] = SLOWED
    return _trace(_logits(draw, DRIFT / 2), speeds)


@traces.register("instance_lost")
def instance_lost(draw: np.random.Generator) -> Trace:
    """The ranks of one instance are lost, and return with nothing loaded."""
    speeds = np.ones((ROUNDS, RANKS))
    first = int(draw.integers(RANKS // RANKS_OF_INSTANCE)) * RANKS_OF_INSTANCE
    speeds[24:44, first : first + RANKS_OF_INSTANCE] = 0.0
    return _trace(_logits(draw, DRIFT / 2), speeds)
