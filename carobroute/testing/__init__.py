"""Builders of test data and in-memory fakes of the platform."""

from carobroute.testing._fake_platform import FakeInstanceList, FakeTable
from carobroute.testing._ticket_data import (
    make_instance,
    make_service,
    make_target,
    make_team,
    make_ticket,
)
from carobroute.testing._waiting import wait_until

__all__ = [
    "FakeInstanceList",
    "FakeTable",
    "make_instance",
    "make_service",
    "make_target",
    "make_team",
    "make_ticket",
    "wait_until",
]
