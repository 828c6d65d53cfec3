"""One daemon of the gateway: builds its parts and runs them.

This is the one place that wires the parts; what they decide stands in their modules, which
docs/ARCHITECTURE.md lists.

Owns: the parts, the order in which they start and end, and the HTTP client to the endpoints.
Relies on: the adapter's ports for the store, the engines and the names of headers.
"""

import asyncio
import contextlib
import socket
import typing as t

import aiohttp
import mode

from . import events
from .groups.call_window import CallWindow
from .groups.controller import Controller
from .groups.election import Election
from .groups.ended import EndedGroups
from .groups.orders import Orders
from .groups.records import GroupRecords
from .groups.term import TermFactory
from .listeners import Listeners
from .metrics import Metrics
from .peers.datagrams import PeerChannel
from .peers.failure_detector import FailureDetector
from .peers.load_reporter import LoadReporter
from .peers.load_table import LoadTable
from .peers.probe_answers import ProbeAnswers
from .planned_stop import PlannedStop
from .ports import ChangeFeed
from .ports import Engines
from .ports import HeaderCodec
from .ports import RecordStore
from .requests import endpoint_client
from .requests.crash_reporter import CrashReporter
from .requests.crash_watch import CrashWatch
from .requests.endpoint_client import EndpointClient
from .requests.endpoint_limits import EndpointLimits
from .requests.endpoint_notices import EndpointNotices
from .requests.endpoint_selector import EndpointSelector
from .requests.frontend import Frontend
from .requests.lifted_holds import ReleasedRequests
from .requests.limit_reporter import LimitReporter
from .requests.plain import PlainForwarder
from .requests.quarantine import Quarantine
from .requests.retry_budget import RetryBudgets
from .requests.streams import StreamForwarder
from .settings import GatewaySettings
from .store.registration import RELAYS
from .store.registration import Registration
from .store.relay_feed import RelayFeed
from .store.relay_server import RelayServer
from .store.relays import Daemon
from .store.relays import gather_seconds
from .store.view import StoreView

# for the first configuration to come before callers' connections are taken; they wait that long
# at most, since a daemon without one has to say so
FIRST_CONFIGURATION_SECONDS = 0.25
# over which the lateness of the event loop is shown as a metric, in seconds
LATENESS_SECONDS = 1.0


