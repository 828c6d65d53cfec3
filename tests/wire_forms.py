"""Fixed values, and the ways to the running program's borders, for the tests of its forms.

The snapshots beside ``test_forms_*.py`` were made by the code at b7c2758. They hold plain data
only, so they stay as they are when something inside is renamed. What the tests need of names
that are private to a module stands in this file alone.
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
from thorncleat_gateway.ports import EndpointGone
from thorncleat_gateway.ports import EndpointListed
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
MEMBER = Endpoint(
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
LONER = Endpoint("i-2", "desk", "10.0.0.2:82", "z2")
CHANGES: dict[str, Change] = {
    "configuration": ConfigurationChanged(CONFIGURATION),
    "member": EndpointListed(MEMBER),
    "loner": EndpointListed(LONER),
    "gone": EndpointGone("i-3"),
    "record": RecordChanged("thorncleat/a", b"\x01\xff", 30, 20),
    "record gone": RecordChanged("thorncleat/a", None, 31),
}
OWN = GatewaySettings(
    id="edge-1",
    failure_domain="z1",
    callers=("127.0.0.1", 0),
    readiness=("127.0.0.1", 0),
    peers=("127.0.0.1", 7100),
    retry=RetryBudgetSettings(0.2, 20.0, 10.0),
    capacity=2.5,
    # far beyond a pause of a busy machine: no case here is decided by silence
    connect_timeout=5.0,
    streams=StreamSettings(least_silence=30.0, most_silence=30.0, first_event=30.0),
)
OTHER = Daemon("edge-2", "10.0.0.9", 7200, "z2", 1.5)


def wire_form(change: Change) -> t.Any:
    """Return a change in the plain form in which one daemon tells it another."""
    return msgpack.unpackb(change_codec.encode(0, [change])[1:])["d"][1][0]


def changes_form(found: Changes) -> t.Any:
    return {
        "revision": found.position.revision,
        "proven": found.proven,
        "changes": plain([wire_form(change) for change in found.changes]),
    }


def plain(value: t.Any) -> t.Any:
    """Return a value with its bytes in hexadecimal."""
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, dict):
        return {key: plain(part) for key, part in value.items()}
    if isinstance(value, list | tuple):
        return [plain(part) for part in value]
    return value


class FixedFeed:
    """A store that says one thing and then nothing more.

    :param proven: what its first answer proves.
    """

    def __init__(self, changes: t.Sequence[Change], revision: int = 9, proven: float = 0.0):
        self._first = Changes(Position(0, revision), list(changes), proven)
        self.era = StoreEra()
        self.next: asyncio.Queue[Changes] = asyncio.Queue()

    async def snapshot(self) -> Changes:
        return self._first

    async def changes(self, since: Position, wait: float) -> Changes:
        return await self.next.get()


class RecordedRecords:
    """Keeps the calls for the gateway's own records."""

    def __init__(self) -> None:
        self.calls: list[t.Any] = []
        self.called = asyncio.Event()

    def _note(self, *call: t.Any) -> None:
        self.calls.append(plain(call))
        self.called.set()

    async def create(self, key: str, value: bytes, lease: Lease) -> Position | None:
        self._note("create", key, value, lease.id)
        return Position(0, 40)

    async def put(self, key: str, value: bytes, lease: Lease) -> None:
        self._note("put", key, value, lease.id)

    async def commit(self, puts: t.Any, removals: t.Any, unchanged: t.Any) -> bool:
        revisions = {key: position.revision for key, position in unchanged.items()}
        self._note("commit", dict(puts), list(removals), revisions)
        return True

    async def find(self, key: str) -> RecordChanged | None:
        self._note("find", key)
        return None

    async def list_records(self, prefix: str) -> list[RecordChanged]:
        # nobody is registered: everything comes from the feed
        return []

    async def grant(self, ttl: float) -> Lease:
        self._note("grant", ttl)
        return Lease(0, 77)

    async def renew(self, lease: Lease) -> None:
        self._note("renew", lease.id)

    async def end(self, lease: Lease) -> None:
        self._note("end", lease.id)


class LostRecords(RecordedRecords):
    """Records that can't be written; so nobody becomes controller and touches the groups."""

    def _note(self, *call: t.Any) -> None:
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
async def mirror_of(feed: FixedFeed, clock: t.Callable[[], float]) -> t.AsyncIterator[StoreView]:
    """Yield a mirror that has read what a feed says."""
    made = mirror(feed, clock)
    await read_once(made)
    try:
        yield made
    finally:
        await made.stop()


def mirror(feed: FixedFeed, clock: t.Callable[[], float]) -> StoreView:
    return StoreView(feed, clock, 0.05, lambda: 0.0)


async def read_once(unread: StoreView) -> None:
    read = asyncio.Event()
    unread.on_batch(lambda after, found: read.set())
    await unread.start()
    await read.wait()


async def until(true: t.Callable[[], t.Any]) -> None:
    end = time.monotonic() + 10.0
    while not true():
        assert time.monotonic() < end, "it did not come to be in time"
        await asyncio.sleep(0.005)


class Daemons:
    """One gateway between callers and recorded endpoints; its clock can be moved."""

    def __init__(self, feed: FixedFeed, **settings: t.Any) -> None:
        self.ahead = 0.0
        self.callers, self.ready, self.peers = (("127.0.0.1", port) for port in free_ports(3))
        self._settings = dataclasses.replace(
            OWN, callers=self.callers, readiness=self.ready, peers=self.peers, **settings
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

    def stopping(self, closed: bool) -> None:
        front = self.gateway._frontend
        assert front is not None
        front.stopping = True
        front.closed = closed


@contextlib.asynccontextmanager
async def daemon(feed: FixedFeed, **settings: t.Any) -> t.AsyncIterator[Daemons]:
    made = Daemons(feed, **settings)
    await made.start()
    try:
        yield made
    finally:
        await made.gateway.stop()


def at(endpoint: Endpoint, address: str) -> Endpoint:
    return dataclasses.replace(endpoint, address=address)
