"""Selects the endpoint for a request: the one with the least weight that accepts requests.

Owns: the recent failures of each endpoint, and which endpoints are avoided for a while.
Relies on: :mod:`.group_leaders` and the roster for the endpoints, :mod:`.endpoint_notices` for
those that pause, :mod:`.evacuations` for those that get no requests at all,
:mod:`.endpoint_limits` for rate limits, :mod:`..peers.load_table` for the running requests, and
:mod:`..peers.failure_detector` for suspected groups.
"""

import dataclasses
import math
import random
import typing as t

from ..groups.ended import EndedGroups
from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from ..store.serving import Engine
from ..store.view import StoreView
from . import placement
from . import timed_selection
from .capacity_estimate import CapacityEstimate
from .endpoint_limits import EndpointLimits
from .endpoint_notices import EndpointNotices
from .evacuations import Evacuations
from .expected_time import Work
from .first_event_offsets import ExpectedTime
from .group_leaders import GroupLeaders
from .group_times import GroupTimes
from .group_times import WorkTimes
from .timed_selection import Candidate
from .timed_selection import LoadBounds

# How long an endpoint is avoided after the first refused connection or, for a group, failed answer.
AVOID_SECONDS = 1.0
# Factor by which :data:`AVOID_SECONDS` grows with each failed retry.
AVOID_GROWTH = 2.0
MAX_AVOID_SECONDS = 8.0
# Requests for each slot at which a group counts as full.
MAX_REQUESTS_PER_SLOT = 2.0
# Factor by which each result reduces the weight of earlier failures.
FAILURE_DECAY = 0.9
# Weight, in running requests, of an endpoint that failed all recent requests.
FAILURE_WEIGHT = 12.0
# Concurrent requests of a plain service's endpoint, which doesn't publish its capacity.
UNKNOWN_CAPACITY = math.inf
# Upper bound of the random part of a weight.
SPREAD = 0.9
# Weight of an expiring group: a member is draining or not listed.
WEAK_WEIGHT = 4.0
# Weight of an endpoint in another failure domain, for the latency and the cost of the traffic.
FAR_WEIGHT = 2.0

# How long a group counts as one that answers after its latest contact: some intervals between the
# events of a stream, and between the load reports within a failure domain.
RECENT_CONTACT_SECONDS = 0.5
# How long a group counts as one that goes on after this daemon itself heard it: some intervals
# between the events of a stream. It is shorter than the silence for which streams leave a group, so
# that none goes to a group that fell silent at the same time.
OWN_CONTACT_SECONDS = 0.2


class _Avoided(t.NamedTuple):
    """The period in which an endpoint is avoided.

    :param until: end of the period, on the gateway's clock.
    :param seconds: length of the period.
    """

    until: float
    seconds: float


class GroupCount(t.NamedTuple):
    """The number of a model's open groups, and how many of them are suspected or paused.

    Groups in evacuated failure domains count as neither suspected nor paused.

    :param paused_groups: groups that pause or are at their rate limit; some may also be suspected.
    """

    open_groups: int
    suspected_groups: int
    paused_groups: int


