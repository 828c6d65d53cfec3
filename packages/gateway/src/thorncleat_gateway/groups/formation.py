"""Rules for which endpoints of a fabric domain form which groups, and which models spares load.

The rules prefer hosts that hold the model, since a load from the weight store takes far longer than
forming a group.

Owns: no state.
Relies on: :mod:`.planner` for the views of the domains.
"""

import collections
import dataclasses
import enum
import types
import typing as t

from ..store.roster import Endpoint
from ..store.serving import EngineModel

# Share of a domain's endpoints that stays free if the domain carries several models.
MIXED_SPARE_SHARE = 0.2
# Number of domains per model from which each domain carries a single model.
MIN_DOMAINS_PER_MODEL = 2
# Failure domains in which each model has groups where each domain carries a single model, so that
# requests for a model are served while any one failure domain is evacuated or without power.
MIN_FAILURE_DOMAINS = 2
# Share of a domain's hosts that must hold a model for the domain to keep it.
MIN_HOLDING_SHARE = 0.5

Layout = dict[str, collections.Counter[str]]
# Returns the share of a model's groups that is missing over all domains.
Scarcity = t.Callable[[EngineModel], float]


@dataclasses.dataclass(frozen=True)
class GroupPlan:
    """A group to be formed.

    :param members: the members by rank, the leader first.
    """

    domain: str
    model: EngineModel
    members: tuple[Endpoint, ...]

    @property
    def cold_members(self) -> list[Endpoint]:
        """The members whose hosts must load the model from the weight store."""
        return [member for member in self.members if self.model.name not in member.staged]


@dataclasses.dataclass(frozen=True)
class LoadPlan:
    """A model to be loaded onto the host of a spare endpoint."""

    endpoint: Endpoint
    model: EngineModel


