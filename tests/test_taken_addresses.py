"""No group opens with a member whose address another endpoint has taken."""

from thorncleat_gateway.groups.group_steps import GroupSteps
from thorncleat_gateway.ports import Join
from thorncleat_gateway.settings import ControlSettings
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.roster import GroupState

from . import virtual_time
from .group_world import CALM_SECONDS
from .group_world import World
from .group_world import controller_node

SEEDS = range(20)


async def _join_of_an_ended_endpoint():
    """Order two endpoints into a group; one has ended and the other one has its address."""
    world = World(seed=4, domains=1)
    await world.start()
    await world.pass_time(CALM_SECONDS)
    node = controller_node(world)
    ended, other = [worker for worker in world.workers.values() if worker.group is None][:2]
    ended.alive = False
    world.successors[ended.id] = other
    order = Join(GroupId(10**12, "g"), "large", (ended.id, other.id))
    steps = GroupSteps(
        ControlSettings(),
        node.view,
        node.orders,
        node.records,
        node.controller.term.lost,
        world.now,
        lambda: None,
    )
    assert await steps.join(other.entry(), order)
    world.odds["lost order answer"] = 1.0
    world.later(0.3, world.odds.clear)
    joined = await steps.join(ended.entry(), order)
    await world.pass_time(3.0)
    assert other.state is GroupState.READY
    await node.orders.fetch_report(ended.entry())
    ready = node.orders.was_seen_ready(ended.entry(), order.group, 0)
    await world.stop()
    return joined, ready


def test_report_of_another_endpoint_at_the_address_is_no_answer_to_an_order():
    joined, ready = virtual_time.run(_join_of_an_ended_endpoint())
    assert not joined
    assert not ready


async def _members_end_and_others_take_their_addresses(seed):
    world = World(seed, domains=1, workers=12, nodes=3)
    await world.start()
    await world.pass_time(CALM_SECONDS)
    world.odds["lost order answer"] = 0.4
    for _ in range(8):
        alive = [worker for worker in world.workers.values() if worker.alive]
        grouped = [worker for worker in alive if worker.group is not None]
        free = [worker for worker in alive if worker.group is None]
        if not grouped or not free:
            break
        ended = world.random.choice(grouped)
        # The list shows the ended worker for some seconds more.
        world.kill(ended, unreachable=False)
        world.successors[ended.id] = world.random.choice(free)
        world.add_worker("d0", staged=("large", "small"))
        if world.random.random() < 0.3:
            controllers = [node for node in world.nodes if node.election.is_controller]
            for node in controllers:
                node.freeze(4.0)
        await world.pass_time(world.random.uniform(0.5, 4.0))
    world.odds.clear()
    await world.pass_time(10.0)
    await world.stop()
    return world


def test_groups_open_with_their_own_members_only():
    broken = {}
    for seed in SEEDS:
        world = virtual_time.run(_members_end_and_others_take_their_addresses(seed))
        if world.broken:
            broken[seed] = world.broken
    assert broken == {}
