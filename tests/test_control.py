"""Guards against wrong permits and lost groups under kills, partitions and store outages."""

import asyncio
import contextlib
import dataclasses

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from thorncleat_core.daemon.fleet import InstanceState
from thorncleat_core.exceptions import ThorncleatError

from .world import World


def _open(world: World) -> World:
    world.run(12)
    assert {group for _, group, _ in world.usable()} == set(world.state.placements)
    return world


def _holder(world: World) -> str:
    (name,) = [daemon.name for daemon in world.daemons.values() if daemon.holder.held]
    return name


def _holder_of(daemons) -> str:
    (name,) = [daemon.name for daemon in daemons if daemon.holder.held]
    return name


def _assert_closed_within(world: World, seconds: float) -> None:
    world.run(seconds, step=0.05)
    assert not world.usable()


class TestGroupDowntime:
    def test_group_opens_on_every_daemon(self):
        assert len(_open(World()).usable()) == 3

    @pytest.mark.parametrize("name", ["i0", "i3"])
    def test_death_of_a_member_closes_everywhere_within_the_window(self, name):
        world = _open(World(instances=4))
        world.kill(name)
        _assert_closed_within(world, world.control.window * 1.02)

    def test_closes_though_no_message_gets_through(self):
        world = _open(World(instances=4))
        world.cut_peers = {(a, b) for a in world.daemons for b in world.daemons}
        world.kill("i1")
        holder = _holder(world)
        world.run(world.control.window * 1.02, step=0.05)
        assert {name for name, _, _ in world.usable()} <= {holder}
        _assert_closed_within(world, 0.5)

    def test_spare_takes_over(self):
        world = _open(World())
        world.kill("i0")
        world.run(10)
        assert world.assignments().groups["narrator-0"].members[0] in ("i4", "i5")
        assert len(world.usable()) == 3

    def test_without_spares_it_waits_and_opens_again(self):
        world = _open(World(instances=4))
        world.kill("i2")
        world.run(20)
        assert not world.usable()
        world.revive("i2")
        world.run(3)
        assert len(world.usable()) == 3

    def test_two_groups_short_of_a_member_make_one_that_serves(self):
        world = _open(World(instances=8, replicas=2))
        world.kill("i0")
        world.kill("i5")
        world.run(15)
        assert {group for _, group, _ in world.usable()} == {"narrator-0"}


class TestHolders:
    def test_shard_is_held_again_after_its_holder_stopped(self):
        world = _open(World())
        old = _holder(world)
        world.daemons[old].paused = True
        world.run(world.control.lease + 8)
        assert [
            daemon.name
            for daemon in world.daemons.values()
            if daemon.holder.held and not daemon.paused
        ]
        assert len(world.usable()) == 2

    @pytest.mark.parametrize("store_down", [False, True])
    def test_groups_stay_open_when_their_holder_dies(self, store_down):
        world = _open(World())
        old = _holder(world)
        world.store_down = store_down
        world.daemons[old].paused = True
        while world.now < 30:
            world.run(0.1, step=0.1)
            assert len(world.usable()) == 2, world.now

    def test_manager_without_a_lease_ends_when_the_shard_is_held_again(self):
        world = _open(World())
        world.daemons[_holder(world)].paused = True
        world.run(40)
        managing = [
            daemon
            for daemon in world.daemons.values()
            if daemon.holder.managers and not daemon.paused
        ]
        assert [daemon.name for daemon in managing] == [_holder_of(managing)]

    def test_paused_holder_comes_back_and_changes_nothing(self):
        world = _open(World())
        old = _holder(world)
        world.daemons[old].paused = True
        world.run(20)
        world.kill("i0")
        world.run(6)
        before = world.assignments()
        world.daemons[old].paused = False
        world.run(0.25, order=[old])
        assert world.assignments() == before
        world.run(5)
        assert len(world.usable()) == 3

    def test_order_from_before_a_pause_does_not_count(self):
        world = _open(World())
        old = _holder(world)
        world.orders_delayed.add(old)
        world.kill("i0")
        world.run(4)
        assert world.delayed
        world.daemons[old].paused = True
        world.run(20)
        followed = {name: engine.order for name, engine in world.engines.items()}
        world.deliver()
        assert {name: engine.order for name, engine in world.engines.items()} == followed

    def test_lost_answer_of_an_acquisition_is_read_back(self):
        world = World()
        world.lose_answers = 1
        world.run(12)
        assert len([daemon for daemon in world.daemons.values() if daemon.holder.held]) == 1
        assert len(world.usable()) == 3


