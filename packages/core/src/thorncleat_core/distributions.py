"""Distributions of durations, shown in the Prometheus text format.

Owns: a histogram for each kind of duration and target.
Relies on: hdrhistogram, and on whoever measures to bound the number of targets.
"""

import typing as t

from hdrh.histogram import HdrHistogram
from prometheus_client.core import GaugeMetricFamily

# microseconds; longer durations, of more than ten minutes, count as these
MAX_MICROSECONDS = 600_000_000
# significant decimal digits that are kept
PRECISION = 2
# in percent
QUANTILES = (50.0, 95.0, 99.0)


class Distribution:
    """Durations, kept in a histogram of microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_MICROSECONDS, PRECISION)

    @property
    def count(self) -> int:
        """How many durations were noted."""
        return int(self._histogram.get_total_count())

    def record(self, seconds: float) -> None:
        """Count a duration."""
        self._histogram.record_value(min(MAX_MICROSECONDS, max(1, int(seconds * 1e6))))

    def quantile(self, percent: float) -> float:
        """Return a quantile in seconds."""
        return float(self._histogram.get_value_at_percentile(percent)) / 1e6


class Distributions:
    """Distributions by what was measured and for whom; a collector for the registry."""

    def __init__(self) -> None:
        self._kept: dict[tuple[str, str], Distribution] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def __contains__(self, key: tuple[str, str]) -> bool:
        return key in self._kept

    def get_or_create(self, what: str, target: str) -> Distribution:
        """Return the distribution of a kind of duration for a target."""
        key = (what, target)
        if key not in self._kept:
            self._kept[key] = Distribution()
        return self._kept[key]

    def collect(self) -> t.Iterator[GaugeMetricFamily]:
        """Show the distributions as gauges with a quantile label, and their counts."""
        family = GaugeMetricFamily(
            "thorncleat_seconds", "Quantiles of durations", labels=["what", "target", "quantile"]
        )
        counts = GaugeMetricFamily(
            "thorncleat_durations", "Durations measured", labels=["what", "target"]
        )
        for (what, target), distribution in sorted(self._kept.items()):
            counts.add_metric([what, target], distribution.count)
            for percent in QUANTILES:
                labels = [what, target, f"{percent / 100:g}"]
                family.add_metric(labels, distribution.quantile(percent))
        yield family
        yield counts
