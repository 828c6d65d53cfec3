"""One daemon of the gateway: builds its parts and runs them."""

import asyncio
import typing as t

import aiohttp
import mode

from . import events
from .groups.controller import Controller
from .groups.election import Election
from .groups.ended import EndedGroups
from .groups.orders import Orders
from .groups.records import GroupRecords
from .listeners import Listeners
from .metrics import Metrics
from .peers.datagrams import PeerChannel
from .peers.failure_detector import FailureDetector
from .peers.load_reporter import LoadReporter
from .peers.load_table import LoadTable
from .peers.probe_answers import ProbeAnswers
from .ports import ChangeFeed
from .ports import Engines
from .ports import HeaderCodec
from .ports import RecordStore
from .requests import endpoint_client
from .requests.endpoint_client import EndpointClient
from .requests.endpoint_selector import EndpointSelector
from .requests.frontend import Frontend
from .requests.plain import PlainForwarder
from .requests.request import RetryBudgets
from .requests.streams import StreamForwarder
from .settings import GatewaySettings
from .store.registration import Registration
from .store.relay_feed import RelayFeed
from .store.relay_server import RelayServer
from .store.relays import Daemon
from .store.relays import sources
from .store.view import StoreView

# after the order to stop, for the balancer to notice; then requests are refused
LEAVE_SECONDS = 2.5
# before the end by force
STOP_MARGIN_SECONDS = 0.7


class Gateway(mode.Service):
    """One daemon.

    :param first_start: whether this is the very first start of the whole system.
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
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._first_start = first_start
        self._listeners = Listeners()
        self._feed = RelayFeed(settings.relay, feed, self._relays, clock)
        self.view = StoreView(self._feed, clock, settings.watch, self._coalesce)
        self.registration = Registration(settings, records, self.view)
        self.relay_server = RelayServer(self.view, self._daemons)
        self.peers = PeerChannel(settings, self.registration.addresses)
        self.detector = FailureDetector(settings.streams, self.peers, clock)
        self.load_table = LoadTable(clock, self.peers.interval)
        self._reporter = LoadReporter(self.peers, self.load_table, self.detector)
        self.election = Election(settings, records, self.view, clock, self.registration.addresses)
        self._orders = Orders(
            settings.control,
            engines,
            self.view,
            lambda: self.election.leads,
            lambda one: self.detector.heard(one, clock()),
        )
        self._probe_answers = ProbeAnswers(
            self.view, self.peers, self._reporter, self._orders.answers
        )
        self.ended = EndedGroups(self.peers, clock)
        self.controller = Controller(
            settings,
            self.view,
            self.election,
            self._orders,
            GroupRecords(records, self.view, self.election),
            self.detector,
            self.peers,
            self.ended,
            clock,
            lambda: self._quiet,
        )
        self._client: aiohttp.ClientSession | None = None
        self._codec = codec
        self._frontend: Frontend | None = None
        self.metrics = Metrics()
        self._add_gauges()

    def _add_gauges(self) -> None:
        add = self.metrics.gauge
        add("configuration_age_seconds", "Since a newer one was excluded", self.view.age)
        add("configuration_version", "In force here", self.view.configuration_version)
        add("requests_running", "Requests being answered", self._running)
        add("endpoints_listed", "Endpoints known", lambda: len(self.view.roster.endpoints))
        add("daemons_registered", "Daemons known", lambda: self.peers.daemons)
        add("controls_groups", "1 if this daemon does", lambda: float(self.election.leads))
        add("controller_lease_seconds", "Left of the lease", lambda: self.election.left)
        add("datagrams_rejected", "From unknown senders", lambda: self.peers.rejected)
        add("relayed_answers", "Given to other daemons", lambda: self.relay_server.answered)

    def _running(self) -> float:
        return self._frontend.running if self._frontend is not None else 0

    @property
    def _quiet(self) -> bool:
        """Whether no caller has sent anything since the very first start."""
        own = self._frontend is not None and self._frontend.requests > 0
        return self._first_start and not own and not self._reporter.others_had_requests

    def _coalesce(self) -> float:
        """Return how long to let changes gather; few daemons ask the store, and others wait."""
        fallen_back = self._feed.asks_store and bool(self._relays())
        return self._settings.coalesce if fallen_back else self._settings.quick_coalesce

    def _daemons(self) -> t.Iterable[Daemon]:
        return self.registration.daemons().values()

    def _relays(self) -> t.Sequence[Daemon]:
        """Return the relays to learn from; the controller reads the store itself."""
        if self.election.leads:
            return []
        return sources(self._daemons(), self.registration.own)

    async def on_start(self) -> None:
        """Start all parts, then listen."""
        self._frontend = self._build_requests()
        for part in (
            self.view,
            self.registration,
            self.peers,
            self.detector,
            self.election,
            self.controller,
        ):
            await self.add_runtime_dependency(part)
        await self._listeners.open(self.relay_server.handle, self._settings.peers)
        if self._settings.metrics is not None:
            await self._listeners.open(self.metrics.handle, self._settings.metrics)
        await self._listeners.open(self._frontend.readiness, self._settings.readiness)
        await self._listeners.open(self._frontend.handle, self._settings.callers)
        await self.add_runtime_dependency(self._reporter)
        await self.add_runtime_dependency(self._probe_answers)
        events.STARTED.log(callers=self._settings.callers, first_start=self._first_start)

    def _build_requests(self) -> Frontend:
        settings, clock = self._settings, self._clock
        self._client = endpoint_client.session()
        calls = EndpointClient(self._client, self._codec, settings.connect_timeout)
        selector = EndpointSelector(
            settings, self.view, self.load_table, self.detector, self.ended, clock
        )
        retry_budgets = RetryBudgets(settings.retry, clock, self._sharing)
        parts = (self._codec, calls, selector, self.load_table, retry_budgets, self.detector, clock)
        plain, streams = PlainForwarder(*parts), StreamForwarder(*parts)
        return Frontend(settings, self.view, self._codec, plain, streams, retry_budgets, clock)

    def _sharing(self) -> int:
        """Return how many daemons share what all may spend."""
        return max(self._settings.daemons, self.peers.daemons)

    async def drain(self) -> None:
        """Finish what runs before the end: first let the balancer and the callers know."""
        assert self._frontend is not None
        events.STOPPING.log(running=self._frontend.running)
        begun = self._clock()
        self._frontend.stopping = True
        self.election.stopping = True
        until = begun + self._settings.grace - STOP_MARGIN_SECONDS
        while self._clock() < until:
            await asyncio.sleep(0.05)
            if self._clock() - begun > LEAVE_SECONDS:
                # where many daemons stop at once, the balancer goes on using them
                self._frontend.closed = True
                if not self._frontend.running:
                    break

    async def on_stop(self) -> None:
        """Close the listeners."""
        await self._listeners.close()

    async def on_shutdown(self) -> None:
        """Close what the parts used."""
        if self._client is not None:
            await self._client.close()
        await self._feed.close()
        events.STOPPED.log()
