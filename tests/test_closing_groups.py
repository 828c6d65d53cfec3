"""Groups that finish their requests while the controller is replaced, in virtual time."""

from thorncleat_gateway.store.roster import GroupState

from . import virtual_time
from .group_world import calm_world
from .group_world import controller_node
from .group_world import large_leader

# How long the requests of a group take to finish once it is closed.
REQUEST_SECONDS = 3.0


async def _controller_is_replaced_while_a_group_drains():
    world = await calm_world()
    world.close_seconds = REQUEST_SECONDS
    leader = large_leader(world)
    leader.draining = True
    world.publish(leader)
    await world.pass_time(0.5)
    assert leader.state is GroupState.CLOSING
    controller_node(world).freeze(20.0)
    await world.pass_time(8.0)
    await world.stop()
    return world, leader


def test_next_controller_lets_a_draining_group_finish():
    world, leader = virtual_time.run(_controller_is_replaced_while_a_group_drains())
    assert world.broken == []
    assert world.ended_busy == []
    assert leader.group is None
