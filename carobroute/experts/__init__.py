"""Layout of experts over the ranks of a group, and switches between layouts."""

from carobroute.experts._layout import (
    ExpertLayout,
    compute_expert_shares,
    compute_imbalance,
    initial_layout,
)
from carobroute.experts._pass_model import ImbalanceEstimate, PassModel
from carobroute.experts._pass_time import PassTimeEstimator
from carobroute.experts._plan import LayoutPlanner, PlanBounds, plan_layout
from carobroute.experts._rank_group import (
    CoordinatorDuty,
    ExpertRankHandle,
    RankGroup,
)
from carobroute.experts._rebalancer import GroupRebalancer, RebalanceParameters
from carobroute.experts._switch import (
    MapSwitch,
    RankHandle,
    SwitchParameters,
    SwitchResult,
    next_version,
)

__all__ = [
    "ExpertRankHandle",
    "CoordinatorDuty",
    "ImbalanceEstimate",
    "PassModel",
    "PassTimeEstimator",
    "GroupRebalancer",
    "ExpertLayout",
    "LayoutPlanner",
    "MapSwitch",
    "PlanBounds",
    "RankGroup",
    "RankHandle",
    "RebalanceParameters",
    "SwitchResult",
    "SwitchParameters",
    "compute_imbalance",
    "initial_layout",
    "next_version",
    "plan_layout",
    "compute_expert_shares",
]
