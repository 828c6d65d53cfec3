"""Requests that crash their endpoints, beside ordinary ones, in whole fleets.

Guards against fatal requests that crash too many endpoints, and against quarantined ordinary ones.
"""

import asyncio

import pytest

from . import virtual_time
from .crash_world import CONTACT_SECONDS
from .crash_world import CrashWorld
from .crash_world import Size

SMALL = Size(8, 16, 13, 70.0)
GROWN = Size(30, 20, 24, 120.0)
FEW_PLAIN = Size(8, 3, 6, 8.0, plain=True)
FEW_GROUPS = Size(8, 4, 13, 24.0)
# Crashes by one fatal request, including those before all daemons know of the third one.
MAX_CRASHES = 6


async def _fatal_beside_ordinary(size, seed, fatal, seconds, **options):
    world = CrashWorld(size, seed, **options)
    await world.begin()
    names = [b"%d" % number for number in range(fatal)]
    await asyncio.gather(
        world.send_ordinary(seconds), *(world.send_fatal(seconds, name) for name in names)
    )
    await asyncio.sleep(2.0)
    await world.end()
    return world, names


@pytest.mark.parametrize("publishes_born", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_fatal_request_crashes_three_endpoints_and_no_other_request_is_quarantined(
    seed, publishes_born
):
    world, (name,) = virtual_time.run(
        _fatal_beside_ordinary(SMALL, seed, 1, 8.0, publishes_born=publishes_born)
    )
    assert world.crashes_by(name) == 3
    assert len(world.crashed) == 3
    assert world.quarantined_bystanders == 0
    assert world.served_fraction > 0.99


@pytest.mark.parametrize("size", [SMALL, GROWN], ids=["8 daemons", "30 daemons"])
def test_several_fatal_requests_at_once(size):
    world, names = virtual_time.run(_fatal_beside_ordinary(size, 1, 4, 6.0))
    assert max(world.crashes_by(name) for name in names) <= MAX_CRASHES
    assert sum(world.late_arrivals(name) for name in names) == 0
    assert world.quarantined_bystanders == 0
    assert world.served_fraction > 0.98


@pytest.mark.parametrize("seed", range(4))
def test_fatal_request_leaves_a_service_of_few_endpoints_its_last_one(seed):
    """Guards against all endpoints being down at once, so that no other request is served."""
    world, (name,) = virtual_time.run(_fatal_beside_ordinary(FEW_PLAIN, seed, 1, 8.0))
    assert world.crashes_by(name) <= 3
    assert world.served_fraction > 0.99


@pytest.mark.parametrize("seed", range(2))
def test_fatal_request_where_there_are_few_groups(seed):
    world, (name,) = virtual_time.run(_fatal_beside_ordinary(FEW_GROUPS, seed, 1, 8.0))
    assert world.crashes_by(name) <= 4
    assert world.late_arrivals(name) <= 1


# Crashes with other causes.


async def _ordinary_beside_crashes(seed, crashes, bodies=None):
    world = CrashWorld(SMALL, seed)
    await world.begin()
    until = world.now() + 8.0
    served = asyncio.ensure_future(world.send_ordinary(8.0, bodies))
    while world.now() < until:
        await asyncio.sleep(world.random.uniform(0.2, 0.8))
        alive = [worker for worker in world.workers.values() if worker.alive]
        for worker in world.random.sample(alive, min(crashes, len(alive))):
            worker.crash()
    await served
    await asyncio.sleep(2.0)
    await world.end()
    return world


@pytest.mark.parametrize("seed", range(4))
def test_requests_beside_endpoints_that_crash_by_themselves(seed):
    world = virtual_time.run(_ordinary_beside_crashes(seed, 1))
    assert len(world.crashed) > 10
    assert world.quarantined_bystanders == 0


@pytest.mark.parametrize("seed", range(2))
def test_requests_beside_a_loss_of_power(seed):
    """A third of the endpoints crashes simultaneously, several times."""
    world = virtual_time.run(_ordinary_beside_crashes(seed, 5))
    assert len(world.crashed) > 40
    assert world.quarantined_bystanders == 0


@pytest.mark.parametrize("seed", range(2))
def test_content_that_many_callers_ask_for(seed):
    world = virtual_time.run(_ordinary_beside_crashes(seed, 1, [b"price list", b"hours", b"roses"]))
    assert len(world.crashed) > 10
    assert world.quarantined_bystanders == 0


# Daemons that learn of a crash late.


async def _partitioned_meanwhile():
    """Return the seconds until a daemon that was partitioned quarantines the request."""
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


def test_partitioned_or_new_daemon_learns_of_the_crashes():
    assert virtual_time.run(_partitioned_meanwhile()) < CONTACT_SECONDS


async def _quarantined_by_all(seed):
    """Return the seconds from the first daemon that quarantines a request to the last."""
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
def test_all_daemons_quarantine_within_the_bound_though_datagrams_are_lost(seed):
    assert virtual_time.run(_quarantined_by_all(seed)) < CONTACT_SECONDS
