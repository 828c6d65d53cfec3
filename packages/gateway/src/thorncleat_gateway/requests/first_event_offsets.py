"""Learns how much longer the first event takes than the engine's figures tell.

The network and the overhead of engines and daemons take time that no figure covers.

Owns: the latest observations of each service and model.
Relies on: requests that got a slot at once, since others also tell the error of the expected wait.
"""

import collections
import statistics
import typing as t

from ..model_key import ModelKey

# Observations of a service and model that count; a median of more reacts later.
MAX_OBSERVATIONS = 31
# Fewer observations tell nothing, since a single slow endpoint may have caused them.
MIN_OBSERVATIONS = 5
# How long an observation counts.
OBSERVATION_TTL_SECONDS = 30.0
# Bounds of what is learnt. An overhead above half of the usual target (500 ms) would mean
# overload, which the expected wait covers; a reduction mustn't outweigh a request's reading.
MIN_OFFSET_SECONDS = -0.1
MAX_OFFSET_SECONDS = 0.25


class ExpectedTime(t.NamedTuple):
    """What was expected of an attempt when its group was chosen.

    :param first_event: seconds until the first event, with the offset.
    :param offset: the offset at that time.
    :param had_free_slot: whether the group had a free slot.
    """

    first_event: float
    offset: float
    had_free_slot: bool


class _Observation(t.NamedTuple):
    """Observed minus expected seconds until a first event.

    :param at: when it was made, on the gateway's clock.
    """

    at: float
    error: float


class FirstEventOffsets:
    """Offsets of the expected time until the first event, by service and model.

    :param clock: monotonic, in seconds.
    :param on_first_event: gets model, expected and observed seconds of each observation.
    """

    def __init__(
        self,
        clock: t.Callable[[], float],
        on_first_event: t.Callable[[str, float, float], None] = lambda *_: None,
    ) -> None:
        self._clock = clock
        self._on_first_event = on_first_event
        self._observations: dict[ModelKey, collections.deque[_Observation]] = {}
        self._offsets: dict[ModelKey, float] = {}

    def offset(self, service: str, model: str) -> float:
        """Return the seconds to add to the time that the engine's figures tell."""
        key = service, model
        observations = self._observations.get(key)
        if not observations:
            return 0.0
        oldest = self._clock() - OBSERVATION_TTL_SECONDS
        if observations[0].at < oldest:
            while observations and observations[0].at < oldest:
                observations.popleft()
            self._update(key)
        return self._offsets[key]

    def record(self, service: str, model: str, expected: ExpectedTime, observed: float) -> None:
        """Record the time until the first event of a request's first attempt.

        :param observed: seconds since it was sent.
        """
        self._on_first_event(model, expected.first_event, observed)
        if not expected.had_free_slot:
            return
        key = service, model
        error = observed - expected.first_event + expected.offset
        observations = self._observations.setdefault(
            key, collections.deque(maxlen=MAX_OBSERVATIONS)
        )
        observations.append(_Observation(self._clock(), error))
        self._update(key)

    def _update(self, key: ModelKey) -> None:
        """Compute the offset anew: the median, which outliers don't move."""
        errors = [observation.error for observation in self._observations[key]]
        median = statistics.median(errors) if len(errors) >= MIN_OBSERVATIONS else 0.0
        self._offsets[key] = min(MAX_OFFSET_SECONDS, max(MIN_OFFSET_SECONDS, median))
