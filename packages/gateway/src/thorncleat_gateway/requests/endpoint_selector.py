"""Which endpoint gets a request: of those that can take it, the one with the least weight.

Owns: how often each endpoint failed lately, and which are avoided for a while.
Relies on: :mod:`.group_leaders` and the roster for those there are, :mod:`.endpoint_notices` for
those that want no requests, :mod:`.endpoint_limits` for those that take few from all daemons
together, :mod:`..peers.load_table` for the requests that they have, and
:mod:`..peers.failure_detector` for those that are suspected.
"""

import random
import typing as t

from ..groups.ended import EndedGroups
from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from ..store.roster import Endpoint
from ..store.roster import Life
from ..store.serving import Engine
from ..store.view import StoreView
from . import placement
from .endpoint_limits import EndpointLimits
from .endpoint_notices import EndpointNotices
from .group_leaders import GroupLeaders

# for which an endpoint that refused a connection, or a group that answered with a failure, is
# avoided at first
AVOID_SECONDS = 1.0
# by which that grows each time it fails again before an answer
AVOID_GROWTH = 2.0
# up to which it grows
MAX_AVOID_SECONDS = 8.0
# requests for each slot from which on a group is full
MAX_REQUESTS_PER_SLOT = 2.0
# failures of an endpoint weigh less with each answer, by this factor
FAILURE_DECAY = 0.9
# weights are in requests under way: that of an endpoint which failed all requests lately
FAILURE_WEIGHT = 12.0
# requests that an endpoint of a plain service runs at once: only the endpoint itself knows
UNKNOWN_CAPACITY = float("inf")
# by which a choice varies at random
SPREAD = 0.9
# of a group that will probably lose a member
WEAK_WEIGHT = 4.0
# of an endpoint in another failure domain: its way is longer, and bytes between failure domains
# cost
FAR_WEIGHT = 2.0


class _Avoided(t.NamedTuple):
    """An endpoint that is avoided.

    :param until: when it is tried again, in seconds on the gateway's clock.
    :param seconds: for which it is avoided.
    """

    until: float
    seconds: float


class GroupCount(t.NamedTuple):
    """How many groups there are for a request, and how many of them get none.

    :param paused: that take none of this daemon now.
    """

    open: int
    suspected: int
    paused: int


