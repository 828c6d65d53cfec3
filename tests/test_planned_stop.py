"""When a daemon refuses requests during a planned stop, and when it stops."""

import pytest

from thorncleat_gateway import planned_stop


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
