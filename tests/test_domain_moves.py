"""Moves of fabric domains, carried out by controllers in a world of engines and a store.

Guards against requests that a move aborts, moves that stay half done when a controller dies, and
a layout that swings when the store was restored or the demand oscillates.
"""

import dataclasses
import functools
import random

import pytest

from thorncleat_core import log_events
from thorncleat_gateway import events
from thorncleat_gateway.groups.placement import Move
from thorncleat_gateway.groups.placement_records import PLACEMENT_PREFIX
from thorncleat_gateway.groups.placement_records import Placement
from thorncleat_gateway.groups.placement_records import PlacementRecords
from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.ports import Leave
from thorncleat_gateway.ports import Position
from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.store.roster import GroupState
from thorncleat_gateway.store.serving import Engine
from thorncleat_gateway.store.serving import EngineModel
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import Service
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split
from thorncleat_gateway.store.store_era import StoreEra

from . import virtual_time
from .group_engines import ENGINE as FACTOR_OF_TWO
from .group_engines import SERVICE
from .group_engines import Worker
from .group_node import Node
from .group_world import World
from .group_world import controller_node

SLOTS = 10
ENGINE = Engine(
    SLOTS,
    (
        EngineModel("big", 8, share=0.67, load=40.0, warm=1.6),
        EngineModel("tiny", 2, share=0.33, load=40.0, warm=1.1),
    ),
    loads_per_second=8.0,
    loads_at_once=12,
)
# Loads in the world take a tenth of the configured time.
SLOW_LOADS = dataclasses.replace(
    ENGINE, models=tuple(dataclasses.replace(model, load=220.0) for model in ENGINE.models)
)
KEY = PLACEMENT_PREFIX + SERVICE
DOMAINS = ("a0", "a1", "b0", "b1", "c0", "c1")
DOMAIN_SIZE = 9
START_SECONDS = 30.0
BEFORE, AFTER = {"big": 4, "tiny": 8}, {"big": 3, "tiny": 12}
# Running requests by model.
CALM, NEED = {"big": 6, "tiny": 30}, {"big": 6, "tiny": 78}


@pytest.fixture(autouse=True)
def logged(monkeypatch):
    """Return the numbers of the events that are logged."""
    found = []
    monkeypatch.setattr(log_events, "_observers", [lambda event, _: found.append(event.number)])
    return found


@pytest.fixture(autouse=True)
def aborted(monkeypatch):
    """Fail if a leader is ordered out of a group of the giving model that still has requests."""
    found = []
    carry_out = Worker._carry_out

    def check(worker, order):
        is_busy = worker.state in (GroupState.OPEN, GroupState.CLOSING)
        if isinstance(order, Leave) and order.group == worker.group and is_busy:
            found.append((worker.id, worker.model))
        return carry_out(worker, order)

    monkeypatch.setattr(Worker, "_carry_out", check)
    yield found
    assert [name for name, model in found if model == "big"] == []


