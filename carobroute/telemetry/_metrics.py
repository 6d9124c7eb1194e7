"""Metrics whose label sets are bounded."""

from collections.abc import Sequence
from typing import Any

import prometheus_client
from prometheus_client import CollectorRegistry

OTHER = "other"
MAX_SERIES = 200
LATENCY_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 360, 500, 1_000, 2_000, 5_000)


class BoundedMetric:
    """A metric that folds label values beyond a bound into `other`.

    Parameters
    ----------
    metric : prometheus_client metric
        What is counted.
    most : int
        Label sets kept apart.
    """

    __slots__ = ("_children", "_metric", "_most")

    def __init__(self, *, metric: Any, most: int):
        self._metric = metric
        self._most = most
        self._children: dict[tuple[str, ...], Any] = {}

    def labels(self, *values: str) -> Any:
        """Return the series of `values`, or that of `other` beyond the bound."""
        child = self._children.get(values)
        if child is not None:
            return child
        if len(self._children) >= self._most:
            values = (OTHER,) * len(values)
            if values in self._children:
                return self._children[values]
        child = self._metric.labels(*values)
        self._children[values] = child
        return child

    def remove(self, *values: str) -> None:
        """Drop the series of `values`, for an object that is gone."""
        if self._children.pop(values, None) is not None:
            self._metric.remove(*values)


class Metrics:
    """Metrics of one process, in a registry of its own.

    Parameters
    ----------
    namespace : str, default='carobroute'
        First part of each name.
    most_series : int, default=200
        Label sets that one metric keeps apart.

    Examples
    --------
    >>> metrics = Metrics(most_series=1)
    >>> requests = metrics.counter("requests", "Requests by team.", ["team"])
    >>> for team in ["shop", "stranger", "stranger-2"]:
    ...     requests.labels(team).inc()
    >>> text = metrics.render().decode()
    >>> 'carobroute_requests_total{team="other"} 2.0' in text
    True
    """

    __slots__ = ("_most_series", "_namespace", "_registry")

    def __init__(self, *, namespace: str = "carobroute", most_series: int = MAX_SERIES):
        self._namespace = namespace
        self._most_series = most_series
        self._registry = CollectorRegistry()

    @property
    def registry(self) -> CollectorRegistry:
        """The registry that holds the metrics."""
        return self._registry

    def counter(self, name: str, doc: str, labels: Sequence[str] = ()) -> Any:
        """Return a new counter, bounded if it has labels."""
        return self._make(prometheus_client.Counter, name, doc, labels)

    def gauge(self, name: str, doc: str, labels: Sequence[str] = ()) -> Any:
        """Return a new gauge, bounded if it has labels."""
        return self._make(prometheus_client.Gauge, name, doc, labels)

    def histogram(
        self,
        name: str,
        doc: str,
        labels: Sequence[str] = (),
        buckets: Sequence[float] = LATENCY_BUCKETS_MS,
    ) -> Any:
        """Return a new histogram, bounded if it has labels."""
        kind = prometheus_client.Histogram
        return self._make(kind, name, doc, labels, buckets=buckets)

    def render(self) -> bytes:
        """Return all metrics in the exposition format."""
        return prometheus_client.generate_latest(self._registry)

    def _make(self, kind, name, doc, labels, **options) -> Any:
        metric = kind(
            name,
            doc,
            labelnames=tuple(labels),
            namespace=self._namespace,
            registry=self._registry,
            **options,
        )
        if not labels:
            return metric
        return BoundedMetric(metric=metric, most=self._most_series)
