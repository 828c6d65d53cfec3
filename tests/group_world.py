"""Daemons that control groups, engines that follow the platform's rules, and an oracle.

Everything runs in one virtual loop: several daemons' own election and controller, a store,
and engines whose answers can be lost, late, or never come.
"""

import asyncio
import collections
import dataclasses
import random

from thorncleat_gateway.exceptions import EndpointGoneError
from thorncleat_gateway.exceptions import EndpointSilentError
from thorncleat_gateway.exceptions import HistoryGoneError
from thorncleat_gateway.exceptions import LeaseGoneError
from thorncleat_gateway.exceptions import StoreOutcomeUnknownError
from thorncleat_gateway.exceptions import StoreUnavailableError
from thorncleat_gateway.groups.controller import Controller
from thorncleat_gateway.groups.election import Election
from thorncleat_gateway.groups.ended import EndedGroups
from thorncleat_gateway.groups.orders import Orders
from thorncleat_gateway.groups.records import GroupRecords
from thorncleat_gateway.groups.term import TermFactory
from thorncleat_gateway.peers.datagrams import Probe
from thorncleat_gateway.peers.failure_detector import FailureDetector
from thorncleat_gateway.ports import Changes
from thorncleat_gateway.ports import Close
from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.ports import EndpointGone
from thorncleat_gateway.ports import EndpointListed
from thorncleat_gateway.ports import EngineReport
from thorncleat_gateway.ports import Join
from thorncleat_gateway.ports import Leave
from thorncleat_gateway.ports import Load
from thorncleat_gateway.ports import Open
from thorncleat_gateway.ports import Outcome
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.settings import GatewaySettings
from thorncleat_gateway.settings import StreamSettings
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.roster import Membership
from thorncleat_gateway.store.serving import Engine
from thorncleat_gateway.store.serving import EngineModel
from thorncleat_gateway.store.serving import Service
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.view import StoreView

SERVICE = "narrator"
MODELS = (
    EngineModel("large", 4, share=0.67, load=16.0, warm=1.6),
    EngineModel("small", 2, share=0.33, load=12.0, warm=1.1),
)
ENGINE = Engine(13, MODELS, loads_per_second=4.0, loads_at_once=6)
STALL = 5.0
UNLISTED_AFTER = 3.6
FORM = 0.3
# after the entries have run out, until the store is back
LAPSE_OUTAGE = 2.0
HEARTBEAT = 1.2


class BrokenRuleError(AssertionError):
    """The oracle saw a rule broken."""


