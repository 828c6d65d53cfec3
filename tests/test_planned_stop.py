"""When a daemon that was told to stop refuses requests, and when it ends."""

import pytest

from thorncleat_gateway import planned_stop


@pytest.mark.parametrize(
    ("elapsed", "refuses"),
    [
        pytest.param(0.0, False, id="the balancer has not noticed yet"),
        pytest.param(2.5, False, id="at the limit"),
        pytest.param(2.51, True, id="the balancer has had its two misses"),
    ],
)
def test_requests_are_refused_once_the_balancer_has_noticed(elapsed, refuses):
    assert planned_stop.refuses_requests(elapsed) is refuses


@pytest.mark.parametrize(
    ("elapsed", "grace", "ends"),
    [
        pytest.param(7.2, 8.0, False, id="requests may finish"),
        pytest.param(7.4, 8.0, True, id="before the kill"),
        pytest.param(1.4, 2.0, True, id="a short grace goes before the balancer"),
    ],
)
def test_daemon_ends_before_it_is_killed(elapsed, grace, ends):
    assert planned_stop.must_end(elapsed, grace) is ends
