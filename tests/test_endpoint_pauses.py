"""Endpoints that turn a request away and name the time in which they want no other.

An endpoint answered each request of eight daemons with 503 and asked for 3 s without requests.
Nobody read that time: a decline added 1.2 requests to the endpoint's weight, and one that declines
everything has none under way, so it stayed among the best of 16 groups. Lines of one daemon in
these 3 s: "attempt_failed" with cause "declined with 503" at 6.261 s, then again at 6.384, 6.956,
8.549 and 9.037 s, each for another request, which another group then served.
"""

import pytest

from . import virtual_time
from .notice_world import MOST_IN_PAUSE
from .notice_world import NoticeWorld
from .notice_world import Size

PAUSE = 3.0
GROUPS = Size()
SEEDS = range(3)
PLAIN = Size(endpoints=3, slots=6, rate=40.0, plain=True)


async def _one_declines(size, seed):
    world = NoticeWorld(size, seed)
    await world.begin()
    world.workers[0].declines = {"Retry-After": "3"}
    await world.requests(2 * PAUSE)
    await world.end()
    return world


@pytest.mark.parametrize("size", [GROUPS, PLAIN], ids=["groups", "plain"])
def test_endpoint_that_asks_for_a_pause_gets_none_of_the_requests_sent_later(size):
    for seed in SEEDS:
        world = virtual_time.run(_one_declines(size, seed))
        assert world.most_in_a_pause <= MOST_IN_PAUSE
        assert world.late_sends == 0
        assert not world.unserved
