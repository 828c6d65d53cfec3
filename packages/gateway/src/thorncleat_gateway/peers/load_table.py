"""How many requests each endpoint has, from this daemon and, as far as heard, from others.

Owns: this daemon's requests under way, the newest report of each other daemon that reports here,
and the newest sum of each other failure domain.
Relies on: :mod:`.load_reporter` for the reports, and :mod:`.datagrams` for the interval between
them.
"""

import collections
import contextlib
import typing as t

from .datagrams import MIN_REPORT_INTERVAL_SECONDS

# a report of another daemon counts no longer than this, in seconds, or than so many intervals,
# whichever is longer, so that two lost datagrams make nobody forget it
REPORT_SECONDS = 1.0
# see REPORT_SECONDS
REPORT_INTERVALS = 3.0


class Report(t.NamedTuple):
    """What another daemon had under way.

    :param at: when the report came, on the gateway's clock.
    """

    at: float
    counts: t.Mapping[str, int]


class LoadTable:
    """Requests under way by endpoint.

    :param interval: returns the seconds between two reports of a daemon.
    """

    def __init__(self, clock: t.Callable[[], float], interval: t.Callable[[], float]) -> None:
        self._clock = clock
        self._interval = interval
        self._others: dict[str, Report] = {}
        # of failure domains whose daemons don't report here one by one
        self._domains: dict[str, Report] = {}
        self._sum: collections.Counter[str] = collections.Counter()
        self.local_counts: collections.Counter[str] = collections.Counter()

    def request_count(self, endpoint_id: str) -> int:
        """Return the requests that an endpoint has."""
        return self.local_counts[endpoint_id] + self._sum[endpoint_id]

    def report(self, daemon: str, counts: t.Mapping[str, int]) -> None:
        """Replace what another daemon has under way."""
        self._replace(self._others, daemon, counts)

    def report_domain(self, failure_domain: str, counts: t.Mapping[str, int]) -> None:
        """Replace what the daemons of another failure domain have under way."""
        self._replace(self._domains, failure_domain, counts)

    def sum_with(self, daemons: t.Container[str]) -> collections.Counter[str]:
        """Return what this daemon and some others have under way together."""
        total = self.local_counts.copy()
        for name, report in self._others.items():
            if name in daemons:
                total.update(report.counts)
        return total

    def reporters_since(self, moment: float) -> set[str]:
        """Return the daemons whose newest report came after a moment."""
        return {name for name, report in self._others.items() if report.at >= moment}

    def remove_expired(self) -> None:
        """Forget the reports that are too old."""
        begin = self._clock() - self._lasting()
        for reports in (self._others, self._domains):
            for name in [name for name, report in reports.items() if report.at < begin]:
                self._subtract(reports, name)

    def _replace(self, reports: dict[str, Report], name: str, counts: t.Mapping[str, int]) -> None:
        # only what one daemon reports is added up, so that a report's cost does not grow with
        # the number of daemons
        self._subtract(reports, name)
        reports[name] = Report(self._clock(), counts)
        self._sum.update(counts)

    def _subtract(self, reports: dict[str, Report], name: str) -> None:
        report = reports.pop(name, None)
        if report is None:
            return
        for endpoint_id, count in report.counts.items():
            self._sum[endpoint_id] -= count
            if not self._sum[endpoint_id]:
                del self._sum[endpoint_id]

    def _lasting(self) -> float:
        return max(REPORT_SECONDS, REPORT_INTERVALS * self._interval())

    @property
    def has_individual_reports(self) -> bool:
        """Whether all daemons report here one by one, each as often as it can."""
        return not self._domains and self._interval() <= MIN_REPORT_INTERVAL_SECONDS

    @contextlib.contextmanager
    def track_request(self, endpoint_id: str) -> t.Iterator[None]:
        """Count a request while it is under way."""
        self.local_counts[endpoint_id] += 1
        try:
            yield
        finally:
            self.local_counts[endpoint_id] -= 1
            if not self.local_counts[endpoint_id]:
                del self.local_counts[endpoint_id]
