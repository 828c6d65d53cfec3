"""Fixed values and harnesses for the tests of external formats.

The snapshots of ``test_forms_*.py`` hold plain data only, so that renames do not change them. Only
this file accesses private names for these tests.
"""

import asyncio
import contextlib
import dataclasses
import time
import typing as t

import msgpack

from thorncleat_gateway.exceptions import EndpointTimeoutError
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.gateway import Gateway
from thorncleat_gateway.ports import Change
from thorncleat_gateway.ports import Changes
from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.ports import EndpointListed
from thorncleat_gateway.ports import EndpointRemoved
from thorncleat_gateway.ports import Lease
from thorncleat_gateway.ports import Position
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.settings import GatewaySettings
from thorncleat_gateway.settings import StreamSettings
from thorncleat_gateway.store import change_codec
from thorncleat_gateway.store.relays import Daemon
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership
from thorncleat_gateway.store.serving import Engine
from thorncleat_gateway.store.serving import EngineModel
from thorncleat_gateway.store.serving import Limits
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import Service
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split
from thorncleat_gateway.store.serving import Workspace
from thorncleat_gateway.store.store_era import StoreEra
from thorncleat_gateway.store.view import StoreView
from thorncleat_platform.headers import PlatformHeaders
from thorncleat_standins.ports import free_ports

CHAT = Route(
    name="chat",
    host="shop.example",
    prefix="/chat/",
    kind=RouteKind.STREAMING,
    timeout=3.0,
    target=0.5,
    gap_target=0.2,
    priority=1,
    splits=(Split("narrator", 3.0), Split("narrator-next", 1.0)),
    max_attempts=2,
    public=False,
    resumable=True,
)
CONFIGURATION = ServingConfiguration(
    version=7,
    routes=(CHAT,),
    services={
        "narrator": Service(
            "narrator",
            "/healthz",
            Engine(
                slots=4,
                models=(EngineModel("large", 2, 0.75, 1.5, 40.0, 3.0), EngineModel("small", 1)),
                loads_per_second=2.0,
                loads_at_once=3,
            ),
        ),
        "desk": Service("desk"),
    },
    workspaces=(Workspace("growers", ("key-1", "key-2"), 1),),
    limits=Limits(1000, 2000, 1.5, 12.0),
)
GROUP_MEMBER = Endpoint(
    id="i-1",
    service="narrator",
    address="10.0.0.1:81",
    failure_domain="z1",
    draining=True,
    order_count=5,
    fabric_domain="d1",
    models=("large",),
    staged=("large", "small"),
    membership=Membership(GroupId(3, "narrator-0"), 1, GroupState.OPEN),
    slots=4,
)
PLAIN_ENDPOINT = Endpoint("i-2", "desk", "10.0.0.2:82", "z2")
CHANGES: dict[str, Change] = {
    "configuration": ConfigurationChanged(CONFIGURATION),
    "member": EndpointListed(GROUP_MEMBER),
    "loner": EndpointListed(PLAIN_ENDPOINT),
    "gone": EndpointRemoved("i-3"),
    "record": RecordChanged("thorncleat/a", b"\x01\xff", 30, 20),
    "record gone": RecordChanged("thorncleat/a", None, 31),
}
OWN_SETTINGS = GatewaySettings(
    id="edge-1",
    failure_domain="z1",
    callers=("127.0.0.1", 0),
    readiness=("127.0.0.1", 0),
    peers=("127.0.0.1", 7100),
    # A daemon without peers that has just started has a fifth of the ratio alone.
    retry=RetryBudgetSettings(20.0, 20.0, 10.0),
    capacity=2.5,
    # Timeouts that no test reaches.
    connect_timeout=5.0,
    streams=StreamSettings(least_silence=30.0, most_silence=30.0, first_event=30.0),
)
PEER_DAEMON = Daemon("edge-2", "10.0.0.9", 7200, "z2", 1.5)


def wire_form(change: Change) -> t.Any:
    """Return a change as daemons send it to each other."""
    return msgpack.unpackb(change_codec.encode(0, [change])[1:])["d"][1][0]


def changes_form(found: Changes) -> t.Any:
    return {
        "revision": found.position.revision,
        "proven": found.proven_seconds,
        "changes": plain([wire_form(change) for change in found.changes]),
    }


def plain(value: t.Any) -> t.Any:
    """Return a value with its bytes in hexadecimal form."""
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    return value