@dataclasses.dataclass(eq=False)
class Worker:
    """An engine as the platform's pages describe it."""

    world: "World"
    id: str
    domain: str
    alive: bool = True
    dark: bool = False
    cut_from_store: bool = False
    draining: bool = False
    order_count: int = 0
    staged: tuple[str, ...] = ()
    model: str = ""
    group: GroupId | None = None
    members: tuple[str, ...] = ()
    state: GroupState | None = None
    seen_epoch: int = 0
    former: GroupId | None = None
    broken_since: float | None = None
    silent_until: float = 0.0

    @property
    def membership(self):
        if self.group is None or self.state is None:
            return None
        return Membership(self.group, self.members.index(self.id), self.state)

    def entry(self) -> Endpoint:
        return Endpoint(
            id=self.id,
            service=SERVICE,
            address=self.id,
            failure_domain=self.domain[0],
            draining=self.draining,
            fabric_domain=self.domain,
            models=(self.model,) if self.model else (),
            staged=self.staged,
            membership=self.membership,
        )

    def take(self, order, expected) -> Outcome:
        again = isinstance(order, Join) and order.group == self.group
        if expected is not None and expected != self.order_count and not again:
            return Outcome.CONFLICT
        outcome = self._take(order)
        if outcome is Outcome.BEGUN:
            self.order_count += 1
            self.world.publish(self)
        return outcome

    def _take(self, order) -> Outcome:
        match order:
            case Join():
                return self._join(order)
            case Load(model):
                self.world.later(self._load_seconds(model), lambda: self._stage(model))
                return Outcome.BEGUN
            case Open(group):
                return self._open(group)
            case Close(group):
                if self.group != group or self.state is not GroupState.OPEN:
                    return Outcome.CONFLICT
                self.state = GroupState.CLOSING
                self.world.later(0.5, lambda: self._closed(group))
                return Outcome.BEGUN
            case Leave(group):
                if self.group != group:
                    return Outcome.CONFLICT
                self._leave()
                return Outcome.BEGUN
        return Outcome.INVALID

    def _join(self, order: Join) -> Outcome:
        if order.group.epoch < self.seen_epoch:
            return Outcome.STALE
        if order.group == self.group:
            return Outcome.DONE if order.members == self.members else Outcome.STALE
        self.world.check_two(self, order)
        self.world.check_distinct(order)
        self.seen_epoch = order.group.epoch
        same, cold = self.model == order.model, order.model not in self.staged
        seconds = 0.2 if same else self._load_seconds(order.model)
        if cold:
            self.staged = (order.model,)
        self.group, self.members, self.model = order.group, order.members, order.model
        self.former, self.state = order.group, GroupState.JOINING
        self.world.later(seconds, lambda: self._ready(order.group))
        return Outcome.BEGUN

    def _load_seconds(self, model: str) -> float:
        terms = ENGINE.model(model)
        return terms.warm if model in self.staged else terms.load / 10

    def _stage(self, model: str) -> None:
        self.staged = (model,)
        self.world.publish(self)

    def _ready(self, group: GroupId) -> None:
        if self.alive and self.group == group and self.state is GroupState.JOINING:
            self.state = GroupState.READY
            self.world.ready[group].add((self.id, self.members))
            self.world.publish(self)

    def _open(self, group: GroupId) -> Outcome:
        if self.group != group or self.members[0] != self.id:
            return Outcome.CONFLICT
        if self.state is GroupState.OPEN:
            return Outcome.DONE
        if self.state is not GroupState.READY:
            return Outcome.CONFLICT
        self.world.later(FORM, lambda: self._opened(group))
        return Outcome.BEGUN

    def _opened(self, group: GroupId) -> None:
        if self.alive and self.group == group and self.state is GroupState.READY:
            self.state = GroupState.OPEN
            self.world.check_partial(self)
            self.world.publish(self)

    def _closed(self, group: GroupId) -> None:
        if self.alive and self.group == group and self.state is GroupState.CLOSING:
            self.state = GroupState.READY
            self.world.publish(self)

    def _leave(self) -> None:
        self.group, self.state, self.members = None, None, ()

    def look(self) -> None:
        """Notice, as a leader, that a member is missing for too long."""
        if not self.alive or self.state is not GroupState.OPEN or self.members[0] != self.id:
            self.broken_since = None
            return
        members = [self.world.workers.get(one) for one in self.members]
        whole = all(one and one.alive and one.group == self.group for one in members)
        if whole:
            self.broken_since = None
        elif self.broken_since is None:
            self.broken_since = self.world.now()
        elif self.world.now() - self.broken_since >= STALL:
            self.state = GroupState.BROKEN
            self.world.publish(self)


