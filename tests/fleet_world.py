"""A fleet of daemons that read the store and each other, in virtual time.

The view, relay feed, relay server and registration are real; the store and the network between
the daemons are simulated.
"""

import asyncio
import dataclasses
import random

import aiohttp
import yarl

from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.ports import EndpointListed
from thorncleat_gateway.ports import EndpointRemoved
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.settings import GatewaySettings
from thorncleat_gateway.store.registration import RELAYS
from thorncleat_gateway.store.registration import Registration
from thorncleat_gateway.store.relay_feed import RelayFeed
from thorncleat_gateway.store.relay_server import RelayServer
from thorncleat_gateway.store.relays import coalescing_seconds
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.view import StoreView

from .fake_bodies import WholeBody
from .group_store import Store
from .group_store import StoreClient

# The latency between two daemons.
LATENCY_SECONDS = 0.002
POLL_INTERVAL_SECONDS = 0.02
# How long the daemons of a new world take to register and to find their relays.
STARTUP_SECONDS = 15.0
HEARTBEAT_INTERVAL_SECONDS = 1.2
ENTRY_TTL_SECONDS = 3 * HEARTBEAT_INTERVAL_SECONDS
FAILURE_DOMAINS = 4
# The age of the copy from which the store is restored, and the configurations that it lacks.
LOST_SECONDS = 5.0
LOST_VERSIONS = 50
# How long the operator and the endpoints take to write again.
REWRITE_SECONDS = 0.5


@dataclasses.dataclass
class _Request:
    """The parts of a request that a relay server reads."""

    path: str
    query: dict[str, str]
    remote: str


class _Call:
    """One call to another daemon."""

    def __init__(self, world, caller, url, params, timeout) -> None:
        self._world = world
        self._caller = caller
        self._url = yarl.URL(url)
        self._params = params
        self._timeout = timeout
        self.status = 0
        self.content_length = None
        self.content = WholeBody(b"")

    async def __aenter__(self):
        async with asyncio.timeout(self._timeout.total):
            await asyncio.sleep(LATENCY_SECONDS)
            relay = self._world.at_host(self._url.host)
            if relay is None or not relay.runs:
                raise aiohttp.ClientConnectionError("nobody listens")
            if relay.silent:
                await asyncio.Event().wait()
            request = _Request(self._url.path, dict(self._params), self._caller.host)
            response = await relay.server.handle(request)
            await asyncio.sleep(LATENCY_SECONDS)
            self.status, self.content = response.status, WholeBody(bytes(response.body or b""))
        return self

    async def __aexit__(self, *_error) -> None:
        pass


class _Connections:
    """The connections of one daemon to the others."""

    def __init__(self, world, caller) -> None:
        self._world = world
        self._caller = caller

    def request(self, _method, url, *, params, timeout):
        return _Call(self._world, self._caller, url, params, timeout)

    async def close(self) -> None:
        pass


class FleetDaemon:
    """One daemon across restarts.

    :ivar silent: whether it doesn't answer other daemons.
    """

    def __init__(self, world: "FleetWorld", number: int) -> None:
        self.world = world
        self.id = f"edge-{number:03}"
        self.host = f"10.0.{number // 200}.{number % 200 + 1}"
        self.domain = f"z{number % FAILURE_DOMAINS}"
        self.runs = False
        self.silent = False
        # The store's client reads these.
        self.cut = self.reads_refused = self.end_unanswered = False
        self.grant_delay = 0.0
        self.started_at = float("-inf")

    async def thawed(self) -> None:
        pass

    async def start(self) -> None:
        """Start with an empty copy of the store."""
        retry = RetryBudgetSettings(0.2, 10, 10)
        settings = GatewaySettings(self.id, self.domain, ("", 0), ("", 0), (self.host, 7000), retry)
        self._settings = settings
        clock = self.world.now
        self.client = self.world.client(self)
        self.feed = RelayFeed(
            settings.relay, self.client, lambda: self.sources, self._listed_relays, clock
        )
        self.feed._session = _Connections(self.world, self)
        self.view = StoreView(self.feed, clock, settings.watch, self._coalesce)
        self.registration = Registration(settings, self.client, self.view, clock)
        self.server = RelayServer(self.view, lambda: self.registration.daemons().values())
        self.runs, self.started_at = True, clock()
        await self.view.start()
        await self.registration.start()

    async def kill(self) -> None:
        """Stop without notifying other daemons."""
        if self.runs:
            self.runs = False
            await self.registration.stop()
            await self.view.stop()

    @property
    def sources(self):
        """The daemons that it asks for changes; none if it is a relay."""
        return self.registration.sources(is_controller=False)

    async def _listed_relays(self):
        return self.registration.listed_relays(await self.client.list_records(RELAYS))

    def _coalesce(self) -> float:
        asks_store = self.feed.asks_store
        if asks_store and self.sources:
            return self._settings.coalesce
        daemons = len(self.registration.daemons())
        return coalescing_seconds(self._settings.quick_coalesce, daemons, asks_store=asks_store)

    def uses(self, endpoint_id: str) -> bool:
        """Return whether it would send new requests to an endpoint."""
        if not self.runs:
            return False
        endpoint = self.view.roster.endpoints.get(endpoint_id)
        return endpoint is not None and not endpoint.draining


