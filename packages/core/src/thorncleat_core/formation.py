"""Which endpoints of a fabric domain form which groups, and what their hosts hold in reserve.

Pure decisions. The layout says how many groups of each model a domain should carry; the plan
compares it with what stands there and names the next steps.
"""

import collections
import dataclasses
import typing as t

from .roster import Endpoint
from .serving import EngineModel

# part of a domain's endpoints that is kept free, to replace lost members
SPARE_SHARE = 0.2


@dataclasses.dataclass(frozen=True)
class Form:
    """A group to be formed.

    :param members: the leader first.
    """

    domain: str
    model: EngineModel
    members: tuple[Endpoint, ...]

    @property
    def cold(self) -> list[Endpoint]:
        """The members whose hosts have to load the model from the weight store."""
        return [one for one in self.members if self.model.name not in one.staged]


@dataclasses.dataclass(frozen=True)
class Stage:
    """A model to be loaded onto the host of a spare endpoint."""

    endpoint: Endpoint
    model: EngineModel


@dataclasses.dataclass
class DomainView:
    """What is known of one fabric domain.

    :param size: endpoints that it has had at most.
    :param standing: groups by model that serve or are being formed.
    :param free: endpoints that may join a group.
    :param staging: model that is being staged, by endpoint id.
    """

    name: str
    size: int
    standing: collections.Counter[str]
    free: list[Endpoint]
    staging: t.Mapping[str, str] = dataclasses.field(default_factory=dict)


# a model that lacks this part of its groups may take endpoints of one that lacks little
LACKING = 0.5
PLENTY = 0.25

Layout = dict[str, collections.Counter[str]]


def layout(sizes: t.Mapping[str, int], models: t.Sequence[EngineModel]) -> Layout:
    """Return how many groups of each model each domain should carry.

    Domains are filled one after the other; each step goes to the model that has the fewest
    endpoints for its share over all domains.

    :param sizes: endpoints by domain.
    """
    given: collections.Counter[str] = collections.Counter()
    result: Layout = {}
    for domain in sorted(sizes):
        result[domain] = collections.Counter()
        room = sizes[domain] - int(sizes[domain] * SPARE_SHARE)
        while True:
            fitting = [one for one in models if one.size <= room and one.share > 0]
            if not fitting:
                break
            chosen = min(
                fitting, key=lambda one: ((given[one.name] + one.size) / one.share, one.name)
            )
            result[domain][chosen.name] += 1
            given[chosen.name] += chosen.size
            room -= chosen.size
    return result


def _take_warm(
    model: EngineModel, free: list[Endpoint], staging: t.Mapping[str, str]
) -> list[Endpoint]:
    """Return members for a group, those with the model on their host first."""

    def cost(one: Endpoint) -> tuple[int, str]:
        if model.name in one.staged:
            rank = 0 if model.name in one.models else 1
        elif one.id in staging:
            rank = 2 if staging[one.id] == model.name else 5
        else:
            rank = 4 if one.staged else 3
        return rank, one.id

    return sorted(free, key=cost)[: model.size]


def forms(
    view: DomainView,
    wanted: collections.Counter[str],
    models: t.Sequence[EngineModel],
    scarcity: t.Callable[[EngineModel], float],
) -> list[Form]:
    """Return the groups to form now in a domain.

    A group whose members all hold the model on their hosts comes first, since it stands in
    seconds; among equals the model that is scarcest.

    :param wanted: groups by model that the layout gives this domain.
    :param scarcity: higher for a model that lacks more groups over all domains.
    """
    free = list(view.free)
    missing = wanted - view.standing
    result: list[Form] = []
    while True:
        options: list[tuple[int, float, str, Form]] = []
        for model in models:
            if missing[model.name] <= 0 or model.size > len(free):
                continue
            form = Form(view.name, model, tuple(_take_warm(model, free, view.staging)))
            options.append((len(form.cold), -scarcity(model), model.name, form))
        if not options:
            return result
        chosen = min(options, key=lambda one: one[:3])[3]
        result.append(chosen)
        missing[chosen.model.name] -= 1
        used = {one.id for one in chosen.members}
        free = [one for one in free if one.id not in used]


def stages(
    view: DomainView,
    wanted: collections.Counter[str],
    models: t.Sequence[EngineModel],
    spares: t.Sequence[Endpoint],
) -> list[Stage]:
    """Return what the hosts of spare endpoints should load: the model that lacks a spare most.

    A host that holds a model already is left alone.

    :param spares: free endpoints that no group of the plan takes.
    """
    holding: collections.Counter[str] = collections.Counter()
    for one in spares:
        holding.update(one.staged)
        if one.id in view.staging:
            holding[view.staging[one.id]] += 1
    result: list[Stage] = []
    used = [one for one in models if wanted[one.name] > 0]
    for one in spares:
        if one.staged or one.id in view.staging or not used:
            continue
        # the larger a model's groups are, the likelier it is to lose a member
        risk = {m.name: m.size * wanted[m.name] for m in used}
        model = min(used, key=lambda m: ((holding[m.name] + 1) / risk[m.name], m.name))
        holding[model.name] += 1
        result.append(Stage(one, model))
    return result


def donor(
    views: t.Sequence[DomainView],
    wanted: Layout,
    models: t.Sequence[EngineModel],
    scarcity: t.Callable[[EngineModel], float],
) -> tuple[str, str] | None:
    """Return a domain and the model of which one group there should give its endpoints.

    They go to a model that lacks half of its groups or more over all domains, in a domain
    where its group can't be formed of the free endpoints alone.
    """
    lacking = [one for one in models if scarcity(one) >= LACKING]
    giving = [one for one in models if scarcity(one) <= PLENTY]
    for needy in lacking:
        for view in sorted(views, key=lambda one: -len(one.free)):
            short = needy.size - len(view.free)
            if short <= 0 or wanted[view.name][needy.name] <= view.standing[needy.name]:
                continue
            for other in giving:
                if view.standing[other.name] > 0 and other.size >= short:
                    return view.name, other.name
    return None
