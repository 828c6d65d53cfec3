"""How many loads from the weight store may begin, by the token bucket."""

import pytest

from thorncleat_gateway.groups import load_rate
from thorncleat_gateway.groups.load_rate import LoadRate
from thorncleat_gateway.settings import ControlSettings
from thorncleat_gateway.store.serving import Engine

SETTINGS = ControlSettings()
# Refills at 3.6 loads a second, holds 7.
ENGINE = Engine(13, (), loads_per_second=4.0, loads_at_once=6)


def _begun(rate, now):
    count = 0
    while rate.reserve(ENGINE, now):
        count += 1
    return count


@pytest.mark.parametrize(
    ("moments", "begun"),
    [
        pytest.param([0.0], [0], id="none saved at first"),
        pytest.param([0.27], [0], id="not quite one"),
        pytest.param([0.28], [1], id="one after 1 / 3.6 s"),
        pytest.param([1.0], [3], id="0.9 of the weight store's rate"),
        pytest.param([1.0, 2.0], [3, 4], id="fractions of a load are kept"),
        pytest.param([60.0], [7], id="a long pause saves what the ceiling leaves"),
        pytest.param([60.0, 60.0], [7, 0], id="none more at the same time"),
        pytest.param([60.0, 61.0], [7, 3], id="then at the rate again"),
    ],
)
def test_loads_that_may_begin(moments, begun):
    rate = LoadRate(0.0, SETTINGS)
    assert [_begun(rate, now) for now in moments] == begun


def test_bounds_of_an_engine():
    assert load_rate.refill_rate(ENGINE, SETTINGS) == pytest.approx(3.6)
    assert load_rate.bucket_capacity(ENGINE, SETTINGS) == pytest.approx(7.0)


@pytest.mark.parametrize(
    ("window", "overage"), [(5, 1.1), (2, 1.1), (10, 1.0), (1, 1.25), (5, 0.8)]
)
def test_loads_in_any_window_keep_within_the_weight_stores_ceiling(window, overage):
    """All rows allow three loads beyond the rate."""
    rate = LoadRate(0.0, ControlSettings(load_window=window, load_overage=overage))
    begun = [_begun(rate, 60.0 + step / 10) for step in range(40 * window)]
    windows = [sum(begun[first : first + 10 * window]) for first in range(30 * window)]
    assert max(windows) <= window * ENGINE.loads_per_second * overage + 3