class FleetWorld:
    """Daemons, a store, and the endpoints of a service without groups."""

    def __init__(self, daemons: int, endpoints: int = 4, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.granted: list[int] = []
        self.store = Store(self)
        self.configure(1)
        self.endpoints: dict[str, Endpoint] = {}
        self._added = 0
        for _ in range(endpoints):
            self.add_endpoint()
        self.daemons = [FleetDaemon(self, number) for number in range(daemons)]
        self._by_host = {daemon.host: daemon for daemon in self.daemons}

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def chance(self, trouble: str) -> bool:
        return False

    def client(self, daemon: FleetDaemon) -> StoreClient:
        return StoreClient(self, daemon)

    def at_host(self, host: str) -> FleetDaemon | None:
        return self._by_host.get(host)

    # Writes of the operator and the endpoints.

    def configure(self, version: int) -> None:
        self.configuration = ConfigurationChanged(ServingConfiguration(version))
        self.configured_at = self.now()
        self.store.put("config", self.configuration)

    def configuration_version(self) -> float:
        """Return the version that the operator wrote last."""
        return self.configuration.configuration.version

    def add_endpoint(self) -> Endpoint:
        made = Endpoint(f"w{self._added:03}", "desk", f"10.0.0.1:{1 + self._added}", "z0")
        self._added += 1
        self.endpoints[made.id] = made
        self.publish(made)
        return made

    def publish(self, endpoint: Endpoint) -> None:
        self.endpoints[endpoint.id] = endpoint
        if not self.store.down:
            self.store.put(endpoint.id, EndpointListed(endpoint))

    def drain_endpoint(self, endpoint_id: str) -> None:
        self.publish(dataclasses.replace(self.endpoints[endpoint_id], draining=True))

    def leave(self, endpoint_id: str) -> None:
        """Delete an endpoint's entry without draining."""
        del self.endpoints[endpoint_id]
        self.store.delete(endpoint_id, EndpointRemoved(endpoint_id))

    def expire_entry(self, endpoint_id: str) -> None:
        """Let the entry of a running endpoint expire."""
        self.store.delete(endpoint_id, EndpointRemoved(endpoint_id))

    def rewrite_entries(self) -> None:
        """Write what the store lacks of the operator's and the endpoints' data."""
        if self.store.items.get("config") != self.configuration:
            self.store.put("config", self.configuration)
        for endpoint in self.endpoints.values():
            if self.store.items.get(endpoint.id) != EndpointListed(endpoint):
                self.publish(endpoint)
        for key in [
            key for key, item in self.store.items.items() if isinstance(item, EndpointListed)
        ]:
            if key not in self.endpoints:
                self.store.delete(key, EndpointRemoved(key))

    async def restore(self, down_seconds: float) -> None:
        """Restore the store from an old copy; the operator and the endpoints write again.

        :param down_seconds: seconds for which the store is down before.
        """
        copy = self.store.copy()
        for version in range(2, 2 + LOST_VERSIONS):
            await self.pass_time(LOST_SECONDS / LOST_VERSIONS)
            self.configure(version)
        self.store.down = True
        await self.pass_time(down_seconds)
        self.store.down = False
        self.store.restore(copy)
        await self.pass_time(REWRITE_SECONDS)
        self.rewrite_entries()

    # Progress of time.

    async def start(self) -> None:
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await self.pass_time(STARTUP_SECONDS)

    async def stop(self) -> None:
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))

    async def pass_time(self, seconds: float) -> None:
        until = self.now() + seconds
        while self.now() < until:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if not self.store.down:
                self.store.expire()

    async def restart_all(self, longest: float) -> list[asyncio.Task]:
        """Kill all daemons, and return tasks that start each within some seconds."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        return [
            asyncio.ensure_future(self._start_later(daemon, longest)) for daemon in self.daemons
        ]

    async def _start_later(self, daemon: FleetDaemon, longest: float) -> None:
        await asyncio.sleep(self.random.uniform(0.0, longest))
        await daemon.start()

    async def seconds_in_use(self, endpoint_id: str, seconds: float) -> list[float]:
        """Return the seconds for which each daemon would still use an endpoint, sorted."""
        started_at, last = self.now(), {daemon.id: 0.0 for daemon in self.daemons}
        while self.now() - started_at < seconds:
            for daemon in self.daemons:
                if daemon.uses(endpoint_id):
                    last[daemon.id] = self.now() - started_at
            await self.pass_time(POLL_INTERVAL_SECONDS)
        return sorted(last[daemon.id] for daemon in self.daemons if not daemon.cut)
