"""The rate at which hosts may begin to load models from the weight store: a token bucket.

The weight store limits the loads that begin within any window of a given length.

Owns: the number of loads that may begin now.
Relies on: :class:`.Engine` and :class:`.ControlSettings` for the weight store's limits, which don't
apply before the system's first request.
"""

from ..settings import ControlSettings
from ..store.serving import Engine

# Share of the weight store's rate that is used.
RATE_SHARE = 0.9
# Loads that may begin in a window in addition to those of the weight store's rate.
BURST_LOADS = 3


def refill_rate(engine: Engine, settings: ControlSettings) -> float:
    """Return the rate at which the bucket fills, in loads per second."""
    return engine.loads_per_second * min(RATE_SHARE, settings.load_overage)


def bucket_capacity(engine: Engine, settings: ControlSettings) -> float:
    """Return how many loads may begin at the same time after a pause.

    A full bucket and the refill of one window together reach the weight store's limit.
    """
    allowed = engine.loads_per_second * settings.load_overage
    return BURST_LOADS + settings.load_window * (allowed - refill_rate(engine, settings))


class LoadRate:
    """A token bucket of loads, empty at first.

    :param now: when the bucket begins to fill, in seconds.
    """

    def __init__(self, now: float, settings: ControlSettings) -> None:
        self._tokens = 0.0
        self._filled_at = now
        self._settings = settings

    def reserve(self, engine: Engine, now: float) -> bool:
        """Reserve one load if the bucket holds one; return whether it did.

        :param now: the time in seconds, on the clock of ``__init__``.
        """
        refilled = (now - self._filled_at) * refill_rate(engine, self._settings)
        self._tokens = min(bucket_capacity(engine, self._settings), self._tokens + refilled)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
