"""Layout of experts over the ranks of a group, and switches between layouts."""

from carobroute.experts._layout import (
    ExpertLayout,
    compute_expert_shares,
    compute_imbalance,
    initial_layout,
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
    RankHandle,
    SwitchParameters,
    SwitchResult,
)

__all__ = [
    "CountingPort",
    "Duty",
    "GroupPace",
    "GroupRebalancer",
    "ExpertLayout",
    "MapSwitch",
    "PlanBounds",
    "RankGroup",
    "RankHandle",
    "RebalanceParameters",
    "SwitchResult",
    "SwitchParameters",
    "compute_imbalance",
    "initial_layout",
    "plan_layout",
    "compute_expert_shares",
]