class Store:
    """Revisions, records, leases and a history."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.revision = 10
        self.history: list[tuple[int, str, object]] = []
        self.items: dict[str, object] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.owners: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.forgotten = 0
        self.down = False

    def put(self, key: str, change: object) -> int:
        self.revision += 1
        self.items[key] = change
        self.history.append((self.revision, key, change))
        self._wake()
        return self.revision

    def delete(self, key: str, change: object) -> None:
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, key, change))
            self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self) -> None:
        now = self.world.now()
        for lease in [key for key, (end, _) in self.leases.items() if end <= now]:
            self.end(lease)

    def end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, owner in self.owners.items() if owner == lease]:
            del self.owners[key]
            self.delete(key, RecordChanged(key, None, self.revision + 1))


class StoreClient:
    """One daemon's way to the store: feed and records."""

    def __init__(self, world: "World", node: "Node") -> None:
        self._store = world.store
        self._world = world
        self._node = node

    async def _call(self) -> None:
        await asyncio.sleep(0.004)
        await self._node.thawed()
        if self._store.down or self._node.cut:
            raise StoreUnavailableError("down")

    async def snapshot(self) -> Changes:
        await self._call()
        return Changes(self._store.revision, list(self._store.items.values()))

    async def changes(self, since: int, wait: float) -> Changes:
        await self._call()
        store, until = self._store, self._world.now() + wait
        while store.revision <= since and self._world.now() < until:
            try:
                await asyncio.wait_for(store.changed.wait(), until - self._world.now())
            except TimeoutError:
                break
        await self._call()
        if since < store.forgotten:
            raise HistoryGoneError("forgotten")
        return Changes(store.revision, [one for rev, _, one in store.history if rev > since])

    async def create(self, key: str, value: bytes, lease: int) -> int | None:
        await self._call()
        store = self._store
        if key in store.items:
            return None
        if lease not in store.leases:
            raise StoreUnavailableError("no such lease")
        created = store.revision + 1
        store.put(key, RecordChanged(key, value, created, created))
        store.owners[key] = lease
        if self._world.chance("lost write"):
            raise StoreOutcomeUnknownError("answer lost")
        return created

    async def put(self, key: str, value: bytes, lease: int) -> None:
        await self.create(key, value, lease)

    async def commit(self, puts, removals, unchanged) -> bool:
        await self._call()
        store = self._store
        for key, revision in unchanged.items():
            present = store.items.get(key)
            if (present.revision if present else 0) != revision:
                return False
        for key, value in puts.items():
            store.put(key, RecordChanged(key, value, store.revision + 1, store.revision + 1))
        for key in removals:
            store.delete(key, RecordChanged(key, None, store.revision + 1))
        if self._world.chance("lost write"):
            raise StoreOutcomeUnknownError("answer lost")
        return True

    async def find(self, key: str) -> RecordChanged | None:
        await self._call()
        return self._store.items.get(key)

    async def grant(self, ttl: float) -> int:
        await self._call()
        lease = len(self._world.granted) + 1
        self._world.granted.append(lease)
        self._store.leases[lease] = (self._world.now() + ttl, ttl)
        return lease

    async def renew(self, lease: int) -> None:
        await self._call()
        if lease not in self._store.leases:
            raise LeaseGoneError("over")
        _, ttl = self._store.leases[lease]
        self._store.leases[lease] = (self._world.now() + ttl, ttl)

    async def end(self, lease: int) -> None:
        await self._call()
        self._store.end(lease)


class WorldEngines:
    """One daemon's way to the engines."""

    def __init__(self, world: "World", node: "Node") -> None:
        self._world = world
        self._node = node

    async def _reach(self, endpoint: Endpoint, timeout: float) -> Worker:
        await self._node.thawed()
        await asyncio.sleep(0.002)
        worker = self._world.workers[endpoint.id]
        if worker.dark or self._node.cut_from_engines:
            await asyncio.sleep(timeout)
            raise EndpointSilentError("silent")
        if not worker.alive:
            raise EndpointGoneError("refused")
        return worker

    async def report(self, endpoint: Endpoint, timeout: float) -> EngineReport:
        worker = await self._reach(endpoint, timeout)
        return EngineReport(
            worker.membership,
            (worker.model,) if worker.model else (),
            worker.staged,
            worker.order_count,
        )

    async def order(self, endpoint, order, expected, timeout) -> Outcome:
        worker = await self._reach(endpoint, timeout)
        if self._world.chance("late order"):
            delay = self._world.random.uniform(2, 12)
            self._world.later(delay, lambda: worker.alive and worker.take(order, expected))
            await asyncio.sleep(timeout)
            raise EndpointSilentError("unanswered")
        outcome = worker.take(order, expected)
        if self._world.chance("lost order answer"):
            await asyncio.sleep(timeout)
            raise EndpointSilentError("unanswered")
        return outcome


