"""Expert placement: expert maps of a group, planning them and switching to them."""

from carobroute.placement import _baselines, _incremental  # noqa: F401
from carobroute.placement._coordinator import (
    CoordinatorParameters,
    SwitchCoordinator,
    SwitchReport,
)
from carobroute.placement._http_engine import HttpRankEngine
from carobroute.placement._interface import (
    EngineStatus,
    GroupMember,
    GroupPeers,
    PopularityReport,
    RankEngine,
)
from carobroute.placement._map import (
    Attempt,
    ExpertMap,
    MapVersion,
    initial_map,
    make_map,
    map_error,
)
from carobroute.placement._member import RankMember
from carobroute.placement._planning import (
    EMPTY_SLOT,
    Planner,
    PlanningInput,
    count_moved_copies,
    initial_slots,
    layers_from_slots,
    planners,
    slots_from_layers,
    step_skew,
)
from carobroute.placement._popularity import PopularityEstimator
from carobroute.placement._promise import MemberParameters
from carobroute.placement._runner import GroupRunner, RunnerParameters
from carobroute.placement._service import LinkPeers, SwitchService
from carobroute.placement._stragglers import (
    RankHealth,
    StragglerDetector,
    StragglerParameters,
)
from carobroute.placement._weights import (
    HttpWeightSource,
    PeerWeightSource,
    ReadWeight,
    TrafficBudget,
    WeightFetcher,
    WeightObject,
    WeightPiece,
    WeightSource,
    serve_weights,
)

__all__ = [
    "EMPTY_SLOT",
    "Attempt",
    "CoordinatorParameters",
    "EngineStatus",
    "ExpertMap",
    "GroupMember",
    "GroupPeers",
    "GroupRunner",
    "HttpRankEngine",
    "HttpWeightSource",
    "LinkPeers",
    "MapVersion",
    "MemberParameters",
    "PeerWeightSource",
    "Planner",
    "PlanningInput",
    "PopularityEstimator",
    "PopularityReport",
    "RankEngine",
    "RankHealth",
    "RankMember",
    "ReadWeight",
    "RunnerParameters",
    "StragglerParameters",
    "StragglerDetector",
    "SwitchCoordinator",
    "SwitchReport",
    "SwitchService",
    "TrafficBudget",
    "WeightFetcher",
    "WeightObject",
    "WeightPiece",
    "WeightSource",
    "initial_map",
    "initial_slots",
    "layers_from_slots",
    "make_map",
    "map_error",
    "count_moved_copies",
    "planners",
    "serve_weights",
    "slots_from_layers",
    "step_skew",
]