@dataclasses.dataclass
class DomainView:
    """The state of one fabric domain, as a plan sees it.

    :param size: largest recent number of endpoints.
    :param active_groups: number of groups that serve or are being formed, by model.
    :param free: endpoints that may lead or join a group.
    :param expiring: endpoints that may join a group but will probably end soon; they never lead.
    :param slow: endpoints that may join a group only after the others that hold the model.
    :param hosts_by_model: number of hosts that hold each model.
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
    """Cost of using an endpoint for a model, from lowest to highest."""

    ENGINE_HAS_MODEL = 0
    HOST_HAS_MODEL = 1
    HOST_LOADS_MODEL = 2
    HOST_EMPTY = 3
    HOST_HAS_OTHERS = 4
    HOST_LOADS_OTHER = 5


def compute_layout(
    views: t.Sequence[DomainView],
    models: t.Sequence[EngineModel],
    placed: t.Mapping[str, str] = types.MappingProxyType({}),
) -> Layout:
    """Return how many groups of each model each domain should carry.

    With enough domains, each carries a single model, so that every free endpoint of a domain can
    replace any lost member there.

    :param placed: the model of each domain that the placement has assigned.
    """
    useful = [model for model in models if model.share > 0]
    # The largest domain decides, so that a loss in one domain doesn't change all the others.
    largest_size = max((view.size for view in views), default=0)
    all_models_fit = all(model.size <= largest_size for model in useful)
    if useful and all_models_fit and len(views) >= MIN_DOMAINS_PER_MODEL * len(useful):
        return {
            view.name: collections.Counter({model.name: view.size // model.size})
            for view, model in _assign_models(views, useful, placed)
        }
    return _mix_models(views, useful)


def _assign_models(
    views: t.Sequence[DomainView],
    models: t.Sequence[EngineModel],
    placed: t.Mapping[str, str],
) -> list[tuple[DomainView, EngineModel]]:
    """Assign one model to each domain, by the models' shares of all endpoints.

    A domain that the placement has assigned keeps its model, whatever its hosts hold. Of the
    others, a domain keeps the model that most of its hosts hold. The remaining domains of a model
    are spread over the failure domains. If this leaves a model in fewer than
    :data:`MIN_FAILURE_DOMAINS` of them, such models are assigned first, also beyond their shares,
    unless all domains hold their models already, whose groups would have to end for it.
    """
    by_share = _Assignment(views, models, placed)
    by_share.assign_all(spread_first=False)
    keeps_all = all(
        placed.get(view.name) == model.name or _holds(view, model)
        for view, model in by_share.assigned
    )
    if keeps_all or not any(map(by_share.missing_failure_domains, models)):
        return by_share.assigned
    spread = _Assignment(views, models, placed)
    spread.assign_all(spread_first=True)
    return spread.assigned


def _holds(view: DomainView, model: EngineModel) -> bool:
    """Return whether enough hosts of a domain hold a model for the domain to keep it."""
    return view.hosts_by_model[model.name] >= MIN_HOLDING_SHARE * view.size


class _Assignment:
    """An assignment of one model to each domain.

    :param placed: the model of each domain that the placement has assigned.
    :ivar assigned: the domains that have a model already, with it.
    """

    def __init__(
        self,
        views: t.Sequence[DomainView],
        models: t.Sequence[EngineModel],
        placed: t.Mapping[str, str],
    ) -> None:
        self._models = models
        self._placed = placed
        total_size = sum(view.size for view in views)
        total_share = sum(model.share for model in models)
        # Number of endpoints that each model still needs to reach its share.
        self._shortfall = {model.name: total_size * model.share / total_share for model in models}
        # Number of domains by model and failure domain.
        self._domain_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._unassigned = sorted(
            views, key=lambda view: (-max(view.hosts_by_model.values(), default=0), view.name)
        )
        self.assigned: list[tuple[DomainView, EngineModel]] = []

    def missing_failure_domains(self, model: EngineModel) -> int:
        """Return in how many further failure domains a model should have domains."""
        found = sum(name == model.name for name, _ in self._domain_counts)
        return max(0, MIN_FAILURE_DOMAINS - found)

    def assign_all(self, *, spread_first: bool) -> None:
        """Assign a model to each domain.

        :param spread_first: whether models in too few failure domains come before those that lack
            the most endpoints.
        """
        by_name = {model.name: model for model in self._models}
        for view in list(self._unassigned):
            if self._placed.get(view.name) in by_name:
                self._assign(view, by_name[self._placed[view.name]])
        for view in list(self._unassigned):
            for model in self._models:
                if self._keeps(view, model):
                    self._assign(view, model)
                    break
        while self._unassigned:
            underspread = [model for model in self._models if self.missing_failure_domains(model)]
            candidates = underspread if spread_first and underspread else self._models
            model = max(candidates, key=lambda model: (self._shortfall[model.name], model.name))
            self._assign(self._choose_domain(model, spread_first=spread_first), model)

    def _keeps(self, view: DomainView, model: EngineModel) -> bool:
        """Return whether a domain keeps a model that its hosts hold.

        A model keeps a domain beyond its share if it is in too few failure domains otherwise, so
        that the next layout doesn't move what this rule assigned.
        """
        is_new = not self._has_domain(model, view.failure_domain)
        is_needed = is_new and self.missing_failure_domains(model) > 0
        is_short = self._shortfall[model.name] >= view.size / 2
        return _holds(view, model) and (is_needed or is_short)

    def _has_domain(self, model: EngineModel, failure_domain: str) -> bool:
        return (model.name, failure_domain) in self._domain_counts

    def _choose_domain(self, model: EngineModel, *, spread_first: bool) -> DomainView:
        return min(
            self._unassigned,
            key=lambda view: (
                self._domain_counts[model.name, view.failure_domain],
                spread_first and self._is_last_for_another(view, model),
                view.name,
            ),
        )

    def _is_last_for_another(self, view: DomainView, model: EngineModel) -> bool:
        """Return whether another model needs this domain to get into a further failure domain."""
        return any(
            all(
                self._has_domain(other, left.failure_domain)
                for left in self._unassigned
                if left is not view
            )
            for other in self._models
            if other is not model and self.missing_failure_domains(other)
        )

    def _assign(self, view: DomainView, model: EngineModel) -> None:
        self.assigned.append((view, model))
        self._shortfall[model.name] -= view.size
        self._domain_counts[model.name, view.failure_domain] += 1
        self._unassigned.remove(view)


def _mix_models(views: t.Sequence[DomainView], models: t.Sequence[EngineModel]) -> Layout:
    """Assign several models to each domain and keep some of its endpoints as spares.

    Each group goes to the model that has the fewest endpoints for its share over all domains.
    """
    assigned_endpoints: collections.Counter[str] = collections.Counter()

    def coverage(model: EngineModel) -> tuple[float, str]:
        return (assigned_endpoints[model.name] + model.size) / model.share, model.name

    result: Layout = {}
    for view in sorted(views, key=lambda view: view.name):
        groups: collections.Counter[str] = collections.Counter()
        capacity = view.size - int(view.size * MIXED_SPARE_SHARE)
        while fitting := [model for model in models if model.size <= capacity]:
            model = min(fitting, key=coverage)
            groups[model.name] += 1
            assigned_endpoints[model.name] += model.size
            capacity -= model.size
        result[view.name] = groups
    return result


def _cost(endpoint: Endpoint, model: str, staging: t.Mapping[str, str]) -> _Cost:
    """Return the cost of using an endpoint for a model.

    :param staging: model that is being loaded onto the host, by endpoint id.
    """
    if model in endpoint.staged:
        return _Cost.ENGINE_HAS_MODEL if model in endpoint.models else _Cost.HOST_HAS_MODEL
    if endpoint.id in staging:
        loads_it = staging[endpoint.id] == model
        return _Cost.HOST_LOADS_MODEL if loads_it else _Cost.HOST_LOADS_OTHER
    return _Cost.HOST_HAS_OTHERS if endpoint.staged else _Cost.HOST_EMPTY


def _choose_members(model: EngineModel, view: DomainView) -> list[Endpoint]:
    """Return members for a group; fewer than the model's size if there aren't enough.

    Endpoints whose host holds the model come first: free ones, expiring ones, slow ones. Expiring
    endpoints join only a group led by a free one that holds the model.
    """
    name = model.name
    free = sorted(view.free, key=lambda spare: (_cost(spare, name, view.staging), spare.id))
    warm = [endpoint for endpoint in free if name in endpoint.staged]
    cold = [endpoint for endpoint in free if name not in endpoint.staged]
    expiring = [endpoint for endpoint in view.expiring if name in endpoint.staged] if warm else []
    slow = sorted(view.slow, key=lambda spare: (_cost(spare, name, view.staging), spare.id))
    slow_warm = [endpoint for endpoint in slow if name in endpoint.staged]
    slow_cold = [endpoint for endpoint in slow if name not in endpoint.staged]
    return [*warm, *expiring, *slow_warm, *cold, *slow_cold][: model.size]


def groups_to_form(
    view: DomainView,
    target: collections.Counter[str],
    models: t.Sequence[EngineModel],
    scarcity: Scarcity,
) -> list[GroupPlan]:
    """Return the groups to form now in a domain.

    Groups with the fewest members that must load the model come first, then those of the scarcest
    model.

    :param target: number of groups by model that the layout assigns to this domain.
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
        plan = min(
            options,
            key=lambda option: (
                len(option.cold_members),
                -scarcity(option.model),
                option.model.name,
            ),
        )
        result.append(plan)
        missing[plan.model.name] -= 1
        used = {member.id for member in plan.members}
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
    """Return the loads to begin on the hosts of spare endpoints.

    Each host loads the model with the fewest spares for its endpoints in groups. A host that holds
    a model of this domain loads nothing.

    :param target: number of groups by model that the layout assigns to this domain.
    :param spares: free endpoints that no planned group uses.
    """
    carried = [model for model in models if target[model.name] > 0]
    names = {model.name for model in carried}
    # Number of endpoints in groups of each model; each of them may need a spare.
    endpoints_at_risk = {model.name: model.size * target[model.name] for model in carried}
    spares_by_model: collections.Counter[str] = collections.Counter()
    for endpoint in spares:
        spares_by_model.update(names.intersection(endpoint.staged))
        if endpoint.id in view.staging:
            spares_by_model[view.staging[endpoint.id]] += 1

    def spare_coverage(model: EngineModel) -> tuple[float, str]:
        return (spares_by_model[model.name] + 1) / endpoints_at_risk[model.name], model.name

    result: list[LoadPlan] = []
    for endpoint in spares:
        held_models = names.intersection(endpoint.staged)
        if held_models or endpoint.id in view.staging or not carried:
            continue
        model = min(carried, key=spare_coverage)
        spares_by_model[model.name] += 1
        result.append(LoadPlan(endpoint, model))
    return result