class EndpointSelector:
    """Chooses the least loaded endpoint among those that accept a request.

    :param failure_domain: of this daemon.
    :param times: estimates of the groups' answers, under overload control; None for a choice by the
        number of running requests.
    :param evacuations: None to ignore evacuations.
    :param has_connection: returns whether this daemon keeps an idle connection to an endpoint.
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
        times: GroupTimes | None = None,
        evacuations: Evacuations | None = None,
        has_connection: t.Callable[[Endpoint], bool] = lambda _: False,
    ) -> None:
        self._has_connection = has_connection
        self._times = times
        self._evacuations = evacuations
        self._failure_domain = failure_domain
        self._notices = notices
        self._limits = limits
        self._view = view
        self._load_table = load_table
        self._detector = detector
        self._clock = clock
        self._leaders = GroupLeaders(view, ended)
        self._avoided: dict[Incarnation, _Avoided] = {}
        self._failures: dict[Incarnation, float] = {}

    def avoid(self, endpoint: Endpoint) -> None:
        """Prefer other endpoints for some time, for longer after each failed retry."""
        now, seconds = self._clock(), AVOID_SECONDS
        before = self._avoided.get(endpoint.incarnation)
        if before is not None:
            was_retried = now >= before.until
            growth = AVOID_GROWTH if was_retried else 1.0
            seconds = min(before.seconds * growth, MAX_AVOID_SECONDS)
        self._avoided[endpoint.incarnation] = _Avoided(now + seconds, seconds)

    def _is_avoided(self, endpoint: Endpoint) -> bool:
        avoided = self._avoided.get(endpoint.incarnation)
        return avoided is not None and self._clock() < avoided.until

    def _reliable(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that aren't avoided, or all if there are no others."""
        # Fast path, since this runs for every choice of an endpoint.
        if not self._avoided:
            return endpoints
        return [endpoint for endpoint in endpoints if not self._is_avoided(endpoint)] or endpoints

    def record_result(self, endpoint: Endpoint, *, succeeded: bool) -> None:
        """Record whether an attempt at an endpoint succeeded."""
        if succeeded:
            self._avoided.pop(endpoint.incarnation, None)
        # A moving average: 0 if all recent attempts succeeded, 1 if all failed.
        before = self._failures.get(endpoint.incarnation, 0.0)
        self._failures[endpoint.incarnation] = before * FAILURE_DECAY + (
            0.0 if succeeded else 1 - FAILURE_DECAY
        )

    def choose_endpoint(self, service: str, tried: t.Container[str]) -> Endpoint | None:
        """Return the endpoint of a plain service for a request, or None if there is none."""
        usable = [endpoint for endpoint in self.endpoints(service) if endpoint.id not in tried]
        if self._times is not None:
            reliable = self._reliable(usable)
            usable = [endpoint for endpoint in reliable if self._free_slots(endpoint)] or reliable
        return self._choose_least_loaded(usable, UNKNOWN_CAPACITY)

    def endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a plain service that accept requests now."""
        return self._accepting(self._serving(service))

    def _serving(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a plain service that accept requests now or after a pause."""
        return [
            endpoint for endpoint in self._view.roster.of_service(service) if not endpoint.draining
        ]

    def leaders(self, service: str, model: str) -> list[Endpoint]:
        """Return the leaders of a model's open groups that accept requests now."""
        return self._accepting(self._leaders.of(service, model))

    def _accepting(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that accept requests of this daemon now."""
        return self._limits.available(self._notices.accepting(self._not_evacuated(endpoints)))

    def _not_evacuated(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        return endpoints if self._evacuations is None else self._evacuations.accepting(endpoints)

    def evacuated_count(self, service: str, model: str | None) -> int:
        """Return the number of endpoints that are left out for an evacuation.

        :param model: the model of the groups; None for a plain service.
        """
        found = self._found(service, model)
        return len(found) - len(self._not_evacuated(found))

    def are_all_evacuated(self, service: str, model: str | None) -> bool:
        """Return whether there are endpoints, and all are left out for an evacuation.

        :param model: the model of the groups; None for a plain service.
        """
        found = self._found(service, model)
        return bool(found) and not self._not_evacuated(found)

    def _found(self, service: str, model: str | None) -> list[Endpoint]:
        """Return the endpoints that accept requests now, or after a pause or an evacuation."""
        return self._serving(service) if model is None else self._leaders.of(service, model)

    def pause_left(self, service: str, model: str | None) -> float:
        """Return the seconds until the next pausing or limited endpoint accepts a request.

        For limited endpoints this is the interval between the requests of all daemons together,
        since the caller may retry at another daemon.

        :param model: the model of the groups; None for a plain service.
        :returns: 0 if no endpoint pauses or has a limit.
        """
        found = self._not_evacuated(self._found(service, model))
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
        work: Work | None = None,
        left: float = math.inf,
    ) -> Endpoint | None:
        """Return the leader of the group for a request, or None if no group can take it.

        Suspected groups get no requests, and a group on probation gets one at a time. If no other
        group is left, groups that only other daemons suspect are used, since those daemons may be
        partitioned themselves.

        :param randomize: whether to choose a random group with free slots instead of the least
            loaded one.
        :param work: the size of the request; None if it is usual.
        :param left: seconds that are left until the first event must come.
        """
        usable = self._usable_leaders(service, model, tried)
        random_leader = self._choose_random(usable, engine.slots) if randomize else None
        if random_leader is not None:
            return random_leader
        times = self._work_times(service, engine, model, work)
        if tried:
            # A group that hangs looks idle. A request that met one may have run there, so its next
            # attempt goes to a group that is known to answer, if there is one.
            chosen = self._choose_group(self._just_heard(usable, engine.slots), engine, times, left)
            if chosen is not None:
                return chosen
            if times is not None:
                usable = self._lately_heard(usable) or usable
        return self._choose_group(usable, engine, times, left)

    def _choose_group(
        self, leaders: list[Endpoint], engine: Engine, times: WorkTimes | None, left: float
    ) -> Endpoint | None:
        """Return the leader that answers soonest or is least loaded; None if all groups are full.

        :param times: None for a choice by the number of running requests.
        """
        if times is not None:
            return self._choose_soonest(leaders, times, left)
        chosen = self._choose_least_loaded(leaders, engine.slots)
        if (
            chosen is not None
            and self._load_table.request_count(chosen.id) >= MAX_REQUESTS_PER_SLOT * engine.slots
        ):
            return None
        return chosen

    def _usable_leaders(self, service: str, model: str, tried: t.Container[str]) -> list[Endpoint]:
        """Return the leaders that aren't suspected, or else those that only others suspect."""
        leaders = [leader for leader in self.leaders(service, model) if leader.id not in tried]
        return [leader for leader in leaders if self._is_usable(leader)] or [
            leader for leader in leaders if not self._detector.is_suspected_locally(leader)
        ]

    def _just_heard(self, leaders: t.Iterable[Endpoint], slots: int) -> list[Endpoint]:
        """Return the leaders of groups with free slots that this daemon itself has just heard."""
        since = self._clock() - OWN_CONTACT_SECONDS
        return [
            leader
            for leader in leaders
            if self._detector.was_heard_here_since(leader.id, since)
            and self._load_table.request_count(leader.id) < slots
        ]

    def _lately_heard(self, leaders: t.Iterable[Endpoint]) -> list[Endpoint]:
        """Return the leaders that answered any daemon lately."""
        since = self._clock() - RECENT_CONTACT_SECONDS
        return [leader for leader in leaders if self._detector.has_contact_since(leader.id, since)]

    def estimate_capacity(
        self, service: str, engine: Engine, model: str, work: Work
    ) -> CapacityEstimate:
        """Return the capacity of the groups from which :meth:`choose_leader` chooses.

        Without the engine's figures nothing is known of the times, and the first event is expected
        at once.
        """
        usable = self._reliable(self._usable_leaders(service, model, ()))
        times = self._work_times(service, engine, model, work)
        if times is None or self._times is None:
            return self._capacity(usable, engine.slots)
        estimates = [self._times.estimate(leader, times) for leader in usable]
        capacity = self._capacity(usable, engine.slots)
        return dataclasses.replace(
            capacity,
            first_event=min((estimate.first_event for estimate in estimates), default=math.inf),
            service_seconds=times.service(capacity.running / max(1, capacity.groups)),
            usual_service_seconds=times.freed_slot_interval * engine.slots,
        )

    def _capacity(self, endpoints: t.Sequence[Endpoint], slots: int) -> CapacityEstimate:
        """Return the capacity of endpoints, without the times.

        :param slots: of each.
        """
        counts = [self._load_table.request_count(endpoint.id) for endpoint in endpoints]
        return CapacityEstimate(
            groups=len(endpoints),
            slots=slots * len(endpoints),
            running=sum(counts),
            free_slots=sum(max(0, slots - count) for count in counts),
            first_event=0.0 if endpoints else math.inf,
            service_seconds=0.0,
            report_age=self._load_table.report_age(),
        )

    def estimate_plain_capacity(self, service: str) -> CapacityEstimate:
        """Return the capacity of the endpoints of a plain service.

        Its figures aren't known, so the first event is expected at once or never.
        """
        usable = self._reliable(self.endpoints(service))
        free_slots = sum(map(self._free_slots, usable))
        return CapacityEstimate(
            groups=len(usable),
            slots=sum(endpoint.slots for endpoint in usable),
            running=sum(self._load_table.request_count(endpoint.id) for endpoint in usable),
            free_slots=free_slots,
            first_event=0.0 if free_slots else math.inf,
            service_seconds=0.0,
            report_age=self._load_table.report_age(),
        )

    def _free_slots(self, endpoint: Endpoint) -> int:
        """Return the free slots of a plain service's endpoint."""
        return max(0, endpoint.slots - self._load_table.request_count(endpoint.id))

    def expect(
        self, service: str, engine: Engine, model: str, work: Work, leader: Endpoint
    ) -> ExpectedTime | None:
        """Return the expected time until the first event of a request to a leader, if known."""
        times = self._work_times(service, engine, model, work)
        if times is None or self._times is None:
            return None
        estimate = self._times.estimate(leader, times)
        return ExpectedTime(
            estimate.first_event, times.offset, had_free_slot=estimate.running < engine.slots
        )

    def record_first_event(
        self, service: str, model: str, expected: ExpectedTime, observed: float
    ) -> None:
        """Record the seconds until the first event of a request's first attempt."""
        if self._times is not None:
            self._times.record_first_event(service, model, expected, observed)

    def record_gap(self, leader: Endpoint, engine: Engine, model: str, gap: float) -> None:
        """Record the mean seconds between some events of a stream."""
        if self._times is not None:
            self._times.record_gap(leader, engine, model, gap)

    def _work_times(
        self, service: str, engine: Engine, model: str, work: Work | None
    ) -> WorkTimes | None:
        """Return the expected times of a request; None if the choice isn't made by them."""
        if self._times is None:
            return None
        return self._times.for_work(service, engine, model, work)

    def _choose_soonest(
        self, leaders: list[Endpoint], times: WorkTimes, left: float
    ) -> Endpoint | None:
        """Return the leader of a group that is expected to answer soon; None if all are full."""
        usable = self._reliable(leaders)
        running = sum(self._load_table.request_count(leader.id) for leader in usable)
        bounds = LoadBounds(
            times.slots, running / max(1, len(usable)), MAX_REQUESTS_PER_SLOT * times.slots
        )
        return timed_selection.choose(
            usable,
            self._failure_domain,
            left,
            bounds,
            lambda leader: self._rate(leader, times),
            self._has_connection,
        )

    def _rate(self, leader: Endpoint, times: WorkTimes) -> Candidate:
        """Return a leader with its expected times; penalties count as so many requests ahead."""
        assert self._times is not None
        estimate = self._times.estimate(leader, times)
        penalty = times.freed_slot_interval * self._penalty(leader)
        return Candidate(
            leader,
            estimate.first_event,
            estimate.first_event + penalty,
            estimate.running,
            self._has_connection(leader),
        )

    def _choose_random(self, leaders: t.Iterable[Endpoint], slots: int) -> Endpoint | None:
        """Return a random leader of a group with free slots; None if there is none."""
        usable = [
            leader
            for leader in leaders
            if not self._is_avoided(leader) and self._load_table.request_count(leader.id) < slots
        ]
        return random.choice(usable) if usable else None

    def _is_usable(self, leader: Endpoint) -> bool:
        if self._detector.is_on_probation(leader):
            return leader.id not in self._load_table.local_counts
        return not self._detector.is_suspected(leader)

    def count_groups(self, service: str, model: str) -> GroupCount:
        """Count the open groups of a model, the suspected and the paused ones."""
        leaders = self._leaders.of(service, model)
        remaining = self._not_evacuated(leaders)
        suspected = sum(self._detector.is_suspected(leader) for leader in remaining)
        paused = len(remaining) - len(self._accepting(remaining))
        return GroupCount(len(leaders), suspected, paused)

    def has_other_group(self, service: str, model: str, tried: t.Container[str]) -> bool:
        """Return whether a group that was not tried and isn't suspected accepts requests."""
        return any(
            leader.id not in tried and not self._is_doubtful(leader)
            for leader in self.leaders(service, model)
        )

    def _is_doubtful(self, leader: Endpoint) -> bool:
        """Return whether a leader's group is suspected or on probation."""
        return self._detector.is_suspected(leader) or self._detector.is_on_probation(leader)

    def _choose_least_loaded(self, endpoints: list[Endpoint], capacity: float) -> Endpoint | None:
        """Return the endpoint with the least weight; avoided endpoints only if there are no others.

        :param capacity: concurrent requests of an endpoint.
        """
        usable = self._reliable(endpoints)
        if not usable:
            return None
        if not self._load_table.has_individual_reports:
            drawn = placement.draw(
                usable,
                self._failure_domain,
                lambda endpoint: self._load_table.request_count(endpoint.id) >= capacity,
            )
            # Few daemons hold a share of a limited endpoint, so sampling would leave shares unused.
            usable = drawn + [endpoint for endpoint in usable if self._limits.is_limited(endpoint)]
        return min(usable, key=self._weight)

    def _weight(self, endpoint: Endpoint) -> float:
        """Return the weight of an endpoint in running requests; the least is chosen."""
        remote = FAR_WEIGHT if endpoint.failure_domain != self._failure_domain else 0.0
        # Keeps daemons with the same view of the loads from choosing the same endpoint.
        spread = random.random() * SPREAD
        return (
            self._load_table.request_count(endpoint.id) + self._penalty(endpoint) + remote + spread
        )

    def _penalty(self, endpoint: Endpoint) -> float:
        """Return the weight of recent failures and of an expiring group, in running requests."""
        failing = FAILURE_WEIGHT * self._failures.get(endpoint.incarnation, 0.0)
        return failing + (WEAK_WEIGHT if endpoint.id in self._leaders.expiring else 0.0)
