"""The daemon: builds its services from the settings and runs them.

Owns: all services, HTTP sessions and listeners.
Relies on: validated settings.
"""

import os
import ssl

import aiohttp
import mode
from aiohttp import web

from thorncleat_core import clock
from thorncleat_core.answer_connection import use_connections
from thorncleat_core.daemon.budget import FleetRates
from thorncleat_core.daemon.budget import StoreBudget
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.daemon.leases import LeaseTerms
from thorncleat_core.daemon.settings import Settings
from thorncleat_core.daemon.settings import Tls

from . import events
from .attempts import Attempts
from .claims import ClaimClient
from .claims import ClaimOwner
from .completions import Completions
from .config import ConfigManager
from .dispatch import Dispatcher
from .domain_state import DomainServices
from .engines import HttpEngines
from .entry import Entry
from .gossip import Gossip
from .holder import ShardHolder
from .keyspace import Keyspace
from .lag import LoopLag
from .metrics import Metrics
from .operators import Operators
from .operators import OperatorServices
from .peers import ZmqPeers
from .permits import PermitManager
from .plain import PlainServices
from .platform import HttpInstanceList
from .recent import RecentRequests
from .shard_map import ShardMap
from .store import EtcdStore
from .streams import Streams
from .upstream import Upstream
from .upstream import single_session
from .upstream import stream_session

# Time for running requests to finish when the daemon stops.
SHUTDOWN_TIMEOUT_SECONDS = 60.0
# Disables the fencing of claims; a test checks that the soak run detects it.
BROKEN_FENCE_VARIABLE = "THORNCLEAT_TEST_BROKEN_FENCE"


