"""Whether the list of endpoints is complete before the first request."""

import pytest

from thorncleat_gateway.groups.list_growth import GROWTH_TIMEOUT_SECONDS
from thorncleat_gateway.groups.list_growth import ListGrowth


@pytest.mark.parametrize(
    ("listed", "growing"),
    [
        pytest.param([(0.1, 4)], True, id="endpoints are new"),
        pytest.param(
            [(0.1, 4), (GROWTH_TIMEOUT_SECONDS + 0.1, 4)], False, id="none was added for long"
        ),
        pytest.param(
            [(0.1, 4), (GROWTH_TIMEOUT_SECONDS + 0.1, 5)], True, id="added after it seemed complete"
        ),
        pytest.param(
            [(0.1, 4), (0.9, 3), (0.2, 4)], False, id="a returning endpoint does not count"
        ),
        pytest.param([(GROWTH_TIMEOUT_SECONDS + 0.1, 0)], False, id="an empty list does not grow"),
    ],
)
def test_list_growth(listed, growing):
    now = 100.0
    growth = ListGrowth(lambda: now)
    for seconds, count in listed:
        now += seconds
        found = growth.is_growing(count)
    assert found is growing
