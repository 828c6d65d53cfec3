"""Choosing the endpoint for a request."""

import random
import typing as t

from ..groups.ended import EndedGroups
from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from ..store.roster import Endpoint
from ..store.serving import Engine
from ..store.view import StoreView

# seconds for which an endpoint that refused or cut a connection is avoided
AVOID_SECONDS = 1.0
# requests for each slot from which on a group is full
FULL = 2.0
# failures of an endpoint weigh less with each answer, by this factor
FORGET = 0.9
FAILURE_WEIGHT = 12.0
# requests by which a choice varies at random, where the others' are known as well as can be
SPREAD = 0.9
# a group that will probably lose a member counts as if it had this many requests more
WEAK_WEIGHT = 4.0


class EndpointSelector:
    """Knows which endpoints can take a request, and chooses the least loaded."""

    def __init__(
        self,
        view: StoreView,
        load_table: LoadTable,
        detector: FailureDetector,
        ended: EndedGroups,
        clock: t.Callable[[], float],
    ) -> None:
        self._view = view
        self._load_table = load_table
        self._detector = detector
        self._ended = ended
        self._clock = clock
        self._avoid: dict[str, float] = {}
        self._failures: dict[str, float] = {}
        self._seen = -1
        self._leaders: dict[tuple[str, str], list[Endpoint]] = {}
        # leaders of groups with a member that is draining or not listed
        self._weak: set[str] = set()

    def avoid(self, endpoint_id: str, seconds: float = AVOID_SECONDS) -> None:
        """Prefer others for some time."""
        self._avoid[endpoint_id] = self._clock() + seconds

    def answered(self, endpoint_id: str, *, well: bool) -> None:
        """Take in how an attempt at an endpoint ended."""
        before = self._failures.get(endpoint_id, 0.0)
        self._failures[endpoint_id] = before * FORGET + (0.0 if well else 1 - FORGET)

    def plain(self, service: str, tried: t.Container[str]) -> Endpoint | None:
        """Return the endpoint of a plain service for a request."""
        listed = self._view.roster.of_service(service)
        return self._best([one for one in listed if not one.draining and one.id not in tried])

    def leader(
        self, service: str, engine: Engine, model: str, tried: t.Container[str]
    ) -> Endpoint | None:
        """Return the leader of the group for a request."""
        leaders = [one for one in self._serving(service, model) if one.id not in tried]
        trusted = [one for one in leaders if not self._detector.suspected(one.id)]
        if not trusted:
            # others may suspect them only because they are cut off themselves
            trusted = [one for one in leaders if not self._detector.suspected_here(one.id)]
        chosen = self._best(trusted)
        if chosen is not None and self._load_table.of(chosen.id) >= FULL * engine.slots:
            return None
        return chosen

    def known(self, service: str, model: str) -> tuple[int, int]:
        """Return how many groups there are for a request, and how many are suspected."""
        leaders = self._serving(service, model)
        return len(leaders), sum(self._detector.suspected(one.id) for one in leaders)

    def others(self, service: str, model: str, but: t.Container[str]) -> bool:
        """Tell whether there is another group for a request."""
        return any(
            one.id not in but and not self._detector.suspected(one.id)
            for one in self._serving(service, model)
        )

    def _serving(self, service: str, model: str) -> list[Endpoint]:
        """Return the leaders of the groups that nobody is ending."""
        self._refresh()
        listed = self._leaders.get((service, model), [])
        return [one for one in listed if one.membership and one.membership.group not in self._ended]

    def _best(self, endpoints: t.Sequence[Endpoint]) -> Endpoint | None:
        now = self._clock()
        sound = [one for one in endpoints if self._avoid.get(one.id, 0.0) <= now] or endpoints
        if not sound:
            return None
        return min(sound, key=self._weight)

    def _weight(self, one: Endpoint) -> float:
        failing = FAILURE_WEIGHT * self._failures.get(one.id, 0.0)
        weak = WEAK_WEIGHT if one.id in self._weak else 0.0
        # daemons that know equally little of each other must not all choose the same
        spread = random.random() * SPREAD * self._load_table.uncertainty
        return self._load_table.of(one.id) + failing + weak + spread

    def _refresh(self) -> None:
        if self._seen == self._view.version:
            return
        self._seen = self._view.version
        self._leaders = {}
        self._weak = set()
        configuration = self._view.configuration
        roster = self._view.roster
        for one in roster.endpoints.values():
            if not one.leads or not one.models or configuration is None:
                continue
            service = configuration.services.get(one.service)
            model = service.engine.model(one.models[0]) if service and service.engine else None
            group = roster.groups[one.membership.group] if one.membership else None
            if model is None or group is None or one.draining:
                continue
            self._leaders.setdefault((one.service, model.name), []).append(one)
            sound = sum(not member.draining for member in group.members.values())
            if sound < model.size:
                self._weak.add(one.id)