class Daemon(mode.Service):
    """One daemon.

    :param settings: its settings.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self._runners: list[web.AppRunner] = []
        self._sessions: list[aiohttp.ClientSession] = []
        self._is_stopping = False
        self.addresses: dict[str, str] = {}
        self.metrics = Metrics()

    async def on_start(self) -> None:
        """Build and start all services, then listen."""
        self._build()
        settings = self._settings
        self.addresses["peers"] = await self._peers.start(settings.listen.peers)
        for service in (
            self._lag,
            self._gossip,
            self._config,
            self._holder,
            self._claim_owner,
            self._permits,
            self._dispatcher,
        ):
            await self.add_runtime_dependency(service)
        listen = settings.listen
        self.addresses["operators"] = await self._listen(
            self._operators.application(), listen.operators, listen.operators_tls, 1.0
        )
        self.addresses["callers"] = await self._listen(
            self._entry.application(), listen.callers, listen.callers_tls, SHUTDOWN_TIMEOUT_SECONDS
        )
        events.DAEMON_STARTED.log(**self.addresses)

    async def on_stop(self) -> None:
        """Stop accepting requests and finish the running ones."""
        self._is_stopping = True
        events.DAEMON_STOPPING.log()
        for runner in reversed(self._runners):
            await runner.cleanup()

    async def on_shutdown(self) -> None:
        """Close connections and sessions after the services have stopped."""
        await self._peers.stop()
        for session in self._sessions:
            await session.close()
        events.DAEMON_STOPPED.log()

    def not_ready_reason(self) -> str | None:
        """Return why this daemon is not ready for requests, or None if it is."""
        if self._is_stopping:
            return "stopping"
        if not self._config.is_loaded:
            return "no configuration yet"
        if not self._gossip.has_list:
            return "no list of instances yet"
        return None

    def _configuration(self) -> Configuration:
        return self._config.current.configuration

    def _build(self) -> None:
        self._build_clients()
        self._build_control()
        self._build_requests()
        self._build_listeners()
        self._register_gauges()

    def _build_clients(self) -> None:
        """Build the adapters to the store, the platform, the engines and the other daemons."""
        settings, me = self._settings, self._settings.daemon.id
        self._lag = LoopLag(clock.now)
        self._keys = Keyspace(settings.cluster)
        session = _session()
        self._budget = StoreBudget(FleetRates(settings.store.writes, settings.store.reads))
        self._store = EtcdStore(
            session, settings.store.endpoints, self._budget, me, settings.store.timeout
        )
        self._instances = HttpInstanceList(session, settings.platform.endpoints)
        self._engines = HttpEngines(session, settings.control.probe)
        self._peers = ZmqPeers(
            settings.cluster, me, settings.peer_keys, lambda: self._gossip.members.addresses
        )
        self._upstream = Upstream(_session(), single_session(), stream_session())
        self._sessions += [session, *self._upstream.sessions]

    def _build_control(self) -> None:
        """Build membership, configuration, shards and claims."""
        settings, me = self._settings, self._settings.daemon.id
        control, invariants = settings.control, self.metrics.invariants
        self._gossip = Gossip(
            me, self._peers, self._instances, control.member_probe, settings.platform.poll
        )
        self._gossip.on_listed(self._budget.set_daemon_count)
        self._config = ConfigManager(
            me, self._store, self._keys, self._gossip, self._peers, invariants
        )
        self._shards = ShardMap(me, self._gossip, control.shards)
        self._holder = ShardHolder(self._domain_services(), self._shards)
        self._claim_owner = ClaimOwner(
            self._store,
            self._keys,
            self._holder,
            self._peers,
            settings.requests.claim_seconds,
            invariants,
            fenced=BROKEN_FENCE_VARIABLE not in os.environ,
        )

    def _domain_services(self) -> DomainServices:
        """Return the services that the domain managers use."""
        settings, control = self._settings, self._settings.control
        return DomainServices(
            settings.daemon.id,
            self._store,
            self._keys,
            self._engines,
            self._instances,
            self._peers,
            self._gossip,
            lambda: self._config.current,
            control,
            LeaseTerms(control.lease, control.lease_margin),
            settings.requests.group_tokens,
            settings.platform.poll,
            is_loop_late=lambda: self._lag.is_late,
        )

    def _build_requests(self) -> None:
        """Build the services that send requests to groups and plain services."""
        settings, limits = self._settings, self._settings.requests
        self._permits = PermitManager(
            settings.daemon.id,
            self._gossip,
            self._shards,
            self._peers,
            settings.control.permit,
            limits.attach,
            invariants=self.metrics.invariants,
        )
        self._dispatcher = Dispatcher(
            self._permits, self._configuration, limits.routing, limits.queue_tokens
        )
        claims = ClaimClient(self._shards, self._peers)
        attempts = Attempts(self._dispatcher, self._permits, self.metrics)
        streams = Streams(
            attempts, self._upstream, self.metrics, limits.stall, self.metrics.invariants
        )
        self._completions = Completions(
            self._configuration, attempts, streams, self._upstream, claims, self.metrics
        )
        self._plain = PlainServices(self._configuration, self._upstream, claims, self.metrics)

    def _build_listeners(self) -> None:
        """Build the HTTP applications of callers and operators."""
        settings, limits = self._settings, self._settings.requests
        recent = RecentRequests(settings.daemon.id)
        self._entry = Entry(
            self._configuration,
            self._completions,
            self._plain,
            self.metrics,
            recent,
            self.not_ready_reason,
            limits.body,
            limits.deadline,
        )
        operator_services = OperatorServices(
            settings.daemon.id,
            self._config,
            self._gossip,
            self._holder,
            self._dispatcher,
            self.metrics,
            recent,
            self._peers,
            self._instances,
            lambda: self._store.is_reachable,
            settings.control.load,
        )
        self._operators = Operators(operator_services, settings.operators)

    def _register_gauges(self) -> None:
        metrics = self.metrics
        metrics.gauge(
            "config_revision",
            "Revision in force",
            lambda: float(self._config.journal.head.revision),
        )
        metrics.gauge("shards_held", "Shards held", lambda: float(len(self._holder.held)))
        metrics.gauge("waiting", "Requests in queues", lambda: float(self._dispatcher.waiting))
        metrics.gauge(
            "loop_lag_worst", "Longest delay of a timer, s", lambda: self._lag.worst_seconds
        )
        metrics.gauge(
            "store_reachable", "Whether the store answers", lambda: float(self._store.is_reachable)
        )
        metrics.gauge(
            "peer_sent_bytes", "Bytes sent to daemons", lambda: self._peers.counts["sent_bytes"]
        )
        metrics.gauge(
            "peer_received_bytes",
            "Bytes received from daemons",
            lambda: self._peers.counts["received_bytes"],
        )
        metrics.gauge(
            "store_calls", "Calls to the store", lambda: float(self._budget.calls.total())
        )

    async def _listen(
        self, app: web.Application, address: str, tls: Tls | None, shutdown_timeout: float
    ) -> str:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=shutdown_timeout)
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        site = web.TCPSite(runner, host, int(port), ssl_context=_tls_context(tls))
        await site.start()
        return f"{host}:{runner.addresses[0][1]}"


def _session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(connector=use_connections(connector), auto_decompress=False)


def _tls_context(tls: Tls | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(tls.certificate, tls.key)
    return context