class Fleet:
    """A world whose callers keep a number of requests running for each model."""

    def __init__(self, engine=ENGINE):
        self.world = World(seed=1, domains=0, engine=engine)
        self.world.before_requests = True
        for domain in DOMAINS:
            for _ in range(DOMAIN_SIZE):
                self.world.add_worker(domain)
        route = Route(
            "chat", "h", "/", RouteKind.STREAMING, 30.0, 1.0, 1.0, 0, (Split(SERVICE, 1.0),)
        )
        services = {SERVICE: Service(SERVICE, "/", engine)}
        configuration = ServingConfiguration(2, routes=(route,), services=services)
        self.world.store.put("config", ConfigurationChanged(configuration))
        self.lowest = dict(BEFORE)

    async def start(self):
        await self.world.start()
        await self.world.pass_time(START_SECONDS)
        self.world.before_requests = False

    async def load(self, running, seconds):
        until = self.world.now() + seconds
        while self.world.now() < until:
            self.report(running)
            await self.world.pass_time(0.2)
            groups = self.world.running_groups()
            self.lowest = {model: min(n, groups[model]) for model, n in self.lowest.items()}

    async def load_until(self, running, reached, seconds=60.0):
        until = self.world.now() + seconds
        while not reached() and self.world.now() < until:
            await self.load(running, 0.2)
        assert reached()

    def report(self, running):
        counts = {}
        for model, count in running.items():
            leaders = [
                worker.id
                for worker in self.world.workers.values()
                if worker.alive
                and worker.state is GroupState.OPEN
                and worker.is_leader
                and worker.model == model
            ]
            for number in range(count if leaders else 0):
                name = leaders[number % len(leaders)]
                counts[name] = counts.get(name, 0) + 1
        for node in self.world.nodes:
            node.load_table.report("callers", counts)

    @property
    def record(self):
        found = self.world.store.items.get(KEY)
        return Placement.decode(found.value) if found is not None else None

    @property
    def move(self):
        return self.record.move if self.record is not None else None

    def closing_models(self):
        workers = self.world.workers.values()
        return [worker.model for worker in workers if worker.state is GroupState.CLOSING]

    def staged(self, domain):
        workers = self.world.workers.values()
        return {model for worker in workers if worker.domain == domain for model in worker.staged}


def play(scenario, **kwargs):
    """Run a scenario of a fleet that has formed its groups."""

    async def run():
        fleet = Fleet(**kwargs)
        await fleet.start()
        await scenario(fleet)
        await fleet.world.stop()
        assert fleet.world.broken == []
        return fleet

    return virtual_time.run(run())


def test_domain_moves_to_the_model_in_need(logged):
    """Guards against a lasting need that nothing is done about, and against more than one move."""

    async def scenario(fleet):
        assert fleet.world.running_groups() == BEFORE
        await fleet.load(NEED, 60.0)
        assert fleet.world.running_groups() == AFTER
        assert fleet.lowest == {"big": 3, "tiny": 8}
        assert fleet.move is None
        # Neither model is in need any more, so nothing else moves, also when the demand is low.
        await fleet.load(CALM, 60.0)
        assert fleet.world.running_groups() == AFTER

    play(scenario)
    steps = (
        events.DOMAIN_MOVE_BEGUN,
        events.DOMAIN_MOVE_CLOSING,
        events.DOMAIN_MOVE_FINISHED,
    )
    assert [logged.count(step.number) for step in steps] == [1, 1, 1]


def test_hosts_load_while_their_groups_serve():
    """Guards against a domain that serves nothing while its hosts load."""

    async def scenario(fleet):
        await fleet.load_until(NEED, lambda: fleet.move is not None)
        domain = fleet.move.domain
        assert fleet.staged(domain) == {"big"}
        while_loading = []

        def is_closing():
            if not fleet.move.is_closing:
                while_loading.append(fleet.world.running_groups())
            return fleet.move.is_closing

        await fleet.load_until(NEED, is_closing)
        assert len(while_loading) > 10
        assert all(groups == BEFORE for groups in while_loading)
        assert fleet.staged(domain) == {"tiny"}

    play(scenario)


def test_oscillating_demand_moves_nothing():
    """Guards against loads for a demand that is over before they end."""

    async def scenario(fleet):
        for _ in range(12):
            await fleet.load(NEED, 6.0)
            await fleet.load(CALM, 6.0)
        assert fleet.record is None
        assert fleet.world.running_groups() == BEFORE

    play(scenario)


def test_nothing_moves_where_the_sizes_differ_by_a_factor_of_two():
    """Guards against loads that gain few slots."""

    async def scenario(fleet):
        await fleet.load({"large": 1, "small": 400}, 40.0)
        assert fleet.record is None

    play(scenario, engine=FACTOR_OF_TWO)


