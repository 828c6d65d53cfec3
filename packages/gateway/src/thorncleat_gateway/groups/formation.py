"""Which endpoints of a fabric domain form which groups, and what their hosts hold in reserve.

Pure decisions. The layout says how many groups of each model a domain should carry; the plan
compares it with what stands there and names the next steps.
"""

import collections
import dataclasses
import typing as t

from ..store.roster import Endpoint
from ..store.serving import EngineModel

# part of a domain's endpoints that is kept free where it carries several models
SPARE_SHARE = 0.2
# domains for each model from which on each domain carries one model
DOMAINS_PER_MODEL = 2
# part of a domain's hosts that hold a model, for the domain to go on carrying it
STAYS = 0.5

Layout = dict[str, collections.Counter[str]]


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

    :param size: endpoints that it has had lately.
    :param standing: groups by model that serve or are being formed.
    :param free: endpoints that may join a group.
    :param weak: endpoints that may, but will probably end soon; they never lead.
    :param holding: hosts by the model that they hold.
    :param staging: model that is being staged, by endpoint id.
    """

    name: str
    size: int
    failure_domain: str = ""
    standing: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    free: list[Endpoint] = dataclasses.field(default_factory=list)
    weak: list[Endpoint] = dataclasses.field(default_factory=list)
    holding: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    staging: t.Mapping[str, str] = dataclasses.field(default_factory=dict)


def layout(views: t.Sequence[DomainView], models: t.Sequence[EngineModel]) -> Layout:
    """Return how many groups of each model each domain should carry.

    Where there are domains enough, each carries one model: then every free endpoint there is
    a spare that holds what the next loss needs.
    """
    useful = [one for one in models if one.share > 0]
    # a domain that has lost most of its endpoints must not change what the others carry
    largest = max((one.size for one in views), default=0)
    roomy = all(one.size <= largest for one in useful)
    if useful and roomy and len(views) >= DOMAINS_PER_MODEL * len(useful):
        chosen = _dedicated(views, useful)
        return {
            view.name: collections.Counter({model.name: view.size // model.size})
            for view, model in chosen
        }
    return _mixed(views, useful)


def _dedicated(
    views: t.Sequence[DomainView], models: t.Sequence[EngineModel]
) -> list[tuple[DomainView, EngineModel]]:
    """Give each domain one model, by the models' shares of all endpoints.

    A domain keeps the model that most of its hosts hold; the others are spread over the
    failure domains.
    """
    total = sum(one.size for one in views)
    shares = sum(one.share for one in models)
    short = {one.name: total * one.share / shares for one in models}
    zones: collections.Counter[tuple[str, str]] = collections.Counter()
    chosen: list[tuple[DomainView, EngineModel]] = []
    left = sorted(views, key=lambda one: (-max(one.holding.values(), default=0), one.name))

    def give(view: DomainView, model: EngineModel) -> None:
        chosen.append((view, model))
        short[model.name] -= view.size
        zones[model.name, view.failure_domain] += 1
        left.remove(view)

    for view in list(left):
        for model in models:
            held = view.holding[model.name] >= STAYS * view.size
            if held and short[model.name] >= view.size / 2:
                give(view, model)
                break
    while left:
        model = max(models, key=lambda one: (short[one.name], one.name))
        name = model.name
        give(min(left, key=lambda one: (zones[name, one.failure_domain], one.name)), model)
    return chosen


def _mixed(views: t.Sequence[DomainView], models: t.Sequence[EngineModel]) -> Layout:
    """Give each domain several models, and keep some of its endpoints as spares.

    Each step goes to the model that has the fewest endpoints for its share over all domains.
    """
    given: collections.Counter[str] = collections.Counter()
    result: Layout = {}
    for view in sorted(views, key=lambda one: one.name):
        counts: collections.Counter[str] = collections.Counter()
        room = view.size - int(view.size * SPARE_SHARE)
        while fitting := [one for one in models if one.size <= room]:
            model = min(
                fitting, key=lambda one: ((given[one.name] + one.size) / one.share, one.name)
            )
            counts[model.name] += 1
            given[model.name] += model.size
            room -= model.size
        result[view.name] = counts
    return result


def _members(model: EngineModel, view: DomainView, free: t.Sequence[Endpoint]) -> list[Endpoint]:
    """Return members for a group, those with the model on their host first.

    Weak ones come before those that would have to load it, and never lead.
    """

    def cost(one: Endpoint) -> tuple[int, str]:
        if model.name in one.staged:
            rank = 0 if model.name in one.models else 1
        elif one.id in view.staging:
            rank = 2 if view.staging[one.id] == model.name else 5
        else:
            rank = 4 if one.staged else 3
        return rank, one.id

    sound = sorted(free, key=cost)
    warm = [one for one in sound if model.name in one.staged]
    cold = [one for one in sound if model.name not in one.staged]
    weak = [one for one in view.weak if model.name in one.staged] if warm else []
    return [*warm, *weak, *cold][: model.size]


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
    rest = dataclasses.replace(view, free=list(view.free), weak=list(view.weak))
    missing = wanted - view.standing
    result: list[Form] = []
    while True:
        options: list[tuple[int, float, str, Form]] = []
        for model in models:
            members = _members(model, rest, rest.free)
            if missing[model.name] <= 0 or len(members) < model.size:
                continue
            form = Form(view.name, model, tuple(members))
            options.append((len(form.cold), -scarcity(model), model.name, form))
        if not options:
            return result
        chosen = min(options, key=lambda one: one[:3])[3]
        result.append(chosen)
        missing[chosen.model.name] -= 1
        used = {one.id for one in chosen.members}
        rest.free = [one for one in rest.free if one.id not in used]
        rest.weak = [one for one in rest.weak if one.id not in used]


def stages(
    view: DomainView,
    wanted: collections.Counter[str],
    models: t.Sequence[EngineModel],
    model_loader: t.Sequence[Endpoint],
) -> list[Stage]:
    """Return what the hosts of spare endpoints should load: the model that lacks a spare most.

    A host that holds a model which this domain carries is left alone.

    :param model_loader: free endpoints that no group of the plan takes.
    """
    used = [one for one in models if wanted[one.name] > 0]
    names = {one.name for one in used}
    holding: collections.Counter[str] = collections.Counter()
    for one in model_loader:
        holding.update(names.intersection(one.staged))
        if one.id in view.staging:
            holding[view.staging[one.id]] += 1
    result: list[Stage] = []
    for one in model_loader:
        if names.intersection(one.staged) or one.id in view.staging or not used:
            continue
        # the larger a model's groups are, the likelier it is to lose a member
        risk = {m.name: m.size * wanted[m.name] for m in used}
        model = min(used, key=lambda m: ((holding[m.name] + 1) / risk[m.name], m.name))
        holding[model.name] += 1
        result.append(Stage(one, model))
    return result