class TestStoreOutage:
    def test_groups_keep_serving_for_an_hour(self):
        world = _open(World())
        world.store_down = True
        world.run(3600, step=1.0)
        assert len(world.usable()) == 3
        world.store_down = False
        world.run(20)
        assert len(world.usable()) == 3

    def test_death_of_a_member_closes_the_group_during_an_outage(self):
        world = _open(World(instances=4))
        world.store_down = True
        world.run(30)
        world.kill("i3")
        _assert_closed_within(world, world.control.window * 1.02)

    def test_nothing_is_changed_without_the_store(self):
        world = _open(World())
        world.store_down = True
        world.run(20)
        orders = {name: engine.order for name, engine in world.engines.items()}
        world.kill("i0")
        world.run(30)
        assert {name: engine.order for name, engine in world.engines.items()} == orders

    def test_another_daemon_issues_permits_when_the_holder_dies(self):
        world = _open(World())
        world.store_down = True
        world.run(10)
        world.daemons[_managing_daemon(world)].paused = True
        world.run(10)
        assert len(world.usable()) == 2

    def test_holder_cut_off_from_the_store_is_replaced(self):
        world = _open(World())
        old = _holder(world)
        world.cut_from_store.add(old)
        world.run(30)
        assert not world.daemons[old].holder.held
        assert [daemon for daemon in world.daemons.values() if daemon.holder.held]
        assert len(world.usable()) == 3


def _managing_daemon(world: World) -> str:
    (name,) = [daemon.name for daemon in world.daemons.values() if daemon.holder.managers]
    return name


def _drain(world: World, *names: str) -> None:
    old = world.state.configuration
    drained = dataclasses.replace(old, draining=frozenset(names))
    world.state = dataclasses.replace(world.state, configuration=drained)


class TestHandOver:
    """Each test fails through the world's check if one mechanism is removed."""

    def test_old_permits_are_waited_for_when_a_member_is_replaced(self):
        world = _open(World(repair_after=0.1))
        holder = _holder(world)
        cut = next(name for name in world.daemons if name != holder)
        # This daemon receives nothing and uses its permit until it expires.
        world.cut_peers = {(cut, other) for other in world.daemons}
        world.kill("i0")
        world.run(8, step=0.05)
        assert "i0" not in world.assignments().groups["narrator-0"].members

    @pytest.mark.parametrize("later", [0.0, 0.5, 1.0, 1.5, 2.0, 2.2, 2.4])
    def test_former_holder_stops_permitting_when_the_next_shows(self, later):
        world = _open(World())
        old = _holder(world)
        user, other = (name for name in world.daemons if name != old)
        world.cut_from_store.add(old)
        # One daemon only reaches the former holder, and later not even that one.
        world.cut_peers = {(user, other), (old, other)}
        _drain(world, "i1")
        while not world.daemons[other].holder.held:
            world.run(0.05, step=0.05, order=[other, old, user])
        world.run(later, step=0.05, order=[other, old, user])
        world.cut_peers |= {(user, old)}
        world.run(8, step=0.05, order=[other, old, user])
        assert "i1" not in world.assignments().occupied_instances()

    def test_order_is_not_given_after_the_lease_ended(self):
        # Engines without fencing depend on the holder's own clock.
        world = _open(World(fenced=False))
        old = world.daemons[_holder(world)]
        (manager,) = old.holder.managers.values()
        old.paused = True
        # After the holder's own deadline and before the lease expires in the store.
        world.run(world.control.lease - 0.6, step=0.1)
        world.engines["i4"].order = dataclasses.replace(world.engines["i0"].order, group="x")
        asyncio.run(manager.watch())
        followed = {name: engine.order for name, engine in world.engines.items()}
        with contextlib.suppress(ThorncleatError):
            asyncio.run(manager.repair())
        assert {name: engine.order for name, engine in world.engines.items()} == followed

    def test_assignments_are_not_written_after_the_lease_ended(self):
        world = _open(World())
        old = world.daemons[_holder(world)]
        (manager,) = old.holder.managers.values()
        world.run(0.25)
        old.paused = True
        world.run(world.control.lease + 8)
        before = world.assignments()
        # A clock stopped during a suspension: only the store knows of the expired lease.
        manager.lease.deadline = float("inf")
        _drain(world, "i1", "i2")
        for _ in range(5):
            with contextlib.suppress(ThorncleatError):
                asyncio.run(manager.repair())
        assert world.assignments() == before


