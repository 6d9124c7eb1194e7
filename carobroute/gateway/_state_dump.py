"""State of a gateway, as operators read it."""

from typing import Any

import msgspec

from carobroute.gateway._cold_starts import ColdStarts
from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._evacuations import Evacuations
from carobroute.gateway._group_limits import GroupLimits
from carobroute.gateway._targets import Target, TargetDirectory


class StateDump:
    """Describes what a gateway believes, and how old that is.

    Parameters
    ----------
    configuration : ActiveConfiguration
        Configuration in force.
    directory : TargetDirectory
        Known targets.
    evacuations : Evacuations
        Data centres that get no calls.
    cold_starts : ColdStarts
        Targets that are cold.
    group_limits : GroupLimits
        Limits on the streams of rank groups.
    """

    __slots__ = (
        "_cold_starts",
        "_configuration",
        "_directory",
        "_evacuations",
        "_group_limits",
    )

    def __init__(
        self,
        *,
        configuration: ActiveConfiguration,
        directory: TargetDirectory,
        evacuations: Evacuations,
        cold_starts: ColdStarts,
        group_limits: GroupLimits,
    ):
        self._configuration = configuration
        self._directory = directory
        self._evacuations = evacuations
        self._cold_starts = cold_starts
        self._group_limits = group_limits

    def describe(self) -> dict[str, Any]:
        """Return the state; times are in milliseconds."""
        configuration, evacuations = self._configuration, self._evacuations
        targets = self._directory.all_targets()
        return {
            "configuration": {
                "version": configuration.version,
                "proof_age_ms": round(configuration.proof_age_ms),
            },
            "evacuated": {
                "data_centres": sorted(evacuations.data_centres),
                "store_version": evacuations.version,
                "unchanged_ms": round(evacuations.unchanged_ms),
            },
            "target_states": self._directory.count_states(),
            "targets": [self._describe_target(target) for target in targets],
            "group_limits": [
                msgspec.structs.asdict(limit) for limit in self._group_limits.limits
            ],
        }

    def _describe_target(self, target: Target) -> dict[str, Any]:
        return {
            "run": target.run_id,
            "service": target.entry.service,
            "data_centre": target.entry.data_centre,
            "usable": target.is_usable,
            "evacuated": target.is_evacuated,
            "calls": target.in_flight,
            "other_calls": round(target.other_calls, 1),
            "cold_ms": round(self._cold_starts.remaining_ms(target.run_id)),
            "cold_source": self._cold_starts.source(target.run_id),
            "ejected": target.health.is_ejected,
            "paused_ms": round(target.pause_remaining_ms),
        }
