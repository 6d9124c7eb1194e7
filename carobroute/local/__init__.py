"""The local process: the only one that talks to its target."""

from carobroute.local._orders import (
    LinkAsk,
    OrderDone,
    OrderElsewhere,
    OrderOutcome,
    OrderParameters,
    OrderPermit,
    OrderRunner,
)

__all__ = [
    "LinkAsk",
    "OrderDone",
    "OrderElsewhere",
    "OrderOutcome",
    "OrderParameters",
    "OrderPermit",
    "OrderRunner",
]
