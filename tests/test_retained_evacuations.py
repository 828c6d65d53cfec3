"""An evacuation holds although the store came back from a copy that lacks it."""

import pytest

from thorncleat_gateway.ports import RecordChanged
from thorncleat_gateway.store.evacuated_domains import EVACUATIONS_PREFIX
from thorncleat_gateway.store.evacuated_domains import evacuated_domains
from thorncleat_gateway.store.freshness import ENTRY_REWRITE_SECONDS

from . import virtual_time
from .fleet_world import FleetWorld

KEY = EVACUATIONS_PREFIX + "z0"
STEP_SECONDS = 0.02
# When the operator writes again after the restore.
OPERATOR_SECONDS = 0.5
# How long a change takes to reach all daemons.
PROPAGATION_SECONDS = 1.0
FLEETS = [8, 24]


def _evacuate(world: FleetWorld) -> None:
    world.store.put(KEY, RecordChanged(KEY, b"", world.store.revision + 1))


def _end_evacuation(world: FleetWorld) -> None:
    world.store.delete(KEY, RecordChanged(KEY, None, world.store.revision + 1))


async def _evacuated_while(world: FleetWorld, seconds: float) -> list[int]:
    """Return at how many daemons the domain was evacuated, at each step."""
    counts = []
    until = world.now() + seconds
    while world.now() < until:
        evacuated = [evacuated_domains(daemon.view.records) for daemon in world.daemons]
        counts.append(sum("z0" in domains for domains in evacuated))
        await world.pass_time(STEP_SECONDS)
    return counts


async def _restored_without_the_evacuation(daemons: int) -> FleetWorld:
    world = FleetWorld(daemons)
    await world.start()
    copy = world.store.copy()
    _evacuate(world)
    await world.pass_time(PROPAGATION_SECONDS)
    world.store.restore(copy)
    return world


@pytest.mark.parametrize("daemons", FLEETS)
def test_evacuation_holds_until_the_operator_writes_it_again(daemons):
    """Requests were sent to a domain whose power work had begun."""

    async def play():
        world = await _restored_without_the_evacuation(daemons)
        counts = await _evacuated_while(world, OPERATOR_SECONDS)
        _evacuate(world)
        counts += await _evacuated_while(world, 2 * ENTRY_REWRITE_SECONDS)
        await world.stop()
        return counts

    assert set(virtual_time.run(play())) == {daemons}


@pytest.mark.parametrize("daemons", FLEETS)
def test_evacuation_that_is_not_written_again_ends(daemons):
    async def play():
        world = await _restored_without_the_evacuation(daemons)
        await world.pass_time(ENTRY_REWRITE_SECONDS + 2 * PROPAGATION_SECONDS)
        counts = await _evacuated_while(world, STEP_SECONDS)
        await world.stop()
        return counts

    assert virtual_time.run(play()) == [0]


@pytest.mark.parametrize("daemons", FLEETS)
def test_evacuation_that_the_operator_ends_after_a_restore_ends_at_once(daemons):
    async def play():
        world = await _restored_without_the_evacuation(daemons)
        _evacuate(world)
        await world.pass_time(PROPAGATION_SECONDS)
        _end_evacuation(world)
        await world.pass_time(PROPAGATION_SECONDS)
        counts = await _evacuated_while(world, STEP_SECONDS)
        await world.stop()
        return counts

    assert virtual_time.run(play()) == [0]


def test_daemon_that_reads_from_a_relay_does_not_keep_what_only_the_relay_retains():
    async def play():
        world = await _restored_without_the_evacuation(24)
        await world.pass_time(1.0)
        late = next(daemon for daemon in world.daemons if daemon.sources)
        await late.kill()
        await late.start()
        await world.pass_time(ENTRY_REWRITE_SECONDS + PROPAGATION_SECONDS)
        counts = await _evacuated_while(world, STEP_SECONDS)
        await world.stop()
        return counts

    assert virtual_time.run(play()) == [0]
