"""Groups that serve though their members are no longer listed, in virtual time."""

import pytest

from thorncleat_gateway.store.roster import GroupState

from . import virtual_time
from .group_world import UNLISTED_AFTER_SECONDS
from .group_world import calm_world
from .group_world import large_leader

# How long the requests of a group take to finish once it is closed.
REQUEST_SECONDS = 3.0
# A group that doesn't answer is known to have ended by then.
RELEASE_SECONDS = 3.0


async def _cut_from_the_store(ranks):
    """Cut some members of a group that serves off from the store alone."""
    world = await calm_world()
    world.close_seconds = REQUEST_SECONDS
    leader = large_leader(world)
    members = [world.workers[name] for name in leader.members]
    for rank in ranks:
        world.cut_from_store(members[rank], 60.0)
    await world.pass_time(UNLISTED_AFTER_SECONDS + REQUEST_SECONDS + 3.0)
    await world.stop()
    return world, leader


@pytest.mark.parametrize("ranks", [(0,), (0, 1, 2, 3)], ids=["leader", "all members"])
def test_requests_of_an_unlisted_group_finish(ranks):
    """It answers, so an order to leave would break what it runs."""
    world, leader = virtual_time.run(_cut_from_the_store(ranks))
    assert world.broken == []
    assert world.ended_sound == []
    assert world.ended_busy == []
    assert leader.state is not GroupState.OPEN


async def _unlisted_leader_is_dead(unreachable: bool):
    """Kill a leader without a suspicion; return the seconds until its members are used again."""
    world = await calm_world()
    leader = large_leader(world)
    world.add_worker(leader.domain, staged=("large",))
    await world.pass_time(1.0)
    opened = world.opened
    leader.alive, leader.unreachable = False, unreachable
    world.later(UNLISTED_AFTER_SECONDS, lambda: world.unlist(leader))
    killed_at = world.now()
    while world.opened == opened and world.now() - killed_at < 20.0:
        await world.pass_time(0.1)
    seconds = world.now() - killed_at
    await world.stop()
    return world, seconds


@pytest.mark.parametrize("unreachable", [False, True])
def test_dead_leader_is_not_waited_for(unreachable):
    world, seconds = virtual_time.run(_unlisted_leader_is_dead(unreachable))
    assert world.broken == []
    assert seconds < UNLISTED_AFTER_SECONDS + RELEASE_SECONDS


async def _unlisted_member_pauses(seconds: float):
    """Cut a member off from the store, and pause it once its entry has expired."""
    world = await calm_world()
    leader = large_leader(world)
    member = world.workers[leader.members[1]]
    world.cut_from_store(member, 60.0)
    await world.pass_time(UNLISTED_AFTER_SECONDS + 2.0)
    world.pause(member, seconds)
    await world.pass_time(seconds + 3.0)
    await world.stop()
    return world


@pytest.mark.parametrize("seconds", [1.0, 1.4])
def test_unlisted_member_that_pauses_keeps_its_group(seconds):
    world = virtual_time.run(_unlisted_member_pauses(seconds))
    assert world.broken == []
    assert world.ended_sound == []
