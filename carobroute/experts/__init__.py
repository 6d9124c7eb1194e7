"""Layout of experts over the ranks of a group, and switches between layouts."""

from carobroute.experts._layout import (
    ExpertLayout,
    compute_expert_shares,
    compute_imbalance,
    initial_layout,
)
from carobroute.experts._pass_time import PassTimeEstimator
from carobroute.experts._plan import PlanBounds, plan_layout
from carobroute.experts._rebalancer import (
    CoordinatorDuty,
    ExpertRankHandle,
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
    "ExpertRankHandle",
    "CoordinatorDuty",
    "PassTimeEstimator",
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
