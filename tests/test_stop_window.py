"""Which attempts a planned stop leaves time for."""

import pytest

from thorncleat_gateway.requests import stop_window


@pytest.mark.parametrize(
    ("give_up_at", "is_closed", "must_go_on", "may_send"),
    [
        pytest.param(60.0, False, False, True, id="load balancer has not noticed yet"),
        pytest.param(7.2, True, False, True, id="given up before the stop"),
        pytest.param(7.3, True, False, False, id="its refusal would not arrive"),
        pytest.param(60.0, True, False, False, id="may take longer"),
        pytest.param(60.0, True, True, True, id="a refusal would help nobody"),
    ],
)
def test_only_what_ends_before_the_stop_is_sent(give_up_at, is_closed, must_go_on, may_send):
    allowed = stop_window.may_send(give_up_at, 7.3, is_closed=is_closed, must_go_on=must_go_on)
    assert allowed is may_send


def test_without_an_order_everything_is_sent():
    assert stop_window.may_send(1e9, float("inf"), is_closed=True, must_go_on=False)
