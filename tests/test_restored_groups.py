"""Group control after the store was restored from a copy that is some seconds old."""

import pytest

from thorncleat_gateway.groups.records import GROUPS_PREFIX
from thorncleat_gateway.groups.term_number import EPOCHS_PER_TERM

from . import virtual_time
from .group_node import Node
from .group_world import CALM_SECONDS
from .group_world import World
from .group_world import controller_node

RESTORES = 3
# More revisions than the store assigns again during a test.
LOST_REVISIONS = 2000
SEEDS = [*range(8), 27]
# How long the layout may take to recover after the last restore.
RECOVER_SECONDS = 40.0


def _kill_member(world: World) -> None:
    """Kill an endpoint of a group and add another one in its domain."""
    grouped = [worker for worker in world.workers.values() if worker.alive and worker.members]
    lost = world.random.choice(grouped)
    world.kill(lost, unreachable=world.random.random() < 0.5)
    world.add_worker(lost.domain, staged=lost.staged)


async def _restored(seed: int):
    """Lose endpoints before and after each restore; return the world and its running groups."""
    world = World(seed)
    rng = world.random
    await world.start()
    await world.pass_time(CALM_SECONDS)
    for _ in range(RESTORES):
        copy = world.store.copy()
        await world.pass_time(rng.uniform(0.1, 1.0))
        _kill_member(world)
        await world.pass_time(rng.uniform(1.0, 5.0))
        world.restore(copy)
        await world.pass_time(rng.uniform(0.5, 6.0))
        _kill_member(world)
        await world.pass_time(rng.uniform(4.0, 8.0))
    await world.pass_time(RECOVER_SECONDS)
    running = world.running_groups()
    await world.stop()
    return world, running


@pytest.mark.parametrize("seed", SEEDS)
def test_groups_with_lost_records_keep_the_rules_and_recover(seed):
    world, running = virtual_time.run(_restored(seed))
    assert world.broken == []
    # More groups run where the added endpoints are enough.
    assert running["large"] >= 2
    assert running["small"] >= 2


async def _restore_to_before_the_first_term(*, forget: bool):
    """Restore a store that knew no controller, and lose an endpoint.

    :param forget: whether all daemons restart and lose their state of the former era.
    """
    world = World(seed=5, domains=1)
    copy = world.store.copy()
    world.store.revision += LOST_REVISIONS
    await world.start()
    await world.pass_time(CALM_SECONDS)
    running, opened, term = (
        world.running_groups(),
        world.opened,
        controller_node(world).election.term,
    )
    world.restore(copy)
    if forget:
        await world.stop()
        world.nodes = [Node(world, node.name) for node in world.nodes]
        await world.start()
    await world.pass_time(5.0)
    return world, running, opened, term


async def _records():
    world, running, opened, _ = await _restore_to_before_the_first_term(forget=False)
    written = [key for key in world.store.items if key.startswith(GROUPS_PREFIX)]
    found = world.running_groups() == running, world.opened == opened, len(written)
    await world.stop()
    return world, found


def test_group_whose_record_was_lost_keeps_running_and_is_recorded_again():
    world, (is_running, none_formed, records) = virtual_time.run(_records())
    assert world.broken == []
    assert is_running
    assert none_formed
    assert records == 2


@pytest.mark.parametrize("forget", [False, True])
def test_endpoints_take_orders_where_the_revisions_went_back(forget):
    """Endpoints refuse an epoch below one that they have seen."""

    async def run_restored():
        world, running, _, term = await _restore_to_before_the_first_term(forget=forget)
        assert controller_node(world).election.term.revision < term.revision
        _kill_member(world)
        await world.pass_time(15.0)
        found = world.running_groups()
        await world.stop()
        return world, running, found

    world, running, found = virtual_time.run(run_restored())
    assert world.broken == []
    assert world.stale_refusals == 0
    assert found["large"] >= running["large"]
    assert found["small"] >= running["small"]


async def _endpoints_have_seen_unknown_epochs():
    world = World(seed=5, domains=1)
    await world.start()
    await world.pass_time(CALM_SECONDS)
    running = world.running_groups()
    for worker in world.workers.values():
        worker.seen_epoch += LOST_REVISIONS * EPOCHS_PER_TERM
    _kill_member(world)
    await world.pass_time(25.0)
    found = world.running_groups()
    await world.stop()
    return world, running, found


def test_epochs_are_raised_until_endpoints_take_orders():
    world, running, found = virtual_time.run(_endpoints_have_seen_unknown_epochs())
    assert world.broken == []
    assert world.stale_refusals > 0
    assert found["large"] >= running["large"]
    assert found["small"] >= running["small"]


async def _controller_learns_of_another_era():
    world = World(seed=5, domains=1)
    await world.start()
    await world.pass_time(CALM_SECONDS)
    node = controller_node(world)
    lease = node.election.lease_seconds_left
    node.view.era.observe(world.store.era + 1)
    is_controller = node.election.is_controller
    await world.stop()
    return lease, is_controller


def test_term_ends_with_the_first_contact_with_another_era():
    """Another daemon may hold a lease with the same id in the new era."""
    lease, is_controller = virtual_time.run(_controller_learns_of_another_era())
    assert lease > 0.5
    assert not is_controller
