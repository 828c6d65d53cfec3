"""The running requests of each workspace at all daemons, by service and model.

Owns: this daemon's running requests by workspace, and the latest report of each daemon and failure
domain.
Relies on: :mod:`.load_table` for the counts and their expiry, and :mod:`.datagrams`; the next
report replaces one that is lost.
"""

import asyncio
import collections
import contextlib
import typing as t

from ..model_key import ModelKey
from ..service import Service
from ..service import background_task
from . import domain_loads
from .datagrams import PeerChannel
from .load_reporter import MAX_EMPTY_REPORTS
from .load_table import LoadTable
from .messages import Message
from .messages import WorkspaceCounts
from .messages import WorkspaceLoad

# Interval of the reports. Requests run for some seconds, so the share of a workspace changes more
# slowly than the load of an endpoint.
REPORT_INTERVAL_SECONDS = domain_loads.SUM_INTERVAL_SECONDS


class WorkspaceLoads:
    """Running requests by workspace, for each service and model.

    :param clock: monotonic, in seconds.
    """

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._tables: dict[ModelKey, LoadTable] = {}

    def running(self, service: str, model: str) -> t.Mapping[str, int]:
        """Return the running requests of a model's groups by workspace."""
        return self._table(service, model).request_counts()

    def track_request(
        self, service: str, model: str, workspace: str
    ) -> contextlib.AbstractContextManager[None]:
        """Count a request while the context is open."""
        return self._table(service, model).track_request(workspace)

    def local(self) -> list[WorkspaceCounts]:
        """Return the running requests of this daemon."""
        return _non_empty({key: table.local_counts for key, table in self._tables.items()})

    def sum_with(self, daemons: t.Container[str]) -> list[WorkspaceCounts]:
        """Return the running requests of this daemon and some others together."""
        return _non_empty({key: table.sum_with(daemons) for key, table in self._tables.items()})

    def report(self, daemon: str, loads: t.Iterable[WorkspaceCounts]) -> None:
        """Replace the report of another daemon."""
        for table, counts in self._by_table(loads):
            table.report(daemon, counts)

    def report_domain(self, failure_domain: str, loads: t.Iterable[WorkspaceCounts]) -> None:
        """Replace the report of another failure domain."""
        for table, counts in self._by_table(loads):
            table.report_domain(failure_domain, counts)

    def remove_expired(self) -> None:
        """Remove the reports that have expired."""
        for table in self._tables.values():
            table.remove_expired()

    def _by_table(
        self, loads: t.Iterable[WorkspaceCounts]
    ) -> list[tuple[LoadTable, t.Mapping[str, int]]]:
        """Return the counts for each table; empty ones for models that a report doesn't name."""
        reported = {(load.service, load.model): load.counts for load in loads}
        for service, model in reported:
            self._table(service, model)
        return [(table, reported.get(key, {})) for key, table in self._tables.items()]

    def _table(self, service: str, model: str) -> LoadTable:
        key = (service, model)
        if key not in self._tables:
            self._tables[key] = LoadTable(self._clock, lambda: REPORT_INTERVAL_SECONDS)
        return self._tables[key]


class WorkspaceReporter(Service):
    """Sends this daemon's running requests by workspace, and records those of the others.

    As with load reports, few daemons form a full mesh; otherwise daemons report to their failure
    domain, and some of them send its total to the others.

    :param failure_domain: the failure domain of this daemon.
    """

    def __init__(self, loads: WorkspaceLoads, peers: PeerChannel, failure_domain: str) -> None:
        super().__init__()
        self._loads = loads
        self._peers = peers
        self._failure_domain = failure_domain
        self._empty_reports = 0
        self._empty_sums = 0
        peers.on_message(self._on_message)

    def _on_message(self, sender: str, message: Message) -> None:
        if not isinstance(message, WorkspaceLoad):
            return
        if not message.failure_domain:
            self._loads.report(sender, message.loads)
        elif message.failure_domain != self._failure_domain:
            # The daemons of the own domain send their reports to this one directly.
            self._loads.report_domain(message.failure_domain, message.loads)

    @background_task
    async def _report_task(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            self.send()

    def send(self) -> None:
        """Send what is running, and pause after some empty reports."""
        self._loads.remove_expired()
        local = self._loads.local()
        self._empty_reports = 0 if local else self._empty_reports + 1
        if self._empty_reports <= MAX_EMPTY_REPORTS:
            report = WorkspaceLoad("", local)
            if self._peers.is_full_mesh:
                self._peers.broadcast(report)
            else:
                self._peers.broadcast_to_domain(report)
        self._send_sum()

    def _send_sum(self) -> None:
        domain_peers = self._peers.domain_peers
        if self._peers.is_full_mesh or not domain_loads.is_sum_sender(self._peers.id, domain_peers):
            return
        total = self._loads.sum_with(domain_peers)
        self._empty_sums = 0 if total else self._empty_sums + 1
        if self._empty_sums <= MAX_EMPTY_REPORTS:
            self._peers.broadcast_to_other_domains(WorkspaceLoad(self._failure_domain, total))


def _non_empty(
    counts: t.Mapping[ModelKey, collections.Counter[str]],
) -> list[WorkspaceCounts]:
    return [
        WorkspaceCounts(service, model, dict(by_workspace))
        for (service, model), by_workspace in counts.items()
        if by_workspace
    ]
