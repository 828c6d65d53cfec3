"""No epoch is given to two groups, also by a controller that starts after a restore."""

import collections

import pytest

from thorncleat_gateway.groups.forming_state import FormingState
from thorncleat_gateway.groups.term_number import MAX_LOST_REVISIONS
from thorncleat_gateway.groups.term_number import term_number
from thorncleat_gateway.store.freshness import ENTRY_REWRITE_SECONDS
from thorncleat_gateway.store.roster import GroupId

from . import virtual_time
from .group_node import Node
from .group_store import Copy
from .group_world import CALM_SECONDS
from .group_world import World
from .group_world import controller_node

RESTORES = 4
SEEDS = range(8)


@pytest.fixture
def given_groups(monkeypatch):
    """How often each group's id was given."""
    given: collections.Counter[GroupId] = collections.Counter()
    next_group = FormingState.next_group

    def record(state: FormingState) -> GroupId:
        group = next_group(state)
        given[group] += 1
        return group

    monkeypatch.setattr(FormingState, "next_group", record)
    return given


@pytest.mark.parametrize("lost", [0, 1, 1_000, MAX_LOST_REVISIONS - 1])
def test_number_is_higher_in_a_later_era_although_nothing_is_known(lost):
    before = term_number(500_000, [], era=3)
    assert term_number(500_000 - lost, [], era=4) > before


def test_number_is_above_those_of_a_build_that_counts_no_eras():
    before = term_number(700, [])
    assert term_number(650, [], era=1) > before


def test_build_that_counts_no_eras_goes_on_above_known_epochs():
    known = term_number(700, [], era=1) * 100_000 + 3
    assert term_number(720, [known]) > known // 100_000


def _restore_without_rewrites(world: World, copy: Copy) -> None:
    """Restore a copy that shows no group of the lost time until the endpoints write again."""
    world.restore(copy)
    for worker in world.workers.values():
        worker.silent_until = world.now() + ENTRY_REWRITE_SECONDS


async def _replace_nodes(world: World) -> None:
    """Replace all daemons with ones that know nothing."""
    await world.stop()
    world.nodes = [Node(world, node.name) for node in world.nodes]
    await world.start()


async def _second_term_of_the_same_revision():
    """Elect a controller at a revision that an earlier one had in the era before."""
    world = World(seed=5, domains=1)
    copy = world.store.copy()
    await world.start()
    await world.pass_time(CALM_SECONDS)
    first = controller_node(world).election.term
    _restore_without_rewrites(world, copy)
    await _replace_nodes(world)
    await world.pass_time(20.0)
    second = controller_node(world).election.term
    await world.stop()
    return world, first, second


def test_controller_that_starts_after_a_restore_gives_no_epoch_again(given_groups):
    """Two groups of one epoch: the end of the one released the members of the other."""
    world, first, second = virtual_time.run(_second_term_of_the_same_revision())
    assert second.era > first.era
    assert second.revision == first.revision
    assert world.broken == []
    assert max(given_groups.values()) == 1


async def _restores_with_new_daemons(seed: int) -> World:
    """Restore the store repeatedly while endpoints end and daemons are replaced."""
    world = World(seed)
    draw = world.random
    await world.start()
    await world.pass_time(CALM_SECONDS)
    for _ in range(RESTORES):
        copy = world.store.copy()
        await world.pass_time(draw.uniform(0.1, 2.0))
        if draw.random() < 0.6:
            # The next controller is elected in what will be lost.
            await _replace_nodes(world)
        _kill_member(world)
        await world.pass_time(draw.uniform(0.5, 4.0))
        _restore_without_rewrites(world, copy)
        if draw.random() < 0.6:
            await _replace_nodes(world)
        await world.pass_time(draw.uniform(0.5, 6.0))
        _kill_member(world)
    await world.pass_time(10.0)
    await world.stop()
    return world


def _kill_member(world: World) -> None:
    """Kill an endpoint of a group and add another one in its domain."""
    grouped = [worker for worker in world.workers.values() if worker.alive and worker.members]
    if not grouped:
        return
    lost = world.random.choice(grouped)
    world.kill(lost, unreachable=False)
    world.add_worker(lost.domain, staged=lost.staged)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_epoch_is_given_twice_through_restores_at_random(seed, given_groups):
    virtual_time.run(_restores_with_new_daemons(seed))
    epochs = collections.Counter(group.epoch for group in given_groups.elements())
    assert len(epochs) > 2
    assert max(epochs.values()) == 1
