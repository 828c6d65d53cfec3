"""Service-level burn: how fast each workspace's error budget is used up, and by what.

Owns: counts of good and bad requests of the last six hours.
Relies on: clocks of the daemons that agree to about a minute.
"""

import collections
import dataclasses
import typing as t

# length of a bucket
BUCKET_SECONDS = 60
# windows of the multi-window rule: a fast one and a slow one must both burn, at the rate that
# stands last; docs/OPERATORS.md names both alerts
WINDOWS = {"5m": 300, "1h": 3600, "6h": 21_600}
ALERTS = (("page", "5m", "1h", 14.4), ("ticket", "1h", "6h", 6.0))
GOOD = "good"


@dataclasses.dataclass(frozen=True, order=True)
class Subject:
    """Whose requests for what are counted together."""

    workspace: str
    target: str


@dataclasses.dataclass(frozen=True)
class BurnRow:
    """One line of the report.

    :param rates: burn rate for each window; 1 uses the budget up exactly.
    :param causes: bad requests for each cause in the longest window.
    """

    subject: Subject
    objective: float
    total: int
    rates: t.Mapping[str, float]
    causes: t.Mapping[str, int]
    alert: str


Buckets = dict[int, collections.Counter[str]]


class BurnCounts:
    """Counts of good and bad requests in buckets of a minute, for the longest window."""

    def __init__(self) -> None:
        self._counts: dict[Subject, Buckets] = {}

    def record(self, subject: Subject, cause: str, now: float) -> None:
        """Count a request.

        :param cause: :data:`GOOD`, or why it counts against the objective.
        :param now: seconds on a clock that all daemons share roughly.
        """
        buckets = self._counts.setdefault(subject, {})
        bucket = int(now // BUCKET_SECONDS)
        if bucket not in buckets:
            oldest = bucket - max(WINDOWS.values()) // BUCKET_SECONDS
            for late in [known for known in buckets if known < oldest]:
                del buckets[late]
        buckets.setdefault(bucket, collections.Counter())[cause] += 1

    def export(self) -> list[dict[str, t.Any]]:
        """Return the counts as plain values."""
        return [
            {
                "workspace": subject.workspace,
                "target": subject.target,
                "buckets": {str(number): dict(counts) for number, counts in buckets.items()},
            }
            for subject, buckets in sorted(self._counts.items())
        ]

    def merge(self, exported: t.Iterable[t.Mapping[str, t.Any]]) -> None:
        """Add the counts of another daemon."""
        for row in exported:
            buckets = self._counts.setdefault(Subject(row["workspace"], row["target"]), {})
            for number, counts in row["buckets"].items():
                buckets.setdefault(int(number), collections.Counter()).update(counts)

    def rows(self, objective: t.Callable[[Subject], float], now: float) -> list[BurnRow]:
        """Return the report's lines, the fastest burn first.

        :param objective: part of the requests that must be good.
        """
        rows = [
            _row(subject, buckets, objective(subject), now)
            for subject, buckets in sorted(self._counts.items())
        ]
        return sorted(rows, key=lambda row: max(row.rates.values(), default=0.0), reverse=True)


def _within(buckets: Buckets, window: int, now: float) -> collections.Counter[str]:
    oldest = int((now - window) // BUCKET_SECONDS)
    total: collections.Counter[str] = collections.Counter()
    for number, counts in buckets.items():
        if number > oldest:
            total.update(counts)
    return total


def _rate(counts: collections.Counter[str], objective: float) -> float:
    total = counts.total()
    if not total:
        return 0.0
    bad = total - counts[GOOD]
    return bad / total / (1 - objective)


def _row(subject: Subject, buckets: Buckets, objective: float, now: float) -> BurnRow:
    counts = {name: _within(buckets, seconds, now) for name, seconds in WINDOWS.items()}
    rates = {name: _rate(counted, objective) for name, counted in counts.items()}
    longest = counts["6h"]
    causes = {cause: number for cause, number in sorted(longest.items()) if cause != GOOD}
    alert = ""
    for name, fast, slow, threshold in ALERTS:
        if not alert and rates[fast] > threshold and rates[slow] > threshold:
            alert = name
    return BurnRow(subject, objective, longest.total(), rates, causes, alert)
