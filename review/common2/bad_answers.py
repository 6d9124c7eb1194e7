"""Play of runners that send bytes without end which are no answer, for a time.

Other runners are sound, and so are all clients.
"""

import asyncio
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from common2 import deployment as d

HERE = Path(__file__).resolve().parent
# All connections of a bad runner together send this much a second, 100 Mbit/s; the link
# of a front machine of `klang-hq` has 1,000 Mbit/s.
BYTES_PER_S = 12.5e6
CALM_S, BAD_S, AFTER_S = 3.0, 6.5, 5.0
# Requests a second: all plain ones of `klang-hq`, and a third of its streams, since it
# has three front machines.
REQUESTS = (
    ("POST", "/draft/1", 9.4, 8_050),
    ("POST", "/order/1", 2.4, 1_013),
    ("GET", "/stock/1", 1.5, 1_010),
)


# Bad ones of the 12 runners: a share of 0.17.
BAD_COUNT = 2
STREAM_PATH, TIMEOUT_S = "/draft/1", 1.0
MODEL_IDENTS = tuple(f"i-{number}" for number in range(1, 13))


class Traffic:
    """Clients that send requests at a steady rate, each on its own connection."""

    def __init__(self, gateway, record):
        self._gateway = gateway
        self._record = record
        self._began_s = time.monotonic()
        self._tasks = set()
        self.results = Counter()
        # Requests for plain runners that had no answer at their route's `timeoutMs`,
        # and half a second later.
        self.unanswered = self.late = 0

    @property
    def age_s(self):
        """Time since the traffic began."""
        return time.monotonic() - self._began_s

    async def run(self, method, path, per_s, deadline_ms, length_s):
        """Send requests of one kind."""
        while self.age_s < length_s:
            task = asyncio.create_task(self._send(method, path, deadline_ms))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*self._tasks)

    async def _send(self, method, path, deadline_ms):
        headers = d.make_headers(deadline_ms=deadline_ms)
        sent_s, request_id = self.age_s, headers["Request-Id"]
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                status, _, _ = await d.ask(self._gateway.front, method, path, headers)
        except (OSError, TimeoutError, EOFError) as error:
            status = type(error).__name__
        self.results[path, status] += 1
        if path != STREAM_PATH:
            self.unanswered += self.age_s - sent_s > TIMEOUT_S
            self.late += self.age_s - sent_s > TIMEOUT_S + 0.5
        self._record.append(
            f"{sent_s:6.2f} s sent {method} {path} {request_id}: {status} after "
            f"{1000 * (self.age_s - sent_s):.0f} ms"
        )


async def watch(gateway, traffic, record, length_s):
    """Ask whether the gateway is ready, as the platform does; return its silence."""
    longest_s = last_s = 0.0
    while traffic.age_s < length_s and gateway.is_running:
        if await gateway.is_ready():
            last_s = traffic.age_s
        longest_s = max(longest_s, traffic.age_s - last_s)
        record.append(
            f"{traffic.age_s:6.2f} s memory {gateway.memory_mb():.0f} MB, "
            f"last ready {traffic.age_s - last_s:.1f} s ago"
        )
        await asyncio.sleep(0.5)
    return longest_s


async def play(piece, record):
    """Play the case; return whether the rule held."""
    arguments = ("45", piece, BYTES_PER_S)
    idents = [f"i-{number}" for number in range(1, 16)]
    runners = []
    deployment = None
    try:
        for ident in idents:
            runner = d.RunnerProcess(HERE / "runner.py", ident, *arguments)
            runners.append(runner)
            await runner.start()
        entries = {
            ident: d.make_entry(
                service="model" if ident in MODEL_IDENTS else "orders",
                address=runner.address,
                zone="svea-a",
            )
            for ident, runner in zip(idents, runners, strict=True)
        }
        configuration = d.make_configuration(
            routes=d.make_desk_routes(), services=["orders", "model"]
        )
        with tempfile.TemporaryDirectory() as directory:
            deployment = d.Deployment(
                directory=directory, configuration=configuration, entries=entries
            )
            await deployment.start()
            return await observe(deployment.gateways[0], runners[:BAD_COUNT], record)
    finally:
        if deployment is not None:
            await deployment.stop()
        for ident, runner in zip(idents, runners, strict=False):
            written = await runner.stop()
            record += [f"runner {ident}: {line}" for line in written.splitlines()]


async def observe(gateway, bad_runners, record):
    """Send traffic while some of the runners are bad for a time."""
    length_s = CALM_S + BAD_S + AFTER_S
    traffic = Traffic(gateway, record)
    sending = asyncio.gather(*(traffic.run(*request, length_s) for request in REQUESTS))
    watching = asyncio.create_task(watch(gateway, traffic, record, length_s))
    await asyncio.sleep(CALM_S)
    if d.HAS_TROUBLE:
        for runner in bad_runners:
            await runner.tell("bad")
        record.append(f"{traffic.age_s:6.2f} s {len(bad_runners)} runners turn bad")
    await asyncio.sleep(BAD_S)
    for runner in bad_runners:
        await runner.tell("good")
    await sending
    silence_s = await watching
    is_running = gateway.is_running
    peak_mb = gateway.memory_mb("VmHWM") if is_running else float("inf")
    is_late = traffic.late >= 8 and traffic.late > traffic.unanswered / 4
    summary = (
        f"plain requests without an answer at timeoutMs {traffic.unanswered}, half a "
        f"second later {traffic.late}; "
        f"memory at its peak {peak_mb:.0f} MB of {d.MEMORY_MB} MB; process "
        f"{'lives' if is_running else 'has ended'}; longest time without a 200 at "
        f"/api/ready {silence_s:.1f} s"
    )
    print(summary)
    record += [
        summary,
        *(f"{key}: {n}" for key, n in sorted(traffic.results.items(), key=str)),
    ]
    for key, count in sorted(traffic.results.items(), key=str):
        print(*key, count)
    return is_running and peak_mb <= d.MEMORY_MB and not is_late


def main(case, piece):
    """Run a case, and return its exit status.

    Parameters
    ----------
    case : str
        Folder of the case, where the record is written.
    piece : str
        What bad runners send.
    """
    record = [f"trouble: {d.HAS_TROUBLE}"]
    try:
        held = asyncio.run(play(piece, record))
    except Exception as error:
        record.append(f"could not run: {error!r}")
        print(record[-1])
        return d.NOT_RUN
    finally:
        (HERE.parent / case / "record.txt").write_text("\n".join(record) + "\n")
    return d.HELD if held else d.BROKEN


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
