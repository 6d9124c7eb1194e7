"""Test support: processes, a fault-injecting proxy, fakes, builders of test data."""

from carobroute.testing._call_data import (
    FakeEndpoint,
    FakePeer,
    FakeRouter,
    FakeWriter,
    make_call,
    make_relay_services,
)
from carobroute.testing._fake_platform import FakeInstanceList, FakeTable
from carobroute.testing._fault_proxy import FaultProxy, Faults, ProxiedPort
from carobroute.testing._faulty_fleet import FaultyFleet
from carobroute.testing._fleet import Fleet, FleetShape, FleetTarget
from carobroute.testing._gateway_run import GatewayRun
from carobroute.testing._order_data import FakeObjects, make_order, make_submit
from carobroute.testing._processes import Child, ProcessGroup
from carobroute.testing._random_faults import cause_pair, random_faults
from carobroute.testing._ticket_data import (
    make_instance,
    make_service,
    make_target,
    make_team,
    make_ticket,
)
from carobroute.testing._waiting import wait_until
from carobroute.testing._witness import Answer, Witness, order_faults, stream_faults

__all__ = [
    "FakeEndpoint",
    "FakePeer",
    "FakeRouter",
    "FakeWriter",
    "make_call",
    "make_relay_services",
    "Answer",
    "Child",
    "FakeInstanceList",
    "FakeObjects",
    "FakeTable",
    "FaultProxy",
    "GatewayRun",
    "Faults",
    "FaultyFleet",
    "Fleet",
    "FleetShape",
    "FleetTarget",
    "ProcessGroup",
    "ProxiedPort",
    "Witness",
    "cause_pair",
    "make_instance",
    "make_order",
    "make_service",
    "make_submit",
    "make_target",
    "make_team",
    "make_ticket",
    "order_faults",
    "random_faults",
    "stream_faults",
    "wait_until",
]
