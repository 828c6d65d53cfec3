"""The rules for which endpoints of a fabric domain form which groups, and what spares load.

Pure. The layout says how many groups of each model a domain should carry; compared with what
stands there, that gives the groups to form and the models to load now. A group takes seconds
if its hosts hold the model, and a load from the weight store takes many times as long; so hosts
that hold the model are what all rules here save.

Owns: no state.
Relies on: :mod:`.planner` for the views of the domains.
"""

import collections
import dataclasses
import enum
import typing as t

from ..store.roster import Endpoint
from ..store.serving import EngineModel

# part of a domain's endpoints that is kept free where it carries several models
MIXED_SPARE_SHARE = 0.2
# domains for each model from which on each domain carries one model
MIN_DOMAINS_PER_MODEL = 2
# part of a domain's hosts that hold a model, for the domain to go on carrying it
MIN_HOLDING_SHARE = 0.5

Layout = dict[str, collections.Counter[str]]
# higher for a model that lacks more groups over all domains
Scarcity = t.Callable[[EngineModel], float]


@dataclasses.dataclass(frozen=True)
class GroupPlan:
    """A group to be formed.

    :param members: the leader first.
    """

    domain: str
    model: EngineModel
    members: tuple[Endpoint, ...]

    @property
    def cold_members(self) -> list[Endpoint]:
        """The members whose hosts have to load the model from the weight store."""
        return [member for member in self.members if self.model.name not in member.staged]