class TestDraining:
    def test_work_in_flight_is_finished_before_the_instance_is_free(self):
        world = _open(World())
        world.daemons["d1"].usage.running_by_group["narrator-0"] = 1
        _drain(world, "i1")
        world.run(30)
        assert "i1" in world.assignments().groups["narrator-0"].members
        # No daemon starts new work.
        for daemon in world.daemons.values():
            held = daemon.permits.permit("narrator-0")
            assert held.is_usable(daemon.clock())
            assert not held.is_accepting(daemon.clock())
        world.daemons["d1"].usage.running_by_group.clear()
        world.run(10)
        assert "i1" not in world.assignments().occupied_instances()
        assert len(world.usable()) == 3

    def test_instance_that_the_platform_lists_as_leaving_is_emptied(self):
        world = _open(World())
        listed = world.listed["i2"]
        world.listed["i2"] = dataclasses.replace(listed, state=InstanceState.LEAVING)
        world.run(10, step=0.1)
        assert "i2" not in world.assignments().occupied_instances()
        assert len(world.usable()) == 3


class ControlMachine(RuleBasedStateMachine):
    """Random sequences of failures.

    The world's check asserts that no daemon has a usable permit for a group with a missing
    member, and that no instance is in two usable groups.
    """

    names = st.sampled_from(["d0", "d1", "d2"])
    engines = st.sampled_from([f"i{number}" for number in range(9)])

    @initialize()
    def start(self):
        self.world = World(instances=9, replicas=2)
        self.world.run(8)

    @rule(
        seconds=st.sampled_from([0.25, 0.5, 1.0, 2.0, 5.0]),
        order=st.permutations(["d0", "d1", "d2"]),
    )
    def run(self, seconds, order):
        self.world.run(seconds, order=order)

    @rule(name=engines)
    def kill(self, name):
        self.world.kill(name)

    @rule(name=engines)
    def revive(self, name):
        self.world.revive(name)

    @rule(name=names)
    def pause_or_resume(self, name):
        self.world.daemons[name].paused ^= True

    @rule()
    def store_down_or_up(self):
        self.world.store_down ^= True

    @rule(name=names)
    def cut_store_or_heal(self, name):
        self.world.cut_from_store ^= {name}

    @rule(name=names, engine=engines)
    def cut_engine_or_heal(self, name, engine):
        self.world.cut_from_engines ^= {(name, engine)}

    @rule(one=names, two=names)
    def cut_peers_or_heal(self, one, two):
        self.world.cut_peers ^= {(one, two)}

    @rule()
    def lose_an_answer(self):
        self.world.lose_answers += 1

    @rule(name=names)
    def delay_orders(self, name):
        self.world.orders_delayed ^= {name}

    @rule()
    def deliver_delayed(self):
        self.world.deliver()
        self.world.check()

    @rule()
    def heal_everything(self):
        """End all faults, after which every group must serve on every daemon."""
        world = self.world
        world.store_down = False
        world.lose_answers = 0
        for faults in (
            world.cut_from_store,
            world.cut_from_engines,
            world.cut_peers,
            world.orders_delayed,
        ):
            faults.clear()
        for daemon in world.daemons.values():
            daemon.paused = False
        for name in world.engines:
            world.revive(name)
        world.deliver()
        world.run(40, step=0.5)
        assert len(world.usable()) == 6, world.assignments()


TestControlMachine = ControlMachine.TestCase
TestControlMachine.settings = settings(max_examples=40, stateful_step_count=25)
