"""Slopes of the product's own objects: what one more of something costs."""

import asyncio
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec
import numpy as np

from carobroute.domain import Instance, InstanceRole
from carobroute.links import (
    Chunk,
    Endpoint,
    LinkParameters,
    LoadReport,
    decode_body,
    decode_frame,
    encode_frame,
)
from carobroute.membership import Directory
from carobroute.requests import RouteQuery, Router, TargetView
from carobroute.testing import wait_until
from carobroute.tickets import (
    Configuration,
    ObjectInForce,
    TargetObject,
    TeamObject,
    Ticket,
    object_key,
)
from carobroute.utils import Clock

REPEATS = 2_000
TCP_IP_BYTES = 52
CENTRES = [f"dc-{n}" for n in range(11)]


class Slope(msgspec.Struct, kw_only=True):
    """A straight line through measured sizes.

    Parameters
    ----------
    name, unit : str
        What grows, and in what.
    sizes, values : list of float
        Measured points.
    """

    name: str
    unit: str
    sizes: list[float]
    values: list[float]

    @property
    def per_one(self) -> float:
        """Cost of one more."""
        return float(np.polyfit(self.sizes, self.values, 1)[0])


def make_objects(teams: int, targets: int) -> dict[str, ObjectInForce]:
    """Return objects in force for that many teams and targets."""
    entries = [
        TeamObject(name=f"team-{n}", key_hashes=[f"{n:064x}"], requests_per_s=5.0)
        for n in range(teams)
    ] + [
        TargetObject(
            name=f"runner-{n}",
            service="model",
            data_centre=CENTRES[n % 11],
            group=f"group-{n // 8}",
            ranks=[8 * (n % 8) + rank for rank in range(8)],
        )
        for n in range(targets)
    ]
    return {object_key(e): ObjectInForce(number=1, entry=e) for e in entries}


def make_instance(number: int) -> Instance:
    """Return one local process of the instance list."""
    return Instance(
        name=f"local-runner-{number}",
        incarnation=f"local-runner-{number}~{number:016x}",
        role=InstanceRole.LOCAL,
        data_centre=CENTRES[number % 11],
        region=f"region-{number % 3}",
        address=f"tcp://10.20.{number // 250}.{number % 250}:7100",
        target=f"runner-{number}",
        service="model",
    )


def memory_slope(name: str, sizes: Sequence[int], make: Callable) -> Slope:
    """Return the memory that `make(size)` holds, by size."""
    values = []
    for size in sizes:
        tracemalloc.start()
        held = make(size)
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del held
    return Slope(name=name, unit="bytes", sizes=list(sizes), values=values)


def time_slope(name: str, sizes: Sequence[int], make: Callable) -> Slope:
    """Return the processor time of the function that `make(size)` returns, by size."""
    values = [processor_us(make(size), 20) for size in sizes]
    return Slope(name=name, unit="us", sizes=list(sizes), values=values)


def processor_us(function: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the processor time of one call, in microseconds."""
    function()
    started = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - started) / repeats * 1e6


def configuration_memory() -> list[Slope]:
    """Return the memory of teams, of targets and of listed instances."""

    def directory(size: int) -> Directory:
        found = Directory(clock=Clock(), own=make_instance(0))
        found.update_from_list([make_instance(n) for n in range(size)])
        return found

    return [
        memory_slope("team", [500, 2_000, 4_900], lambda n: make_objects(n, 0)),
        memory_slope("target", [100, 400, 920], lambda n: make_objects(0, n)),
        memory_slope("instance", [100, 500, 1_250], directory),
    ]


def ticket_time() -> Slope:
    """Return the time to apply a ticket of one object, by objects in force."""

    def make(size: int):
        configuration = Configuration(number=1, objects=make_objects(size, 0))
        entry = TeamObject(name="team-1", key_hashes=["0" * 64])
        ticket = Ticket(based_on=1, token="t", author="a", objects=[entry], number=2)
        return lambda: configuration.with_ticket(ticket)

    return time_slope("ticket", [500, 2_000, 5_900], make)


def routing_time() -> list[Slope]:
    """Return the time of one routing decision, and of following a new ticket."""

    def views(size: int) -> list[TargetView]:
        return [
            TargetView(
                name=f"runner-{n}",
                service="model",
                data_centre=CENTRES[n % 11],
                region=f"region-{n % 3}",
                group=f"group-{n // 8}",
                concurrency=8,
                incarnation=f"run-{n}",
            )
            for n in range(size)
        ]

    def router(size: int) -> Router:
        made = Router(
            clock=Clock(),
            random=random.Random(1),
            name="entry-1",
            data_centre=CENTRES[0],
        )
        made.update_targets(views(size))
        return made

    def choose(size: int):
        made = router(size)
        query = RouteQuery(
            service="model",
            team="team-1",
            prompt_blocks=list(range(40)),
            tokens=640,
            data_centre=CENTRES[0],
            deadline_ms=360.0,
        )
        return lambda: made.choose(query)

    def follow(size: int):
        made = router(size)
        return lambda: made.update_targets(views(size))

    sizes = [100, 400, 920]
    return [time_slope("choice", sizes, choose), time_slope("follow", sizes, follow)]


def chunk_us() -> float:
    """Return the time to encode and decode one chunk in a frame of its own."""
    chunk = Chunk(request_id="0" * 32, attempt=1, index=5, data=b"x" * 120)

    def both():
        data = encode_frame([chunk], incarnation="local-runner-1~0", ticket=5)
        return [decode_body(raw) for raw in decode_frame(data).body]

    return processor_us(both)


def report_bytes() -> int:
    """Return the bytes of one load report on the wire."""
    report = LoadReport(
        target="runner-100", running=8, queued=3, concurrency=8, step_ms=21.5
    )
    frame = encode_frame([report], incarnation="local-runner-100~0123", ticket=700)
    return len(frame) + TCP_IP_BYTES


async def idle_link() -> tuple[float, float]:
    """Return bytes of one ping with its answer, and processor time in microseconds.

    Bytes count both directions, with a TCP/IP header for each frame and for each
    acknowledgement.
    """
    parameters = LinkParameters(ping_busy_ms=10, ping_idle_ms=10)
    ends = [
        Endpoint(
            name=name,
            role="entry",
            data_centre="dc-0",
            incarnation=f"{name}~0123456789abcdef",
            clock=Clock(),
            parameters=parameters,
        )
        for name in ("entry-1", "local-1")
    ]
    for end in ends:
        await end.start()
    peer = ends[0].peer(ends[1].address)
    await wait_until(lambda: peer.up, what="the link is up")
    before = ends[0].counts.copy()
    started = time.process_time()
    await asyncio.sleep(2.0)
    cpu_us = (time.process_time() - started) * 1e6
    now = ends[0].counts
    rounds = now["frames_sent"] - before["frames_sent"]
    data = sum(now[key] - before[key] for key in ("bytes_sent", "bytes_received"))
    for end in ends:
        await end.stop()
    return data / rounds + 4 * TCP_IP_BYTES, cpu_us / rounds / 2