class FixedFeed:
    """A feed with a fixed snapshot and no later changes but those put into ``next``.

    :param proven_seconds: the value of this field of the snapshot.
    """

    def __init__(self, changes: t.Sequence[Change], revision: int = 9, proven_seconds: float = 0.0):
        self._first = Changes(Position(0, revision), list(changes), proven_seconds)
        self.era = StoreEra()
        self.next: asyncio.Queue[Changes] = asyncio.Queue()

    async def snapshot(self) -> Changes:
        return self._first

    async def changes(self, since: Position, wait: float) -> Changes:
        return await self.next.get()


class RecordedRecords:
    """Records that log the calls and always succeed."""

    def __init__(self) -> None:
        self.calls: list[t.Any] = []
        self.called = asyncio.Event()

    def _record(self, *call: t.Any) -> None:
        self.calls.append(plain(call))
        self.called.set()

    async def create(self, key: str, value: bytes, lease: Lease) -> Position | None:
        self._record("create", key, value, lease.id)
        return Position(0, 40)

    async def put(self, key: str, value: bytes, lease: Lease) -> None:
        self._record("put", key, value, lease.id)

    async def commit(self, puts: t.Any, removals: t.Any, unchanged: t.Any) -> bool:
        revisions = {key: position.revision for key, position in unchanged.items()}
        self._record("commit", dict(puts), list(removals), revisions)
        return True

    async def find(self, key: str) -> RecordChanged | None:
        self._record("find", key)
        return None

    async def list_records(self, prefix: str) -> list[RecordChanged]:
        # No daemon is registered, so all data comes from the feed.
        return []

    async def grant(self, ttl: float) -> Lease:
        self._record("grant", ttl)
        return Lease(0, 77)

    async def renew(self, lease: Lease) -> None:
        self._record("renew", lease.id)

    async def end(self, lease: Lease) -> None:
        self._record("end", lease.id)


class LostRecords(RecordedRecords):
    """Records that cannot be written, so that no daemon becomes controller."""

    def _record(self, *call: t.Any) -> None:
        raise StoreUnavailableError("lost")


class SilentEngines:
    """Engines that never answer."""

    def on_answer(self, listener) -> None:
        pass

    async def report(self, endpoint: Endpoint, timeout: float) -> t.Any:
        raise EndpointTimeoutError("silent")

    async def order(self, endpoint: Endpoint, order: t.Any, expected: t.Any, timeout: float):
        raise EndpointTimeoutError("silent")


@contextlib.asynccontextmanager
async def running_view(feed: FixedFeed, clock: t.Callable[[], float]) -> t.AsyncIterator[StoreView]:
    """Yield a view that has read a feed's snapshot."""
    view = make_view(feed, clock)
    await read_first_batch(view)
    try:
        yield view
    finally:
        await view.stop()


def make_view(feed: FixedFeed, clock: t.Callable[[], float]) -> StoreView:
    return StoreView(feed, clock, 0.05, lambda: 0.0)


async def read_first_batch(view: StoreView) -> None:
    read = asyncio.Event()
    view.on_batch(lambda after, found: read.set())
    await view.start()
    await read.wait()


async def wait_until(condition: t.Callable[[], t.Any]) -> None:
    deadline = time.monotonic() + 10.0
    while not condition():
        assert time.monotonic() < deadline, "timed out waiting for a condition"
        await asyncio.sleep(0.005)


class GatewayHarness:
    """A gateway whose clock can be moved forward through ``ahead``."""

    def __init__(self, feed: FixedFeed, **settings: t.Any) -> None:
        self.ahead = 0.0
        self.callers, self.ready, self.peers = (("127.0.0.1", port) for port in free_ports(3))
        self._settings = dataclasses.replace(
            OWN_SETTINGS, callers=self.callers, readiness=self.ready, peers=self.peers, **settings
        )
        self.gateway = Gateway(
            self._settings,
            feed,
            LostRecords(),
            SilentEngines(),
            PlatformHeaders(),
            lambda: time.monotonic() + self.ahead,
        )

    async def start(self) -> None:
        read = asyncio.Event()
        self.gateway.view.on_batch(lambda after, found: read.set())
        await self.gateway.start()
        await read.wait()

    def set_stopping(self, closed: bool) -> None:
        frontend = self.gateway._frontend
        assert frontend is not None
        frontend.stopping = True
        frontend.closed = closed


@contextlib.asynccontextmanager
async def daemon(feed: FixedFeed, **settings: t.Any) -> t.AsyncIterator[GatewayHarness]:
    harness = GatewayHarness(feed, **settings)
    await harness.start()
    try:
        yield harness
    finally:
        await harness.gateway.stop()


def with_address(endpoint: Endpoint, address: str) -> Endpoint:
    return dataclasses.replace(endpoint, address=address)
