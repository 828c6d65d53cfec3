"""Group control where the store comes back from a copy some seconds old."""

import pytest

from . import virtual_time
from .group_world import CALM_SECONDS
from .group_world import World

RESTORES = 3
SEEDS = [*range(8), 27]
# for the layout to stand again after the last restore
RECOVER_SECONDS = 40.0


def _lose_one(world: World) -> None:
    """Kill an endpoint of a group; another one comes in its place."""
    grouped = [worker for worker in world.workers.values() if worker.alive and worker.members]
    lost = world.random.choice(grouped)
    world.kill(lost, dark=world.random.random() < 0.5)
    world.add_worker(lost.domain, staged=lost.staged)


async def _restored(seed: int):
    """Lose endpoints before and after each copy; return the world and what stands at the end."""
    world = World(seed)
    rng = world.random
    await world.start()
    await world.pass_time(CALM_SECONDS)
    for _ in range(RESTORES):
        copy = world.store.copy()
        await world.pass_time(rng.uniform(0.1, 1.0))
        _lose_one(world)
        await world.pass_time(rng.uniform(1.0, 5.0))
        world.restore(copy)
        await world.pass_time(rng.uniform(0.5, 6.0))
        _lose_one(world)
        await world.pass_time(rng.uniform(4.0, 8.0))
    await world.pass_time(RECOVER_SECONDS)
    standing = world.standing()
    await world.stop()
    return world, standing


@pytest.mark.parametrize("seed", SEEDS)
def test_groups_of_lost_records_keep_the_rules_and_stand_again(seed):
    world, standing = virtual_time.run(_restored(seed))
    assert world.broken == []
    # more than these where the endpoints that were added are enough
    assert standing["large"] >= 2
    assert standing["small"] >= 2
