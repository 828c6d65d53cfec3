"""Daemons that learn from the store and from each other, in virtual time.

The way from the store to each daemon is the real one: view, relay feed, relay server and
registration. What lies around it is played: the store, and the network between the daemons.

The oracle looks at every daemon whether it would still send requests to an endpoint that leaves.
"""

import asyncio
import dataclasses
import random

import aiohttp
import yarl

from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.ports import EndpointGone
from thorncleat_gateway.ports import EndpointListed
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.settings import GatewaySettings
from thorncleat_gateway.store.registration import RELAYS
from thorncleat_gateway.store.registration import Registration
from thorncleat_gateway.store.relay_feed import RelayFeed
from thorncleat_gateway.store.relay_server import RelayServer
from thorncleat_gateway.store.relays import gather_seconds
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.view import StoreView

from .group_store import Store
from .group_store import StoreClient

# between two daemons, in seconds
WAY = 0.002
# between two looks of the oracle, in seconds
LOOK_SECONDS = 0.02
# for the daemons of a new world to be registered, and to know their relays
CALM_SECONDS = 15.0
# between two heartbeats of an endpoint, and without one until its entry runs out, in seconds
HEARTBEAT = 1.2
UNLISTED_AFTER_SECONDS = 3 * HEARTBEAT
FAILURE_DOMAINS = 4
# that a copy is old from which the store comes back, in seconds, and configurations that it lacks
LOST_SECONDS = 5.0
LOST_VERSIONS = 50
# until the operator and the endpoints have written again, in seconds
REWRITE_SECONDS = 0.5


@dataclasses.dataclass
class _Request:
    """What a relay server reads of a request."""

    path: str
    query: dict[str, str]
    remote: str


class _Call:
    """One call to another daemon."""

    def __init__(self, world, asker, url, params, timeout) -> None:
        self._world = world
        self._asker = asker
        self._url = yarl.URL(url)
        self._params = params
        self._limits = timeout
        self.status = 0
        self._body = b""

    async def __aenter__(self):
        async with asyncio.timeout(self._limits.total):
            await asyncio.sleep(WAY)
            asked = self._world.at_host(self._url.host)
            if asked is None or not asked.runs:
                raise aiohttp.ClientConnectionError("nobody listens")
            if asked.silent:
                await asyncio.Event().wait()
            request = _Request(self._url.path, dict(self._params), self._asker.host)
            response = await asked.server.handle(request)
            await asyncio.sleep(WAY)
            self.status, self._body = response.status, bytes(response.body or b"")
        return self

    async def __aexit__(self, *_error) -> None:
        pass

    async def read(self) -> bytes:
        return self._body


class _Connections:
    """The connections of one daemon to the others."""

    def __init__(self, world, asker) -> None:
        self._world = world
        self._asker = asker

    def get(self, url=None, *, params=None, timeout=None):
        return self if url is None else _Call(self._world, self._asker, url, params, timeout)

    async def close(self) -> None:
        pass


class FleetDaemon:
    """One daemon, over all its lives.

    :ivar silent: whether it gives no answer to other daemons.
    """

    def __init__(self, world: "FleetWorld", number: int) -> None:
        self.world = world
        self.id = f"edge-{number:03}"
        self.host = f"10.0.{number // 200}.{number % 200 + 1}"
        self.domain = f"z{number % FAILURE_DOMAINS}"
        self.runs = False
        self.silent = False
        # what the store's client asks of it
        self.cut = self.reads_refused = self.end_unanswered = False
        self.grant_delay = 0.0
        self.started_at = float("-inf")

    async def thawed(self) -> None:
        pass

    async def start(self) -> None:
        """Begin a life that knows nothing."""
        retry = RetryBudgetSettings(0.2, 10, 10)
        settings = GatewaySettings(self.id, self.domain, ("", 0), ("", 0), (self.host, 7000), retry)
        self._settings = settings
        clock = self.world.now
        self.client = self.world.client(self)
        self.feed = RelayFeed(
            settings.relay, self.client, lambda: self.sources, self._listed, clock
        )
        self.feed._session = _Connections(self.world, self)
        self.view = StoreView(self.feed, clock, settings.watch, self._coalesce)
        self.registration = Registration(settings, self.client, self.view, clock)
        self.server = RelayServer(self.view, lambda: self.registration.daemons().values())
        self.runs, self.started_at = True, clock()
        await self.view.start()
        await self.registration.start()

    async def kill(self) -> None:
        """End without a word."""
        if self.runs:
            self.runs = False
            await self.registration.stop()
            await self.view.stop()

    @property
    def sources(self):
        """Whom it asks for changes; nobody but the store if it is a relay."""
        return self.registration.sources(controls=False)

    async def _listed(self):
        return self.registration.listed_relays(await self.client.list_records(RELAYS))

    def _coalesce(self) -> float:
        asks_store = self.feed.asks_store
        if asks_store and self.sources:
            return self._settings.coalesce
        daemons = len(self.registration.daemons())
        return gather_seconds(self._settings.quick_coalesce, daemons, asks_store=asks_store)

    def uses(self, endpoint_id: str) -> bool:
        """Return whether it would send new requests to an endpoint."""
        if not self.runs:
            return False
        known = self.view.roster.endpoints.get(endpoint_id)
        return known is not None and not known.draining


