"""Leases with fencing numbers, and duties that one process at a time does for all."""

from carobroute.leases._duties import DutyParameters, DutyScheduler
from carobroute.leases._gate import FenceGate
from carobroute.leases._lease import Lease, LeaseManager, LeaseParameters, LeaseRow

__all__ = [
    "DutyParameters",
    "DutyScheduler",
    "FenceGate",
    "Lease",
    "LeaseManager",
    "LeaseParameters",
    "LeaseRow",
]