def test_move_is_abandoned_when_the_need_is_over(logged):
    """Guards against groups that are ended for a need that is over."""

    async def scenario(fleet):
        await fleet.load_until(NEED, lambda: fleet.move is not None)
        domain = fleet.move.domain
        await fleet.load(CALM, 18.0)
        assert fleet.record.move is None
        assert fleet.record.domains[domain] == "big"
        # The loads end after the move was abandoned, and are undone.
        await fleet.load(CALM, 8.0)
        assert "tiny" in fleet.staged(domain)
        await fleet.load(CALM, 40.0)
        assert fleet.staged(domain) == {"big"}
        assert fleet.world.running_groups() == fleet.lowest == BEFORE

    play(scenario, engine=SLOW_LOADS)
    assert events.DOMAIN_MOVE_ABANDONED.number in logged


@pytest.mark.parametrize("after_closing", [False, True])
@pytest.mark.parametrize("delay", [0.0, 0.6, 1.5])
def test_next_controller_goes_on_with_a_move(after_closing, delay):
    """Guards against a move that is left halfway, or begun a second time with another domain."""

    async def scenario(fleet):
        def has_reached():
            return fleet.move is not None and fleet.move.is_closing >= after_closing

        await fleet.load_until(NEED, has_reached)
        domain = fleet.move.domain
        await fleet.load(NEED, delay)
        first = controller_node(fleet.world)
        fleet.world.nodes.remove(first)
        await first.stop()
        await fleet.load(NEED, 60.0)
        assert fleet.world.running_groups() == AFTER
        moved = [name for name, model in fleet.record.domains.items() if model == "tiny"]
        assert fleet.move is None
        assert domain in moved
        assert len(moved) == 3

    play(scenario)


@pytest.mark.parametrize("controller_dies", [False, True])
def test_requests_of_closed_groups_finish(controller_dies):
    """They may take as long as a route allows; the next controller waits for them too."""

    async def scenario(fleet):
        fleet.world.close_seconds = 9.0
        await fleet.load_until(NEED, lambda: "big" in fleet.closing_models())
        if controller_dies:
            first = controller_node(fleet.world)
            fleet.world.nodes.remove(first)
            await first.stop()
        await fleet.load(NEED, 5.0)
        assert fleet.closing_models() == ["big"]
        await fleet.load(NEED, 30.0)
        assert fleet.world.running_groups() == AFTER

    play(scenario)


def test_domains_move_one_after_the_other_while_the_giving_model_can_spare_them(logged):
    """Guards against two moves at once, and a model that is left in one failure domain."""

    async def scenario(fleet):
        await fleet.load({"big": 2, "tiny": 240}, 180.0)
        # The other two are in two failure domains.
        assert fleet.world.running_groups() == {"big": 2, "tiny": 16}

    play(scenario)
    begun, finished = events.DOMAIN_MOVE_BEGUN.number, events.DOMAIN_MOVE_FINISHED.number
    assert [number for number in logged if number in (begun, finished)] == [begun, finished] * 2


def test_no_move_begins_while_the_store_is_away():
    """Guards against orders that the next controller would not know of."""

    async def scenario(fleet):
        orders = {worker.id: worker.order_count for worker in fleet.world.workers.values()}
        fleet.world.store.down = True
        await fleet.load(NEED, 30.0)
        after = {worker.id: worker.order_count for worker in fleet.world.workers.values()}
        assert after == orders
        fleet.world.store.down = False
        await fleet.load(NEED, 60.0)
        assert fleet.world.running_groups() == AFTER

    play(scenario)


@pytest.mark.parametrize("after_closing", [False, True])
def test_move_goes_on_after_an_outage_of_the_store(after_closing):
    """Guards against a move that waits forever for a write that failed."""

    async def scenario(fleet):
        def has_reached():
            return fleet.move is not None and fleet.move.is_closing >= after_closing

        await fleet.load_until(NEED, has_reached)
        fleet.world.store.down = True
        await fleet.load(NEED, 4.0)
        fleet.world.store.down = False
        await fleet.load(NEED, 60.0)
        assert fleet.world.running_groups() == AFTER

    play(scenario)


