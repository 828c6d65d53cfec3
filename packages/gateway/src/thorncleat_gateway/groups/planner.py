"""Compares the present groups with the layout and starts the next steps.

Each plan is made from the list, where members name their groups, the sizes of the domains, and the
work under way in the term.

Owns: which groups are being ended because of slow members.
Relies on: :mod:`.formation` for layout, groups and loads; :mod:`.group_inspector` for the groups
that serve.
"""

import collections
import typing as t

from ..store.evacuated_domains import evacuated_domains
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.serving import Engine
from ..store.serving import EngineModel
from ..store.serving import ServingConfiguration
from ..store.view import StoreView
from . import formation
from .domain_sizes import DomainSizes
from .formation import DomainView
from .formation import LoadPlan
from .group_health import EndReason
from .group_inspector import GroupInspector
from .move_situation import Situation
from .running_group import RunningGroup
from .slow_endpoints import SlowGroup
from .slow_endpoints import groups_to_replace
from .spare_warming import spares_to_warm
from .term import Term

Views = dict[str, DomainView]


class Planner:
    """Plans the groups and loads of one term and starts them.

    :param before_requests: returns whether no caller has sent a request yet since the system's
        first start.
    """

    def __init__(
        self,
        view: StoreView,
        sizes: DomainSizes,
        term: Term,
        inspector: GroupInspector,
        before_requests: t.Callable[[], bool],
    ) -> None:
        self._view = view
        self._sizes = sizes
        self._before_requests = before_requests
        # Groups that are being ended because of slow members, by domain.
        self._groups_being_replaced: dict[str, set[GroupId]] = collections.defaultdict(set)
        self.term = term
        self.inspector = inspector

    def plan(self, configuration: ServingConfiguration) -> None:
        """Plan for all services that have engines and start the steps that are needed."""
        self.term.ending.broadcast()
        self.term.unlisted.watch_removed()
        for service in configuration.services.values():
            if service.engine is not None:
                can_migrate = _can_migrate(configuration, service.name)
                self._plan_service(service.name, service.engine, can_migrate=can_migrate)
        self.term.lost.discard_unlisted()

    def _plan_service(self, service: str, engine: Engine, *, can_migrate: bool) -> None:
        """Plan for one service.

        :param can_migrate: whether all its streams can resume on another group.
        """
        self.term.recent_members.refresh(service, engine)
        endpoints = self._view.roster.of_service(service)
        views = self._domain_views(service, endpoints)
        groups = self._collect_active_groups(service, engine, views)
        slow_groups = _slow_groups(groups)
        self._add_available(service, endpoints, views)
        moves = self.term.moves
        placed = moves.placed(service)
        layout = formation.compute_layout(list(views.values()), engine.models, placed)
        hosts = [
            endpoint
            for endpoint in endpoints
            if not endpoint.draining and endpoint not in self.term.lost
        ]
        evacuated = evacuated_domains(self._view.records)
        situation = Situation(service, engine, views, layout, hosts, groups, evacuated)
        has_choice = len(engine.models) > 1
        if has_choice:
            moves.advance(situation)
        scarcity = _scarcity(views, layout)
        for view in sorted(views.values(), key=lambda view: view.name):
            if self._is_replacing(view.name):
                continue
            target = moves.target(service, view.name, layout[view.name])
            spares = self._plan_domain(view, target, engine, scarcity)
            if can_migrate and not moves.is_moving(service, view.name):
                self._replace_slow(view, slow_groups[view.name], spares, engine)
        # Last, since groups that were lost need their loads more.
        for load in moves.loads(situation) if has_choice else ():
            if self._reserve_load(engine):
                self.term.loader.load(load)

    def _domain_views(self, service: str, endpoints: t.Sequence[Endpoint]) -> Views:
        """Return a view of each domain, with the models that its hosts hold."""
        staging = self.term.loader.staging()
        present = {endpoint.fabric_domain for endpoint in endpoints}
        views = {
            recorded.domain: DomainView(
                recorded.domain, recorded.size, recorded.failure_domain, staging=staging
            )
            for recorded in self._sizes.of_service(service, present)
        }
        for endpoint in endpoints:
            views[endpoint.fabric_domain].hosts_by_model.update(endpoint.staged)
        return views

    def _collect_active_groups(
        self, service: str, engine: Engine, views: Views
    ) -> list[RunningGroup]:
        """Count the groups that serve or are being formed, and end the unhealthy ones.

        :returns: the healthy groups that aren't being formed.
        """
        for group_id, plan in self.term.forming_state.under_way.items():
            if group_id not in self.term.ending and plan.domain in views:
                views[plan.domain].active_groups[plan.model.name] += 1
        groups = self.inspector.inspect(service, engine)
        for group in groups:
            views[group.domain].active_groups[group.model] += 1
        return groups

    def _add_available(self, service: str, endpoints: t.Sequence[Endpoint], views: Views) -> None:
        """Add the endpoints that may join a group to the views of their domains."""
        for endpoint in endpoints:
            if self._is_available(endpoint):
                self._add_listed(endpoint, views[endpoint.fabric_domain])
        for endpoint in self.term.unlisted.of_service(service):
            if endpoint.fabric_domain in views and self._is_available(endpoint):
                views[endpoint.fabric_domain].expiring.append(endpoint)

    def _add_listed(self, endpoint: Endpoint, view: DomainView) -> None:
        if endpoint in self.term.slow:
            view.slow.append(endpoint)
        elif endpoint.draining:
            view.expiring.append(endpoint)
        else:
            view.free.append(endpoint)

    def _is_available(self, endpoint: Endpoint) -> bool:
        term = self.term
        if endpoint in term.lost or endpoint in term.separator:
            return False
        if not term.forming_state.is_available(endpoint.id):
            return False
        member = term.orders.listed_membership(endpoint)
        if member is not None:
            return term.records.is_over(member.group)
        return endpoint not in term.recent_members

    def _plan_domain(
        self,
        view: DomainView,
        target: collections.Counter[str],
        engine: Engine,
        scarcity: formation.Scarcity,
    ) -> list[Endpoint]:
        """Start the groups and loads that a domain lacks.

        :param target: number of groups by model that the layout assigns to this domain.
        :returns: the free endpoints that no planned group uses.
        """
        if self.term.forming_state.is_paused(view.name):
            return []
        used: set[str] = set()
        for plan in formation.groups_to_form(view, target, engine.models, scarcity):
            used.update(member.id for member in plan.members)
            if not plan.cold_members or self._before_requests():
                self.term.forming.form(plan)
                continue
            # Hosts load before their group is formed, so that its other members stay available.
            for member in plan.cold_members:
                if member.id not in view.staging and self._reserve_load(engine):
                    self.term.loader.load(LoadPlan(member, plan.model))
        spares = [endpoint for endpoint in view.free if endpoint.id not in used]
        for load in formation.models_to_load(view, target, engine.models, spares):
            if self._reserve_load(engine):
                self.term.loader.load(load)
        carried = [model for model in engine.models if target[model.name] > 0]
        for spare, model in spares_to_warm(spares, carried):
            self.term.warming.warm(spare, model)
        return spares

    def _replace_slow(
        self,
        view: DomainView,
        groups: t.Sequence[SlowGroup],
        spares: t.Sequence[Endpoint],
        engine: Engine,
    ) -> None:
        """End groups with slow members where a group without them can replace one."""
        for model in engine.models:
            of_model = [group for group in groups if group.model == model.name]
            for group in groups_to_replace(of_model, spares, model):
                self._groups_being_replaced[view.name].add(group.id)
                self.term.ending.end(group.id, EndReason.MEMBER_SLOW, group.members)
            if self._groups_being_replaced[view.name]:
                # All models share the spares, so only one model's groups are replaced at a time.
                return

    def _is_replacing(self, domain: str) -> bool:
        """Return whether groups of a domain are being ended because of slow members.

        A group formed before all of them have ended would include slow endpoints again.
        """
        replaced = self._groups_being_replaced[domain]
        replaced.intersection_update(group for group in replaced if group in self.term.ending)
        return bool(replaced)

    def _reserve_load(self, engine: Engine) -> bool:
        """Return whether a load may begin, and reserve it; unlimited before the first request."""
        return self._before_requests() or self.term.loader.reserve_load(engine)


def _can_migrate(configuration: ServingConfiguration, service: str) -> bool:
    """Return whether all streams of a service can resume on another group."""
    routes = (
        route
        for route in configuration.routes
        if any(split.service == service for split in route.splits)
    )
    return all(route.resumable for route in routes)


def _slow_groups(groups: t.Iterable[RunningGroup]) -> t.Mapping[str, list[SlowGroup]]:
    """Return the groups with slow members, by domain."""
    slow_groups: dict[str, list[SlowGroup]] = collections.defaultdict(list)
    for group in groups:
        if group.slow_group is not None:
            slow_groups[group.domain].append(group.slow_group)
    return slow_groups


def _scarcity(views: Views, layout: formation.Layout) -> formation.Scarcity:
    """Return a function that gives the missing share of a model's groups over all domains."""
    active = sum((view.active_groups for view in views.values()), collections.Counter[str]())
    target = sum(layout.values(), collections.Counter[str]())

    def scarcity(model: EngineModel) -> float:
        return 1 - active[model.name] / max(1, target[model.name])

    return scarcity
