"""Ranks send second copies of answers, late, while their group changes its map."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
import stand_ins  # noqa: E402
from rank_group import EPOCH, GROUP, RANKS, Group, Kept, Rank, draw_demand  # noqa: E402
from stand_ins import Connection, Gateway, Record, Store  # noqa: E402

ZONES = ("svea-a", "svea-b", "svea-c")
CALLS_PER_S = 24.0
RUN_S = 75.0
SHIFT_S = 6.0
# Dose of `garble` with `extra late` in the site file: a share of the runners, and of
# their answers, for a time.
GARBLING_SHARE = 0.6
GARBLED_SHARE = 0.03
GARBLING_S = 5.0
# Time from the beginning of one such time to that of the next.
GARBLING_INTERVAL_S = 12.0
# Time after its answer to `prepare` at which a rank sends the second copy.
LATE_S = 0.02


class Garbler:
    """Sends second copies of answers, late, on the connections of the answers."""

    def __init__(self, *, group: Group, record: Record):
        self._record = record
        self._ranks = group.ranks[-int(GARBLING_SHARE * RANKS) :]
        # Time at which clients begin.
        self.began_s = float("inf")
        self.copies = 0

    @property
    def answers(self) -> int:
        """Number of answers of the ranks that garble some."""
        return sum(rank.answers for rank in self._ranks)

    def note_prepared(
        self, rank: Rank, writer: asyncio.StreamWriter, kept: Kept
    ) -> None:
        """Send a second copy soon, if the connection has carried an answer."""
        loop = asyncio.get_running_loop()
        age_s = (loop.time() - self.began_s - SHIFT_S) % GARBLING_INTERVAL_S
        is_garbling = rank in self._ranks and age_s < GARBLING_S
        may_garble = self.copies + 1 <= GARBLED_SHARE * self.answers
        if is_garbling and may_garble and kept.last_answer:
            self.copies += 1
            loop.call_later(LATE_S, self._send, rank, writer, kept)

    def _send(self, rank: Rank, writer: asyncio.StreamWriter, kept: Kept) -> None:
        if writer.is_closing():
            return
        self._record.note(f"{rank.name} sends the answer {kept.last_id} again")
        writer.write(kept.last_answer)
        kept.last_answer = b""


async def call(record: Record, gateway: Gateway, idle: list[Connection]) -> bool:
    """Send one request, and return whether its answer is complete."""
    connection = (
        idle.pop() if idle else Connection(host=gateway.host, port=gateway.port)
    )
    request_id = os.urandom(8).hex()
    tokens = 5 * random.randint(10, 45)
    headers = deployment.build_call_headers(request_id, 8_050)
    headers |= {
        "Model": "m",
        "Token-Counts": f"714,{tokens}",
        "Prompt-Prefix": f"5c1e07a2:40,{os.urandom(4).hex()}:674",
    }
    received: list[bytes] = []
    try:
        answer = await connection.send(
            "POST",
            deployment.STREAM_PATH,
            headers=headers,
            body=b"x" * 700,
            on_data=received.append,
        )
    except (OSError, asyncio.IncompleteReadError) as error:
        record.note(f"client has no complete answer for {request_id}: {error!r}")
        connection.close()
        return False
    if connection.is_open:
        idle.append(connection)
    if answer.status != 200:
        record.note(f"client gets {answer.status} for {request_id}")
        return False
    return answer.body.count(b"id: ") == tokens // 5


async def main(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Send streams to a group whose demand changes."""
    rng = random.Random(7)
    store = Store(ip=stand_ins.free_ip())
    await store.start()
    store.write("op", "config", deployment.build_configuration())
    group = Group(record=record, rng=rng)
    garbler = Garbler(group=group, record=record)
    if has_trouble:
        group.on_prepared = garbler.note_prepared
    await group.start()
    for rank in group.ranks:
        entry = deployment.build_entry(
            deployment.MODEL_SERVICE,
            rank.server.address,
            zone=ZONES[rank.number // 4],
            group={"name": GROUP, "epoch": EPOCH, "rank": rank.number, "state": "open"},
            size=RANKS,
        )
        store.write("servers", rank.name, entry)
    gateways = [
        Gateway(name=f"front-{zone}-1", zone=zone, store=store.address, folder=folder)
        for zone in ZONES
    ]
    calls: list[asyncio.Task] = []
    passes = asyncio.create_task(group.run())
    idle: dict[str, list[Connection]] = {gateway.name: [] for gateway in gateways}
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        await asyncio.sleep(2.0)
        begin_s = asyncio.get_running_loop().time()
        garbler.began_s, shift_s = begin_s, SHIFT_S
        while (at_s := asyncio.get_running_loop().time() - begin_s) < RUN_S:
            if at_s > shift_s:
                shift_s += SHIFT_S
                group.demand = draw_demand(rng)
                record.note("other experts are in demand")
            gateway = rng.choice(gateways)
            calls.append(asyncio.create_task(call(record, gateway, idle[gateway.name])))
            if group.mixed_passes:
                break
            await asyncio.sleep(rng.expovariate(CALLS_PER_S))
        served = sum(await asyncio.gather(*calls))
        record.say(
            f"{served} of {len(calls)} answers complete, {group.step} passes,"
            f" {group.switches} switches of the map, {garbler.copies} second"
            f" copies of {garbler.answers} answers"
        )
        record.say(f"{len(group.mixed_passes)} passes on different maps")
    finally:
        passes.cancel()
        for gateway in gateways:
            (FOLDER / f"{gateway.name}.log").write_text(gateway.log())
            await gateway.stop()
        group.stop()
        store.stop()
    return bool(group.mixed_passes)


stand_ins.run_case(main, FOLDER)
