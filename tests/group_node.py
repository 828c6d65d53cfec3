"""A daemon's control of the groups, for the world of :mod:`.group_world`.

Its datagrams reach the other daemons of the world, unless the sender or the receiver is frozen.
"""

import asyncio
import typing as t

from thorncleat_gateway.exceptions import EndpointError
from thorncleat_gateway.groups.call_window import CallWindow
from thorncleat_gateway.groups.controller import Controller
from thorncleat_gateway.groups.election import Election
from thorncleat_gateway.groups.ended import EndedGroups
from thorncleat_gateway.groups.orders import Orders
from thorncleat_gateway.groups.placement_records import PlacementRecords
from thorncleat_gateway.groups.records import GroupRecords
from thorncleat_gateway.groups.term import TermFactory
from thorncleat_gateway.peers.datagrams import MIN_REPORT_INTERVAL_SECONDS
from thorncleat_gateway.peers.failure_detector import FailureDetector
from thorncleat_gateway.peers.load_reporter import MIN_CONTACT_TTL_SECONDS
from thorncleat_gateway.peers.load_table import LoadTable
from thorncleat_gateway.peers.messages import GroupKept
from thorncleat_gateway.peers.messages import LoadReport
from thorncleat_gateway.peers.messages import Probe
from thorncleat_gateway.peers.messages import ProbeResult
from thorncleat_gateway.peers.reach import Reach
from thorncleat_gateway.peers.reach_check import ReachCheck
from thorncleat_gateway.requests.retry_budget import RetryBudgetSettings
from thorncleat_gateway.settings import GatewaySettings
from thorncleat_gateway.settings import StreamSettings
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.view import StoreView

from .group_engines import SERVICE
from .group_engines import Processor
from .group_engines import Worker
from .group_engines import WorldEngines
from .group_store import StoreClient

if t.TYPE_CHECKING:
    from .group_world import World

CONNECT_TIMEOUT_SECONDS = 0.25


class WorldPeers:
    """Datagrams between the daemons of a world."""

    def __init__(self, world: "World", node: "Node") -> None:
        self._world = world
        self._node = node
        self.handlers = []

    def on_message(self, handler) -> None:
        self.handlers.append(handler)

    def report_interval_seconds(self) -> float:
        return MIN_REPORT_INTERVAL_SECONDS

    @property
    def other_daemons(self) -> set[str]:
        return {node.name for node in self._world.nodes if node is not self._node}

    def broadcast(self, message) -> None:
        for other in self._world.nodes:
            if other is not self._node:
                self.send(other.name, message)

    def send(self, daemon: str, message) -> None:
        other = next(node for node in self._world.nodes if node.name == daemon)
        if not other.frozen and not self._node.frozen:
            sender = self._node
            self._world.later(0.001, lambda: other.receive(sender, message))


