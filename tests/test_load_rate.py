"""How many loads from the weight store may begin: the token bucket's rule as a table."""

import pytest

from thorncleat_gateway.groups import load_rate
from thorncleat_gateway.groups.load_rate import LoadRate
from thorncleat_gateway.store.serving import Engine

# 3.6 loads a second, 10.2 saved at most
ENGINE = Engine(13, (), loads_per_second=4.0, loads_at_once=6)


def _begun(rate, now):
    count = 0
    while rate.take(ENGINE, now):
        count += 1
    return count


@pytest.mark.parametrize(
    ("moments", "begun"),
    [
        pytest.param([0.0], [0], id="none saved at first"),
        pytest.param([0.27], [0], id="not quite one"),
        pytest.param([0.28], [1], id="one after 1 / 3.6 s"),
        pytest.param([1.0], [3], id="0.9 of the weight store's rate"),
        pytest.param([1.0, 2.0], [3, 4], id="parts of a load are kept"),
        pytest.param([60.0], [10], id="a long pause saves two seconds and half of those at once"),
        pytest.param([60.0, 60.0], [10, 0], id="none more at the same moment"),
        pytest.param([60.0, 61.0], [10, 3], id="then at the rate again"),
    ],
)
def test_loads_that_may_begin(moments, begun):
    rate = LoadRate(0.0)
    assert [_begun(rate, now) for now in moments] == begun


def test_bounds_of_an_engine():
    assert load_rate.loads_per_second(ENGINE) == pytest.approx(3.6)
    assert load_rate.most_saved(ENGINE) == pytest.approx(10.2)


def test_loads_in_any_window_keep_within_the_weight_stores_ceiling():
    """Both deployments count loads in 5 s, and allow 1.1 times the rate and three more."""
    rate = LoadRate(0.0)
    begun = sum(_begun(rate, 60.0 + step / 10) for step in range(50))
    assert begun <= 5 * ENGINE.loads_per_second * 1.1 + 3
