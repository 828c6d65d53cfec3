"""Sends load reports to the other daemons, and records theirs.

Owns: whether another daemon has reported requests since this one started.
Relies on: :mod:`.datagrams`; the next report replaces one that is lost.
"""

import asyncio

from ..service import Service
from ..service import background_task
from . import domain_loads
from .datagrams import PeerChannel
from .failure_detector import FailureDetector
from .load_table import LoadTable
from .messages import DomainLoad
from .messages import LoadReport
from .messages import Message

# Minimum time for which reports name an endpoint after its last answer: three reports in a small
# fleet, so that two may be lost.
MIN_CONTACT_TTL_SECONDS = 0.3
# Minimum number of report intervals for which reports name an endpoint; one may be lost.
CONTACT_TTL_REPORTS = 2
# Number of successive empty reports or totals that a daemon sends before it pauses them.
MAX_EMPTY_REPORTS = 2


def contact_ttl_seconds(interval: float) -> float:
    """Return the seconds for which reports name an endpoint after its last answer.

    :param interval: seconds between two reports of a daemon.
    """
    return max(MIN_CONTACT_TTL_SECONDS, CONTACT_TTL_REPORTS * interval)


class LoadReporter(Service):
    """Sends this daemon's load reports at the interval of the channel.

    :param failure_domain: the failure domain of this daemon.
    """

    def __init__(
        self,
        peers: PeerChannel,
        load_table: LoadTable,
        detector: FailureDetector,
        failure_domain: str,
    ) -> None:
        super().__init__()
        self._failure_domain = failure_domain
        self._peers = peers
        self._load_table = load_table
        self._detector = detector
        self._has_seen_remote_requests = False
        peers.on_message(self._on_message)

    @property
    def has_seen_remote_requests(self) -> bool:
        """Whether another daemon has reported a request since this one started."""
        return self._has_seen_remote_requests

    def build_report(self) -> LoadReport:
        """Return a report of the running requests and recent contacts of this daemon."""
        heard = self._detector.contacted_within(self._contact_ttl_seconds())
        return LoadReport(dict(self._load_table.local_counts), heard)

    def _contact_ttl_seconds(self) -> float:
        return contact_ttl_seconds(self._peers.report_interval_seconds())

    def _on_message(self, sender: str, message: Message) -> None:
        match message:
            case LoadReport(counts, heard):
                self._load_table.report(sender, counts)
                self._detector.record_remote_contacts(heard, self._contact_ttl_seconds())
            case DomainLoad(failure_domain, counts):
                if failure_domain == self._failure_domain:
                    # The daemons of this domain send their reports to this one directly.
                    return
                self._load_table.report_domain(failure_domain, counts)
            case _:
                return
        if counts:
            self._has_seen_remote_requests = True

    @background_task
    async def _report_task(self) -> None:
        empty_reports = 0
        while not self.should_stop:
            await asyncio.sleep(self._peers.report_interval_seconds())
            self._load_table.remove_expired()
            report = self.build_report()
            is_empty = not report.counts and not report.heard
            empty_reports = empty_reports + 1 if is_empty else 0
            if empty_reports > MAX_EMPTY_REPORTS:
                continue
            if self._peers.is_full_mesh:
                self._peers.broadcast(report)
            else:
                self._peers.broadcast_to_domain(report)

    @background_task
    async def _sum_task(self) -> None:
        empty_sums = 0
        while not self.should_stop:
            await asyncio.sleep(domain_loads.SUM_INTERVAL_SECONDS)
            domain_peers = self._peers.domain_peers
            if self._peers.is_full_mesh or not domain_loads.is_sum_sender(
                self._peers.id, domain_peers
            ):
                continue
            counts = self._load_table.sum_with(domain_peers)
            empty_sums = 0 if counts else empty_sums + 1
            if empty_sums <= MAX_EMPTY_REPORTS:
                self._peers.broadcast_to_other_domains(DomainLoad(self._failure_domain, counts))
