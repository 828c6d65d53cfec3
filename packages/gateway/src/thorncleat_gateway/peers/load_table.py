"""The number of running requests at each endpoint, of this daemon and of all others.

Owns: the running requests of this daemon, the latest report of each daemon that sends reports to
this one, and the latest total of each other failure domain.
Relies on: :mod:`.load_reporter` for the reports, and :mod:`.datagrams` for their interval.
"""

import collections
import contextlib
import typing as t

from .datagrams import MIN_REPORT_INTERVAL_SECONDS

# Minimum time after which a report expires.
MIN_REPORT_TTL_SECONDS = 1.0
# Minimum number of report intervals after which a report expires, so that two may be lost.
REPORT_TTL_INTERVALS = 3.0


class _Report(t.NamedTuple):
    """The running requests in a report of another daemon or failure domain.

    :param at: when the report arrived, in seconds on the gateway's clock.
    """

    at: float
    counts: t.Mapping[str, int]


class LoadTable:
    """Running requests by endpoint.

    :param interval: returns the seconds between two reports of a daemon.
    """

    def __init__(self, clock: t.Callable[[], float], interval: t.Callable[[], float]) -> None:
        self._clock = clock
        self._report_interval_seconds = interval
        self._daemon_reports: dict[str, _Report] = {}
        # Totals of the failure domains whose daemons don't report to this one directly.
        self._domain_reports: dict[str, _Report] = {}
        self._remote_counts: collections.Counter[str] = collections.Counter()
        self.local_counts: collections.Counter[str] = collections.Counter()

    def request_count(self, endpoint_id: str) -> int:
        """Return the number of requests that run at an endpoint."""
        return self.local_counts[endpoint_id] + self._remote_counts[endpoint_id]

    def request_counts(self) -> collections.Counter[str]:
        """Return the number of requests by endpoint."""
        return self.local_counts + self._remote_counts

    def report(self, daemon: str, counts: t.Mapping[str, int]) -> None:
        """Replace the report of another daemon."""
        self._replace(self._daemon_reports, daemon, counts)

    def report_domain(self, failure_domain: str, counts: t.Mapping[str, int]) -> None:
        """Replace the report of another failure domain."""
        self._replace(self._domain_reports, failure_domain, counts)

    def sum_with(self, daemons: t.Container[str]) -> collections.Counter[str]:
        """Return the running requests by endpoint of this daemon and some others together."""
        total = self.local_counts.copy()
        for name, report in self._daemon_reports.items():
            if name in daemons:
                total.update(report.counts)
        return total

    def reporters_since(self, since: float) -> set[str]:
        """Return the ids of the daemons whose latest report arrived at or after an instant."""
        return {
            daemon_id for daemon_id, report in self._daemon_reports.items() if report.at >= since
        }

    def idle_reporters(self, endpoint_id: str, since: float) -> set[str]:
        """Return the ids of the daemons that have reported no requests at an endpoint.

        :param since: a report that arrived before this instant says nothing.
        """
        return {
            daemon_id
            for daemon_id in self.reporters_since(since)
            if not self._daemon_reports[daemon_id].counts.get(endpoint_id)
        }

    def report_age(self) -> float:
        """Return the seconds since the oldest report that the counts include; 0 without reports."""
        reports = (*self._daemon_reports.values(), *self._domain_reports.values())
        now = self._clock()
        return max((now - report.at for report in reports), default=0.0)

    def remove_expired(self) -> None:
        """Remove the reports that have expired."""
        oldest = self._clock() - self._report_ttl_seconds()
        for reports in (self._daemon_reports, self._domain_reports):
            for sender in [sender for sender, report in reports.items() if report.at < oldest]:
                self._subtract(reports, sender)

    def _replace(
        self, reports: dict[str, _Report], sender: str, counts: t.Mapping[str, int]
    ) -> None:
        """Replace the report of a daemon or failure domain.

        The update is incremental, so its cost does not grow with the number of daemons.
        """
        self._subtract(reports, sender)
        reports[sender] = _Report(self._clock(), counts)
        self._remote_counts.update(counts)

    def _subtract(self, reports: dict[str, _Report], sender: str) -> None:
        """Remove the report of a daemon or failure domain, if there is one."""
        report = reports.pop(sender, None)
        if report is None:
            return
        for endpoint_id, count in report.counts.items():
            self._remote_counts[endpoint_id] -= count
            if not self._remote_counts[endpoint_id]:
                del self._remote_counts[endpoint_id]

    def _report_ttl_seconds(self) -> float:
        return max(MIN_REPORT_TTL_SECONDS, REPORT_TTL_INTERVALS * self._report_interval_seconds())

    @property
    def has_individual_reports(self) -> bool:
        """Whether each daemon sends its reports to this one at the shortest interval."""
        return (
            not self._domain_reports
            and self._report_interval_seconds() <= MIN_REPORT_INTERVAL_SECONDS
        )

    @contextlib.contextmanager
    def track_request(self, endpoint_id: str) -> t.Iterator[None]:
        """Count a request at an endpoint while the context is open."""
        self.local_counts[endpoint_id] += 1
        try:
            yield
        finally:
            self.local_counts[endpoint_id] -= 1
            if not self.local_counts[endpoint_id]:
                del self.local_counts[endpoint_id]
