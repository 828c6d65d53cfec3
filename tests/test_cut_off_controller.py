"""A controller that loses contact with the endpoints doesn't take them for dead."""

import pytest

from thorncleat_gateway.groups.lost_endpoints import LostCause
from thorncleat_gateway.store.roster import GroupState

from . import virtual_time
from .group_world import CALM_SECONDS
from .group_world import World
from .group_world import controller_node
from .group_world import large_leader

CUT_SECONDS = 12.0
SUSPICION_INTERVAL_SECONDS = 0.5


def _cut(world: World, node, how: str) -> None:
    if how == "reset":
        node.reset_paths = set(world.workers)
    else:
        node.cut_from_engines = True


def _reconnect(node) -> None:
    node.reset_paths = set()
    node.cut_from_engines = False


def _open_leaders(world: World):
    return [
        worker
        for worker in world.workers.values()
        if worker.alive and worker.is_leader and worker.state is GroupState.OPEN
    ]


def _usable_groups(world: World, node) -> int:
    return sum(leader.group not in node.ended for leader in _open_leaders(world))


def _answer_requests(world: World) -> None:
    """Make the endpoints answer the requests of all daemons that reach them."""
    for node in world.nodes:
        if node.cut_from_engines or node.reset_paths:
            continue
        for leader in _open_leaders(world):
            node.record_request(leader)


async def _cut_controller(
    how: str, cut_count: int, *, nodes: int = 3, seed: int = 3, others_are_older: bool = False
):
    """Cut the controller, and other daemons, off from all endpoints.

    :param others_are_older: whether the other daemons report no results of probes.
    :returns: the world, the groups before and after, and the fewest groups that a daemon that
        isn't cut off could use.
    """
    world = World(seed, nodes=nodes)
    await world.start()
    await world.pass_time(CALM_SECONDS)
    before = {leader.group for leader in _open_leaders(world)}
    controller = controller_node(world)
    others = [node for node in world.nodes if node is not controller]
    for node in others:
        node.reports_probe_results = not others_are_older
    cut = [controller, *others][:cut_count]
    # All daemons have reached endpoints until the moment of the cut.
    _answer_requests(world)
    for node in cut:
        _cut(world, node, how)
    fewest = len(before)
    until = world.now() + CUT_SECONDS
    while world.now() < until:
        for node in cut:
            for leader in _open_leaders(world):
                node.detector.suspect(leader.entry(), "silence")
        for _ in range(5):
            _answer_requests(world)
            await world.pass_time(SUSPICION_INTERVAL_SECONDS / 5)
        usable = [_usable_groups(world, node) for node in world.nodes if node not in cut]
        fewest = min([fewest, *usable])
    for node in cut:
        _reconnect(node)
    await world.pass_time(5.0)
    after = {leader.group for leader in _open_leaders(world)}
    await world.stop()
    return world, before, after, fewest


@pytest.mark.parametrize("how", ["silent", "reset"])
@pytest.mark.parametrize("cut_count", [1, 2, 3])
def test_cut_off_controller_ends_no_sound_group(how, cut_count):
    world, before, after, fewest = virtual_time.run(_cut_controller(how, cut_count))
    assert world.broken == []
    assert after == before
    assert fewest == len(before)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("how", ["silent", "reset"])
def test_controller_and_most_daemons_are_cut_off_at_once(how, seed):
    """What a daemon heard before the cut says nothing of what it hears since."""
    world, before, after, fewest = virtual_time.run(_cut_controller(how, 7, nodes=8, seed=seed))
    assert world.broken == []
    assert after == before
    assert fewest == len(before)


@pytest.mark.parametrize("how", ["silent", "reset"])
def test_cut_off_controller_ends_no_sound_group_among_older_daemons(how):
    world, before, after, _ = virtual_time.run(_cut_controller(how, 1, others_are_older=True))
    assert world.broken == []
    assert after == before


async def _lose_member_behind_the_cut(how: str):
    """Return the seconds until the group of a dead member serves anew, its controller cut off."""
    world = World(seed=3)
    await world.start()
    await world.pass_time(CALM_SECONDS)
    controller = controller_node(world)
    _cut(world, controller, how)
    leader = large_leader(world)
    lost_group = leader.group
    await world.pass_time(1.0)
    world.kill(world.workers[leader.members[1]], unreachable=True)
    killed_at = world.now()
    spare = world.add_worker(leader.domain, staged=("large",))
    assert spare.alive
    while world.now() < killed_at + 10.0:
        for node in world.nodes:
            node.detector.suspect(leader.entry(), "silence")
        _answer_requests(world)
        await world.pass_time(0.1)
        groups = {other.group for other in _open_leaders(world)}
        if lost_group not in groups and world.running_groups()["large"] == 2:
            break
    seconds = world.now() - killed_at
    await world.stop()
    return world, seconds


@pytest.mark.parametrize("how", ["silent", "reset"])
def test_dead_group_is_replaced_while_the_controller_is_cut_off(how):
    world, seconds = virtual_time.run(_lose_member_behind_the_cut(how))
    assert world.broken == []
    # The former controller notices within a second and hands over; the rest is as after any loss.
    assert seconds < 7.0


async def _seconds_until_all_know(unreachable: bool):
    world = World(seed=3)
    await world.start()
    await world.pass_time(CALM_SECONDS)
    leader = large_leader(world)
    group = leader.group
    killed_at = world.now()
    world.kill(world.workers[leader.members[1]], unreachable=unreachable)
    while not all(group in node.ended for node in world.nodes):
        assert world.now() < killed_at + 5.0
        await world.pass_time(0.02)
    seconds = world.now() - killed_at
    await world.stop()
    return seconds


@pytest.mark.parametrize(("unreachable", "bound"), [(True, 0.75), (False, 0.45)])
def test_all_daemons_learn_of_a_dead_group_as_soon_as_before(unreachable, bound):
    # A member that falls silent needs two probes, one that refuses connections a single one.
    assert virtual_time.run(_seconds_until_all_know(unreachable)) < bound


async def _order_to_a_member_is_unanswered():
    """Return the groups before and after an order to a sound member got no answer."""
    world = World(seed=3)
    await world.start()
    await world.pass_time(CALM_SECONDS)
    before = {leader.group for leader in _open_leaders(world)}
    member = world.workers[large_leader(world).members[1]]
    controller_node(world).controller.term.lost.mark_lost(member.entry(), LostCause.SILENT)
    await world.pass_time(3.0)
    after = {leader.group for leader in _open_leaders(world)}
    await world.stop()
    return before, after


def test_unanswered_order_alone_ends_no_group():
    before, after = virtual_time.run(_order_to_a_member_is_unanswered())
    assert after == before
