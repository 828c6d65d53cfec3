"""The expected time until the first event at a group, with all that this daemon knows of it.

Owns: the delays between failure domains by pair.
Relies on: :mod:`.expected_time` for the engine's figures, :mod:`.first_event_offsets` for what
they leave out, :mod:`.slow_groups` for slow groups, and :mod:`..peers.load_table` for the running
requests.
"""

import typing as t

from ..model_key import ModelKey
from ..peers.load_table import LoadTable
from ..store.roster import Endpoint
from ..store.serving import Engine
from ..store.serving import EngineModel
from ..store.serving import EngineTimes
from . import expected_time
from .expected_time import Work
from .first_event_offsets import ExpectedTime
from .first_event_offsets import FirstEventOffsets
from .slow_groups import SlowGroups

# Delays of a request to another failure domain: there, and of the answer back.
DELAYS_OF_AN_ANSWER = 2


class Estimate(t.NamedTuple):
    """What a request can expect of a group.

    :param first_event: seconds until the first event, with the wait for a slot.
    :param running: requests that run or wait there.
    """

    first_event: float
    running: int


class WorkTimes:
    """The expected times of one request at the groups of its model.

    What is the same for all groups with the same number of running requests is computed once,
    since an estimate is made for many groups with each request.

    :param key: service and model.
    :param offset: seconds until the first event that the figures leave out.
    :param gap_factor: how many times longer than by the figures the gaps between events are.
    :param delays: network delays of a request and its first event, by failure domain.
    """

    def __init__(
        self,
        times: EngineTimes,
        engine: Engine,
        model: EngineModel,
        work: Work,
        key: ModelKey,
        offset: float,
        gap_factor: float,
        delays: t.Mapping[str, float],
    ) -> None:
        self.key = key
        self.offset = offset
        self._gap_factor = gap_factor
        self._times = times
        self._slots = engine.slots
        self._model = model
        self._work = work
        self._delays = delays
        self._by_running: dict[int, float] = {}
        self._usual_service: float | None = None

    @property
    def slots(self) -> int:
        """How many requests a group runs at once."""
        return self._slots

    def first_event(self, running: int, slowness: float, failure_domain: str) -> float:
        """Return the seconds until the first event.

        :param running: requests that run or wait there.
        :param slowness: how many times slower than expected the group is.
        :param failure_domain: of the group.
        """
        seconds = self._by_running.get(running)
        if seconds is None:
            seconds = self._by_running[running] = self._at_load(running)
        return max(0.0, slowness * seconds + self.offset + self._delays.get(failure_domain, 0.0))

    def service(self, running: float) -> float:
        """Return the seconds from the start of the request in a slot to its last event.

        :param running: mean number of requests at a group.
        """
        others = min(running, self._slots - 1)
        return self._gap_factor * expected_time.service_seconds(
            self._times, self._model, self._work, others
        )

    @property
    def freed_slot_interval(self) -> float:
        """Mean seconds between two slots that become free at a busy group."""
        if self._usual_service is None:
            self._usual_service = self._gap_factor * expected_time.service_seconds(
                self._times,
                self._model,
                expected_time.usual_work(self._times),
                self._slots - 1,
            )
        return self._usual_service / self._slots

    def _at_load(self, running: int) -> float:
        others = min(running, self._slots - 1)
        first = expected_time.first_event_seconds(self._times, self._model, self._work, others)
        if running < self._slots:
            return first
        usual_service = self.freed_slot_interval * self._slots
        return first + expected_time.wait_seconds(running, self._slots, usual_service)


class GroupTimes:
    """Makes estimates for the groups' leaders.

    :param failure_domain: of this daemon.
    """

    def __init__(
        self,
        load_table: LoadTable,
        offsets: FirstEventOffsets,
        slow_groups: SlowGroups,
        failure_domain: str,
    ) -> None:
        self._load_table = load_table
        self._offsets = offsets
        self._slow_groups = slow_groups
        self._failure_domain = failure_domain
        self._delays: dict[str, float] = {}
        self._delays_of: EngineTimes | None = None

    def for_work(
        self, service: str, engine: Engine, model_name: str, work: Work | None
    ) -> WorkTimes | None:
        """Return the times of a request; None if the configuration doesn't tell the figures.

        :param work: None for a usual request.
        """
        model = engine.model(model_name)
        if engine.times is None or model is None:
            return None
        if engine.times is not self._delays_of:
            self._delays_of = engine.times
            self._delays = _delays_from(self._failure_domain, engine.times)
        return WorkTimes(
            engine.times,
            engine,
            model,
            work or expected_time.usual_work(engine.times),
            (service, model_name),
            self._offsets.offset(service, model_name),
            self._slow_groups.model_factor((service, model_name)),
            self._delays,
        )

    def record_first_event(
        self, service: str, model: str, expected: ExpectedTime, observed: float
    ) -> None:
        """Record the seconds until the first event of a request's first attempt."""
        self._offsets.record(service, model, expected, observed)

    def record_gap(self, leader: Endpoint, engine: Engine, model_name: str, gap: float) -> None:
        """Record the mean seconds between some events of a stream."""
        model = engine.model(model_name)
        if engine.times is None or model is None:
            return
        running = min(max(1, self._load_table.request_count(leader.id)), engine.slots)
        context = expected_time.usual_context(engine.times)
        expected = expected_time.gap_seconds(engine.times, model, running, context)
        if expected > 0:
            key = leader.service, model_name
            self._slow_groups.record(leader.incarnation, key, gap / expected)

    def estimate(self, leader: Endpoint, times: WorkTimes) -> Estimate:
        """Return what a request can expect of a leader's group."""
        running = self._load_table.request_count(leader.id)
        slowness = self._slow_groups.slowness(leader.incarnation, times.key)
        first_event = times.first_event(running, slowness, leader.failure_domain)
        return Estimate(first_event, running)


def _delays_from(failure_domain: str, times: EngineTimes) -> dict[str, float]:
    """Return the network delays of a request and its first event, by failure domain."""
    seconds = {}
    for delay in times.delays:
        if failure_domain in (delay.first, delay.second) and delay.first != delay.second:
            other = delay.second if delay.first == failure_domain else delay.first
            seconds[other] = DELAYS_OF_AN_ANSWER * delay.seconds
    return seconds
