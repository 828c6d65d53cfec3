"""The rate at which hosts may begin to load models from the weight store: a token bucket.

Pure, but for the tokens; times are given in. The weight store bounds the loads that begin within
any window, wherever it lies. So the bucket fills a little slower than the store's rate, and holds
what that leaves of the bound: a full bucket and a window of filling come to the bound exactly.

Owns: the loads that may begin now.
Relies on: :class:`.Engine` and :class:`.ControlSettings` for the weight store's bounds; loads
before the first request of all are not counted by the weight store, nor here.
"""

from ..settings import ControlSettings
from ..store.serving import Engine

# part of the weight store's rate that is used
RATE_SHARE = 0.9
# loads that may begin in a window beside those that its rate gives; from the users' rules
BURST_LOADS = 3


def refill_rate(engine: Engine, settings: ControlSettings) -> float:
    """Return how many loads a second are used."""
    return engine.loads_per_second * min(RATE_SHARE, settings.load_overage)


def bucket_capacity(engine: Engine, settings: ControlSettings) -> float:
    """Return how many loads may begin at the same moment after a pause."""
    allowed = engine.loads_per_second * settings.load_overage
    return BURST_LOADS + settings.load_window * (allowed - refill_rate(engine, settings))


class LoadRate:
    """The loads that may begin.

    :param now: from when on they are saved up, in seconds.
    """

    def __init__(self, now: float, settings: ControlSettings) -> None:
        self._tokens = 0.0
        self._filled_at = now
        self._settings = settings

    def reserve(self, engine: Engine, now: float) -> bool:
        """Use up one load, if there is one; return whether there was.

        :param now: in seconds, on the clock of ``__init__``.
        """
        refilled = (now - self._filled_at) * refill_rate(engine, self._settings)
        self._tokens = min(bucket_capacity(engine, self._settings), self._tokens + refilled)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
