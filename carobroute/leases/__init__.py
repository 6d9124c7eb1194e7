"""Leases with fencing numbers, and duties that one process at a time does for all."""

from carobroute.leases._duties import Duties, DutyParameters
from carobroute.leases._gate import FenceGate
from carobroute.leases._lease import Lease, LeaseKeeper, LeaseParameters, LeaseRow

__all__ = [
    "Duties",
    "DutyParameters",
    "FenceGate",
    "Lease",
    "LeaseKeeper",
    "LeaseParameters",
    "LeaseRow",
]
