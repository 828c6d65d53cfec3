"""Which service of a split route gets a request: the sequence of choices for each weighting."""

import collections

import pytest

from thorncleat_gateway.requests.route_split import service_for
from thorncleat_gateway.requests.route_split import split_for
from thorncleat_gateway.store.serving import Engine
from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import Service
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split


def route(*weights):
    splits = tuple(Split(name, weight) for name, weight in zip("abc", weights, strict=False))
    return Route("r", "h", "/", RouteKind.ONCE, 1.0, 0.5, 0.3, 1, splits)


# The choices for the requests numbered 1 to 24.
@pytest.mark.parametrize(
    ("weights", "chosen"),
    [
        pytest.param((1.0,), "aaaaaaaaaaaaaaaaaaaaaaaa", id="one part"),
        pytest.param((1, 1), "babaababbabaababbababbab", id="halves"),
        pytest.param((3, 1), "aabaaaabaabaaaabaaaabaab", id="three to one"),
        pytest.param((0.9, 0.1), "aaaaaaabaaaaaaaaaaaabaaa", id="a tenth"),
        pytest.param((5, 3, 2), "bacaabacbabaabacbabacbac", id="three parts"),
        pytest.param((0, 1), "bbbbbbbbbbbbbbbbbbbbbbbb", id="nothing for the first"),
        pytest.param((1, 0), "aaaaaaaaaaaaaaaaaaaaaaaa", id="nothing for the last"),
        pytest.param((0, 0), "bbbbbbbbbbbbbbbbbbbbbbbb", id="no weights: the last"),
    ],
)
def test_sequence_of_choices(weights, chosen):
    made = route(*weights)
    assert "".join(split_for(made, number).service for number in range(1, 25)) == chosen


def test_parts_get_their_weights():
    made = route(5, 3, 2)
    counts = collections.Counter(split_for(made, number).service for number in range(1, 1001))
    assert counts == {"a": 500, "b": 300, "c": 200}


def test_service_without_a_description_is_plain():
    described = Service("a", "/", Engine(4, ()))
    configuration = ServingConfiguration(1, services={"a": described})
    assert service_for(configuration, route(1, 0), 1) is described
    assert service_for(configuration, route(0, 1), 1) == Service("b")
