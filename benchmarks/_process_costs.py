"""What processes have cost so far, as the kernel counts it."""

import os
import re
import subprocess
from collections import defaultdict
from pathlib import Path

import msgspec

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
HEADER_BYTES = 52
USER_TIME_FIELD, SYSTEM_TIME_FIELD = 11, 12
PID = re.compile(r"pid=(\d+)")
COUNTER = re.compile(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


class Costs(msgspec.Struct, frozen=True, kw_only=True):
    """Processor time, resident memory and bytes on the network of one process."""

    cpu_s: float
    memory_bytes: int
    sockets: dict[str, int]

    def network_since(self, before: "Costs") -> int:
        """Return the bytes sent and received since `before`, with TCP/IP headers."""
        total = 0
        for socket, count in self.sockets.items():
            total += max(0, count - before.sockets.get(socket, 0))
        return total


def read_costs(pids: list[int]) -> dict[int, Costs]:
    """Return the costs of each process."""
    sockets = _read_sockets(set(pids))
    return {
        pid: Costs(
            cpu_s=_cpu_s(pid), memory_bytes=_memory_bytes(pid), sockets=sockets[pid]
        )
        for pid in pids
    }


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks / CLOCK_TICKS_PER_S


def _memory_bytes(pid: int) -> int:
    """Return the private memory, which no other process shares."""
    text = Path(f"/proc/{pid}/smaps_rollup").read_text()
    found = re.findall(r"Private_(?:Clean|Dirty):\s+(\d+) kB", text)
    return sum(int(value) for value in found) * 1024


def _read_sockets(pids: set[int]) -> dict[int, dict[str, int]]:
    """Return bytes with headers by socket, for each process."""
    result = subprocess.run(
        ["ss", "-tinpHO", "state", "connected"],
        capture_output=True,
        text=True,
        check=True,
    )
    found: dict[int, dict[str, int]] = defaultdict(dict)
    for line in result.stdout.splitlines():
        owner = PID.search(line)
        if owner is None or int(owner[1]) not in pids:
            continue
        counters = dict(COUNTER.findall(line))
        count = sum(int(counters.get(k, 0)) for k in ("bytes_sent", "bytes_received"))
        segments = sum(int(counters.get(k, 0)) for k in ("segs_out", "segs_in"))
        name = " ".join(line.split()[2:5])
        found[int(owner[1])][name] = count + HEADER_BYTES * segments
    return found
