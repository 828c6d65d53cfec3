"""When a daemon refuses requests during a planned stop, and when it stops."""

import asyncio
import types

import pytest

from thorncleat_gateway import planned_stop

from . import virtual_time


@pytest.mark.parametrize(
    ("elapsed", "refuses"),
    [
        pytest.param(0.0, False, id="load balancer has not noticed yet"),
        pytest.param(2.5, False, id="at the limit"),
        pytest.param(2.51, True, id="load balancer has noticed"),
    ],
)
def test_requests_are_refused_after_the_load_balancer_has_noticed(elapsed, refuses):
    assert planned_stop.refuses_requests(elapsed) is refuses


@pytest.mark.parametrize(
    ("elapsed", "grace", "ends"),
    [
        pytest.param(7.2, 8.0, False, id="requests may still finish"),
        pytest.param(7.4, 8.0, True, id="before the kill"),
        pytest.param(1.4, 2.0, True, id="short grace period"),
    ],
)
def test_daemon_stops_before_it_is_killed(elapsed, grace, ends):
    assert planned_stop.must_stop(elapsed, grace) is ends


GRACE_SECONDS = 6.0


async def _stop(ordered_before: float, *, is_known: bool, running: int = 0) -> tuple[float, float]:
    """Stop a daemon; return the seconds from the order to its refusals and to its end.

    :param ordered_before: seconds from the order to the beginning of the stop.
    """
    now = asyncio.get_running_loop().time
    frontend = types.SimpleNamespace(
        running=running, is_known=is_known, stopping=False, closed=False
    )
    stop = planned_stop.PlannedStop(frontend, types.SimpleNamespace(), GRACE_SECONDS, now)
    ordered_at = now() - ordered_before
    task = asyncio.ensure_future(stop.wait(ordered_at))
    refused_at = float("inf")
    while not task.done():
        await asyncio.sleep(0.01)
        if frontend.closed:
            refused_at = min(refused_at, now() - ordered_at)
    return refused_at, now() - ordered_at


@pytest.mark.parametrize("ordered_before", [0.0, 2.0, 4.0])
def test_grace_period_counts_from_the_order(ordered_before):
    """A daemon that began to count later was killed with its callers."""
    stop = _stop(ordered_before, is_known=True, running=1)
    _, ended = virtual_time.run(stop)
    assert ended <= GRACE_SECONDS - planned_stop.STOP_MARGIN_SECONDS + 0.1


def test_daemon_that_no_load_balancer_knows_refuses_at_once():
    refused, ended = virtual_time.run(_stop(0.0, is_known=False))
    assert refused < 0.1
    assert ended < 0.2


def test_daemon_that_a_load_balancer_knows_serves_until_it_has_noticed():
    refused, ended = virtual_time.run(_stop(0.0, is_known=True))
    assert planned_stop.ACCEPT_SECONDS < refused < planned_stop.ACCEPT_SECONDS + 0.1
    assert ended < planned_stop.ACCEPT_SECONDS + 0.2
