"""Endpoints that say in their answers that they drain, while the list still shows them as ready.

The list lags, and shows nothing new at all while the store is away; an endpoint's own answers are
what a daemon learns first. Nobody read them: each daemon went on sending to such an endpoint for as
long as its list said ready.
"""

from . import virtual_time
from .notice_world import NoticeWorld
from .notice_world import Size

SEEDS = range(3)
DRAINING = {"Server-Leaving": "1"}


async def _one_drains(seed):
    world = NoticeWorld(Size(), seed)
    await world.begin()
    world.workers[0].says = DRAINING
    await world.requests(6.0)
    await world.end()
    return world


def test_endpoint_that_says_that_it_drains_gets_no_new_requests():
    for seed in SEEDS:
        world = virtual_time.run(_one_drains(seed))
        assert world.workers[0].told
        assert world.workers[0].late_to_draining == 0
        assert world.workers[0].sends_to_draining == 0
        assert not world.unserved
