"""How much of each model's open groups its requests use, and for how long a model has been in need.

The load that this answers: one model's groups are full for a long time while another model's are
half empty. Bursts of a few seconds are left to admission control, since a host needs longer than
that to load a model.

Owns: the samples of the last :data:`WINDOW_SECONDS` of each model.
Relies on: frequent calls with the running requests from the controller's load table, which holds
the sums of other failure domains.
"""

import collections
import dataclasses
import math
import typing as t

from ..store.roster import Endpoint

# How far back samples count, so that the swing of the load and a model's busiest time are seen.
WINDOW_SECONDS = 20.0
# Samples are averaged over this time, in which each other failure domain sends several sums.
AVERAGE_SECONDS = 2.0
# Least interval between two samples.
SAMPLE_INTERVAL_SECONDS = 0.25
# After a longer pause between two samples nothing is known of the time between them.
MAX_SAMPLE_GAP_SECONDS = 1.5
# Requests that arrive independently rarely exceed their average by more than three times its root.
DEVIATIONS = 3.0
# A model that uses less isn't in need, however much its load swings: callers whose demand grows by
# a third for a moment are still served.
MIN_NEED_UTILIZATION = 0.75
# The need is over below this utilization: its demand may grow by a half and is still served. The
# distance to the least utilization in need keeps a model from changing between both.
RELIEVED_UTILIZATION = 0.65


@dataclasses.dataclass(frozen=True)
class Usage:
    """The running requests of a model, and the slots of its open groups."""

    running: int
    slots: int


@dataclasses.dataclass(frozen=True)
class ModelDemand:
    """The demand for a model.

    :param running: running requests on average over :data:`AVERAGE_SECONDS`.
    :param busiest: the greatest such average of the window.
    :param swing: by how much the running requests may exceed their average.
    :param slots: slots of the open groups on average.
    :param need_seconds: for how long the model has been in need without interruption.
    :param relieved_seconds: for how long its utilization has been below
        :data:`RELIEVED_UTILIZATION`.
    :param age: seconds since the newest sample.
    """

    running: float
    busiest: float
    swing: float
    slots: float
    need_seconds: float = 0.0
    relieved_seconds: float = 0.0
    age: float = 0.0

    @property
    def utilization(self) -> float:
        """Running requests over slots; 0 without slots."""
        return self.running / self.slots if self.slots else 0.0

    @property
    def is_in_need(self) -> bool:
        """Whether the free slots don't take the swing that the load has shown."""
        free = self.slots - self.running
        return self.utilization >= MIN_NEED_UTILIZATION and free < self.swing


class _Sample(t.NamedTuple):
    """One measurement.

    :param average: average of the running requests up to this sample.
    """

    at: float
    usage: Usage
    average: float


def measure(
    leaders: t.Iterable[Endpoint],
    request_count: t.Callable[[str], int],
    slots: int,
    without: t.Container[str],
) -> dict[str, Usage]:
    """Return the usage by model.

    :param leaders: the leaders of the open groups of a service.
    :param request_count: returns the running requests of an endpoint.
    :param slots: slots of a group.
    :param without: failure domains whose endpoints get no requests at present.
    """
    running: collections.Counter[str] = collections.Counter()
    groups: collections.Counter[str] = collections.Counter()
    for leader in leaders:
        if not leader.models or leader.failure_domain in without:
            continue
        model = leader.models[0]
        groups[model] += 1
        running[model] += request_count(leader.id)
    return {model: Usage(running[model], slots * count) for model, count in groups.items()}


class Demand:
    """The demand for the models of one service."""

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._samples: dict[str, collections.deque[_Sample]] = {}
        self._need_since: dict[str, float] = {}
        self._relieved_since: dict[str, float] = {}
        self._sampled_at = float("-inf")

    def observe(self, usage: t.Mapping[str, Usage]) -> None:
        """Add a sample of each model unless the latest one is recent.

        A model that is missing has no open group.
        """
        now = self._clock()
        gap = now - self._sampled_at
        if gap < SAMPLE_INTERVAL_SECONDS:
            return
        if gap > MAX_SAMPLE_GAP_SECONDS:
            self._samples.clear()
            self._need_since.clear()
            self._relieved_since.clear()
        self._sampled_at = now
        for model in {*usage, *self._samples}:
            self._add(model, usage.get(model, Usage(0, 0)), now)

    def _add(self, model: str, usage: Usage, now: float) -> None:
        samples = self._samples.setdefault(model, collections.deque())
        while samples and samples[0].at <= now - WINDOW_SECONDS:
            samples.popleft()
        recent = [*_since(samples, now - AVERAGE_SECONDS)]
        running = [*(sample.usage.running for sample in recent), usage.running]
        samples.append(_Sample(now, usage, sum(running) / len(running)))
        demand = self._demand(model, now)
        _track(self._need_since, model, now, holds=demand.is_in_need)
        is_relieved = demand.utilization < RELIEVED_UTILIZATION
        _track(self._relieved_since, model, now, holds=is_relieved)

    def by_model(self) -> dict[str, ModelDemand]:
        """Return the demand by model; only of models whose first sample is old enough."""
        now = self._clock()
        return {
            model: self._demand(model, now)
            for model, samples in self._samples.items()
            if samples[-1].at - samples[0].at >= AVERAGE_SECONDS - SAMPLE_INTERVAL_SECONDS
        }

    def _demand(self, model: str, now: float) -> ModelDemand:
        samples = self._samples[model]
        newest = samples[-1]
        recent = [*_since(samples, newest.at - AVERAGE_SECONDS)]
        shown = max(sample.usage.running - sample.average for sample in samples)
        return ModelDemand(
            running=newest.average,
            busiest=max(sample.average for sample in samples),
            swing=max(shown, DEVIATIONS * math.sqrt(newest.average)),
            slots=sum(sample.usage.slots for sample in recent) / len(recent),
            need_seconds=newest.at - self._need_since.get(model, newest.at),
            relieved_seconds=newest.at - self._relieved_since.get(model, newest.at),
            age=now - newest.at,
        )


def _since(samples: t.Iterable[_Sample], since: float) -> t.Iterator[_Sample]:
    return (sample for sample in samples if sample.at > since)


def _track(since: dict[str, float], model: str, now: float, *, holds: bool) -> None:
    """Keep since when a condition has held for a model."""
    if holds:
        since.setdefault(model, now)
    else:
        since.pop(model, None)
