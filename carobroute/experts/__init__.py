"""Where the experts of a rank group sit, and how the group passes to another map."""

from carobroute.experts._layout import (
    Layout,
    imbalance,
    initial_layout,
    shares_of,
)
from carobroute.experts._pace import GroupPace
from carobroute.experts._plan import PlanBounds, plan_layout
from carobroute.experts._rebalancer import (
    CountingPort,
    Duty,
    GroupRebalancer,
    RankGroup,
    RebalanceParameters,
)
from carobroute.experts._switch import (
    MapSwitch,
    RankPort,
    SwitchEnd,
    SwitchParameters,
)

__all__ = [
    "CountingPort",
    "Duty",
    "GroupPace",
    "GroupRebalancer",
    "Layout",
    "MapSwitch",
    "PlanBounds",
    "RankGroup",
    "RankPort",
    "RebalanceParameters",
    "SwitchEnd",
    "SwitchParameters",
    "imbalance",
    "initial_layout",
    "plan_layout",
    "shares_of",
]
