"""The rate at which hosts may begin to load models from the weight store: a token bucket.

Pure, but for the tokens; times are given in. The weight store bounds how many loads begin in a
second and slows down all that run beyond a number at once, so the bucket fills a little slower
than the first bound, and holds what two seconds and half of the second one allow.

Owns: the loads that may begin now.
Relies on: :class:`.Engine` for the weight store's bounds; loads before the first request of all
are not counted by the weight store, nor here.
"""

from ..store.serving import Engine

# part of the weight store's rate that is used; chosen, not measured
RATE_PART = 0.9
# seconds of that rate that may be saved up; chosen, not measured
BURST_SECONDS = 2
# part of the loads that may run at once that may be saved up beside; chosen, not measured
AT_ONCE_PART = 0.5


def loads_per_second(engine: Engine) -> float:
    """Return how many loads a second are used."""
    return engine.loads_per_second * RATE_PART


def most_saved(engine: Engine) -> float:
    """Return how many loads may begin at the same moment after a pause."""
    return BURST_SECONDS * loads_per_second(engine) + engine.loads_at_once * AT_ONCE_PART


class LoadRate:
    """The loads that may begin.

    :param now: from when on they are saved up, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._saved = 0.0
        self._filled_at = now

    def take(self, engine: Engine, now: float) -> bool:
        """Use up one load, if there is one; return whether there was.

        :param now: in seconds, on the clock of ``__init__``.
        """
        added = (now - self._filled_at) * loads_per_second(engine)
        self._saved = min(most_saved(engine), self._saved + added)
        self._filled_at = now
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
