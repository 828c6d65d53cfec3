"""Endpoints that say in their answers that they drain, while the list still shows them as ready.

The list lags, and shows nothing new at all while the store is away; an endpoint's own answers are
what a daemon learns first. Nobody read them: each daemon went on sending to such an endpoint for as
long as its list said ready.
"""

import pytest

from thorncleat_gateway.exceptions import EndpointReplacedError
from thorncleat_gateway.ports import Load
from thorncleat_gateway.store.roster import GroupState
from thorncleat_platform.engines import WorkerEngines

from . import virtual_time
from .group_world import UNLISTED_AFTER_SECONDS
from .group_world import calm_world
from .group_world import large_leader
from .notice_endpoints import Size
from .notice_world import NoticeWorld
from .test_gateway import events
from .test_gateway import site

SEEDS = range(3)
# of virtual time, after which a test gives up
LONGEST_SECONDS = 40.0
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


# the real path, with sockets


def _group_of(made, worker):
    return {other.id for other in made.workers if other._members == worker._members}


async def test_stream_that_says_so_is_passed_on_and_is_the_last_one(tmp_path):
    async with site(tmp_path) as made:
        leader = next(worker for worker in made.workers if worker.leads)
        other = next(worker for worker in made.workers if worker.leads and worker is not leader)
        leader.leaving = True
        while not leader.runs:
            status, headers, body = await made.chat(number="before")
            assert (status, body) == (200, events(1, 2, 3, 4, 5))
            # the daemon itself does not leave
            assert "Server-Leaving" not in headers
        for number in range(10):
            status, _, _ = await made.chat(number=f"after-{number}")
            assert status == 200
        assert len(leader.runs) == 1
        assert len(other.runs) >= 10


@pytest.mark.parametrize("turns_away", [None, "0.5"], ids=["served", "turned away"])
async def test_plain_services_whose_endpoints_all_leave_refuse_at_once(tmp_path, turns_away):
    async with site(tmp_path) as made:
        desks = [worker for worker in made.workers if worker.service == "desk"]
        for desk in desks:
            desk.leaving = True
            desk.refusal_retry_after = turns_away
        statuses = [(await made.call("GET", "/status/x"))[0] for _ in range(3)]
        # each of the two answers once, since none knew before
        assert statuses == ([200, 200, 503] if turns_away is None else [503, 503, 503])
        assert sum(len(desk.runs) for desk in desks) == (2 if turns_away is None else 0)


async def test_what_a_report_or_an_order_is_answered_with_counts(tmp_path):
    async with site(tmp_path) as made:
        worker = made.workers[0]
        endpoint = made.gateway.view.roster.endpoints[worker.id]
        engines = made._adapters[1]
        assert isinstance(engines, WorkerEngines)
        worker.leaving = True
        worker.id = "another"
        with pytest.raises(EndpointReplacedError):
            await engines.order(endpoint, Load("large"), None, 1.0)
        # another worker has the address
        assert not made.gateway.view.roster.endpoints[endpoint.id].draining
        worker.id = endpoint.id
        await engines.order(endpoint, Load("large"), None, 1.0)
        assert made.gateway.view.roster.endpoints[endpoint.id].draining


# the control of groups, in virtual time


async def _leader_says_so(refuses: float):
    """Return the world, and how long it took until another group of its model stood.

    :param refuses: seconds for which it takes no connection and has not ended; 0 if it serves.
    """
    world = await calm_world()
    leader = large_leader(world)
    for node in world.nodes:
        node.view.mark_draining(leader.entry().incarnation)
    if refuses:
        world.stop_listening_and_end(leader, refuses, requests=0)
    begun, former = world.now(), leader.group
    while _standing_large(world) in (None, former) and world.now() < begun + LONGEST_SECONDS:
        await world.pass_time(0.1)
    seconds = world.now() - begun
    await world.stop()
    return world, seconds


def _standing_large(world):
    """Return the group of the large model whose leader answers; None without one."""
    answering = (one for one in world.workers.values() if one.alive and one.is_leader)
    groups = (one.group for one in answering if one.state is GroupState.OPEN)
    return next((group for group in groups if group and _model(world, group) == "large"), None)


def _model(world, group):
    return next(worker.model for worker in world.workers.values() if worker.group == group)


def test_group_is_replaced_before_the_list_shows_that_its_leader_drains():
    world, seconds = virtual_time.run(_leader_says_so(0.0))
    assert world.broken == []
    assert seconds < 5.0


def test_leader_that_said_so_and_refuses_connections_keeps_its_members_until_it_ends():
    """The list shows it as ready, so that nothing else says that it may only have stopped."""
    world, seconds = virtual_time.run(_leader_says_so(6.0))
    assert world.broken == []
    assert seconds < 6.0 + UNLISTED_AFTER_SECONDS + 5.0
