"""Telling the other daemons what this one has under way, and keeping what they tell.

Owns: whether another daemon has reported requests since this one started.
Relies on: the datagrams of :mod:`.datagrams`; a report that is lost is replaced by the next.
"""

import asyncio

import mode

from . import domain_loads
from .datagrams import DomainLoad
from .datagrams import LoadReport
from .datagrams import Message
from .datagrams import PeerChannel
from .failure_detector import FailureDetector
from .load_table import LoadTable

# seconds for which an endpoint's answer is told to the others: three reports where there are few
# daemons, so that two may be lost
HEARD_SECONDS = 0.3
# where reports are rarer than that, reports that tell of an answer; so that one may be lost
HEARD_REPORTS = 2
# reports without content that are sent before a daemon falls silent
EMPTY_REPORTS = 2


def contact_ttl_seconds(interval: float) -> float:
    """Return for how many seconds after an endpoint's answer reports name it.

    :param interval: seconds between two reports of a daemon.
    """
    return max(HEARD_SECONDS, HEARD_REPORTS * interval)


class LoadReporter(mode.Service):
    """Sends this daemon's load reports at the interval of the channel.

    :param failure_domain: of this daemon.
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
        self._others_had_requests = False
        peers.on_message(self._message)

    @property
    def has_seen_remote_requests(self) -> bool:
        """Whether another daemon has reported a request since this one started."""
        return self._others_had_requests

    def build_report(self) -> LoadReport:
        """Return what this daemon has under way now."""
        lately = contact_ttl_seconds(self._peers.report_interval_seconds())
        return LoadReport(
            dict(self._load_table.local_counts), self._detector.contacted_within(lately)
        )

    def _message(self, sender: str, message: Message) -> None:
        match message:
            case LoadReport(counts):
                self._load_table.report(sender, counts)
            case DomainLoad(failure_domain, counts):
                if failure_domain == self._failure_domain:
                    # its daemons report here themselves
                    return
                self._load_table.report_domain(failure_domain, counts)
            case _:
                return
        if counts:
            self._others_had_requests = True

    @mode.Service.task
    async def _report_task(self) -> None:
        empty_reports = 0
        while not self.should_stop:
            await asyncio.sleep(self._peers.report_interval_seconds())
            self._load_table.remove_expired()
            report = self.build_report()
            is_empty = not report.counts and not report.heard
            empty_reports = empty_reports + 1 if is_empty else 0
            if empty_reports > EMPTY_REPORTS:
                continue
            if self._peers.is_full_mesh:
                self._peers.broadcast(report)
            else:
                self._peers.broadcast_to_domain(report)

    @mode.Service.task
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
            if empty_sums <= EMPTY_REPORTS:
                self._peers.broadcast_to_other_domains(DomainLoad(self._failure_domain, counts))
