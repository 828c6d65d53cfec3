"""The base class of each program's Prometheus metrics.

Owns: the registry and the distributions of durations.
Relies on: subclasses to define the metrics of each program.
"""

import typing as t

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest

from .distributions import Distributions

PREFIX = "thorncleat"


class MetricsRegistry:
    """A Prometheus registry with distributions, to which subclasses add counters and gauges."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._distributions = Distributions()
        self._registry.register(t.cast(t.Any, self._distributions))

    def gauge(self, name: str, help_text: str, value: t.Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        self._gauge(name, help_text).set_function(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"{PREFIX}_{name}", help_text, labels, registry=self._registry)

    def _gauge(self, name: str, help_text: str, *labels: str) -> Gauge:
        return Gauge(f"{PREFIX}_{name}", help_text, labels, registry=self._registry)
