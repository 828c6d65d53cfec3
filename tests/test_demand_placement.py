"""Which domain moves to which model by demand.

Guards against moves that a burst, the loss of a failure domain or rounding causes, and against a
giving model that can't serve its own requests afterwards.
"""

import random

import pytest

from thorncleat_gateway.groups import placement
from thorncleat_gateway.groups.demand import Demand
from thorncleat_gateway.groups.demand import ModelDemand
from thorncleat_gateway.groups.demand import Usage
from thorncleat_gateway.groups.demand import measure
from thorncleat_gateway.groups.placement import NEED_SECONDS
from thorncleat_gateway.groups.placement import Move
from thorncleat_gateway.groups.placement import PlacedDomain
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.serving import Engine
from thorncleat_gateway.store.serving import EngineModel

from .virtual_time import SetClock

SLOTS = 10
ENGINE = Engine(SLOTS, (EngineModel("big", 8), EngineModel("mid", 4), EngineModel("tiny", 2)))
STEP_SECONDS = 0.25


def observed(loads):
    """Return a demand that has observed the running requests of 100 slots, by time step."""
    clock = SetClock()
    demand = Demand(clock)
    for running in loads:
        clock.now += STEP_SECONDS
        demand.observe({"tiny": Usage(running, 100)})
    return demand.by_model()["tiny"]


def steps(seconds):
    return int(seconds / STEP_SECONDS)


@pytest.mark.parametrize(
    ("loads", "in_need"),
    [
        pytest.param([40] * 40 + [80] * steps(12), True, id="doubled for a while"),
        pytest.param([40] * 40 + [80] * steps(4), False, id="doubled for less"),
        pytest.param([40] * 40 + [100] * steps(6) + [40] * 8, False, id="burst"),
        pytest.param(([40] * steps(5) + [100] * steps(5)) * 6, False, id="oscillates"),
        pytest.param(([40] * steps(2) + [100] * steps(2)) * 9, False, id="oscillates faster"),
        pytest.param([70] * steps(30), False, id="busy with free slots"),
        pytest.param([98] * steps(12), True, id="full"),
        pytest.param([190] * steps(12), True, id="requests wait"),
        pytest.param([0] * steps(12), False, id="idle"),
    ],
)
def test_need(loads, in_need):
    """Guards against moves for bursts and swings, and against a lasting need that is overlooked."""
    assert (observed(loads).need_seconds >= NEED_SECONDS) is in_need


def test_the_swing_that_was_shown_counts():
    """At 78 of 100, free slots take random arrivals but not bursts of forty more requests."""
    random.seed(3)
    steady = [78 + random.choice((-4, 4)) for _ in range(steps(20))]
    bursts = [118 if step % 8 == 0 else 72 for step in range(steps(20))]
    assert observed(steady).swing < 27 < 35 < observed(bursts).swing


def test_a_gap_in_observation_is_no_need():
    """Guards against a need that is counted over a time in which nothing was seen."""
    clock = SetClock()
    demand = Demand(clock)
    for seconds in (0.25, 0.25, 30.0, 0.25):
        clock.now += seconds
        demand.observe({"tiny": Usage(99, 100)})
    assert demand.by_model() == {}


def test_evacuated_failure_domains_and_their_slots_do_not_count():
    """Guards against slots that no request can use, which would hide a need."""
    leaders = [Endpoint(name, "s", "", name, models=("tiny",)) for name in "abc"]
    assert measure(leaders, lambda _: 5, SLOTS, "c") == {"tiny": Usage(10, 20)}


def domains(layout, lost=""):
    """Return domains of 16 endpoints from ``model:failure_domain`` words."""
    sizes = {"big": 2, "mid": 4, "tiny": 8}
    return [
        PlacedDomain(f"{place}{number}", model, 16, place, 0 if place in lost else sizes[model])
        for number, (model, place) in enumerate(word.split(":") for word in layout.split())
    ]


def demand(running, slots, need=0.0):
    return ModelDemand(running, running, 0.0, slots, need_seconds=need)


def needed(slots=80):
    return demand(slots, slots, NEED_SECONDS)


SIX = "big:a big:a big:b big:c tiny:b tiny:c"