class Gateway(mode.Service):
    """One daemon.

    :param feed: what the platform's store says.
    :param records: the gateway's own records in that store.
    :param engines: reports from engines, and orders to them.
    :param codec: the names of headers.
    :param clock: seconds that never go back.
    :param first_start: whether this is the very first start of the whole system.
    :param callers: a socket that listens at the callers' address; None to open one.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        feed: ChangeFeed,
        records: RecordStore,
        engines: Engines,
        codec: HeaderCodec,
        clock: t.Callable[[], float],
        *,
        first_start: bool = False,
        callers: socket.socket | None = None,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._codec = codec
        self._clock = clock
        self._first_start = first_start
        self._callers = callers
        self._listeners = Listeners()
        self._client: aiohttp.ClientSession | None = None
        self._frontend: Frontend | None = None
        self._records = records
        self._feed = RelayFeed(settings.relay, feed, self._relays, self._listed_relays, clock)
        self.view = StoreView(self._feed, clock, settings.watch, self._coalesce)
        self._registration = Registration(settings, records, self.view, clock)
        self._relay_server = RelayServer(self.view, self._daemons)
        self._notices = EndpointNotices(self.view, clock)
        self._limits = EndpointLimits(self._registration, clock)
        self._wire_peers()
        engines.on_answer(self._notices.record_answer)
        engines.on_answer(lambda endpoint, meta: self._limits.record_answer(endpoint, meta, None))
        self._wire_control(records, engines)
        self.metrics = Metrics()
        self._add_gauges()

    def _wire_peers(self) -> None:
        self._peers = PeerChannel(
            self._settings, self._registration.addresses, self._registration.neighbours
        )
        self._detector = FailureDetector(self._settings.streams, self._peers, self._clock)
        self.load_table = LoadTable(self._clock, self._peers.interval)
        self._reporter = LoadReporter(
            self._peers, self.load_table, self._detector, self._settings.failure_domain
        )
        self._ended = EndedGroups(self._peers, self._clock)
        self._quarantine = Quarantine(self._clock)
        self._crash_reporter = CrashReporter(self._quarantine, self._peers, self._clock)
        self._released_requests = ReleasedRequests(self.view, self._quarantine)
        self._limit_reporter = LimitReporter(self._limits, self.view, self._peers, self._clock)

    def _wire_control(self, records: RecordStore, engines: Engines) -> None:
        settings, clock, view = self._settings, self._clock, self.view
        self._election = Election(settings, records, view, clock, self._registration.capacities)
        self._calls = CallWindow(self._detector.lateness, clock)
        orders = Orders(
            settings.control,
            engines,
            view,
            lambda: self._election.leads,
            lambda endpoint_id: self._detector.heard(endpoint_id, clock()),
            self._calls,
            clock,
        )
        self._probe_answers = ProbeAnswers(view, self._peers, self._reporter, orders.answers)
        terms = TermFactory(
            settings.control,
            view,
            orders,
            GroupRecords(records, view, self._election),
            self._detector,
            self.load_table,
            self._peers,
            self._ended,
            clock,
        )
        self._controller = Controller(
            view, self._election, self._detector, terms, clock, lambda: self._before_requests
        )

    def _add_gauges(self) -> None:
        add = self.metrics.gauge
        add("configuration_age_seconds", "Since a newer one was excluded", self.view.age)
        add("configuration_version", "In force here", self.view.configuration_version)
        add("requests_running", "Requests being answered", self._running)
        add("endpoints_listed", "Endpoints known", lambda: len(self.view.roster.endpoints))
        add("daemons_registered", "Daemons known", lambda: self._peers.daemons)
        add("controls_groups", "1 if this daemon does", lambda: float(self._election.leads))
        add("controller_lease_seconds", "Left of the lease", lambda: self._election.left)
        add("endpoint_calls_allowed", "At once, by the controller", lambda: self._calls.limit)
        add("endpoint_calls_waiting", "For their turn", lambda: self._calls.waiting)
        add("loop_late_seconds", "At most, of the last second", self._lateness)
        add("datagrams_rejected", "From unknown senders", lambda: self._peers.rejected)
        add("requests_quarantined", "Held back", lambda: len(self._quarantine.quarantined))
        add("relayed_answers", "Given to other daemons", lambda: self._relay_server.answered)

    def _lateness(self) -> float:
        return self._detector.lateness.worst_since(self._clock() - LATENESS_SECONDS)

    def _running(self) -> float:
        return self._frontend.running if self._frontend is not None else 0

    @property
    def _before_requests(self) -> bool:
        """Whether no caller has sent anything since the very first start, to any daemon."""
        own = self._frontend is not None and self._frontend.requests > 0
        return self._first_start and not own and not self._reporter.others_had_requests

    def _coalesce(self) -> float:
        """Return the seconds to let changes gather.

        They are more for a daemon that asks the store though there are relays for it.
        """
        asks_store = self._feed.asks_store
        if asks_store and self._relays():
            return self._settings.coalesce
        return gather_seconds(
            self._settings.quick_coalesce, self._peers.daemons, asks_store=asks_store
        )

    def _daemons(self) -> t.Iterable[Daemon]:
        return self._registration.daemons().values()

    def _relays(self) -> t.Sequence[Daemon]:
        """Return the relays to learn from."""
        return self._registration.sources(controls=self._election.leads)

    async def _listed_relays(self) -> t.Sequence[Daemon]:
        """Return the relays as the store lists their records."""
        return self._registration.listed_relays(await self._records.list_records(RELAYS))

    async def on_start(self) -> None:
        """Start all parts, then listen."""
        self._frontend = self._build_requests()
        for part in (
            self.view,
            self._registration,
            self._peers,
            self._detector,
            self._election,
            self._controller,
        ):
            await self.add_runtime_dependency(part)
        await self._listeners.open(self._relay_server.handle, self._settings.peers)
        if self._settings.metrics is not None:
            await self._listeners.open(self.metrics.handle, self._settings.metrics)
        await self._listeners.open(self._frontend.readiness, self._settings.readiness)
        await self._first_configuration()
        await self._listeners.open(self._frontend.handle, self._settings.callers, self._callers)
        await self.add_runtime_dependency(self._reporter)
        await self.add_runtime_dependency(self._crash_reporter)
        await self.add_runtime_dependency(self._limit_reporter)
        await self.add_runtime_dependency(self._probe_answers)
        events.STARTED.log(callers=self._settings.callers, first_start=self._first_start)

    async def _first_configuration(self) -> None:
        """Wait a little for the configuration, without which every request would be refused."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.view.wait_loaded(), FIRST_CONFIGURATION_SECONDS)

    def _build_requests(self) -> Frontend:
        settings, clock = self._settings, self._clock
        self._client = endpoint_client.create_session()
        calls = EndpointClient(
            self._client, self._codec, self._notices, self._limits, settings.connect_timeout
        )
        selector = EndpointSelector(
            self.view,
            self.load_table,
            self._detector,
            self._ended,
            self._notices,
            self._limits,
            clock,
            settings.failure_domain,
        )
        retry_budgets = RetryBudgets(settings.retry, clock, lambda: self._peers.daemons)
        crash_watch = CrashWatch(
            self._quarantine, self.view, self._detector, self._crash_reporter, clock
        )
        parts = (
            calls,
            selector,
            self.load_table,
            retry_budgets,
            self._detector,
            crash_watch,
            clock,
        )
        plain, streams = PlainForwarder(*parts), StreamForwarder(*parts)
        return Frontend(settings, self.view, self._codec, plain, streams, clock)

    async def drain(self) -> None:
        """Finish what runs before the end, while the balancer and the callers notice."""
        assert self._frontend is not None
        stop = PlannedStop(self._frontend, self._election, self._settings.grace, self._clock)
        await stop.wait()

    async def on_stop(self) -> None:
        """Close the listeners."""
        await self._listeners.close()

    async def on_shutdown(self) -> None:
        """Close what the parts used."""
        if self._client is not None:
            await self._client.close()
        await self._feed.close()
        events.STOPPED.log()
