"""How soon daemons stop using an endpoint that leaves."""

import pytest

from . import virtual_time
from .fleet_world import FleetWorld

# How long any daemon may still use an endpoint after the store has recorded its leaving.
MAX_SECONDS_IN_USE = 1.0
# How long the daemons are observed.
WATCHED_SECONDS = 8.0
FLEETS = [8, 24]


async def _seconds_in_use_after_a_restart_of_all(daemons: int, pause: float) -> float:
    """Return for how many seconds any daemon uses an endpoint that leaves while all restart.

    :param pause: seconds before the endpoint leaves; the last daemon may take two to restart.
    """
    world = FleetWorld(daemons)
    await world.start()
    await world.restart_all(longest=2.0)
    await world.pass_time(pause)
    world.leave("w000")
    used = await world.seconds_in_use("w000", WATCHED_SECONDS)
    await world.stop()
    return used[-1]


@pytest.mark.parametrize("daemons", FLEETS)
def test_endpoint_that_left_is_not_used_by_daemons_that_start_after_it(daemons):
    """A start is not an outage, so the missing entry has not merely expired."""
    assert (
        virtual_time.run(_seconds_in_use_after_a_restart_of_all(daemons, 1.0)) <= MAX_SECONDS_IN_USE
    )
