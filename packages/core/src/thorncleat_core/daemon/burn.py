"""Burn rates: how fast the requests of each workspace use up their error budget.

Owns: the counts of good and bad requests in the longest window.
Relies on: clocks of the daemons that differ by less than a bucket.
"""

import collections
import dataclasses
import typing as t

BUCKET_SECONDS = 60
# Windows by name, in seconds.
WINDOWS = {"5m": 300, "1h": 3600, "6h": 21_600}
# Alert name, short window, long window and threshold. An alert fires if the burn rates of both
# windows exceed the threshold.
ALERTS = (("page", "5m", "1h", 14.4), ("ticket", "1h", "6h", 6.0))
# Cause of the requests that meet the objective.
GOOD = "good"


@dataclasses.dataclass(frozen=True, order=True)
class Subject:
    """A workspace and the target of its requests, which are counted together."""

    workspace: str
    target: str


@dataclasses.dataclass(frozen=True)
class BurnRow:
    """A row of the burn report.

    :param objective: fraction of requests that must be good.
    :param total: number of requests in the longest window.
    :param rates: burn rate for each window. A rate of 1 uses up the error budget exactly.
    :param causes: number of bad requests for each cause in the longest window.
    :param alert: name of the alert that fires; empty for none.
    """

    subject: Subject
    objective: float
    total: int
    rates: t.Mapping[str, float]
    causes: t.Mapping[str, int]
    alert: str


Buckets = dict[int, collections.Counter[str]]


class BurnCounts:
    """Counts of requests by cause, in time buckets that cover the longest window."""

    def __init__(self) -> None:
        self._counts: dict[Subject, Buckets] = {}

    def record(self, subject: Subject, cause: str, now: float) -> None:
        """Record a request.

        :param cause: :data:`GOOD`, or the reason why it counts against the objective.
        :param now: wall clock time in seconds.
        """
        buckets = self._counts.setdefault(subject, {})
        bucket = int(now // BUCKET_SECONDS)
        if bucket not in buckets:
            oldest = bucket - max(WINDOWS.values()) // BUCKET_SECONDS
            for expired in [number for number in buckets if number < oldest]:
                del buckets[expired]
        buckets.setdefault(bucket, collections.Counter())[cause] += 1

    def export(self) -> list[dict[str, t.Any]]:
        """Return the counts as plain values, for :meth:`merge` on another daemon."""
        return [
            {
                "workspace": subject.workspace,
                "target": subject.target,
                "buckets": {str(number): dict(counts) for number, counts in buckets.items()},
            }
            for subject, buckets in sorted(self._counts.items())
        ]

    def merge(self, exported: t.Iterable[t.Mapping[str, t.Any]]) -> None:
        """Add the counts that another daemon exported."""
        for row in exported:
            buckets = self._counts.setdefault(Subject(row["workspace"], row["target"]), {})
            for number, counts in row["buckets"].items():
                buckets.setdefault(int(number), collections.Counter()).update(counts)

    def rows(self, objective: t.Callable[[Subject], float], now: float) -> list[BurnRow]:
        """Return the rows of the report, the highest burn rate first.

        :param objective: function that returns the fraction of requests that must be good.
        """
        rows = [
            _make_row(subject, buckets, objective(subject), now)
            for subject, buckets in sorted(self._counts.items())
        ]
        return sorted(rows, key=lambda row: max(row.rates.values(), default=0.0), reverse=True)


def _count_in_window(buckets: Buckets, window: int, now: float) -> collections.Counter[str]:
    oldest = int((now - window) // BUCKET_SECONDS)
    total: collections.Counter[str] = collections.Counter()
    for number, counts in buckets.items():
        if number > oldest:
            total.update(counts)
    return total


def _burn_rate(counts: collections.Counter[str], objective: float) -> float:
    total = counts.total()
    if not total:
        return 0.0
    bad = total - counts[GOOD]
    return bad / total / (1 - objective)


def _make_row(subject: Subject, buckets: Buckets, objective: float, now: float) -> BurnRow:
    counts = {name: _count_in_window(buckets, seconds, now) for name, seconds in WINDOWS.items()}
    rates = {name: _burn_rate(counted, objective) for name, counted in counts.items()}
    longest = counts["6h"]
    causes = {cause: number for cause, number in sorted(longest.items()) if cause != GOOD}
    alert = ""
    for name, short, long, threshold in ALERTS:
        if not alert and rates[short] > threshold and rates[long] > threshold:
            alert = name
    return BurnRow(subject, objective, longest.total(), rates, causes, alert)
