"""Requests that end their endpoints, at whole fleets, beside ordinary ones: how many they end.

The real request path of each daemon in virtual time (:mod:`tests.crash_world`). The load pattern is
that of the recorded incident: such a request comes at any daemon, its caller tries once more, and
it comes again after seconds, while the groups serve others.
"""

import asyncio

import pytest

from . import virtual_time
from .crash_world import CONTACT
from .crash_world import CrashWorld
from .crash_world import Size

SMALL = Size(8, 16, 13, 70.0)
GROWN = Size(30, 20, 24, 120.0)
FEW_PLAIN = Size(8, 3, 6, 8.0, plain=True)
FEW_GROUPS = Size(8, 4, 13, 24.0)
# what is given to learn of a third crash from another daemon, beside what the limit lets through
MOST_ENDED = 6


async def _fatal_beside_others(size, seed, fatal, seconds, **more):
    world = CrashWorld(size, seed, **more)
    await world.begin()
    names = [b"%d" % number for number in range(fatal)]
    await asyncio.gather(world.ordinary(seconds), *(world.fatal(seconds, name) for name in names))
    await asyncio.sleep(2.0)
    await world.end()
    return world, names


@pytest.mark.parametrize("tells_born", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_fatal_request_ends_three_endpoints_and_no_other_request_is_held(seed, tells_born):
    world, (name,) = virtual_time.run(
        _fatal_beside_others(SMALL, seed, 1, 8.0, tells_born=tells_born)
    )
    assert world.ended_by(name) == 3
    assert len(world.ended) == 3
    assert world.held_bystanders == 0
    assert world.served > 0.99


@pytest.mark.parametrize("size", [SMALL, GROWN], ids=["8 daemons", "30 daemons"])
def test_several_fatal_requests_at_once(size):
    world, names = virtual_time.run(_fatal_beside_others(size, 1, 4, 6.0))
    assert max(world.ended_by(name) for name in names) <= MOST_ENDED
    assert sum(world.sends_too_many(name) for name in names) == 0
    assert world.held_bystanders == 0
    assert world.served > 0.98


@pytest.mark.parametrize("seed", range(4))
def test_fatal_request_leaves_a_service_of_few_endpoints_its_last_one(seed):
    """Without that, 53 to 68 in 100 of the others were served: all three were away at once."""
    world, (name,) = virtual_time.run(_fatal_beside_others(FEW_PLAIN, seed, 1, 8.0))
    assert world.ended_by(name) <= 3
    assert world.served > 0.99


@pytest.mark.parametrize("seed", range(2))
def test_fatal_request_where_there_are_few_groups(seed):
    world, (name,) = virtual_time.run(_fatal_beside_others(FEW_GROUPS, seed, 1, 8.0))
    assert world.ended_by(name) <= 4
    assert world.sends_too_many(name) <= 1


# other ends


async def _others_beside_ends(seed, ends, bodies=None):
    world = CrashWorld(SMALL, seed)
    await world.begin()
    until = world.now() + 8.0
    served = asyncio.ensure_future(world.ordinary(8.0, bodies))
    while world.now() < until:
        await asyncio.sleep(world.random.uniform(0.2, 0.8))
        alive = [worker for worker in world.workers.values() if worker.alive]
        for worker in world.random.sample(alive, min(ends, len(alive))):
            worker.crash()
    await served
    await asyncio.sleep(2.0)
    await world.end()
    return world


@pytest.mark.parametrize("seed", range(4))
def test_requests_beside_endpoints_that_crash_by_themselves(seed):
    world = virtual_time.run(_others_beside_ends(seed, 1))
    assert len(world.ended) > 10
    assert world.held_bystanders == 0


@pytest.mark.parametrize("seed", range(2))
def test_requests_beside_a_loss_of_power(seed):
    """A third of the endpoints ends at one moment, and again and again."""
    world = virtual_time.run(_others_beside_ends(seed, 5))
    assert len(world.ended) > 40
    assert world.held_bystanders == 0


@pytest.mark.parametrize("seed", range(2))
def test_content_that_many_callers_ask_for(seed):
    world = virtual_time.run(_others_beside_ends(seed, 1, [b"price list", b"hours", b"roses"]))
    assert len(world.ended) > 10
    assert world.held_bystanders == 0


# daemons that learn it late


async def _cut_off_meanwhile():
    """Return after how many seconds a daemon that was cut off from the others knows."""
    world = CrashWorld(SMALL, 1)
    await world.begin()
    late = world.daemons.pop()
    late.peers.cut = True
    for _ in range(4):
        await world.call(b"fatal 0")
    await asyncio.sleep(5.0)
    world.daemons.append(late)
    late.peers.cut = False
    assert not late.quarantine.has_quarantined
    took = await world.until(lambda: late.quarantine.has_quarantined)
    await world.end()
    return took


def test_daemon_that_was_cut_off_or_has_just_started_learns_it():
    assert virtual_time.run(_cut_off_meanwhile()) < CONTACT


async def _known_by_all(seed):
    """Return after how many seconds all daemons hold a request whose third crash one has seen."""
    world = CrashWorld(GROWN, seed)
    await world.begin()
    while not any(daemon.quarantine.has_quarantined for daemon in world.daemons):
        await world.call(b"fatal 0", tries=1)
    took = await world.until(
        lambda: all(daemon.quarantine.has_quarantined for daemon in world.daemons)
    )
    await world.end()
    return took


@pytest.mark.parametrize("seed", range(3))
def test_all_daemons_know_within_the_bound_though_datagrams_are_lost(seed):
    assert virtual_time.run(_known_by_all(seed)) < CONTACT
