"""Histograms of durations, exported as Prometheus metrics.

Owns: a histogram for each kind of duration and target.
Relies on: hdrhistogram for the histograms, callers to limit the number of targets.
"""

import typing as t

from hdrh.histogram import HdrHistogram
from prometheus_client.core import GaugeMetricFamily

# Longer durations are recorded as this value.
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
EXPORTED_PERCENTILES = (50.0, 95.0, 99.0)


class Distribution:
    """A histogram of durations with a resolution of one microsecond."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return int(self._histogram.get_total_count())

    def record(self, seconds: float) -> None:
        """Record a duration."""
        self._histogram.record_value(min(MAX_MICROSECONDS, max(1, int(seconds * 1e6))))

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds."""
        return float(self._histogram.get_value_at_percentile(percent)) / 1e6


class Distributions:
    """A Prometheus collector of distributions, by kind of duration and target."""

    def __init__(self) -> None:
        self._distributions: dict[tuple[str, str], Distribution] = {}

    def __len__(self) -> int:
        return len(self._distributions)

    def __contains__(self, key: tuple[str, str]) -> bool:
        return key in self._distributions

    def get_or_create(self, what: str, target: str) -> Distribution:
        """Return the distribution of a kind of duration for a target.

        :param what: kind of duration.
        """
        key = (what, target)
        if key not in self._distributions:
            self._distributions[key] = Distribution()
        return self._distributions[key]

    def collect(self) -> t.Iterator[GaugeMetricFamily]:
        """Yield a gauge family with a ``quantile`` label, and one with the counts."""
        family = GaugeMetricFamily(
            "thorncleat_seconds", "Quantiles of durations", labels=["what", "target", "quantile"]
        )
        counts = GaugeMetricFamily(
            "thorncleat_durations", "Durations measured", labels=["what", "target"]
        )
        for (what, target), distribution in sorted(self._distributions.items()):
            counts.add_metric([what, target], distribution.count)
            for percent in EXPORTED_PERCENTILES:
                labels = [what, target, f"{percent / 100:g}"]
                family.add_metric(labels, distribution.percentile(percent))
        yield family
        yield counts
