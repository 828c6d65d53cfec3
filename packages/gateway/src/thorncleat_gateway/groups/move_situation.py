"""What the moves of domains need to know of a service in one plan.

Owns: nothing.
Relies on: :mod:`.planner`, which makes one for each plan.
"""

import collections
import dataclasses
import functools
import typing as t

from ..store.roster import Endpoint
from ..store.roster import GroupState
from ..store.serving import Engine
from ..store.serving import EngineModel
from . import demand
from . import placement
from .demand import ModelDemand
from .demand import Usage
from .formation import MIN_HOLDING_SHARE
from .formation import DomainView
from .formation import Layout
from .formation import LoadPlan
from .model_loader import LOAD_TIMEOUT_FACTOR
from .placement import Move
from .placement import PlacedDomain
from .running_group import RunningGroup


@dataclasses.dataclass(frozen=True)
class Situation:
    """A service as one plan sees it.

    :param hosts: the listed endpoints that may load a model: neither lost nor draining.
    :param groups: the groups that serve or may soon serve.
    :param evacuated: failure domains whose endpoints get no requests.
    """

    service: str
    engine: Engine
    views: t.Mapping[str, DomainView]
    layout: Layout
    hosts: t.Sequence[Endpoint]
    groups: t.Sequence[RunningGroup]
    evacuated: t.Container[str] = ()

    @functools.cached_property
    def _hosts_by_domain(self) -> dict[str, list[Endpoint]]:
        found: dict[str, list[Endpoint]] = collections.defaultdict(list)
        for host in self.hosts:
            found[host.fabric_domain].append(host)
        return found

    def _size(self, domain: str) -> int:
        """Return the largest recent number of endpoints of a domain; 0 if it isn't listed."""
        return self.views[domain].size if domain in self.views else 0

    def usage(self, request_count: t.Callable[[str], int]) -> dict[str, Usage]:
        """Return the usage by model.

        :param request_count: returns the running requests of an endpoint.
        """
        leaders = (
            member
            for group in self.groups
            if group.is_open
            for member in group.members
            if member.is_serving_leader
        )
        return demand.measure(leaders, request_count, self.engine.slots, self.evacuated)

    def placed_domains(self) -> list[PlacedDomain] | None:
        """Return the domains with their models; None if a domain carries several."""
        groups = collections.Counter(
            (group.domain, group.model) for group in self.groups if group.is_open
        )
        result = []
        for view in self.views.values():
            if len(self.layout[view.name]) != 1:
                return None
            (model,) = self.layout[view.name]
            usable = 0 if view.failure_domain in self.evacuated else groups[view.name, model]
            result.append(PlacedDomain(view.name, model, view.size, view.failure_domain, usable))
        return result

    def open_groups(self, move: Move) -> list[RunningGroup]:
        """Return the open groups of the giving model in the moving domain, the oldest first."""
        found = [
            group
            for group in self.groups
            if group.is_open and (group.domain, group.model) == (move.domain, move.giving)
        ]
        return sorted(found, key=lambda group: group.id)

    def closable(self, move: Move, giving: ModelDemand | None) -> int:
        """Return how many groups of the moving domain the giving model can do without now."""
        if giving is None:
            return 0
        elsewhere = sum(
            group.is_open
            and group.model == move.giving
            and group.domain != move.domain
            and self.views[group.domain].failure_domain not in self.evacuated
            for group in self.groups
        )
        in_domain = len(self.open_groups(move))
        return placement.groups_to_close(in_domain, elsewhere, giving, self.engine)

    def load_timeout(self, move: Move) -> float:
        """Return the seconds in which the hosts of a domain load a model, within the rate."""
        model = self.engine.model(move.receiving)
        load = LOAD_TIMEOUT_FACTOR * model.load if model is not None else 0.0
        rate = self.engine.loads_per_second
        return load + self._size(move.domain) / rate if rate > 0 else load

    def have_loaded(self, move: Move, seconds: float) -> bool:
        """Return whether the hosts of a moving domain hold the new model.

        After the timeout of the loads half of the domain's hosts are enough.

        :param seconds: time since the loads began.
        """
        hosts = self._hosts_by_domain.get(move.domain, [])
        holding = sum(move.receiving in host.staged for host in hosts)
        if not holding or holding < MIN_HOLDING_SHARE * self._size(move.domain):
            return False
        return holding == len(hosts) or seconds >= self.load_timeout(move)

    def loads(self, domain: str, model: EngineModel, *, for_move: bool) -> list[LoadPlan]:
        """Return the loads that the hosts of a domain need to hold a model.

        :param for_move: whether all hosts load; else only those of groups of the model, which after
            an abandoned move hold the one that they loaded for it.
        """
        view = self.views.get(domain)
        if view is None:
            return []
        return [
            LoadPlan(host, model)
            for host in self._hosts_by_domain.get(domain, [])
            if model.name not in host.staged
            and host.id not in view.staging
            and (for_move or _serves(host, model.name))
        ]


def _serves(endpoint: Endpoint, model: str) -> bool:
    """Return whether an endpoint is in a group of a model and has finished joining."""
    member = endpoint.membership
    return (
        model in endpoint.models and member is not None and member.state is not GroupState.JOINING
    )