class EndpointSelector:
    """Knows which endpoints can take a request, and chooses the least loaded.

    :param failure_domain: of this daemon.
    """

    def __init__(
        self,
        view: StoreView,
        load_table: LoadTable,
        detector: FailureDetector,
        ended: EndedGroups,
        notices: EndpointNotices,
        limits: EndpointLimits,
        clock: t.Callable[[], float],
        failure_domain: str,
    ) -> None:
        self._failure_domain = failure_domain
        self._notices = notices
        self._limits = limits
        self._view = view
        self._load_table = load_table
        self._detector = detector
        self._clock = clock
        self._leaders = GroupLeaders(view, ended)
        self._avoided: dict[Life, _Avoided] = {}
        self._failures: dict[Life, float] = {}

    def avoid(self, endpoint: Endpoint) -> None:
        """Prefer others for some time, for longer if it failed when it was tried again."""
        now, seconds = self._clock(), AVOID_SECONDS
        before = self._avoided.get(endpoint.life)
        if before is not None:
            tried_again = now >= before.until
            growth = AVOID_GROWTH if tried_again else 1.0
            seconds = min(before.seconds * growth, MAX_AVOID_SECONDS)
        self._avoided[endpoint.life] = _Avoided(now + seconds, seconds)

    def _is_avoided(self, endpoint: Endpoint) -> bool:
        avoided = self._avoided.get(endpoint.life)
        return avoided is not None and self._clock() < avoided.until

    def record_result(self, endpoint: Endpoint, *, succeeded: bool) -> None:
        """Note how an attempt at an endpoint ended."""
        if succeeded:
            self._avoided.pop(endpoint.life, None)
        before = self._failures.get(endpoint.life, 0.0)
        self._failures[endpoint.life] = before * FAILURE_DECAY + (
            0.0 if succeeded else 1 - FAILURE_DECAY
        )

    def choose_endpoint(self, service: str, tried: t.Container[str]) -> Endpoint | None:
        """Return the endpoint of a plain service for a request, or None if there is none."""
        usable = [one for one in self.endpoints(service) if one.id not in tried]
        return self._choose_least_loaded(usable, UNKNOWN_CAPACITY)

    def endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a plain service that take requests."""
        return self._accepting(self._serving(service))

    def _serving(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a plain service that take requests now or after a pause."""
        return [one for one in self._view.roster.of_service(service) if not one.draining]

    def leaders(self, service: str, model: str) -> list[Endpoint]:
        """Return the leaders of the open groups of a model that take requests."""
        return self._accepting(self._leaders.of(service, model))

    def _accepting(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return those of some endpoints that take requests of this daemon now."""
        return self._limits.available(self._notices.accepting(endpoints))

    def pause_left(self, service: str, model: str | None) -> float:
        """Return the seconds until an endpoint takes requests that takes none now.

        Of those that take few from all daemons together, it is the time between two requests that
        any daemon sends to any of them, since the caller may come back at another one.

        :param model: of a group; None for a plain service.
        :returns: 0 if each takes some.
        """
        found = self._serving(service) if model is None else self._leaders.of(service, model)
        pauses = [pause for pause in map(self._notices.pause_left, found) if pause]
        rate = sum(map(self._limits.fleet_rate, self._notices.accepting(found)))
        if rate:
            pauses.append(1 / rate)
        return min(pauses, default=0.0)

    def choose_leader(
        self,
        service: str,
        engine: Engine,
        model: str,
        tried: t.Container[str],
        *,
        randomize: bool = False,
    ) -> Endpoint | None:
        """Return the leader of the group for a request, or None if no group can take it.

        Groups that are suspected get none, by whomever they are, and one on trial gets one
        request at a time; if there is no other, those that only other daemons suspect are used,
        since these may be cut off themselves.

        :param apart: whether to draw any group with room, in place of the one that others would
            choose as well.
        """
        leaders = [leader for leader in self.leaders(service, model) if leader.id not in tried]
        trusted = [leader for leader in leaders if self._is_usable(leader)]
        if not trusted:
            trusted = [leader for leader in leaders if not self._detector.suspected_here(leader)]
        drawn = self._choose_random_with_capacity(trusted, engine.slots) if randomize else None
        if drawn is not None:
            return drawn
        chosen = self._choose_least_loaded(trusted, engine.slots)
        if (
            chosen is not None
            and self._load_table.of(chosen.id) >= MAX_REQUESTS_PER_SLOT * engine.slots
        ):
            return None
        return chosen

    def _choose_random_with_capacity(
        self, leaders: t.Iterable[Endpoint], slots: int
    ) -> Endpoint | None:
        """Return one of the leaders with room, at random; None if there is none."""
        usable = [
            leader
            for leader in leaders
            if not self._is_avoided(leader) and self._load_table.of(leader.id) < slots
        ]
        return random.choice(usable) if usable else None

    def _is_usable(self, leader: Endpoint) -> bool:
        if self._detector.on_trial(leader):
            return leader.id not in self._load_table.own
        return not self._detector.suspected(leader)

    def count_groups(self, service: str, model: str) -> GroupCount:
        """Return how many groups there are for a request, and how many of them get none."""
        leaders = self._leaders.of(service, model)
        suspected = sum(self._detector.suspected(leader) for leader in leaders)
        paused = len(leaders) - len(self._accepting(leaders))
        return GroupCount(len(leaders), suspected, paused)

    def has_other_group(self, service: str, model: str, tried: t.Container[str]) -> bool:
        """Return whether there is another group for a request, which nobody doubts."""
        return any(
            leader.id not in tried and not self._is_doubtful(leader)
            for leader in self.leaders(service, model)
        )

    def _is_doubtful(self, leader: Endpoint) -> bool:
        """Return whether a leader's group was suspected, and has not been heard since."""
        return self._detector.suspected(leader) or self._detector.on_trial(leader)

    def _choose_least_loaded(
        self, endpoints: t.Sequence[Endpoint], places: float
    ) -> Endpoint | None:
        """Return the endpoint with the least weight, of those not avoided if there are any.

        :param places: requests that an endpoint runs at once.
        """
        usable = [endpoint for endpoint in endpoints if not self._is_avoided(endpoint)] or endpoints
        if not usable:
            return None
        if not self._load_table.knows_each_daemon:
            drawn = placement.draw(
                usable,
                self._failure_domain,
                lambda endpoint: self._load_table.of(endpoint.id) >= places,
            )
            # few daemons may use those that take few requests, so each looks at them each time:
            # else most of what they take goes unused
            usable = drawn + [one for one in usable if self._limits.is_limited(one)]
        return min(usable, key=self._weight)

    def _weight(self, endpoint: Endpoint) -> float:
        failing = FAILURE_WEIGHT * self._failures.get(endpoint.life, 0.0)
        weak = WEAK_WEIGHT if endpoint.id in self._leaders.expiring else 0.0
        far = FAR_WEIGHT if endpoint.failure_domain != self._failure_domain else 0.0
        # daemons that know equally little of each other must not all choose the same
        spread = random.random() * SPREAD
        return self._load_table.of(endpoint.id) + failing + weak + far + spread
