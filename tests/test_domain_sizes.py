"""Which size of a fabric domain counts after its endpoints change."""

import pytest

from thorncleat_gateway.groups.domain_sizes import SIZE_TTL_SECONDS
from thorncleat_gateway.groups.domain_sizes import DomainSizes
from thorncleat_gateway.store.roster import Endpoint

from .virtual_time import SetClock

LATER = SIZE_TTL_SECONDS + 0.1


@pytest.fixture
def clock():
    return SetClock()


def endpoints(count, domain="d0", service="narrator"):
    return [
        Endpoint(f"{domain}-{number}", service, "", "a", fabric_domain=domain)
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("counts", "size"),
    [
        pytest.param([(0.0, 8)], 8, id="as listed"),
        pytest.param([(0.0, 8), (1.0, 9)], 9, id="grows at once"),
        pytest.param([(0.0, 8), (1.0, 3)], 8, id="keeps its size after a loss"),
        pytest.param([(0.0, 8), (LATER, 3)], 3, id="shrinks after the TTL"),
        pytest.param(
            [(0.0, 8), (10.0, 8), (10.0, 3)], 8, id="counted from when it last had that size"
        ),
        pytest.param([(0.0, 8), (1.0, 0)], 8, id="is remembered without endpoints"),
        pytest.param([(0.0, 8), (LATER, 0)], None, id="is forgotten without endpoints"),
    ],
)
def test_size(clock, counts, size):
    sizes = DomainSizes(clock)
    for seconds, count in counts:
        clock.now += seconds
        sizes.observe(endpoints(count))
    present = {"d0"} if counts[-1][1] else set()
    found = [domain_size.size for domain_size in sizes.of_service("narrator", present)]
    assert found == ([] if size is None else [size])


def test_each_service_has_its_domains(clock):
    sizes = DomainSizes(clock)
    sizes.observe([*endpoints(3, "d0"), *endpoints(2, "d1", "desk"), *endpoints(1, "")])
    assert [domain_size.domain for domain_size in sizes.of_service("narrator", ())] == ["d0"]
    assert [domain_size.domain for domain_size in sizes.of_service("desk", ())] == ["d1"]
