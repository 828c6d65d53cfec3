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
RATE_PART = 0.9
# loads that may begin in a window beside those that its rate gives; from the users' rules
EXTRA_LOADS = 3


def loads_per_second(engine: Engine, settings: ControlSettings) -> float:
    """Return how many loads a second are used."""
    return engine.loads_per_second * min(RATE_PART, settings.load_overage)


def most_saved(engine: Engine, settings: ControlSettings) -> float:
    """Return how many loads may begin at the same moment after a pause."""
    allowed = engine.loads_per_second * settings.load_overage
    return EXTRA_LOADS + settings.load_window * (allowed - loads_per_second(engine, settings))


class LoadRate:
    """The loads that may begin.

    :param now: from when on they are saved up, in seconds.
    """

    def __init__(self, now: float, settings: ControlSettings) -> None:
        self._saved = 0.0
        self._filled_at = now
        self._settings = settings

    def take(self, engine: Engine, now: float) -> bool:
        """Use up one load, if there is one; return whether there was.

        :param now: in seconds, on the clock of ``__init__``.
        """
        added = (now - self._filled_at) * loads_per_second(engine, self._settings)
        self._saved = min(most_saved(engine, self._settings), self._saved + added)
        self._filled_at = now
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
