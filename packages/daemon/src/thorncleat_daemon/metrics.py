"""Counts and distributions that the daemon shows at ``/metrics``."""

import functools
import time
import typing as t

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest
from prometheus_client.core import GaugeMetricFamily

from thorncleat_core.burn import GOOD
from thorncleat_core.burn import BurnCounts
from thorncleat_core.burn import Subject

from .invariants import Invariant
from .invariants import Invariants

MAX_MICROSECONDS = 600_000_000
PRECISION = 2
QUANTILES = (50.0, 95.0, 99.0)


class Distribution:
    """Durations, kept in a histogram of microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_MICROSECONDS, PRECISION)

    @property
    def count(self) -> int:
        """How many durations were noted."""
        return int(self._histogram.get_total_count())

    def note(self, seconds: float) -> None:
        """Count a duration."""
        self._histogram.record_value(min(MAX_MICROSECONDS, max(1, int(seconds * 1e6))))

    def quantile(self, percent: float) -> float:
        """Return a quantile in seconds."""
        return float(self._histogram.get_value_at_percentile(percent)) / 1e6


class _Distributions:
    """Shows the distributions as gauges with a quantile label."""

    def __init__(self, kept: t.Mapping[tuple[str, str], Distribution]) -> None:
        self._kept = kept

    def collect(self) -> t.Iterator[GaugeMetricFamily]:
        family = GaugeMetricFamily(
            "thorncleat_seconds", "Quantiles of durations", labels=["what", "target", "quantile"]
        )
        for (what, target), distribution in sorted(self._kept.items()):
            for percent in QUANTILES:
                labels = [what, target, f"{percent / 100:g}"]
                family.add_metric(labels, distribution.quantile(percent))
        yield family


class Metrics:
    """All that one daemon counts."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.invariants = Invariants()
        self.burn = BurnCounts()
        self._distributions: dict[tuple[str, str], Distribution] = {}
        self.registry.register(t.cast(t.Any, _Distributions(self._distributions)))
        self.requests = self._counter("requests", "Requests by outcome", "workspace", "outcome")
        self.tokens = self._counter("tokens", "Events of answers passed on", "workspace", "target")
        self.dropped = self._counter("dropped_pieces", "Pieces that were not their own", "reason")
        self.retries = self._counter("retries", "Requests sent again", "reason")
        self.in_flight = Gauge(
            "thorncleat_in_flight", "Requests being answered", registry=self.registry
        )
        # all are shown as 0 from the start: an alert needs the series to be there
        broken = Gauge(
            "thorncleat_broken_invariants",
            "What must hold and did not",
            ["name"],
            registry=self.registry,
        )
        for which in Invariant:
            broken.labels(str(which)).set_function(
                functools.partial(self.invariants.broken.__getitem__, which)
            )

    def distribution(self, what: str, target: str) -> Distribution:
        """Return the distribution of a kind of duration for a model or service."""
        return self._distributions.setdefault((what, target), Distribution())

    def gauge(self, name: str, help_text: str, value: t.Callable[[], float]) -> None:
        """Show a value that is read when it is asked for."""
        Gauge(f"thorncleat_{name}", help_text, registry=self.registry).set_function(value)

    def ended(self, workspace: str, target: str, cause: str) -> None:
        """Count how a request ended.

        :param cause: ``good``, or why it counts against the objective.
        """
        self.requests.labels(workspace, cause).inc()
        self.burn.note(Subject(workspace, target), cause, time.time())

    def text(self) -> bytes:
        """Return everything in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"thorncleat_{name}", help_text, labels, registry=self.registry)


__all__ = ["GOOD", "Distribution", "Metrics"]
