"""The programs as separate processes, from a caller's stream to a drained target."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from benchmarks._callers import CallerAnswer, send_example
from carobroute.domain import ServiceKind
from carobroute.testing import (
    Fleet,
    FleetShape,
    FleetTarget,
    GatewayRun,
    wait_until,
)
from carobroute.testing.gateway_data import (
    make_configuration,
    make_route,
    make_target_entry,
)
from carobroute.testing.scripted_target import ScriptedTarget, TargetCall

DESK = Path("examples/klangbjallra")
LOAD_STREAMS = 8
MORE_STREAMS = 12
DRAIN_TIMEOUT_S = 30.0
TOO_MANY = 429
EVENTS = 12
# Event in the middle of which the demonstrated stream breaks off.
BROKEN_EVENT = 5
GATEWAY_CONFIGURATION = make_configuration(
    routes=[make_route(streaming=True, resumable=True, timeout_ms=5_000.0)]
)
# The team's rate lets all streams through within a few times its Retry-After.
MAX_REFUSALS = 10


def say(text: str) -> None:
    """Print one line of the demonstration."""
    print(text, flush=True)


def model_request(fleet: Fleet) -> dict:
    """Return the first example request that streams."""
    return next(
        entry for entry in fleet.requests if entry.get("body", {}).get("stream")
    )


async def show_stream(fleet: Fleet) -> bool:
    """Stream one real prompt's answer back, piece by piece."""
    request = model_request(fleet)
    answer = await send_example(fleet, 0, request)
    say(
        f"stream: {request['name']!r} for team {request['team']}: status"
        f" {answer.status}, {len(answer.pieces)} pieces, request {answer.request_id}"
    )
    for piece in answer.pieces[:3]:
        say(f"  {piece.decode().strip()[:100]}")
    return answer.is_whole_stream and len(answer.pieces) > 3


async def show_order(fleet: Fleet) -> bool:
    """Place an order twice with one key; it must run once."""
    request = next(r for r in fleet.requests if _key_of(r))
    first = await send_example(fleet, 0, request)
    again = await send_example(fleet, 1, request)
    runs = await _count_runs(fleet, _key_of(request))
    say(
        f"order: {request['name']!r}, key {_key_of(request)!r}: status {first.status};"
        f" sent again through another entry: status {again.status}, same answer:"
        f" {first.body == again.body}; runs at the targets: {runs}"
    )
    return first.status < 300 and first.body == again.body and runs == 1


async def show_stock(fleet: Fleet) -> bool:
    """Look stock up."""
    request = next(r for r in fleet.requests if "/stock/" in r["path"])
    answer = await send_example(fleet, 2, request)
    say(
        f"stock: {request['path']}: status {answer.status}, {answer.body.decode()[:80]}"
    )
    return answer.status == 200


async def show_drain(fleet: Fleet) -> bool:
    """Drain a target by ticket while streams run on it; none may be cut."""
    request = model_request(fleet)
    load = StreamLoad(fleet=fleet, request=request)
    load.start()
    try:
        target = await _find_busy_target(fleet)
        printed = await fleet.file_ticket(fleet.entries[1], drain_ticket(target))
        say("ticket filed:\n" + printed.rstrip())
        status = await fleet.run_tool(
            "ticket", "status", "--address", fleet.entries[2].ready["operator"]
        )
        say("ticket status:\n" + status.rstrip())
        await wait_until(
            lambda: _is_leaving(fleet, target),
            what="the target leaves",
            timeout_s=DRAIN_TIMEOUT_S,
        )
    except AssertionError:
        await _say_runs(fleet)
        raise
    finally:
        answers = await load.stop()
    whole = sum(answer.is_whole_stream for answer in answers)
    _say_failures(answers)
    await wait_until(
        lambda: _is_empty(fleet, target),
        what="the target is empty",
        timeout_s=DRAIN_TIMEOUT_S,
    )
    before = await _target_runs(fleet, target)
    later = [_send_until_served(fleet, n % 3, request) for n in range(MORE_STREAMS)]
    more = await asyncio.gather(*later)
    _say_failures(more)
    new_work = await _target_runs(fleet, target) - before
    say(
        f"drain: {target.name}: {whole} of {len(answers)} running streams whole; then"
        f" {sum(a.is_whole_stream for a in more)} of {len(more)} whole elsewhere, new"
        f" work on the drained target: {new_work}"
    )
    good = all(answer.is_whole_stream for answer in more)
    return whole == len(answers) and good and new_work == 0


async def show_gateway(directory: Path) -> bool:
    """Resume a stream that breaks off, through the program for users' platforms."""
    run = GatewayRun(directory=directory, configuration=GATEWAY_CONFIGURATION)
    targets = [ScriptedTarget(_stream_half) for _ in range(2)]
    for number, target in enumerate(targets):
        run.list_target(
            make_target_entry(
                incarnation=f"target-{number}", address=await target.start()
            )
        )
    await run.start()
    try:
        headers = {"Host": "shop.example", "Request-Id": "demo-1", "X-Api-Key": "key-1"}
        async with run.session.post(run.url + "/orders/1", headers=headers) as answer:
            body = await answer.read()
    finally:
        await run.stop()
        for target in targets:
            await target.close()
    resumed = [
        call.headers["last-event-id"]
        for target in targets
        for call in target.calls
        if "last-event-id" in call.headers
    ]
    whole = body == b"".join(_event(number) for number in range(EVENTS))
    say(
        f"gateway: a stream broke off inside event {BROKEN_EVENT}; resumed after event"
        f" {','.join(resumed)}; status {answer.status}, {body.count(b'id:')} of"
        f" {EVENTS} events, each once and in order: {whole}"
    )
    return answer.status == 200 and whole and resumed == [str(BROKEN_EVENT - 1)]