class WorldPeers:
    """Datagrams between the daemons of a world."""

    def __init__(self, world: "World", node: "Node") -> None:
        self._world = world
        self._node = node
        self.handlers = []

    def on_message(self, handler) -> None:
        self.handlers.append(handler)

    def tell_all(self, message) -> None:
        for other in self._world.nodes:
            if other is not self._node and not other.frozen:
                self._world.later(0.001, lambda other=other: other.receive(message))


class Node:
    """One daemon's control half."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.frozen = False
        self.cut = False
        self.cut_from_engines = False
        self._thaw = asyncio.Event()
        self._thaw.set()
        settings = GatewaySettings(
            name, "a", ("", 0), ("", 0), ("", 0), RetryBudgetSettings(0.2, 10, 10), watch=1.0
        )
        client = StoreClient(world, self)
        self.view = StoreView(client, world.now, settings.watch, lambda: 0.1)
        self.peers = WorldPeers(world, self)
        self.detector = FailureDetector(StreamSettings(), self.peers, world.now)
        self.election = Election(
            settings, client, self.view, world.now, lambda: [one.name for one in world.nodes]
        )
        self.orders = Orders(
            settings.control,
            WorldEngines(world, self),
            self.view,
            lambda: self.election.leads,
            lambda one: self.detector.heard(one, world.now()),
        )
        self.records = GroupRecords(client, self.view, self.election)
        self.ended = EndedGroups(self.peers, world.now)
        terms = TermFactory(
            settings.control,
            self.view,
            self.orders,
            self.records,
            self.detector,
            self.peers,
            self.ended,
            world.now,
        )
        self.controller = Controller(
            self.view, self.election, self.detector, terms, world.now, lambda: False
        )

    async def thawed(self) -> None:
        await self._thaw.wait()

    def freeze(self, seconds: float) -> None:
        self.frozen = True
        self._thaw.clear()
        self.world.later(seconds, self._wake)

    def _wake(self) -> None:
        self.frozen = False
        self._thaw.set()

    def receive(self, message) -> None:
        for handler in self.peers.handlers:
            handler("another", message)
        if isinstance(message, Probe):
            gone = self.view.roster.gone.get(message.endpoint_id)
            if gone is not None:
                self.world.spawn(self._probe(gone.endpoint))

    async def _probe(self, endpoint: Endpoint) -> None:
        if await self.orders.answers(endpoint):
            for other in self.world.nodes:
                other.detector.heard(endpoint.id, self.world.now())

    async def start(self) -> None:
        for part in (self.view, self.election, self.controller):
            await part.start()

    async def stop(self) -> None:
        for part in (self.controller, self.election, self.view):
            await part.stop()


class World:
    """Nodes, engines, a store and an oracle.

    :param odds: chance of each trouble that a call can meet.
    """

    def __init__(self, seed: int, domains: int = 2, workers: int = 8, nodes: int = 3) -> None:
        self.random = random.Random(seed)
        self.odds: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        self.ready: dict[GroupId, set[tuple[str, tuple[str, ...]]]] = collections.defaultdict(set)
        self.granted: list[int] = []
        self.store = Store(self)
        self._jobs: set[asyncio.Task] = set()
        self.broken: list[str] = []
        self.opened = 0
        self.store.put(
            "config",
            ConfigurationChanged(
                ServingConfiguration(1, services={SERVICE: Service(SERVICE, "/", ENGINE)})
            ),
        )
        for number in range(domains):
            for _ in range(workers):
                self.add_worker(f"d{number}")
        self.nodes = [Node(self, f"node-{number}") for number in range(nodes)]

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def later(self, seconds: float, action) -> None:
        asyncio.get_running_loop().call_later(seconds, action)

    def spawn(self, work) -> None:
        job = asyncio.get_running_loop().create_task(work)
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    def chance(self, trouble: str) -> bool:
        return self.random.random() < self.odds.get(trouble, 0.0)

    # engines

    def add_worker(self, domain: str, staged: tuple[str, ...] = ()) -> Worker:
        worker = Worker(self, f"w{len(self.workers):03}", domain, staged=staged)
        self.workers[worker.id] = worker
        self.publish(worker)
        return worker

    def publish(self, worker: Worker) -> None:
        silent = worker.cut_from_store or self.now() < worker.silent_until
        if worker.alive and not silent and not self.store.down:
            self.store.put(worker.id, EndpointListed(worker.entry()))

    def unlist(self, worker: Worker) -> None:
        if not worker.alive or worker.cut_from_store:
            self.store.delete(worker.id, EndpointGone(worker.id))

    def kill(self, worker: Worker, *, dark: bool) -> None:
        worker.alive, worker.dark = False, dark
        self.later(UNLISTED_AFTER, lambda: self.unlist(worker))
        self.later(0.3, lambda: self.suspect(worker))

    def suspect(self, worker: Worker) -> None:
        """Let a daemon notice that the worker's group is silent."""
        leader = self.workers.get(worker.members[0]) if worker.members else None
        if leader is not None:
            node = self.random.choice(self.nodes)
            if not node.frozen:
                node.detector.suspect(leader.entry(), "silence")

    def cut_from_store(self, worker: Worker, seconds: float) -> None:
        worker.cut_from_store = True
        self.later(UNLISTED_AFTER, lambda: self.unlist(worker))

        def heal() -> None:
            worker.cut_from_store = False
            self.publish(worker)

        self.later(seconds, heal)

    def lapse_all(self) -> None:
        """Let all entries and leases run out; heartbeats bring the entries back."""
        for worker in self.workers.values():
            worker.silent_until = self.now() + LAPSE_OUTAGE + self.random.uniform(0.0, HEARTBEAT)
            self.store.delete(worker.id, EndpointGone(worker.id))
        for lease in list(self.store.leases):
            self.store.end(lease)

    def drain(self, worker: Worker) -> None:
        worker.draining = True
        self.publish(worker)
        self.later(4.0, lambda: self.kill(worker, dark=False))

    # the oracle

    def check_two(self, worker: Worker, order: Join) -> None:
        """No join of another group while the former group's leader may answer."""
        former = worker.former
        if former is None or former == order.group:
            return
        for one in self.workers.values():
            answers = one.state in (GroupState.OPEN, GroupState.CLOSING)
            leads = one.group == former and one.members and one.members[0] == one.id
            if one.alive and leads and answers:
                text = f"TWO: {worker.id} joins {order.group} while {one.id} leads {former}"
                self.broken.append(text)

    def check_distinct(self, order: Join) -> None:
        """No endpoint stands twice in a group."""
        if len(set(order.members)) < len(order.members):
            self.broken.append(f"PARTIAL: {order.group} names a member twice: {order.members}")

    def check_partial(self, leader: Worker) -> None:
        """A group opens only after each member was ready in it."""
        self.opened += 1
        ready = {name for name, members in self.ready[leader.group] if members == leader.members}
        missing = set(leader.members) - ready
        if missing:
            self.broken.append(f"PARTIAL: {leader.group} opens without {sorted(missing)}")

    def standing(self) -> collections.Counter:
        """Count the groups that could answer, by model."""
        counts: collections.Counter = collections.Counter()
        for one in self.workers.values():
            if not one.alive or one.state is not GroupState.OPEN or one.members[0] != one.id:
                continue
            members = [self.workers[name] for name in one.members]
            if all(other.alive and other.group == one.group for other in members):
                counts[one.model] += 1
        return counts

    async def pass_time(self, seconds: float) -> None:
        until = self.now() + seconds
        while self.now() < until:
            await asyncio.sleep(0.1)
            if not self.store.down:
                self.store.expire()
            for worker in list(self.workers.values()):
                worker.look()
                listed = self.store.items.get(worker.id)
                if listed is None or listed.endpoint != worker.entry():
                    # what its next heartbeat would do
                    self.publish(worker)

    async def start(self) -> None:
        for node in self.nodes:
            await node.start()

    async def stop(self) -> None:
        for node in self.nodes:
            node._wake()
            await node.stop()
