"""Fakes of the daemon's ports, and a simulation of daemons that a test steps.

Simulated time only advances by steps; the daemons' clocks drift. No sockets and no sleeping.
"""

import asyncio
import contextlib
import dataclasses
import typing as t

from thorncleat_core.daemon.budget import Purpose
from thorncleat_core.daemon.configuration import Configuration
from thorncleat_core.daemon.fleet import Instance
from thorncleat_core.daemon.fleet import InstanceKind
from thorncleat_core.daemon.fleet import InstanceState
from thorncleat_core.daemon.groups import Assignments
from thorncleat_core.daemon.groups import InstanceReport
from thorncleat_core.daemon.journal import Head
from thorncleat_core.daemon.journal import Placement
from thorncleat_core.daemon.journal import State
from thorncleat_core.daemon.leases import LeaseTerms
from thorncleat_core.daemon.settings import Control
from thorncleat_core.exceptions import ThorncleatError
from thorncleat_daemon.domain_state import DomainServices
from thorncleat_daemon.exceptions import EndpointError
from thorncleat_daemon.exceptions import PeerError
from thorncleat_daemon.exceptions import StaleOrderError
from thorncleat_daemon.exceptions import StoreOutcomeUnknownError
from thorncleat_daemon.exceptions import StoreUnavailableError
from thorncleat_daemon.gossip import Gossip
from thorncleat_daemon.holder import ShardHolder
from thorncleat_daemon.keyspace import Keyspace
from thorncleat_daemon.permits import PermitManager
from thorncleat_daemon.ports import Erase
from thorncleat_daemon.ports import KeyNotRecreated
from thorncleat_daemon.ports import Order
from thorncleat_daemon.ports import Stored
from thorncleat_daemon.shard_map import ShardMap
from thorncleat_standins import kv

from .makers import change

DOMAIN = "fabric-0"
DRIFTS = (1.0, 1.004, 0.997)


def _end(prefix: str) -> bytes:
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _stored(record: kv.Record) -> Stored:
    return Stored(record.key.decode(), record.value, record.create_revision, record.mod_revision)


class FakeStore:
    """The store as reached by one daemon."""

    def __init__(self, world: "World", me: str) -> None:
        self._world = world
        self._me = me
        self.is_reachable = True

    def _check_reachable(self) -> None:
        self.is_reachable = not (self._world.store_down or self._me in self._world.cut_from_store)
        if not self.is_reachable:
            raise StoreUnavailableError("down")

    def _lose_answer(self) -> None:
        if self._world.lose_answers > 0:
            self._world.lose_answers -= 1
            raise StoreOutcomeUnknownError("answer lost")

    async def read(self, key: str, purpose: Purpose) -> Stored | None:
        self._check_reachable()
        found = self._world.kv.get(key.encode())
        return _stored(found[0]) if found else None

    async def read_under(self, prefix: str, purpose: Purpose) -> list[Stored]:
        self._check_reachable()
        return [_stored(record) for record in self._world.kv.get(prefix.encode(), _end(prefix))]

    async def transact(self, conditions, operations, purpose: Purpose) -> int | None:
        self._check_reachable()
        compares = [
            kv.Compare(condition.key.encode(), "create_revision", condition.create_revision)
            if isinstance(condition, KeyNotRecreated)
            else kv.Compare(condition.key.encode(), "mod_revision", condition.mod_revision)
            for condition in conditions
        ]
        kv_operations: list[kv.Operation] = []
        for operation in operations:
            if isinstance(operation, Erase):
                end = _end(operation.key) if operation.prefix else b""
                kv_operations.append(kv.Delete(operation.key.encode(), end))
            else:
                kv_operations.append(
                    kv.Put(operation.key.encode(), operation.value, operation.lease)
                )
        try:
            done = self._world.kv.transact(compares, kv_operations)
        except kv.LeaseNotFoundError:
            raise StoreUnavailableError("no lease") from None
        self._lose_answer()
        return self._world.kv.revision if done else None

    async def grant(self, ttl: float) -> int:
        self._check_reachable()
        return self._world.kv.grant(ttl).id

    async def renew(self, lease: int) -> bool:
        self._check_reachable()
        return self._world.kv.renew(lease) is not None

    async def revoke(self, lease: int) -> None:
        self._check_reachable()
        self._world.kv.revoke(lease)

    async def watch(self, key: str) -> t.AsyncIterator[Stored | None]:
        raise StoreUnavailableError("not in this world")
        yield None


@dataclasses.dataclass
class FakeEngine:
    """An engine: the order that it follows, and whether it runs."""

    id: str
    fenced: bool = True
    alive: bool = True
    boot: int = 0
    order: Order = dataclasses.field(default_factory=lambda: Order(0, "", 0, -1, "", ""))

    def take(self, order: Order) -> None:
        stale = (order.epoch, order.generation) < (self.order.epoch, self.order.generation)
        if self.fenced and stale:
            raise StaleOrderError(f"{order} is before {self.order}")
        self.order = order

    def report(self) -> InstanceReport:
        order = self.order
        return InstanceReport(
            self.id,
            str(self.boot),
            True,
            order.epoch,
            order.group,
            order.generation,
            order.rank,
            model=order.model,
            version=order.version,
        )


