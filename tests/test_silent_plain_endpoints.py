"""A plain request that can't go elsewhere is waited for while its endpoint is silent."""

import asyncio
import dataclasses

import pytest

from thorncleat_gateway.store.serving import RouteKind

from . import notice_endpoints
from . import virtual_time
from .notice_world import TARGET_SECONDS
from .notice_world import NoticeWorld
from .notice_world import Outcome
from .notice_world import Size

SILENCE_SECONDS = 1.2


async def _serve(kind: RouteKind, endpoints: int) -> tuple[Outcome, float, int]:
    """Return a request's outcome, its seconds, and how many endpoints got it.

    Each endpoint takes the request's connection and is silent before it answers.
    """
    world = NoticeWorld(Size(daemons=1, endpoints=endpoints, plain=True), 1)
    await world.begin()
    request = world.request("r")
    request.route = dataclasses.replace(request.route, kind=kind)
    started_at = asyncio.get_running_loop().time()
    outcome = await world.daemons[0].serve(request)
    seconds = asyncio.get_running_loop().time() - started_at
    sent = sum(len(worker.arrivals) for worker in world.workers.values())
    await world.end()
    return outcome, seconds, sent


@pytest.fixture(autouse=True)
def _endpoints_are_silent(monkeypatch):
    monkeypatch.setattr(notice_endpoints, "PLAIN_RUN_SECONDS", SILENCE_SECONDS)


@pytest.mark.parametrize("endpoints", [1, 3])
def test_unsafe_request_waits_for_its_silent_endpoint(endpoints):
    outcome, seconds, sent = virtual_time.run(_serve(RouteKind.ONCE, endpoints))
    assert (outcome.status, sent) == (200, 1)
    assert SILENCE_SECONDS <= seconds <= SILENCE_SECONDS + 0.1


def test_request_with_no_attempt_left_waits_for_its_silent_endpoint():
    """Its first attempt is given up early, since it can go elsewhere."""
    outcome, seconds, sent = virtual_time.run(_serve(RouteKind.REPEATABLE, 3))
    assert (outcome.status, sent) == (200, 2)
    assert SILENCE_SECONDS + 0.8 * TARGET_SECONDS <= seconds <= SILENCE_SECONDS + TARGET_SECONDS
