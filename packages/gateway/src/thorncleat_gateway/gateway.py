"""One daemon of the gateway: builds its parts and runs them."""

import asyncio
import typing as t

import aiohttp
import mode
from aiohttp import web

from . import events
from .groups.controller import Controller
from .groups.election import Election
from .groups.ended import EndedGroups
from .groups.orders import Orders
from .groups.records import GroupRecords
from .groups.term import TermFactory
from .metrics import Metrics
from .peers.datagrams import LoadReport
from .peers.datagrams import Message
from .peers.datagrams import PeerChannel
from .peers.datagrams import Probe
from .peers.failure_detector import FailureDetector
from .peers.load_table import LoadTable
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
from .store.roster import Endpoint
from .store.view import StoreView

# for which an answer of an endpoint is told to other daemons
HEARD_SECONDS = 1.0
# longer than callers let a connection rest
KEEP_ALIVE_SECONDS = 75.0
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
        self._traffic_elsewhere = False
        self._runners: list[web.ServerRunner] = []
        self._feed = RelayFeed(settings.relay, feed, self._relays, clock)
        self.view = StoreView(self._feed, clock, settings.watch, self._coalesce)
        self.registration = Registration(settings, records, self.view)
        self.relay_server = RelayServer(self.view, self._daemons)
        self.peers = PeerChannel(settings, self.registration.addresses)
        self.detector = FailureDetector(settings.streams, self.peers, clock)
        self.load_table = LoadTable(clock, self.peers.interval)
        self.election = Election(settings, records, self.view, clock, self.registration.addresses)
        self._orders = Orders(
            settings.control,
            engines,
            self.view,
            lambda: self.election.leads,
            lambda one: self.detector.heard(one, clock()),
        )
        self.ended = EndedGroups(self.peers, clock)
        terms = TermFactory(
            settings.control,
            self.view,
            self._orders,
            GroupRecords(records, self.view, self.election),
            self.detector,
            self.peers,
            self.ended,
            clock,
        )
        self.controller = Controller(
            self.view, self.election, self.detector, terms, clock, lambda: self._quiet
        )
        self._client: aiohttp.ClientSession | None = None
        self._codec = codec
        self._frontend: Frontend | None = None
        self.peers.on_message(self._message)
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
        return self._first_start and not own and not self._traffic_elsewhere

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
        await self._listen(self.relay_server.handle, self._settings.peers)
        if self._settings.metrics is not None:
            await self._listen(self.metrics.handle, self._settings.metrics)
        await self._listen(self._frontend.readiness, self._settings.readiness)
        await self._listen(self._frontend.handle, self._settings.callers)
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
        for runner in reversed(self._runners):
            await runner.cleanup()

    async def on_shutdown(self) -> None:
        """Close what the parts used."""
        if self._client is not None:
            await self._client.close()
        await self._feed.close()
        events.STOPPED.log()

    def _message(self, sender: str, message: Message) -> None:
        match message:
            case LoadReport(counts, _):
                self.load_table.report(sender, counts)
                if counts:
                    self._traffic_elsewhere = True
            case Probe(endpoint_id):
                self._probe(sender, endpoint_id)

    def _probe(self, asker: str, endpoint_id: str) -> None:
        gone = self.view.roster.gone.get(endpoint_id)
        listed = self.view.roster.endpoints.get(endpoint_id)
        endpoint = listed or (gone.endpoint if gone else None)
        if endpoint is not None:
            self.add_future(self._probed(asker, endpoint))

    async def _probed(self, asker: str, endpoint: Endpoint) -> None:
        """Ask an endpoint for a controller, and tell it at once if there is an answer."""
        if await self._orders.answers(endpoint):
            self.peers.tell(asker, self._load_report())

    def _load_report(self) -> LoadReport:
        lately = max(HEARD_SECONDS, 2 * self.peers.interval())
        return LoadReport(dict(self.load_table.own), self.detector.heard_lately(lately))

    @mode.Service.task
    async def _report_task(self) -> None:
        quiet_reports = 0
        while not self.should_stop:
            await asyncio.sleep(self.peers.interval())
            self.load_table.refresh()
            report = self._load_report()
            quiet_reports = 0 if report.counts or report.heard else quiet_reports + 1
            if quiet_reports < 3:
                self.peers.tell_all(report)

    async def _listen(
        self,
        handler: t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]],
        address: tuple[str, int],
    ) -> None:
        server = web.Server(
            handler,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            max_line_size=16_384,
            max_field_size=16_384,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, *address, backlog=512, reuse_address=True)
        await site.start()
