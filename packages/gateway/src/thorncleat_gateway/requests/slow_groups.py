"""Which groups write their streams more slowly than the others of their model.

An endpoint may be several times slower than the others for a while. Streams show that at once,
while the controller asks the members of groups seldom and can't replace each slow one.

Owns: a moving average of the gaps of each leader's group against the engine's figures, and the
median of these for each model, by which errors of the figures themselves are levelled out.
Relies on: the streams of this daemon; what other daemons see isn't known here.
"""

import collections
import statistics
import typing as t

from ..model_key import ModelKey
from ..store.roster import Incarnation

# Gaps that an observation covers: fewer tell more of the arrival of packets than of the group.
GAPS_PER_OBSERVATION = 3
# A write to the caller that takes longer ends an observation, since the engine may have waited too.
MAX_WRITE_SECONDS = 0.02
# Weight of the latest observation in the moving average: a few count, since an endpoint turns slow
# at once.
LATEST_WEIGHT = 0.4
# How long an observation counts. Each trial of a group that is still slow may make a request late,
# so it has to be rare beside the daemon's other requests.
SLOWNESS_TTL_SECONDS = 20.0
# A group counts as slow from this factor on; below it, the estimate's own error is as large.
MIN_SLOWNESS = 1.3
# Upper bound, beyond which a group isn't chosen anyway if there is another one.
MAX_SLOWNESS = 10.0
# Observations of a model that count for its median, and how many are needed.
MAX_MODEL_OBSERVATIONS = 31
MIN_MODEL_OBSERVATIONS = 5
# Bounds of the median. A larger one would point to slow groups rather than to wrong figures.
MIN_MODEL_FACTOR = 0.5
MAX_MODEL_FACTOR = 2.0


class _Gaps(t.NamedTuple):
    """The gaps of a group's streams, as a multiple of the expected ones.

    :param at: when they were last observed, on the gateway's clock.
    """

    at: float
    factor: float


class GapMeter:
    """Measures the mean gap between the events of one attempt."""

    def __init__(self) -> None:
        self._begun_at: float | None = None
        self._events = 0

    def record(self, now: float, events: int) -> float | None:
        """Record events that arrived together.

        :returns: the mean seconds between two events once enough have come, else None.
        """
        if self._begun_at is None:
            self._begun_at = now
            return None
        self._events += events
        if self._events < GAPS_PER_OBSERVATION:
            return None
        gap = (now - self._begun_at) / self._events
        self._begun_at, self._events = now, 0
        return gap

    def record_write(self, seconds: float) -> None:
        """Record for how long the caller kept events from being passed on."""
        if seconds > MAX_WRITE_SECONDS:
            self._begun_at, self._events = None, 0


class SlowGroups:
    """The slowness of the groups that this daemon's streams run in.

    :param clock: monotonic, in seconds.
    """

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._gaps: dict[Incarnation, _Gaps] = {}
        self._latest: dict[ModelKey, collections.deque[float]] = {}
        self._model_factors: dict[ModelKey, float] = {}

    def record(self, leader: Incarnation, key: ModelKey, factor: float) -> None:
        """Record how many times longer than expected the gaps of a stream were.

        :param key: service and model.
        """
        now, before = self._clock(), self._gaps.get(leader)
        factor = min(factor, MAX_SLOWNESS)
        self._record_model(key, factor)
        if before is not None and now - before.at <= SLOWNESS_TTL_SECONDS:
            factor = before.factor + LATEST_WEIGHT * (factor - before.factor)
        elif before is None:
            self._remove_expired(now)
        self._gaps[leader] = _Gaps(now, factor)

    def slowness(self, leader: Incarnation, key: ModelKey) -> float:
        """Return how many times slower than the others a group is; 1 if it isn't slow."""
        seen = self._gaps.get(leader)
        if seen is None or self._clock() - seen.at > SLOWNESS_TTL_SECONDS:
            return 1.0
        slowness = seen.factor / self.model_factor(key)
        return slowness if slowness >= MIN_SLOWNESS else 1.0

    def model_factor(self, key: ModelKey) -> float:
        """Return how many times longer than expected the gaps of a model are in general."""
        return self._model_factors.get(key, 1.0)

    def _record_model(self, key: ModelKey, factor: float) -> None:
        latest = self._latest.setdefault(key, collections.deque(maxlen=MAX_MODEL_OBSERVATIONS))
        latest.append(factor)
        if len(latest) >= MIN_MODEL_OBSERVATIONS:
            median = statistics.median(latest)
            self._model_factors[key] = min(MAX_MODEL_FACTOR, max(MIN_MODEL_FACTOR, median))

    def _remove_expired(self, now: float) -> None:
        """Remove old observations, so that those of former endpoints don't accumulate."""
        self._gaps = {
            leader: seen
            for leader, seen in self._gaps.items()
            if now - seen.at <= SLOWNESS_TTL_SECONDS
        }
