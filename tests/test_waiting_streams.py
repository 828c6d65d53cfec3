"""A stream that has begun waits for a group whose pause ends in time."""

import asyncio

import pytest

from thorncleat_gateway.exceptions import AnswerAbortedError
from thorncleat_gateway.requests import service_endpoints
from thorncleat_gateway.requests.retry_policy import WAIT_FOR_GROUP_SECONDS

from . import virtual_time
from .notice_endpoints import Size
from .notice_world import Caller
from .notice_world import NoticeWorld

# How late a stream may notice that a group accepts requests again.
POLL_SECONDS = 0.1


async def _wait_for_a_group(pause: float, left: float) -> tuple[str, float]:
    """Return the group or the cause of the cut, and the seconds that a stream waited for it.

    :param pause: seconds for which the only group wants no requests.
    :param left: seconds until the request is given up.
    """
    world = NoticeWorld(Size(daemons=1, endpoints=1), 1)
    await world.begin()
    (daemon,) = world.daemons
    endpoint = world.workers[0].endpoint
    daemon.selector._notices._pause(endpoint.incarnation, pause)
    request, caller = world.request("r", left=left), Caller(world)
    await caller.begin(200, ())
    started_at = world.now()
    try:
        endpoints = service_endpoints.of(request, daemon.selector)
        chosen = await daemon.streams._choose_endpoint(request, endpoints, caller)
        found = chosen.id
    except AnswerAbortedError as error:
        found = error.cause
    waited = asyncio.get_running_loop().time() - started_at
    await world.end()
    return found, waited


@pytest.mark.parametrize("pause", [0.5, 1.9, 2.6, 3.9])
def test_stream_goes_on_when_the_pause_ends(pause):
    """It was cut after two seconds, though its group was known to come back in time."""
    found, waited = virtual_time.run(_wait_for_a_group(pause, left=6.0))
    assert found == "w0"
    assert pause <= waited <= pause + POLL_SECONDS


def test_stream_whose_time_is_over_before_the_pause_is_cut_with_the_true_cause():
    found, waited = virtual_time.run(_wait_for_a_group(3.0, left=1.0))
    assert found == "out of time"
    assert waited <= 1.0 + POLL_SECONDS


def test_stream_does_not_wait_for_a_pause_that_ends_too_late():
    found, waited = virtual_time.run(_wait_for_a_group(4.8, left=5.0))
    assert found == "no group to go on in"
    assert waited <= WAIT_FOR_GROUP_SECONDS + POLL_SECONDS


async def _leave_a_silent_group(tokens: int) -> list[bool]:
    """Return which of three streams leave a silent group, while there are some tokens.

    Those that leave can be sent again, and no other one.
    """
    world = NoticeWorld(Size(daemons=1, endpoints=2), 1)
    await world.begin()
    (daemon,) = world.daemons
    service = world.request("r", left=6.0).service.name
    while (
        daemon.budgets.account(service).allowed - daemon.budgets.account(service).retries > tokens
    ):
        daemon.budgets.take_token(service)
    requests = [world.request(f"r{number}", left=6.0) for number in range(3)]
    leaving = [
        daemon.streams._reserve_retry(request, service_endpoints.of(request, daemon.selector))
        for request in requests
    ]
    sent_again = [daemon.streams._token_source(request)() for request in requests]
    await world.end()
    assert sent_again == leaving
    return leaving


@pytest.mark.parametrize(
    ("tokens", "leaving"),
    [(0, [False] * 3), (1, [True, False, False]), (3, [True] * 3)],
)
def test_stream_without_a_retry_stays_in_its_silent_group(tokens, leaving):
    """Guards against streams that leave a group which goes on, and are cut for want of a token."""
    assert virtual_time.run(_leave_a_silent_group(tokens)) == leaving