@pytest.mark.parametrize(
    ("layout", "lost", "demands", "move"),
    [
        pytest.param(SIX, "", {"big": 10, "tiny": 999}, "a0 big tiny", id="fewest there"),
        pytest.param(SIX, "", {"big": 10}, None, id="none in need"),
        pytest.param(SIX, "", {"big": 25, "tiny": 999}, "a0 big tiny", id="giver within limit"),
        pytest.param(SIX, "", {"big": 26, "tiny": 999}, None, id="not after a loss"),
        pytest.param(SIX, "b", {"big": 12, "tiny": 999}, "a0 big tiny", id="b is lost"),
        pytest.param(SIX, "b", {"big": 13, "tiny": 999}, None, id="and too little is left"),
        pytest.param(SIX, "bc", {"big": 1, "tiny": 999}, None, id="one failure domain left"),
        pytest.param(SIX, "", {"big": 999, "tiny": 1}, None, id="no gain the other way"),
        pytest.param(SIX, "", {"big": 999, "tiny": 999}, None, id="both in need"),
        pytest.param(
            "big:a big:b big:c mid:a mid:b mid:c tiny:a tiny:b",
            "",
            {"big": 5, "mid": 999, "tiny": 999},
            "c2 big tiny",
            id="two in need, one can be helped",
        ),
        pytest.param(
            "mid:a mid:b mid:c big:a big:b big:c tiny:a",
            "",
            {"big": 1, "mid": 1, "tiny": 999},
            "b4 big tiny",
            id="a factor of two is not enough",
        ),
        pytest.param("big:a big:b tiny:a tiny:b", "", {"big": 0, "tiny": 999}, None, id="smallest"),
        pytest.param("big:a big:a big:a tiny:a", "", {"big": 0, "tiny": 999}, None, id="one place"),
        pytest.param(
            "big:a big:b big:b tiny:a tiny:a",
            "",
            {"big": 1, "tiny": 999},
            "b1 big tiny",
            id="smallest with a move",
        ),
    ],
)
def test_move(layout, lost, demands, move):
    """Guards against moves that the giving model cannot afford, and moves that gain too little."""
    by_model = {
        model: needed() if running == 999 else demand(running, 80)
        for model, running in demands.items()
    }
    found = placement.choose_move(domains(layout, lost), by_model, ENGINE)
    assert found == (Move(*move.split()) if move else None)


def test_the_fuller_of_two_models_in_need_comes_first():
    """Guards against a move for the model that needs it less."""
    by_model = {
        "big": demand(1, 80),
        "mid": demand(70, 80, 20.0),
        "tiny": demand(90, 80, 20.0),
    }
    engine = Engine(SLOTS, (EngineModel("big", 16), EngineModel("mid", 4), EngineModel("tiny", 2)))
    layout = [
        PlacedDomain(f"d{number}", model, 16, "abc"[number % 3], 1)
        for number, model in enumerate(["big"] * 4 + ["mid", "tiny"])
    ]
    found = placement.choose_move(layout, by_model, engine)
    assert found is not None
    assert found.receiving == "tiny"


@pytest.mark.parametrize("size", range(2, 41))
def test_nothing_moves_where_the_sizes_differ_by_a_factor_of_two(size):
    """Also not in a domain that has lost endpoints, where rounding makes three groups of one."""
    for large, small in ((4, 2), (16, 8), (12, 6), (8, 4)):
        engine = Engine(SLOTS, (EngineModel("large", large), EngineModel("small", small)))
        layout = [
            PlacedDomain(f"d{number}", "large", size, "abc"[number % 3], 9) for number in range(9)
        ]
        by_model = {"large": demand(0, 90), "small": needed()}
        assert placement.choose_move(layout, by_model, engine) is None


@pytest.mark.parametrize(
    ("in_domain", "elsewhere", "busiest", "closed"),
    [(4, 8, 10, 4), (4, 4, 30, 3), (4, 1, 30, 0), (0, 4, 0, 0)],
    ids=["all", "a few", "none now", "none left"],
)
def test_groups_are_closed_as_the_giving_model_allows(in_domain, elsewhere, busiest, closed):
    """Guards against a giving model that a move leaves short of groups."""
    found = placement.groups_to_close(in_domain, elsewhere, demand(busiest, 120), ENGINE)
    assert found == closed
