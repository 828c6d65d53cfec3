"""The leaders of the groups of each service and model.

Owns: a table of leaders, rebuilt whenever the store's view has changed.
Relies on: :mod:`..store.view` for endpoints and configuration, and :mod:`..groups.ended` for
the groups that are being ended.
"""

from ..groups.ended import EndedGroups
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import Roster
from ..store.serving import EngineModel
from ..store.serving import ServingConfiguration
from ..store.view import StoreView


class GroupLeaders:
    """The leaders of all open groups.

    A group that a member has left stands still, though its leader goes on taking requests.

    :param expiring: ids of the leaders with a member that is draining or not listed.
    """

    def __init__(self, view: StoreView, ended: EndedGroups) -> None:
        self._view = view
        self._ended = ended
        self._version = -1
        self._leaders: dict[tuple[str, str], list[Endpoint]] = {}
        self.expiring: set[str] = set()

    def of(self, service: str, model: str) -> list[Endpoint]:
        """Return the leaders of a model's open groups that aren't being ended."""
        if self._version != self._view.version:
            self._rebuild()
        listed = self._leaders.get((service, model), [])
        return [
            leader
            for leader in listed
            if leader.membership and leader.membership.group not in self._ended
        ]

    def _rebuild(self) -> None:
        self._version = self._view.version
        self._leaders = {}
        self.expiring = set()
        configuration, roster = self._view.configuration, self._view.roster
        if configuration is None:
            return
        standing_still = roster.left_groups
        for endpoint in roster.endpoints.values():
            # Most endpoints are skipped early, since this runs at each change of the store.
            if not endpoint.is_serving_leader or _group_of(endpoint) in standing_still:
                continue
            model = _led_model(configuration, endpoint)
            if model is None:
                continue
            self._leaders.setdefault((endpoint.service, model.name), []).append(endpoint)
            if _is_expiring(roster, endpoint, model):
                self.expiring.add(endpoint.id)


def _group_of(leader: Endpoint) -> GroupId | None:
    return leader.membership.group if leader.membership is not None else None


def _led_model(configuration: ServingConfiguration, leader: Endpoint) -> EngineModel | None:
    """Return the model of a leader's group; None if the group takes no requests."""
    if not leader.models or leader.draining:
        return None
    service = configuration.services.get(leader.service)
    return service.engine.model(leader.models[0]) if service and service.engine else None


def _is_expiring(roster: Roster, leader: Endpoint, model: EngineModel) -> bool:
    """Return whether a group has fewer listed members that aren't draining than its model needs."""
    assert leader.membership is not None
    members = roster.groups[leader.membership.group].members.values()
    return sum(not member.draining for member in members) < model.size
