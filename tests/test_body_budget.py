"""How many bytes of callers' bodies a daemon holds."""

import asyncio
import dataclasses

import pytest

from thorncleat_gateway.callers import body_budget
from thorncleat_gateway.callers.body_budget import BodyBudget
from thorncleat_gateway.exceptions import RefusalError
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Workspace

from .recording import Answer
from .test_forms_refusals import STAMP
from .test_forms_refusals import call
from .test_forms_refusals import endpoints

ROUTE = Route("r", "h", "/", RouteKind.REPEATABLE, 3.0, 1.0, 1.0, 0, ())
URGENT, OTHER = Workspace("a", ("a",), 0), Workspace("b", ("b",), 1)


@pytest.mark.parametrize(
    ("held", "size", "urgent", "allowed"),
    [
        pytest.param(0, 75, False, True, id="below three quarters"),
        pytest.param(0, 76, False, False, id="less urgent above three quarters"),
        pytest.param(75, 25, True, True, id="urgent up to the bound"),
        pytest.param(75, 26, True, False, id="urgent above the bound"),
    ],
)
def test_bound(held, size, urgent, allowed):
    """Guards against a burst of large bodies that takes all memory, or all room of the urgent."""
    budget = BodyBudget(400)
    with budget.hold(lambda: urgent) as first, budget.hold(lambda: urgent) as body:
        first.reserve(held)
        if allowed:
            body.reserve(size)
        else:
            with pytest.raises(RefusalError) as refused:
                body.reserve(size)
            assert refused.value.status == 503
        assert budget.held == held + allowed * size
    assert (budget.held, budget.refused) == (0, int(not allowed))


def test_growing_body_counts_once():
    """Guards against bytes of a body that are counted twice."""
    budget = BodyBudget(None)
    with budget.hold(lambda: False) as body:
        body.reserve(50)
        body.reserve(20)
        body.reserve(60)
        assert budget.held == 60


@pytest.mark.parametrize(
    ("route_priority", "workspace", "urgent"),
    [(0, URGENT, True), (0, OTHER, False), (1, URGENT, False), (0, None, True)],
)
def test_most_urgent_requests(route_priority, workspace, urgent):
    route = dataclasses.replace(ROUTE, priority=route_priority)
    configuration = ServingConfiguration(1, (ROUTE, route), {}, (URGENT, OTHER))
    assert body_budget.is_most_urgent(configuration, route, workspace) is urgent


@pytest.mark.parametrize("in_chunks", [False, True])
async def test_daemon_refuses_a_body_that_finds_no_room(in_chunks):
    """Guards against bodies that are read before it is known that there is room for them."""

    async def chunks():
        yield b"x" * 40
        await asyncio.sleep(0)
        yield b"x" * 20

    body = chunks() if in_chunks else b"x" * 60
    answer = Answer(body=b"ok", headers=STAMP)
    async with endpoints(answer, overload_control=True, memory=200) as (daemon, server):
        assert (await call(daemon, "/ack/x", body=body))["status"] == 503
        assert server.calls == []
        assert (await call(daemon, "/ack/x", body=b"x" * 50))["status"] == 200