class FakeEngines:
    """The engines as reached by one daemon."""

    def __init__(self, world: "World", me: str) -> None:
        self._world = world
        self._me = me

    def _get_running(self, address: str) -> FakeEngine:
        engine = self._world.engines[address]
        if not engine.alive or (self._me, engine.id) in self._world.cut_from_engines:
            raise EndpointError(f"{address!r} does not answer")
        return engine

    async def probe(self, address: str) -> InstanceReport:
        return self._get_running(address).report()

    async def order(self, address: str, order: Order) -> None:
        engine = self._get_running(address)
        if self._me in self._world.orders_delayed:
            # The daemon was paused after checking its lease, so the order is sent much later.
            self._world.delayed.append((engine, order))
            raise EndpointError("no answer in time")
        engine.take(order)


class FakePeers:
    """The other daemons as reached by one daemon."""

    def __init__(self, world: "World", me: str) -> None:
        self._world = world
        self._me = me
        self.handlers: dict[str, t.Any] = {}

    def handle(self, kind: str, handler: t.Any) -> None:
        self.handlers[kind] = handler

    async def ask(self, peer: str, kind: str, body: t.Any, timeout: float = 1.0) -> t.Any:
        target = self._world.daemons.get(peer)
        cut = {(self._me, peer), (peer, self._me)} & self._world.cut_peers
        if target is None or target.paused or cut:
            raise PeerError(f"{peer!r} does not answer")
        return _plain(await target.peers.handlers[kind](self._me, _plain(body)))

    async def send(self, peer: str, kind: str, body: t.Any) -> None:
        with contextlib.suppress(PeerError):
            await self.ask(peer, kind, body)


def _plain(value: t.Any) -> t.Any:
    """Return a value as a receiver of a message decodes it."""
    from thorncleat_core import codec

    return codec.unpack(codec.pack(value))


class FakeList:
    """The platform's list of instances."""

    def __init__(self, world: "World") -> None:
        self._world = world

    async def entries(self) -> list[Instance]:
        return [
            instance
            for instance in self._world.listed.values()
            if instance.kind is InstanceKind.ENTRY
        ]

    async def domain(self, name: str) -> list[Instance]:
        return [
            instance for instance in self._world.listed.values() if instance.fabric_domain == name
        ]

    async def everything(self) -> list[Instance]:
        return list(self._world.listed.values())


class Usage:
    """A daemon's requests in flight, set by a test."""

    def __init__(self) -> None:
        self.running_by_group: dict[str, int] = {}

    def in_flight(self, group: str) -> int:
        return self.running_by_group.get(group, 0)

    def demand(self, group: str) -> dict[str, int]:
        return {}


class FakeDaemon:
    """The control services of a daemon, stepped by a test."""

    def __init__(self, world: "World", name: str, rate: float) -> None:
        self.name = name
        self.paused = False
        self.world = world
        self._rate = rate
        self.store = FakeStore(world, name)
        self.peers = FakePeers(world, name)
        self.gossip = Gossip(name, self.peers, FakeList(world), 1.0, 1.0)
        services = DomainServices(
            name,
            self.store,
            Keyspace("test"),
            FakeEngines(world, name),
            FakeList(world),
            self.peers,
            self.gossip,
            lambda: world.state,
            world.control,
            world.terms,
            1000,
            1.0,
            self.clock,
        )
        shards = ShardMap(name, self.gossip, 1)
        self.holder = ShardHolder(services, shards, runs_tasks=False)
        self.permits = PermitManager(
            name,
            self.gossip,
            shards,
            self.peers,
            world.control.permit,
            8,
            self.clock,
        )
        self.usage = Usage()
        self.permits.usage = self.usage

    def clock(self) -> float:
        return 1000.0 + self._rate * self.world.now

    async def step(self) -> None:
        """Run each periodic task of the daemon once."""
        steps = [self.gossip.fetch, self.holder.renew, self.holder.poll_shards]
        for manager in list(self.holder.managers.values()):
            steps += [manager.refresh, manager.watch, manager.repair]
        self.permits.usable("narrator", "m")
        steps += [self.gossip.flush, self.gossip.probe_next, self.permits.renew]
        for run_step in steps:
            # As in the daemon, a failed step is retried in the next round.
            with contextlib.suppress(ThorncleatError):
                await run_step()
        await asyncio.sleep(0)