class Node:
    """A daemon's group control."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.capacity = 1.0
        self.frozen = False
        self.cut = False
        self.cut_from_engines = False
        # False for a daemon of an earlier build.
        self.reports_probe_results = True
        # The store refuses this daemon's reads but carries out its writes.
        self.reads_refused = False
        # Seconds that the store takes to grant this daemon a lease.
        self.grant_delay = 0.0
        # Number of notices that a group is kept which don't reach this daemon.
        self.lost_notices = 0
        # The store's answer to the end of a lease is lost.
        self.end_unanswered = False
        # Ids of workers to which this daemon's connections are reset on the way.
        self.reset_paths: set[str] = set()
        self._thaw = asyncio.Event()
        self._thaw.set()
        settings = GatewaySettings(
            name, "a", ("", 0), ("", 0), ("", 0), RetryBudgetSettings(0.2, 10, 10), watch=1.0
        )
        client = StoreClient(world, self)
        self.view = StoreView(client, world.now, settings.watch, lambda: 0.1)
        self.peers = WorldPeers(world, self)
        self.reach = Reach(world.now)
        self.detector = FailureDetector(StreamSettings(), self.peers, world.now, reach=self.reach)
        self.reach_check = ReachCheck(self.reach, self.view, self._connects)
        self.load_table = LoadTable(world.now, lambda: MIN_REPORT_INTERVAL_SECONDS)
        self.election = Election(
            settings,
            client,
            self.view,
            world.now,
            lambda: {node.name: node.capacity for node in world.nodes},
            self.reach,
            self.detector.others_reach_endpoints,
        )
        clock = asyncio.get_running_loop().time
        self.processor = Processor(clock)
        self.calls = CallWindow(self.processor, clock)
        self.engines = WorldEngines(world, self)
        self.orders = Orders(
            settings.control,
            self.engines,
            self.view,
            lambda: self.election.is_controller,
            self._record_answer,
            self.calls,
            world.now,
            self.reach.record_failure,
            self.reach.record_success,
        )
        self.records = GroupRecords(client, self.view, self.election)
        self.placements = PlacementRecords(client, self.view, self.election)
        self.ended = EndedGroups(self.peers, world.now)
        terms = TermFactory(
            settings.control,
            self.view,
            self.orders,
            self.records,
            self.placements,
            self.detector,
            self.load_table,
            self.peers,
            self.ended,
            world.now,
            self.reach_check.confirms_reach,
        )
        self.controller = Controller(
            self.view,
            self.election,
            self.detector,
            terms,
            self.placements,
            world.now,
            lambda: world.before_requests,
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

    def receive(self, sender: "Node", message) -> None:
        if isinstance(message, GroupKept) and self.lost_notices:
            self.lost_notices -= 1
            return
        for handler in self.peers.handlers:
            handler(sender.name, message)
        if isinstance(message, LoadReport):
            self.load_table.report(sender.name, message.counts)
        if isinstance(message, Probe):
            counts = self.world.requests_of(self)
            responding = [name for name in counts if name not in self.world.stalled_workers]
            self.peers.send(sender.name, LoadReport(counts, responding))
            removed = self.view.roster.removed.get(message.endpoint_id)
            listed = self.view.roster.endpoints.get(message.endpoint_id)
            if listed or removed:
                self.world.spawn(self._probe(sender, listed or removed.endpoint))

    async def _probe(self, sender: "Node", endpoint: Endpoint) -> None:
        began_at = self.world.now()
        answered = await self.orders.is_responding(endpoint)
        if answered:
            self.peers.send(sender.name, self._load_report())
        if self.reports_probe_results:
            reaches_others = answered or await self.reach_check.confirms_reach(SERVICE, began_at)
            self.peers.send(sender.name, ProbeResult(endpoint.id, answered, reaches_others))

    def _record_answer(self, endpoint: Endpoint) -> None:
        self.reach.record_success(endpoint)
        self.detector.record_contact(endpoint.id, self.world.now())

    def record_request(self, worker: Worker) -> None:
        """Record that a request of this daemon was answered on a connection of its own."""
        self._record_answer(worker.entry())

    async def _connects(self, endpoint: Endpoint) -> bool:
        try:
            await self.engines.reach(endpoint, CONNECT_TIMEOUT_SECONDS)
        except EndpointError:
            return False
        return True

    def _load_report(self) -> LoadReport:
        heard = self.detector.contacted_within(MIN_CONTACT_TTL_SECONDS)
        return LoadReport(self.world.requests_of(self), heard)

    def report_load(self) -> None:
        """Send a load report as each daemon does that has heard endpoints."""
        self.load_table.remove_expired()
        report = self._load_report()
        if report.heard:
            self.peers.broadcast(report)

    async def start(self) -> None:
        for part in (self.view, self.reach_check, self.election, self.controller):
            await part.start()

    async def stop(self) -> None:
        for part in (self.controller, self.election, self.reach_check, self.view):
            await part.stop()
