"""Figures of a process that are read when the metrics are."""

from collections import Counter
from collections.abc import Callable

from carobroute.daemon._process import Process
from carobroute.local import LocalProcess, OrderRunner
from carobroute.telemetry import Metrics

LINK_COUNTS = {
    "bytes_sent": "Bytes sent on links.",
    "bytes_received": "Bytes received on links.",
    "reopened": "Silent or broken connections replaced.",
    "dropped_queue_full": "Messages dropped because a peer's queue was full.",
    "refused_frame": "Frames refused as malformed or unannounced.",
}
ORDER_COUNTS = {
    "done": "Orders run here.",
    "replayed": "Resends answered with the first answer.",
    "elsewhere": "Orders held by another local process.",
    "not_run": "Orders refused as not run.",
    "unknown": "Orders whose outcome is unknown.",
}


def expose_process(process: Process) -> None:
    """Expose what every process has: ticket, calls, links, suspects."""
    metrics = process.telemetry.metrics
    gauges: dict[str, tuple[str, Callable[[], float]]] = {
        "ready": (
            "Whether the process serves.",
            lambda: process.ready and not process.stopping,
        ),
        "ticket_in_force": (
            "Number of the ticket in force.",
            lambda: process.keeper.current.number,
        ),
        "in_flight": ("Calls in hand.", lambda: process.in_flight),
        "peers": ("Peers known.", lambda: len(process.endpoint.peers)),
        "peers_up": (
            "Peers heard on the connection in use.",
            lambda: sum(peer.up for peer in process.endpoint.peers),
        ),
        "suspects": (
            "Requests that run alone or are refused.",
            lambda: len(process.quarantine.suspects),
        ),
    }
    for name, (doc, read) in gauges.items():
        metrics.gauge(name, doc).set_function(read)
    _expose_counts(metrics, "link", LINK_COUNTS, process.endpoint.counts)


def expose_local(process: Process, local: LocalProcess, orders: OrderRunner) -> None:
    """Expose what a local process has beside that: its target, and orders."""
    metrics = process.telemetry.metrics
    gauges: dict[str, tuple[str, Callable[[], float]]] = {
        "running": ("Calls that run in the target.", lambda: local.running),
        "queued": ("Calls that wait for the target.", lambda: local.queued),
        "leaving": ("Whether the target takes no new work.", lambda: local.leaving),
        "crashes": ("Crashes of the target seen.", lambda: local.crashes),
    }
    for name, (doc, read) in gauges.items():
        metrics.gauge(f"target_{name}", doc).set_function(read)
    _expose_counts(metrics, "orders", ORDER_COUNTS, orders.counts)


def expose_entry(process: Process, late_answers: Counter[str]) -> None:
    """Expose what an entry has beside that: answers that came too late."""
    docs = {
        "late": "Answers to attempts that had ended, dropped.",
        "out_of_order": "Answers that came twice or after a gap, dropped.",
    }
    _expose_counts(process.telemetry.metrics, "answers", docs, late_answers)


def _expose_counts(
    metrics: Metrics, prefix: str, docs: dict[str, str], counts: Counter[str]
) -> None:
    for name, doc in docs.items():
        gauge = metrics.gauge(f"{prefix}_{name}", doc)
        gauge.set_function(lambda key=name: counts[key])
