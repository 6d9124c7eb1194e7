"""Small helpers shared by every subpackage."""

from carobroute.utils._addresses import split_host_port
from carobroute.utils._backoff import Backoff
from carobroute.utils._bounded import BoundedDict
from carobroute.utils._clock import Clock, ManualClock
from carobroute.utils._event_loop import forbid_io_uring, run_event_loop
from carobroute.utils._foreign_data import (
    DECODING_ERRORS,
    Address,
    Count,
    DatagramAddress,
    Duration,
    Integer,
    Name,
    Number,
    Size,
    decode_foreign,
)
from carobroute.utils._identity import (
    content_hash,
    is_public_key,
    new_incarnation,
    new_token,
    rendezvous_order,
    rendezvous_winner,
)
from carobroute.utils._process_exit import exit_process
from carobroute.utils._registry import Registry
from carobroute.utils._tasks import TaskSet, gather_few

__all__ = [
    "Address",
    "Backoff",
    "BoundedDict",
    "Clock",
    "Count",
    "DECODING_ERRORS",
    "DatagramAddress",
    "Duration",
    "DatagramAddress",
    "Duration",
    "Integer",
    "ManualClock",
    "Name",
    "Number",
    "Registry",
    "Size",
    "TaskSet",
    "content_hash",
    "decode_foreign",
    "exit_process",
    "forbid_io_uring",
    "gather_few",
    "is_public_key",
    "new_incarnation",
    "new_token",
    "rendezvous_order",
    "rendezvous_winner",
    "run_event_loop",
    "split_host_port",
]
