"""One daemon of the gateway: builds its parts and runs them."""

import asyncio
import typing as t

import aiohttp
import mode
from aiohttp import web

from . import events
from .groups.controller import Controller
from .groups.ended import EndedGroups
from .groups.orders import Orders
from .groups.records import GroupRecords
from .metrics import Metrics
from .peers.datagrams import LoadReport
from .peers.datagrams import Message
from .peers.datagrams import Peers
from .peers.datagrams import Probe
from .peers.loads import Loads
from .peers.pulse import Pulse
from .ports import Engines
from .ports import Feed
from .ports import Records
from .ports import Wire
from .requests import upstream
from .requests.dispatch import Dispatcher
from .requests.front import Front
from .requests.plain import PlainRequests
from .requests.request import Repeats
from .requests.streams import StreamRequests
from .requests.upstream import Upstream
from .settings import GatewaySettings
from .store.membership import Election
from .store.membership import Registration
from .store.mirror import Mirror
from .store.relay_feed import RelayFeed
from .store.relay_server import RelayServer
from .store.relays import Daemon
from .store.relays import sources
from .store.roster import Endpoint

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
        feed: Feed,
        records: Records,
        engines: Engines,
        wire: Wire,
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
        self.mirror = Mirror(self._feed, clock, settings.watch, self._coalesce)
        self.registration = Registration(settings, records, self.mirror)
        self.relay_server = RelayServer(self.mirror, self._daemons)
        self.peers = Peers(settings, self.registration.addresses)
        self.pulse = Pulse(settings.streams, self.peers, clock)
        self.loads = Loads(clock, self.peers.interval)
        self.election = Election(settings, records, self.mirror, clock, self.registration.addresses)
        self._orders = Orders(
            settings.control,
            engines,
            self.mirror,
            lambda: self.election.leads,
            lambda one: self.pulse.heard(one, clock()),
        )
        self.ended = EndedGroups(self.peers, clock)
        self.controller = Controller(
            settings,
            self.mirror,
            self.election,
            self._orders,
            GroupRecords(records, self.mirror, self.election),
            self.pulse,
            self.peers,
            self.ended,
            clock,
            lambda: self._quiet,
        )
        self._client: aiohttp.ClientSession | None = None
        self._wire = wire
        self._front: Front | None = None
        self.peers.on_message(self._message)
        self.metrics = Metrics()
        self._add_gauges()

    def _add_gauges(self) -> None:
        add = self.metrics.gauge
        add("configuration_age_seconds", "Since a newer one was excluded", self.mirror.age)
        add("configuration_version", "In force here", self.mirror.configuration_version)
        add("requests_running", "Requests being answered", self._running)
        add("endpoints_listed", "Endpoints known", lambda: len(self.mirror.roster.endpoints))
        add("daemons_registered", "Daemons known", lambda: self.peers.daemons)
        add("controls_groups", "1 if this daemon does", lambda: float(self.election.leads))
        add("controller_lease_seconds", "Left of the lease", lambda: self.election.left)
        add("datagrams_rejected", "From unknown senders", lambda: self.peers.rejected)
        add("relayed_answers", "Given to other daemons", lambda: self.relay_server.answered)

    def _running(self) -> float:
        return self._front.running if self._front is not None else 0

    @property
    def _quiet(self) -> bool:
        """Whether no caller has sent anything since the very first start."""
        own = self._front is not None and self._front.requests > 0
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
        self._front = self._build_requests()
        for part in (
            self.mirror,
            self.registration,
            self.peers,
            self.pulse,
            self.election,
            self.controller,
        ):
            await self.add_runtime_dependency(part)
        await self._listen(self.relay_server.handle, self._settings.peers)
        if self._settings.metrics is not None:
            await self._listen(self.metrics.handle, self._settings.metrics)
        await self._listen(self._front.readiness, self._settings.readiness)
        await self._listen(self._front.handle, self._settings.callers)
        events.STARTED.log(callers=self._settings.callers, first_start=self._first_start)

    def _build_requests(self) -> Front:
        settings, clock = self._settings, self._clock
        self._client = upstream.session()
        calls = Upstream(self._client, self._wire, settings.connect_timeout)
        dispatcher = Dispatcher(settings, self.mirror, self.loads, self.pulse, self.ended, clock)
        repeats = Repeats(settings.retry, clock, self._sharing)
        parts = (self._wire, calls, dispatcher, self.loads, repeats, self.pulse, clock)
        plain, streams = PlainRequests(*parts), StreamRequests(*parts)
        return Front(settings, self.mirror, self._wire, plain, streams, repeats, clock)

    def _sharing(self) -> int:
        """Return how many daemons share what all may spend."""
        return max(self._settings.daemons, self.peers.daemons)

    async def drain(self) -> None:
        """Finish what runs before the end: first let the balancer and the callers know."""
        assert self._front is not None
        events.STOPPING.log(running=self._front.running)
        begun = self._clock()
        self._front.stopping = True
        self.election.stopping = True
        until = begun + self._settings.grace - STOP_MARGIN_SECONDS
        while self._clock() < until:
            await asyncio.sleep(0.05)
            if self._clock() - begun > LEAVE_SECONDS:
                # where many daemons stop at once, the balancer goes on using them
                self._front.closed = True
                if not self._front.running:
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
                self.loads.report(sender, counts)
                if counts:
                    self._traffic_elsewhere = True
            case Probe(endpoint_id):
                self._probe(sender, endpoint_id)

    def _probe(self, asker: str, endpoint_id: str) -> None:
        gone = self.mirror.roster.gone.get(endpoint_id)
        listed = self.mirror.roster.endpoints.get(endpoint_id)
        endpoint = listed or (gone.endpoint if gone else None)
        if endpoint is not None:
            self.add_future(self._probed(asker, endpoint))

    async def _probed(self, asker: str, endpoint: Endpoint) -> None:
        """Ask an endpoint for a controller, and tell it at once if there is an answer."""
        if await self._orders.answers(endpoint):
            self.peers.tell(asker, self._load_report())

    def _load_report(self) -> LoadReport:
        lately = max(HEARD_SECONDS, 2 * self.peers.interval())
        return LoadReport(dict(self.loads.own), self.pulse.heard_lately(lately))

    @mode.Service.task
    async def _report_task(self) -> None:
        quiet_reports = 0
        while not self.should_stop:
            await asyncio.sleep(self.peers.interval())
            self.loads.refresh()
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
