"""Endpoints that decline requests and ask for a pause.

Guards against daemons that prefer a declining endpoint, since it has no load.
"""

import asyncio

import pytest

from . import virtual_time
from .notice_endpoints import MAX_IN_PAUSE
from .notice_endpoints import Size
from .notice_world import NoticeWorld

PAUSE = 3.0
GROUPS = Size()
SEEDS = range(3)
PLAIN = Size(endpoints=3, slots=6, rate=40.0, plain=True)


async def _play_one_declining(size, seed):
    world = NoticeWorld(size, seed)
    await world.begin()
    world.workers[0].decline_headers = {"Retry-After": "3"}
    await world.send_requests(2 * PAUSE)
    await world.end()
    return world


@pytest.mark.parametrize("size", [GROUPS, PLAIN], ids=["groups", "plain"])
def test_pausing_endpoint_gets_no_requests(size):
    for seed in SEEDS:
        world = virtual_time.run(_play_one_declining(size, seed))
        assert world.max_in_a_pause <= MAX_IN_PAUSE
        assert world.late_sends == 0
        assert not world.unserved


async def _all_decline(world, seconds, pause):
    """Let all endpoints decline everything for some time and ask for a pause."""
    for worker in world.workers.values():
        worker.decline_headers = {"Retry-After": pause}
    await asyncio.sleep(seconds)
    for worker in world.workers.values():
        worker.decline_headers = None


async def _play_pause_of_all(size):
    world = NoticeWorld(size, 1)
    await world.begin()
    (daemon,) = world.daemons
    world.spawn(_all_decline(world, 0.3, "1"))
    while (
        daemon.selector.endpoints("narrator")
        if size.plain
        else daemon.selector.leaders("narrator", "m")
    ):
        await world.call(f"q{world.now()}", daemon)
    started_at = world.now()
    refused = await world.call("later", daemon)
    seconds = refused.answered_at - started_at
    arrivals = sum(len(worker.arrivals) for worker in world.workers.values())
    await asyncio.sleep(refused.retry_after)
    served = await world.call("again", daemon)
    await world.end()
    return refused, seconds, arrivals - len(world.workers), served


@pytest.mark.parametrize(
    "size",
    [Size(daemons=1, endpoints=4), Size(daemons=1, endpoints=3, plain=True)],
    ids=["groups", "plain"],
)
def test_request_is_refused_at_once_while_all_pause_and_its_retry_is_served(size):
    refused, seconds, later_arrivals, served = virtual_time.run(_play_pause_of_all(size))
    assert refused.status == 503
    assert seconds < 0.01
    assert later_arrivals == 0
    # Within the first endpoint's pause and the random spread after it.
    assert 0.9 < refused.retry_after <= 1.4
    assert served.status == 200


async def _play_half_declining():
    world = NoticeWorld(GROUPS, 2)
    await world.begin()
    for number, worker in world.workers.items():
        if number % 2:
            worker.decline_headers = {"Retry-After": "3"}
    await world.send_requests(4.0)
    await world.end()
    return world


def test_other_endpoints_take_the_load_of_pausing_ones():
    """Guards against a cascade, in which the other endpoints decline as well."""
    world = virtual_time.run(_play_half_declining())
    assert world.in_time_fraction == 1.0
    assert not any(world.workers[number].declined for number in range(0, GROUPS.endpoints, 2))


async def _play_simultaneous_end_of_pauses():
    world = NoticeWorld(GROUPS, 3)
    await world.begin()
    task = world.spawn(world.send_requests(4.0))
    await asyncio.sleep(1.0)
    await _all_decline(world, 0.5, "1")
    max_running = 0
    while not task.done():
        await asyncio.sleep(0.01)
        max_running = max(max_running, *(worker.running for worker in world.workers.values()))
    await world.end()
    return world, max_running


def test_load_after_the_end_of_all_pauses_is_spread():
    """Guards against the first endpoint to resume getting all requests."""
    world, max_running = virtual_time.run(_play_simultaneous_end_of_pauses())
    assert world.late_sends == 0
    assert max_running < GROUPS.slots
    assert not any(worker.waiting for worker in world.workers.values())


async def _play_restart_within_pause():
    world = NoticeWorld(Size(daemons=1, endpoints=1), 4)
    await world.begin()
    world.workers[0].decline_headers = {"Retry-After": "60"}
    first = await world.call("first")
    second = await world.call("second")
    world.start(0)
    third = await world.call("third")
    await world.end()
    return first.status, second.cause, third.status


def test_restarted_endpoint_gets_requests_at_once():
    first, cause, third = virtual_time.run(_play_restart_within_pause())
    assert first == 503
    assert cause == "no group for 'm': 1 open, 0 of them suspected, 1 paused"
    assert third == 200


async def _play_broken_stream(wait):
    """A stream breaks while the only other group pauses."""
    world = NoticeWorld(Size(daemons=1, endpoints=2), 5)
    await world.begin()
    (daemon,) = world.daemons
    world.workers[0].decline_headers = {"Retry-After": str(wait)}
    while not world.workers[0].declined:
        world.spawn(world.call(f"q{world.now()}", daemon))
        await asyncio.sleep(0.01)
    world.workers[0].decline_headers = None
    ((asked_at, _),) = world.workers[0].pauses[daemon.peers.id]
    running = world.spawn(world.call("stream", daemon))
    await asyncio.sleep(0.1)
    world.workers[1].cut.set()
    outcome = await running
    later = [at for at in world.workers[0].arrivals if at > asked_at]
    await world.end()
    return outcome.status, [round(at - asked_at, 1) for at in later]


def test_stream_that_has_started_at_waits_for_the_end_of_a_pause():
    assert virtual_time.run(_play_broken_stream(1)) == (200, [1.0])


def test_stream_that_has_started_at_is_cut_if_the_pause_is_long():
    assert virtual_time.run(_play_broken_stream(5)) == (0, [])


async def _play_choice_before_pause():
    """An endpoint is chosen for two requests; one is sent after the other was declined."""
    world = NoticeWorld(Size(daemons=1, endpoints=2, plain=True), 6)
    await world.begin()
    (daemon,) = world.daemons
    world.workers[0].decline_headers = {"Retry-After": "3"}
    choose = daemon.selector.choose_endpoint

    def choose_the_first_once(service, tried):
        first = world.workers[0].endpoint
        return choose(service, tried) if first.id in tried else first

    daemon.selector.choose_endpoint = choose_the_first_once
    statuses = [(await world.call(name, daemon)).status for name in ("first", "second")]
    await world.end()
    return statuses, len(world.workers[0].arrivals)


def test_choice_made_before_a_pause_is_repeated():
    statuses, arrivals = virtual_time.run(_play_choice_before_pause())
    assert statuses == [200, 200]
    assert arrivals == 1


async def _play_answer_to_another_request():
    world = NoticeWorld(Size(daemons=1, endpoints=1, plain=True), 7)
    await world.begin()
    world.workers[0].decline_headers = {"X-Thorncleat-Attempt-Id": "another", "Retry-After": "3"}
    first = await world.call("first")
    left = world.daemons[0].selector.pause_left("narrator", None)
    await world.end()
    return first.status, left


def test_answer_to_another_request_is_ignored():
    """Such an answer doesn't promise that this request has not run, nor ask for a pause."""
    assert virtual_time.run(_play_answer_to_another_request()) == (502, 0.0)