def test_lost_group_of_a_loading_domain_is_not_formed_again_for_the_old_model(monkeypatch, aborted):
    """Its hosts would be taken from the move, and the group closed again at once."""

    async def scenario(fleet):
        await fleet.load_until(NEED, lambda: fleet.move is not None)
        domain = fleet.move.domain
        formed = []

        def observe(event, fields):
            if event is events.GROUP_FORMING:
                formed.append(fields)

        monkeypatch.setattr(log_events, "_observers", [observe])
        workers = fleet.world.workers.values()
        member = next(w for w in workers if w.domain == domain and w.members and not w.is_leader)
        fleet.world.kill(member, unreachable=False)
        await fleet.load(NEED, 60.0)
        assert {fields["model"] for fields in formed if fields["domain"] == domain} == {"tiny"}
        assert fleet.world.running_groups() == AFTER

    play(scenario)
    # The requests of the lost group broke with its member.
    aborted.clear()


def test_move_goes_on_with_the_members_that_are_left():
    """Guards against a move that waits for hosts which are gone."""

    async def scenario(fleet):
        await fleet.load_until(NEED, lambda: fleet.move is not None)
        domain = fleet.move.domain
        for worker in [w for w in fleet.world.workers.values() if w.domain == domain][:3]:
            fleet.world.kill(worker, unreachable=True)
        await fleet.load(NEED, 70.0)
        assert fleet.world.running_groups() == {"big": 3, "tiny": 11}
        # Its group was not formed again for the old model, nor on the hosts of others.
        assert fleet.record.domains[domain] == "tiny"

    play(scenario)


@pytest.mark.parametrize("forget", [False, True], ids=["remembered", "all daemons start again"])
@pytest.mark.parametrize("during", [False, True], ids=["before the move", "during the move"])
def test_layout_does_not_swing_after_a_restore(forget, during):
    """The store's copy has no record, or that of the move's begin."""

    async def scenario(fleet):
        copy = fleet.world.store.copy()
        if during:
            await fleet.load_until(NEED, lambda: fleet.move is not None)
            copy = fleet.world.store.copy()
        await fleet.load_until(NEED, lambda: fleet.record and not fleet.move)
        domains = fleet.record.domains
        await fleet.load(NEED, 8.0)
        fleet.world.restore(copy)
        if forget:
            await fleet.world.stop()
            fleet.world.nodes = [Node(fleet.world, node.name) for node in fleet.world.nodes]
            await fleet.world.start()
        await fleet.load({"big": 6, "tiny": 70}, 10.0)
        fleet.lowest = dict(AFTER)
        await fleet.load({"big": 6, "tiny": 70}, 60.0)
        assert fleet.lowest == AFTER
        assert fleet.world.running_groups() == AFTER
        if not forget or during:
            assert fleet.record.domains == domains
            assert fleet.move is None

    play(scenario)


class _View:
    """A view of a store that holds one record or none."""

    def __init__(self):
        self.records, self.records_version, self.era = {}, 0, StoreEra()

    def show(self, era, placement):
        self.era.observe(era)
        self.records_version += 1
        value = placement.encode() if placement is not None else None
        self.records = {KEY: RecordChanged(KEY, value, 1, 1)} if value is not None else {}

    def position_of(self, record):
        return Position(self.era.newest, record.revision)


OLD, NEW = Placement(1, 4, {"a0": "big"}), Placement(1, 5, {"a0": "tiny"})
REWRITTEN = Placement(2, 2, {"a0": "big"})


@pytest.mark.parametrize(
    ("shown", "current", "is_lost"),
    [
        pytest.param([(1, OLD), (1, NEW)], NEW, False, id="newer"),
        pytest.param([(1, NEW), (2, OLD)], NEW, True, id="restored from a copy"),
        pytest.param([(1, NEW), (2, None)], NEW, True, id="restored without it"),
        pytest.param([(1, NEW), (2, NEW)], NEW, False, id="restored with it"),
        pytest.param([(1, NEW), (2, OLD), (2, REWRITTEN)], REWRITTEN, False, id="rewritten"),
        pytest.param([(1, NEW), (1, None)], None, False, id="deleted"),
        pytest.param([(1, NEW), (2, NEW), (2, None)], None, False, id="deleted later"),
    ],
)
def test_newest_placement(shown, current, is_lost):
    """A copy of the store may hold an older placement than the hosts do."""
    view = _View()
    records = PlacementRecords(None, view, None)
    for era, placement in shown:
        view.show(era, placement)
        records.observe()
    assert records.current(SERVICE) == current
    assert records.is_lost(SERVICE) is is_lost


