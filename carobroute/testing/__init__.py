"""Test support: real processes, a fault-injecting proxy, builders of test data."""

from carobroute.testing._fault_proxy import FaultProxy, Faults, ProxiedPort
from carobroute.testing._processes import Child, ProcessGroup, wait_until

__all__ = [
    "Child",
    "FaultProxy",
    "Faults",
    "ProcessGroup",
    "ProxiedPort",
    "wait_until",
]