class FleetWorld:
    """Daemons, a store, and endpoints of a plain service."""

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

    # what the operator and the endpoints write

    def configure(self, version: int) -> None:
        self.configuration = ConfigurationChanged(ServingConfiguration(version))
        self.store.put("config", self.configuration)

    def add_endpoint(self) -> Endpoint:
        made = Endpoint(f"w{self._added:03}", "desk", f"a:{self._added}", "z0")
        self._added += 1
        self.endpoints[made.id] = made
        self.publish(made)
        return made

    def publish(self, endpoint: Endpoint) -> None:
        self.endpoints[endpoint.id] = endpoint
        if not self.store.down:
            self.store.put(endpoint.id, EndpointListed(endpoint))

    def say_draining(self, endpoint_id: str) -> None:
        self.publish(dataclasses.replace(self.endpoints[endpoint_id], draining=True))

    def leave(self, endpoint_id: str) -> None:
        """Take an entry out of the list, with no word before."""
        del self.endpoints[endpoint_id]
        self.store.delete(endpoint_id, EndpointGone(endpoint_id))

    def lapse(self, endpoint_id: str) -> None:
        """Let the entry of an endpoint that lives run out."""
        self.store.delete(endpoint_id, EndpointGone(endpoint_id))

    def write_again(self) -> None:
        """Have the operator and the endpoints write what the store lacks."""
        if self.store.items.get("config") != self.configuration:
            self.store.put("config", self.configuration)
        for endpoint in self.endpoints.values():
            if self.store.items.get(endpoint.id) != EndpointListed(endpoint):
                self.publish(endpoint)
        for key in [
            key for key, one in self.store.items.items() if isinstance(one, EndpointListed)
        ]:
            if key not in self.endpoints:
                self.store.delete(key, EndpointGone(key))

    async def restore(self, away: float) -> None:
        """Have the store come back from an old copy, and all but the daemons write again.

        :param away: seconds for which it is away before that.
        """
        copy = self.store.copy()
        for version in range(2, 2 + LOST_VERSIONS):
            await self.pass_time(LOST_SECONDS / LOST_VERSIONS)
            self.configure(version)
        self.store.down = True
        await self.pass_time(away)
        self.store.down = False
        self.store.restore(copy)
        await self.pass_time(REWRITE_SECONDS)
        self.write_again()

    # moving on

    async def start(self) -> None:
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await self.pass_time(CALM_SECONDS)

    async def stop(self) -> None:
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))

    async def pass_time(self, seconds: float) -> None:
        until = self.now() + seconds
        while self.now() < until:
            await asyncio.sleep(LOOK_SECONDS)
            if not self.store.down:
                self.store.expire()

    async def restart_all(self, longest: float) -> list[asyncio.Task]:
        """Kill all daemons; each is back within some seconds."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        return [asyncio.ensure_future(self._back(daemon, longest)) for daemon in self.daemons]

    async def _back(self, daemon: FleetDaemon, longest: float) -> None:
        await asyncio.sleep(self.random.uniform(0.0, longest))
        await daemon.start()

    async def seconds_in_use(self, endpoint_id: str, seconds: float) -> list[float]:
        """Return for how long from now each daemon would use an endpoint, the shortest first."""
        begun, last = self.now(), {daemon.id: 0.0 for daemon in self.daemons}
        while self.now() - begun < seconds:
            for daemon in self.daemons:
                if daemon.uses(endpoint_id):
                    last[daemon.id] = self.now() - begun
            await self.pass_time(LOOK_SECONDS)
        return sorted(last[daemon.id] for daemon in self.daemons if not daemon.cut)
