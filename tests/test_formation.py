"""Which endpoints a group is formed of, and which group comes first: the rules as tables.

The layout, and groups and loads as a whole, are tested in test_serving.py.
"""

import collections
import itertools

import pytest

from thorncleat_gateway.groups import formation
from thorncleat_gateway.groups.formation import DomainView
from thorncleat_gateway.store.roster import Endpoint
from thorncleat_gateway.store.serving import EngineModel

BIG, SMALL = EngineModel("big", 2), EngineModel("small", 1)


def endpoint(name, staged=(), models=(), **more):
    return Endpoint(name, "narrator", name, "a", staged=staged, models=models, **more)


# by what they cost a group of the big model, the least first
IN_ENGINE = endpoint("f", ("big",), ("big",))
ON_HOST = endpoint("e", ("big",))
LOADS_IT = endpoint("d")
EMPTY = endpoint("c")
HAS_OTHER = endpoint("b", ("small",))
LOADS_OTHER = endpoint("a")
STAGING = {"d": "big", "a": "small"}
ORDER = [IN_ENGINE, ON_HOST, LOADS_IT, EMPTY, HAS_OTHER, LOADS_OTHER]


@pytest.mark.parametrize(
    ("cheaper", "dearer"),
    list(itertools.pairwise(ORDER)),
    ids=[
        "engine before host",
        "loaded before loading",
        "loading before empty",
        "empty before one with another model",
        "idle before one that loads another",
    ],
)
def test_members_cost(cheaper, dearer):
    one = EngineModel("big", 1)
    view = DomainView("d0", 8, free=[dearer, cheaper], staging=STAGING)
    (plan,) = formation.groups_to_form(view, collections.Counter(big=1), [one], lambda _: 0)
    assert plan.members == (cheaper,)


@pytest.mark.parametrize(
    ("free", "weak", "members"),
    [
        pytest.param([ON_HOST, EMPTY], [IN_ENGINE], "ef", id="weak before a load"),
        pytest.param([ON_HOST, EMPTY], [HAS_OTHER], "ec", id="not if it has to load"),
        pytest.param([EMPTY, LOADS_IT], [ON_HOST], "dc", id="not if it would lead"),
        pytest.param([ON_HOST, IN_ENGINE], [], "fe", id="none needed"),
    ],
)
def test_weak_members(free, weak, members):
    view = DomainView("d0", 8, free=free, weak=weak, staging=STAGING)
    (plan,) = formation.groups_to_form(view, collections.Counter(big=1), [BIG], lambda _: 0)
    assert [member.id for member in plan.members] == list(members)


@pytest.mark.parametrize(
    ("free", "scarce", "first"),
    [
        pytest.param([HAS_OTHER, EMPTY], "big", "small", id="no load before a scarce model"),
        pytest.param([EMPTY, LOADS_OTHER], "small", "small", id="fewer loads first"),
        pytest.param([ON_HOST, IN_ENGINE, HAS_OTHER], "big", "big", id="the scarcest of equals"),
        pytest.param([ON_HOST, IN_ENGINE, HAS_OTHER], "small", "small", id="or the other"),
        pytest.param([ON_HOST, IN_ENGINE, HAS_OTHER], "", "big", id="else by name"),
    ],
)
def test_first_group(free, scarce, first):
    view = DomainView("d0", 8, free=free, staging={})
    plans = formation.groups_to_form(
        view,
        collections.Counter(big=1, small=1),
        [SMALL, BIG],
        lambda model: float(model.name == scarce),
    )
    assert plans[0].model.name == first


@pytest.mark.parametrize(
    ("standing", "target", "formed"),
    [
        pytest.param({}, {"small": 2}, 2, id="all that lack"),
        pytest.param({"small": 1}, {"small": 2}, 1, id="less what stands"),
        pytest.param({"small": 3}, {"small": 2}, 0, id="none in plenty"),
        pytest.param({}, {}, 0, id="none without a target"),
        pytest.param({}, {"small": 9}, 4, id="as many as there are endpoints"),
    ],
)
def test_number_of_groups(standing, target, formed):
    view = DomainView(
        "d0", 8, standing=collections.Counter(standing), free=[endpoint(n) for n in "abcd"]
    )
    plans = formation.groups_to_form(view, collections.Counter(target), [SMALL], lambda _: 0)
    assert len(plans) == formed


@pytest.mark.parametrize(
    ("spares", "staging", "loads"),
    [
        pytest.param("a", {}, "a:big", id="the model of the larger groups first"),
        pytest.param("abc", {}, "a:big b:big c:small", id="by spares for each member at risk"),
        pytest.param("ab", {"a": "big"}, "b:big", id="loads under way count"),
        pytest.param("abc", {"a": "big", "b": "big"}, "c:small", id="until there are enough"),
    ],
)
def test_loads_of_spares(spares, staging, loads):
    view = DomainView("d0", 8, staging=staging)
    target = collections.Counter(big=1, small=1)
    plans = formation.models_to_load(
        view, target, [BIG, SMALL], [endpoint(name) for name in spares]
    )
    assert " ".join(f"{plan.endpoint.id}:{plan.model.name}" for plan in plans) == loads
