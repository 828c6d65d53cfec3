"""An endpoint that leaves: how soon no daemon sends it anything new."""

import pytest

from . import virtual_time
from .fleet_world import FleetWorld

# of all daemons, from the moment at which the store has taken the leaving; in seconds
KNOWN_EVERYWHERE_SECONDS = 1.0
# for which the oracle looks on, in seconds
WATCHED_SECONDS = 8.0
FLEETS = [8, 24]


async def _after_a_start_of_all(daemons: int, pause: float) -> float:
    """Return for how long some daemon uses an endpoint whose entry disappears then.

    :param pause: seconds since the first daemon may be back; the last one takes two.
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
def test_endpoint_that_left_is_not_kept_by_each_daemon_that_starts_after_it(daemons):
    """A start is no outage: nothing has let the entry run out."""
    assert virtual_time.run(_after_a_start_of_all(daemons, 1.0)) <= KNOWN_EVERYWHERE_SECONDS