@dataclasses.dataclass(frozen=True)
class LoadPlan:
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
    :param slow: endpoints that may, after all others that hold the model; before those that don't.
    :param holding: hosts by the model that they hold.
    :param staging: model that is being loaded onto the host, by endpoint id.
    """

    name: str
    size: int
    failure_domain: str = ""
    active_groups: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    free: list[Endpoint] = dataclasses.field(default_factory=list)
    expiring: list[Endpoint] = dataclasses.field(default_factory=list)
    slow: list[Endpoint] = dataclasses.field(default_factory=list)
    hosts_by_model: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    staging: t.Mapping[str, str] = dataclasses.field(default_factory=dict)


class _Cost(enum.IntEnum):
    """What it costs to use an endpoint for a model, the least first."""

    ENGINE_HAS_MODEL = 0
    HOST_HAS_MODEL = 1
    HOST_LOADS_MODEL = 2
    HOST_EMPTY = 3
    HOST_HAS_OTHERS = 4
    HOST_LOADS_OTHER = 5


def compute_layout(views: t.Sequence[DomainView], models: t.Sequence[EngineModel]) -> Layout:
    """Return how many groups of each model each domain should carry.

    Where there are domains enough, each carries one model: then every free endpoint there is
    a spare that holds what the next loss needs.
    """
    useful = [model for model in models if model.share > 0]
    # a domain that has lost most of its endpoints must not change what the others carry
    largest = max((view.size for view in views), default=0)
    all_models_fit = all(model.size <= largest for model in useful)
    if useful and all_models_fit and len(views) >= MIN_DOMAINS_PER_MODEL * len(useful):
        return {
            view.name: collections.Counter({model.name: view.size // model.size})
            for view, model in _assign_models(views, useful)
        }
    return _mix_models(views, useful)


def _assign_models(
    views: t.Sequence[DomainView], models: t.Sequence[EngineModel]
) -> list[tuple[DomainView, EngineModel]]:
    """Give each domain one model, by the models' shares of all endpoints.

    A domain keeps the model that most of its hosts hold; the others are spread over the
    failure domains.
    """
    total = sum(view.size for view in views)
    shares = sum(model.share for model in models)
    # endpoints that a model still lacks for its share
    shortfall = {model.name: total * model.share / shares for model in models}
    domains_by_place: collections.Counter[tuple[str, str]] = collections.Counter()
    assigned: list[tuple[DomainView, EngineModel]] = []
    unassigned = sorted(
        views, key=lambda view: (-max(view.hosts_by_model.values(), default=0), view.name)
    )

    def assign(view: DomainView, model: EngineModel) -> None:
        assigned.append((view, model))
        shortfall[model.name] -= view.size
        domains_by_place[model.name, view.failure_domain] += 1
        unassigned.remove(view)

    for view in list(unassigned):
        for model in models:
            keeps = view.hosts_by_model[model.name] >= MIN_HOLDING_SHARE * view.size
            if keeps and shortfall[model.name] >= view.size / 2:
                assign(view, model)
                break
    while unassigned:
        model = max(models, key=lambda model: (shortfall[model.name], model.name))
        name = model.name
        view = min(
            unassigned, key=lambda view: (domains_by_place[name, view.failure_domain], view.name)
        )
        assign(view, model)
    return assigned


def _mix_models(views: t.Sequence[DomainView], models: t.Sequence[EngineModel]) -> Layout:
    """Give each domain several models, and keep some of its endpoints as spares.

    Each step goes to the model that has the fewest endpoints for its share over all domains.
    """
    assigned_endpoints: collections.Counter[str] = collections.Counter()

    def coverage(model: EngineModel) -> tuple[float, str]:
        return (assigned_endpoints[model.name] + model.size) / model.share, model.name

    result: Layout = {}
    for view in sorted(views, key=lambda view: view.name):
        counts: collections.Counter[str] = collections.Counter()
        room = view.size - int(view.size * MIXED_SPARE_SHARE)
        while fitting := [model for model in models if model.size <= room]:
            model = min(fitting, key=coverage)
            counts[model.name] += 1
            assigned_endpoints[model.name] += model.size
            room -= model.size
        result[view.name] = counts
    return result


def _cost(endpoint: Endpoint, model: str, staging: t.Mapping[str, str]) -> _Cost:
    """Return what it costs to use an endpoint for a model.

    :param staging: model that is being loaded onto the host, by endpoint id.
    """
    if model in endpoint.staged:
        return _Cost.ENGINE_HAS_MODEL if model in endpoint.models else _Cost.HOST_HAS_MODEL
    if endpoint.id in staging:
        loads_it = staging[endpoint.id] == model
        return _Cost.HOST_LOADS_MODEL if loads_it else _Cost.HOST_LOADS_OTHER
    return _Cost.HOST_HAS_OTHERS if endpoint.staged else _Cost.HOST_EMPTY


def _choose_members(model: EngineModel, view: DomainView) -> list[Endpoint]:
    """Return members for a group, those with the model on their host first.

    Weak ones come before those that would have to load it, and never lead. Slow ones come last of
    those with the model, and last of those without.
    """
    name = model.name
    free = sorted(view.free, key=lambda free: (_cost(free, name, view.staging), free.id))
    warm = [endpoint for endpoint in free if name in endpoint.staged]
    cold_members = [endpoint for endpoint in free if name not in endpoint.staged]
    expiring = [endpoint for endpoint in view.expiring if name in endpoint.staged] if warm else []
    slow = sorted(view.slow, key=lambda slow: (_cost(slow, name, view.staging), slow.id))
    slow_warm = [endpoint for endpoint in slow if name in endpoint.staged]
    slow_cold = [endpoint for endpoint in slow if name not in endpoint.staged]
    return [*warm, *expiring, *slow_warm, *cold_members, *slow_cold][: model.size]


def groups_to_form(
    view: DomainView,
    target: collections.Counter[str],
    models: t.Sequence[EngineModel],
    scarcity: Scarcity,
) -> list[GroupPlan]:
    """Return the groups to form now in a domain.

    A group whose members all hold the model on their hosts comes first, since it stands in
    seconds; among equals the model that is scarcest.

    :param target: groups by model that the layout gives this domain.
    """
    remaining = dataclasses.replace(
        view, free=list(view.free), expiring=list(view.expiring), slow=list(view.slow)
    )
    missing = target - view.active_groups
    result: list[GroupPlan] = []
    while True:
        options: list[GroupPlan] = []
        for model in models:
            members = _choose_members(model, remaining)
            if missing[model.name] > 0 and len(members) == model.size:
                options.append(GroupPlan(view.name, model, tuple(members)))
        if not options:
            return result
        assigned = min(
            options,
            key=lambda plan: (len(plan.cold_members), -scarcity(plan.model), plan.model.name),
        )
        result.append(assigned)
        missing[assigned.model.name] -= 1
        used = {member.id for member in assigned.members}
        remaining.free = [endpoint for endpoint in remaining.free if endpoint.id not in used]
        remaining.expiring = [
            endpoint for endpoint in remaining.expiring if endpoint.id not in used
        ]
        remaining.slow = [endpoint for endpoint in remaining.slow if endpoint.id not in used]


def models_to_load(
    view: DomainView,
    target: collections.Counter[str],
    models: t.Sequence[EngineModel],
    spares: t.Sequence[Endpoint],
) -> list[LoadPlan]:
    """Return what the hosts of spare endpoints should load: the model that lacks a spare most.

    A host that holds a model which this domain carries is left alone.

    :param target: groups by model that the layout gives this domain.
    :param spares: free endpoints that no group of the plan takes.
    """
    carried = [model for model in models if target[model.name] > 0]
    names = {model.name for model in carried}
    # the larger a model's groups are, the likelier it is to lose a member
    risk = {model.name: model.size * target[model.name] for model in carried}
    hosts_by_model: collections.Counter[str] = collections.Counter()
    for endpoint in spares:
        hosts_by_model.update(names.intersection(endpoint.staged))
        if endpoint.id in view.staging:
            hosts_by_model[view.staging[endpoint.id]] += 1

    def spare_coverage(model: EngineModel) -> tuple[float, str]:
        return (hosts_by_model[model.name] + 1) / risk[model.name], model.name

    result: list[LoadPlan] = []
    for endpoint in spares:
        held = names.intersection(endpoint.staged)
        if held or endpoint.id in view.staging or not carried:
            continue
        model = min(carried, key=spare_coverage)
        hosts_by_model[model.name] += 1
        result.append(LoadPlan(endpoint, model))
    return result
