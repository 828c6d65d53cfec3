"""First start of a large site: calls of a small, busy controller don't time out."""

import pytest

from thorncleat_gateway.groups.lost_endpoints import LostEndpoints
from thorncleat_gateway.store.serving import Engine
from thorncleat_gateway.store.serving import EngineModel

from . import virtual_time
from .group_world import World

# Processor time that a small instance needs for each end of a call.
SMALL_SECONDS = 0.002
DOMAIN_SIZE = 37
ENGINE = Engine(
    11,
    (
        EngineModel("large", 16, share=0.5, load=16.0, warm=1.6),
        EngineModel("small", 8, share=0.5, load=12.0, warm=1.1),
    ),
    loads_per_second=77.0,
    loads_at_once=115,
)


async def _first_start(domains: int, seconds: float):
    """Return a world some seconds after its first start."""
    world = World(seed=1, domains=domains, workers=DOMAIN_SIZE, nodes=2, engine=ENGINE)
    world.before_requests = True
    for node in world.nodes:
        node.processor.call_seconds = SMALL_SECONDS
    await world.start()
    await world.pass_time(seconds)
    running = world.running_groups()
    await world.stop()
    return world, running


@pytest.fixture
def lost(monkeypatch):
    found = []
    monkeypatch.setattr(
        LostEndpoints, "mark_lost", lambda self, endpoint, cause: found.append((endpoint.id, cause))
    )
    return found


def test_all_groups_of_a_large_site_are_formed_and_no_endpoint_counts_as_silent(lost):
    world, running = virtual_time.run(_first_start(domains=25, seconds=20.0))
    assert lost == []
    assert world.broken == []
    # Each domain carries two groups of the large model or four of the small one.
    assert running["large"] // 2 + running["small"] // 4 == 25


def test_time_to_form_all_groups_grows_no_faster_than_their_number(lost):
    _, few = virtual_time.run(_first_start(domains=5, seconds=8.0))
    assert lost == []
    assert few["large"] // 2 + few["small"] // 4 == 5


def test_first_groups_serve_while_the_others_still_wait(lost):
    _, running = virtual_time.run(_first_start(domains=25, seconds=6.5))
    assert 5 <= sum(running.values()) < 75