def put(fleet, value):
    store = fleet.world.store
    revision = store.revision + 1
    store.put(KEY, RecordChanged(KEY, value, revision, revision))


@pytest.mark.parametrize(
    "value",
    [
        b"\xc1",
        b"\x01",
        Placement(1, 1, {"gone": "big", "a0": "other"}, Move("gone", "other", "x")).encode(),
    ],
    ids=["unreadable", "another form", "unknown domains and models"],
)
def test_record_that_is_of_no_use_is_ignored(value, logged):
    async def scenario(fleet):
        put(fleet, value)
        await fleet.load(CALM, 40.0)
        assert fleet.world.running_groups() == BEFORE
        assert {"big"} in [fleet.staged(domain) for domain in DOMAINS]

    play(scenario)
    # Once at each daemon at most.
    assert 1 <= logged.count(events.PLACEMENT_IGNORED.number) <= 3


def test_deleted_record_is_forgotten():
    """Operators delete the record to return to the shares of the configuration."""

    async def scenario(fleet):
        await fleet.load_until(NEED, lambda: fleet.record and not fleet.move)
        fleet.world.store.delete(KEY, RecordChanged(KEY, None, fleet.world.store.revision + 1))
        await fleet.load(CALM, 5.0)
        assert fleet.record is None
        assert all(node.placements.current(SERVICE) is None for node in fleet.world.nodes)

    play(scenario)


def test_record_is_read_as_it_was_written():
    for move in (None, Move("a0", "big", "tiny"), Move("a0", "big", "tiny", is_closing=True)):
        placement = Placement(2, 7, {"a0": "big", "b0": "tiny"}, move)
        assert Placement.decode(placement.encode()) == placement


def test_form_of_a_record():
    """Daemons of later builds read the records of this one."""
    written = Placement(2, 7, {"a0": "big"}, Move("a0", "big", "tiny")).encode()
    assert written.hex() == "9501020781a26130a362696794a26130a3626967a474696e79c2"


async def _faults(fleet, rng):
    """Inject faults of orders, writes, daemons and endpoints while the domain moves."""
    world = fleet.world
    world.odds = {"late order": 0.1, "lost order answer": 0.1, "lost write": 0.3}
    for _ in range(20):
        await fleet.load(NEED, rng.uniform(0.3, 3.0))
        controller = next((n for n in world.nodes if n.election.is_controller), world.nodes[0])
        match rng.randrange(4):
            case 0:
                controller.freeze(rng.uniform(1, 6))
            case 1:
                world.store.down = True
                world.later(rng.uniform(0.5, 3), lambda: setattr(world.store, "down", False))
            case 2:
                lost = rng.choice([worker for worker in world.workers.values() if worker.alive])
                world.kill(lost, unreachable=rng.random() < 0.5)
                world.add_worker(lost.domain, staged=lost.staged)
            case 3:
                controller.cut = True
                world.later(rng.uniform(1, 4), functools.partial(setattr, controller, "cut", False))
    world.odds, world.store.down = {}, False


@pytest.mark.parametrize("seed", range(8))
def test_no_rule_is_broken_by_a_move_under_faults(seed, aborted):
    async def scenario(fleet):
        await fleet.load(NEED, 4.0)
        await _faults(fleet, random.Random(seed))
        await fleet.load({"big": 4, "tiny": 60}, 90.0)
        running = fleet.world.running_groups()
        # Whether a domain has moved depends on when the faults came; none is left half moved.
        assert (running["big"], running["tiny"]) in ((4, 8), (3, 12))
        assert fleet.move is None

    play(scenario)
    # Groups that lose a member are ended at once.
    aborted.clear()