class World:
    """Daemons, engines and a store with injectable faults.

    :param daemons: number of daemons.
    :param instances: number of engines, all in one fabric domain.
    :param replicas: number of configured groups, of four instances each.
    """

    def __init__(
        self,
        daemons: int = 3,
        instances: int = 6,
        replicas: int = 1,
        fenced: bool = True,
        repair_after: float = 1.0,
    ) -> None:
        self.now = 0.0
        self.kv = kv.Store(lambda: self.now)
        self.control = Control(shards=1, repair_after=repair_after)
        self.terms = LeaseTerms(self.control.lease, self.control.lease_margin)
        self.store_down = False
        self.lose_answers = 0
        self.cut_from_store: set[str] = set()
        self.cut_from_engines: set[tuple[str, str]] = set()
        self.cut_peers: set[tuple[str, str]] = set()
        self.orders_delayed: set[str] = set()
        self.delayed: list[tuple[FakeEngine, Order]] = []
        self.engines: dict[str, FakeEngine] = {}
        self.listed: dict[str, Instance] = {}
        self.last_followed_at: dict[tuple[str, str, int], float] = {}
        self.members_of_generation: dict[tuple[str, int], tuple[str, ...]] = {}
        for number in range(instances):
            self._add_engine(f"i{number}", fenced)
        self.state = self._configured(replicas)
        self.daemons: dict[str, FakeDaemon] = {}
        for number in range(daemons):
            name = f"d{number}"
            self.daemons[name] = FakeDaemon(self, name, DRIFTS[number % len(DRIFTS)])
            self._list(name, InstanceKind.ENTRY, "")

    def _add_engine(self, name: str, fenced: bool) -> None:
        self.engines[name] = FakeEngine(name, fenced)
        self._list(name, InstanceKind.ENDPOINT, DOMAIN)

    def _list(self, name: str, kind: InstanceKind, domain: str) -> None:
        self.listed[name] = Instance(
            name, kind, name, domain, "fd-0", "here", 8, InstanceState.LIVE
        )

    def _configured(self, replicas: int) -> State:
        configuration = Configuration().with_change(change(replicas=replicas))
        placements = {
            f"narrator-{n}": Placement(
                f"narrator-{n}", "narrator", DOMAIN, tuple(f"i{4 * n + r}" for r in range(4)), 1
            )
            for n in range(replicas)
        }
        return State(Head(1, "x"), configuration, placements)

    # Steps and faults

    def run(self, seconds: float, step: float = 0.25, order: t.Sequence[str] = ()) -> None:
        """Advance the time and step all daemons that are not paused."""
        asyncio.run(self._run(seconds, step, order or sorted(self.daemons)))

    async def _run(self, seconds: float, step: float, order: t.Sequence[str]) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += step
            self._record_state()
            for name in order:
                if not self.daemons[name].paused:
                    await self.daemons[name].step()
                    self._record_state()
                    self.check()

    def kill(self, name: str) -> None:
        """Kill an engine."""
        self._record_state()
        self.engines[name].alive = False

    def revive(self, name: str) -> None:
        """Restart a killed engine without state."""
        engine = self.engines[name]
        if not engine.alive:
            self.engines[name] = FakeEngine(name, engine.fenced, boot=engine.boot + 1)

    def deliver(self) -> None:
        """Deliver delayed orders."""
        delayed, self.delayed = self.delayed, []
        for engine, order in delayed:
            with contextlib.suppress(StaleOrderError):
                engine.take(order)
        self._record_state()

    # State and invariants

    def assignments(self) -> Assignments:
        """Return the assignments in the store."""
        found = self.kv.get(Keyspace("test").domain(DOMAIN).encode())
        return Assignments.decode(found[0].value) if found else Assignments(DOMAIN)

    def _record_state(self) -> None:
        for engine in self.engines.values():
            if engine.alive:
                order = engine.order
                self.last_followed_at[(engine.id, order.group, order.generation)] = self.now
        for group in self.assignments().groups.values():
            self.members_of_generation[(group.id, group.generation)] = group.members

    def usable(self) -> list[tuple[str, str, int]]:
        """Return daemon, group and generation of each permit that is usable now."""
        found = []
        for daemon in self.daemons.values():
            for group in self.state.placements:
                held = daemon.permits.permit(group)
                if held and not daemon.paused and held.is_usable(daemon.clock()):
                    found.append((daemon.name, group, held.permit.generation))
        return found

    def check(self) -> None:
        """Assert the invariants of permits and groups."""
        allowed = self.control.window * 1.011 + 1e-6
        holders: dict[str, tuple[str, int]] = {}
        for daemon, group, generation in self.usable():
            for member in self.members_of_generation[(group, generation)]:
                last = self.last_followed_at.get((member, group, generation), float("-inf"))
                assert self.now - last <= allowed, (
                    f"{daemon} uses {group}/{generation} though {member} is missing"
                )
                other = holders.setdefault(member, (group, generation))
                assert other == (group, generation), f"{member} in {other} and {group}"