async def _stream_half(call: TargetCall) -> None:
    """Answer with a stream that breaks off inside an event, unless it is resumed."""
    last = call.headers.get("last-event-id")
    if last is None:
        await call.begin_stream(*(_event(number) for number in range(BROKEN_EVENT)))
        await call.send(_event(BROKEN_EVENT)[:9])
        call.disconnect()
        return
    await call.begin_stream(
        *(_event(number) for number in range(int(last) + 1, EVENTS))
    )
    await call.end_stream()


def _event(number: int) -> bytes:
    return b"id: %d\ndata: a line for a bell\n\n" % number


class StreamLoad:
    """Streams that go on, one after the other in each slot, until they are stopped.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose entries are called in turn.
    request : dict
        Request that each stream is an answer to.
    """

    def __init__(self, *, fleet: Fleet, request: dict):
        self._fleet = fleet
        self._request = request
        self._is_stopped = False
        self._answers: list[CallerAnswer] = []
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the streams."""
        self._tasks = [
            asyncio.create_task(self._send_streams(number % 3))
            for number in range(LOAD_STREAMS)
        ]

    async def stop(self) -> list[CallerAnswer]:
        """Begin no more streams, and return the answers once all have ended."""
        self._is_stopped = True
        await asyncio.gather(*self._tasks)
        return self._answers

    async def _send_streams(self, entry: int) -> None:
        while not self._is_stopped:
            answer = await _send_until_served(self._fleet, entry, self._request)
            if answer.status != TOO_MANY:
                self._answers.append(answer)


async def _find_busy_target(fleet: Fleet) -> FleetTarget:
    """Return a model target that was seen to run a stream.

    Routing need not choose a certain one, and a stream lasts for less than a second.
    """
    found: list[FleetTarget] = []

    async def look() -> bool:
        for target in fleet.targets_of(ServiceKind.MODEL):
            if await _is_running(fleet, target):
                found.append(target)
                return True
        return False

    await wait_until(look, what="a target has work", timeout_s=DRAIN_TIMEOUT_S)
    return found[0]


async def _say_runs(fleet: Fleet) -> None:
    """Print how many streams each model target has run."""
    for target in fleet.targets_of(ServiceKind.MODEL):
        runs = await _target_runs(fleet, target)
        state = await _local_state(fleet, target)
        say(f"  {target.name}: {runs} runs, running now: {state['running']}")


async def _send_until_served(fleet: Fleet, entry: int, request: dict) -> CallerAnswer:
    """Send a request, again if the team was above its rate, as the answer says."""
    for _ in range(MAX_REFUSALS):
        answer = await send_example(fleet, entry, request)
        if answer.status != TOO_MANY:
            break
        await asyncio.sleep(float(answer.headers["retry-after"]))
    return answer


def _say_failures(answers: list[CallerAnswer]) -> None:
    for answer in answers:
        if not answer.is_whole_stream:
            say(f"not whole: {answer.status} {answer.body[-300:]!r}")


def drain_ticket(target: FleetTarget) -> dict:
    """Return a ticket that drains `target`."""
    return {
        "author": "elsa",
        "reason": f"{target.name} runs hot",
        "based_on": 1,
        "token": f"drain-{target.name}",
        "objects": [{**target.fields, "state": "draining"}],
    }


async def run(directory: Path) -> bool:
    """Run every part and return whether all did as they should."""
    shape = FleetShape(entries=3)
    async with Fleet(desk=DESK, directory=directory, shape=shape) as fleet:
        say(
            f"started: platform, {len(fleet.targets)} targets with their local"
            f" processes, {len(fleet.entries)} entries in {len(fleet.data_centres)}"
            " data centres"
        )
        met = True
        for part in (show_stream, show_order, show_stock, show_drain):
            good = await part(fleet)
            if not good:
                say(f"NOT AS EXPECTED: {part.__name__}")
            met = met and good
    say(f"stopped: {len(fleet.group.children)} processes")
    good = await show_gateway(directory)
    if not good:
        say(f"NOT AS EXPECTED: {show_gateway.__name__}")
    return met and good


def main() -> None:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        met = asyncio.run(run(Path(directory)))
    say(f"RESULT name=demo met={'yes' if met else 'no'}")
    sys.exit(0 if met else 1)


def _key_of(request: dict) -> str:
    return request.get("headers", {}).get("Idempotency-Key", "")


async def _count_runs(fleet: Fleet, key: str) -> int:
    """Return how often the order stand-ins ran the order with `key`."""
    runs = 0
    for target in fleet.targets_of(ServiceKind.PLAIN):
        record = await fleet.read_json(target.stand_in.address, "/_record")
        runs += sum(1 for run in record["runs"] if run["key"] == key)
    return runs


async def _local_state(fleet: Fleet, target: FleetTarget) -> dict:
    dump = await fleet.read_json(target.local.address, "/operator/dump")
    return dump["local"]


async def _is_running(fleet: Fleet, target: FleetTarget) -> bool:
    return (await _local_state(fleet, target))["running"] > 0


async def _is_leaving(fleet: Fleet, target: FleetTarget) -> bool:
    return bool((await _local_state(fleet, target))["leaving"])


async def _is_empty(fleet: Fleet, target: FleetTarget) -> bool:
    state = await _local_state(fleet, target)
    return bool(state["leaving"]) and not state["attempts"]


async def _target_runs(fleet: Fleet, target: FleetTarget) -> int:
    record = await fleet.read_json(target.stand_in.address, "/_record")
    return len(record["runs"])


if __name__ == "__main__":
    main()
