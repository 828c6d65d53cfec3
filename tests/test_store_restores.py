"""The store is restored from an older copy and reuses its revisions."""

import asyncio

import pytest

from thorncleat_gateway.store.registration import DAEMONS
from thorncleat_gateway.store.registration import RELAYS

from . import virtual_time
from .fleet_world import FleetWorld

PROPAGATION_SECONDS = 1.0
WATCH_SECONDS = 8.0
FLEETS = [8, 24]


async def _restored(daemons: int, down_seconds: float) -> FleetWorld:
    """Return a world whose store was restored, and in which all entries were written again."""
    world = FleetWorld(daemons)
    await world.start()
    await world.restore(down_seconds)
    return world


async def _seconds_until_unused(daemons: int) -> float:
    world = await _restored(daemons, 0.1)
    await world.pass_time(0.5)
    world.drain_endpoint("w000")
    used = await world.seconds_in_use("w000", WATCH_SECONDS)
    await world.stop()
    return used[-1]


async def _configuration_versions(daemons: int) -> set[int]:
    world = await _restored(daemons, 0.1)
    world.configure(60)
    await world.pass_time(PROPAGATION_SECONDS)
    found = {daemon.view.configuration.version for daemon in world.daemons}
    await world.stop()
    return found


@pytest.mark.parametrize("daemons", FLEETS)
def test_draining_propagates_while_revisions_are_reused(daemons):
    """Daemons at a position of the earlier era would miss changes of lower revisions."""
    assert virtual_time.run(_seconds_until_unused(daemons)) <= PROPAGATION_SECONDS


@pytest.mark.parametrize("daemons", FLEETS)
def test_configuration_propagates_while_revisions_are_reused(daemons):
    assert virtual_time.run(_configuration_versions(daemons)) == {60}


async def _version_of_a_daemon_that_starts_after_a_restore() -> float:
    """Return the version at a daemon that starts before the operator writes again."""
    world = FleetWorld(24)
    await world.start()
    copy = world.store.copy()
    world.configure(2)
    await world.pass_time(1.0)
    world.store.restore(copy)
    await world.pass_time(0.5)
    late = next(daemon for daemon in world.daemons if daemon.sources)
    await late.kill()
    for record in [key for key in world.store.items if key.startswith(RELAYS)]:
        # Without relays' records the daemon reads the store.
        del world.store.items[record]
    await late.start()
    await world.pass_time(PROPAGATION_SECONDS)
    found = late.view.configuration_version()
    await world.stop()
    return found


def test_daemon_that_starts_from_a_restored_store_gets_the_newer_configuration_from_a_relay():
    assert virtual_time.run(_version_of_a_daemon_that_starts_after_a_restore()) == 2


SEEDS = range(6)
# How long the last write takes to propagate after a restore.
SETTLING_SECONDS = 4.0


async def _restores_at_random(seed: int, daemons: int) -> FleetWorld:
    """Restore the store several times while endpoints come and go and daemons restart."""
    world = FleetWorld(daemons, seed=seed)
    draw = world.random
    await world.start()
    for version in range(10, 40, 10):
        copy = world.store.copy()
        for step in range(draw.randint(1, 8)):
            await world.pass_time(draw.uniform(0.0, 0.8))
            _change_something(world, version + step)
        world.store.down = True
        await world.pass_time(draw.choice((0.02, 0.3, 1.5)))
        world.store.down = False
        world.store.restore(copy)
        await world.pass_time(draw.uniform(0.0, 1.0))
        world.rewrite_entries()
        await world.pass_time(draw.uniform(0.0, 3.0))
        if draw.random() < 0.5:
            await asyncio.gather(*await world.restart_all(longest=1.5))
    world.configure(50)
    await world.pass_time(SETTLING_SECONDS)
    return world


def _change_something(world: FleetWorld, version: int) -> None:
    draw = world.random
    match draw.randrange(4):
        case 0:
            world.configure(version)
        case 1:
            world.add_endpoint()
        case 2 if len(world.endpoints) > 2:
            world.leave(draw.choice(sorted(world.endpoints)))
        case _:
            world.drain_endpoint(draw.choice(sorted(world.endpoints)))


def _differences(world: FleetWorld) -> list[str]:
    """Return where daemons differ from the store, in which all entries are written again."""
    accepting = {endpoint.id for endpoint in world.endpoints.values() if not endpoint.draining}
    records = {key for key in world.store.items if key.startswith(DAEMONS)}
    faults = []
    for daemon in world.daemons:
        used = {name for name in daemon.view.roster.endpoints if daemon.uses(name)}
        if used != accepting:
            faults.append(f"{daemon.id} uses {sorted(used)}, not {sorted(accepting)}")
        if daemon.view.configuration_version() != 50:
            faults.append(f"{daemon.id} has version {daemon.view.configuration_version()}")
        if {key for key in daemon.view.records if key.startswith(DAEMONS)} != records:
            faults.append(f"{daemon.id} knows other daemons")
        if daemon.view.age() > 1.4:
            faults.append(f"{daemon.id} is {daemon.view.age():.2f} s behind")
    return faults


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("daemons", FLEETS)
def test_all_daemons_agree_after_restores_at_random(seed, daemons):
    async def play():
        world = await _restores_at_random(seed, daemons)
        faults = _differences(world)
        await world.stop()
        return faults

    assert virtual_time.run(play()) == []
