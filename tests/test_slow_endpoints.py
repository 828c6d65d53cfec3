"""Slow endpoints: a group runs at the pace of its slowest member, so slow groups are replaced."""

import collections

import pytest

from thorncleat_gateway.groups import formation
from thorncleat_gateway.groups.formation import DomainView
from thorncleat_gateway.groups.slow_endpoints import SLOW_PACE
from thorncleat_gateway.groups.slow_endpoints import SlowGroup
from thorncleat_gateway.groups.slow_endpoints import groups_to_replace
from thorncleat_gateway.ports import ConfigurationChanged
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.roster import GroupId
from thorncleat_gateway.store.serving import Engine
from thorncleat_gateway.store.serving import EngineModel
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import Service
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split

from . import virtual_time
from .group_engines import ENGINE
from .group_engines import SERVICE
from .group_world import CALM_SECONDS
from .group_world import World
from .group_world import calm_world
from .group_world import controller_node
from .group_world import large_leader

SLOW = 12.0
MODELS = (
    EngineModel("large", 12, load=16.0, warm=1.6),
    EngineModel("small", 6, load=12.0, warm=1.1),
)


def endpoint(name, staged=("m",)):
    return Endpoint(name, SERVICE, name, "a", fabric_domain="d", staged=staged)


def group(epoch, slow):
    """Return a group of four members, some of them slow."""
    return SlowGroup(GroupId(epoch, "g"), "m", slow, tuple(endpoint(name) for name in "wxyz"))


@pytest.mark.parametrize(
    ("groups", "spares", "replaced"),
    [
        pytest.param([], "abcd", [], id="none is slow"),
        pytest.param([group(1, 2)], "ab", [1], id="spares for its slow members"),
        pytest.param([group(1, 2)], "a", [], id="a slow group is better than none"),
        pytest.param([group(1, 3), group(2, 1)], "abc", [2], id="the one that needs the fewest"),
        pytest.param([group(1, 2), group(2, 2)], "", [1, 2], id="one out of two"),
        pytest.param([group(1, 3), group(2, 3), group(3, 3)], "", [], id="too few in all"),
    ],
)
def test_groups_to_replace(groups, spares, replaced):
    spare = [endpoint(name) for name in spares]
    found = groups_to_replace(groups, spare, EngineModel("m", 4))
    assert [group.id.epoch for group in found] == replaced


def test_spares_that_must_load_the_model_replace_no_group():
    spares = [endpoint("a", ("other",)), endpoint("b", ())]
    assert groups_to_replace([group(1, 1)], spares, EngineModel("m", 4)) == []


@pytest.mark.parametrize(("free", "members"), [("ab", "ab"), ("b", "bs"), ("", "st")])
def test_slow_endpoints_join_only_if_there_are_no_others(free, members):
    view = DomainView(
        "d", 8, free=[endpoint(name) for name in free], slow=[endpoint("s"), endpoint("t")]
    )
    target = collections.Counter(m=1)
    (plan,) = formation.groups_to_form(view, target, [EngineModel("m", 2)], lambda _: 0)
    assert "".join(member.id for member in plan.members) == members


def narrator(engine, *, resumable):
    """Return a configuration whose only route leads to a service with an engine."""
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.STREAMING,
        timeout=8.0,
        target=0.3,
        gap_target=0.2,
        priority=0,
        splits=(Split(SERVICE, 1.0),),
        resumable=resumable,
    )
    services = {SERVICE: Service(SERVICE, "/", engine)}
    return ConfigurationChanged(ServingConfiguration(2, (route,), services))


async def _member_turns_slow(spares: int = 4, *, resumable: bool = True):
    """Make a member slow; return the world, its former group, and the slow worker."""
    world = await calm_world()
    world.store.put("config", narrator(ENGINE, resumable=resumable))
    if not spares:
        for worker in [worker for worker in world.workers.values() if not worker.members]:
            world.kill(worker, unreachable=False)
    for _ in range(spares):
        world.add_worker("d0", staged=("large",))
    await world.pass_time(5.0)
    leader = large_leader(world)
    former, slow = leader.group, world.workers[leader.members[2]]
    slow.pace = SLOW
    world.suspect(leader)
    await world.pass_time(4.0)
    return world, former, slow


async def _group_after(**given):
    world, former, slow = await _member_turns_slow(**given)
    leader = large_leader(world)
    await world.stop()
    return world, leader.group == former, slow.id in leader.members


def test_group_is_formed_anew_without_a_slow_member():
    world, is_kept, has_slow_member = virtual_time.run(_group_after())
    assert world.broken == []
    assert not is_kept
    assert not has_slow_member


@pytest.mark.parametrize(
    "given", [{"spares": 0}, {"resumable": False}], ids=["no spare", "streams can't resume"]
)
def test_slow_group_is_better_than_none(given):
    world, is_kept, _ = virtual_time.run(_group_after(**given))
    assert world.broken == []
    assert is_kept


async def _slow_for_a_while():
    """Return whether an endpoint counts as slow while it is slow and afterwards."""
    world, _, slow = await _member_turns_slow()
    node = controller_node(world)
    slow_endpoints = node.controller.term.slow
    found = [node.view.roster.endpoints[slow.id] in slow_endpoints]
    slow.pace = SLOW_PACE - 0.1
    await world.pass_time(1.5)
    found.append(node.view.roster.endpoints[slow.id] in slow_endpoints)
    await world.stop()
    return found


def test_endpoint_is_used_again_once_it_reports_a_normal_pace():
    assert virtual_time.run(_slow_for_a_while()) == [True, False]


async def _two_in_five_turn_slow(seed: int):
    """Return the number of groups without a slow member, each half second for nine seconds."""
    engine = Engine(24, MODELS, loads_per_second=14.0, loads_at_once=20)
    world = World(seed, domains=0, engine=engine)
    for domain in ("a0", "b0", "c0", "a1", "b1", "c1"):
        for _ in range(27):
            world.add_worker(domain)
    world.store.put("config", narrator(engine, resumable=True))
    world.before_requests = True
    await world.start()
    await world.pass_time(CALM_SECONDS)
    world.before_requests = False
    for worker in world.random.sample(list(world.workers.values()), 65):
        worker.pace = SLOW
    unaffected = []
    for _ in range(18):
        for leader in list(world.workers.values()):
            if leader.is_leader and any(
                world.workers[member].pace > 1 for member in leader.members
            ):
                world.suspect(leader)
        await world.pass_time(0.5)
        unaffected.append(_unaffected_groups(world))
    await world.stop()
    return world, unaffected


def _unaffected_groups(world: World) -> int:
    return sum(
        leader.is_leader
        and leader.state is not None
        and leader.state.value == "open"
        and all(world.workers[member].pace == 1 for member in leader.members)
        for leader in world.workers.values()
    )


@pytest.mark.parametrize("seed", range(3))
def test_slow_groups_are_replaced(seed):
    """Few groups are without a slow member at first; most are replaced within seconds."""
    world, unaffected = virtual_time.run(_two_in_five_turn_slow(seed))
    assert world.broken == []
    assert unaffected[0] <= 2
    assert unaffected[8] >= 7
    assert min(unaffected[8:]) >= 7
