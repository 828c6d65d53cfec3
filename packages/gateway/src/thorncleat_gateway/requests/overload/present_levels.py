"""Which levels compete for the slots of a service at present.

Slots are reserved only for levels that have requests, so that nothing is shed while nothing
competes. A daemon goes by the requests that it got itself: load balancers spread the callers of a
level over all daemons, so no message is needed. Daemons notice the end of a level at different
times, which keeps them from changing the reserve at once.

Owns: the time of the latest request of each level.
Relies on: nothing.
"""

import typing as t

from ...model_key import ModelKey

# How long a level counts after its latest request at this daemon. A daemon of a large fleet gets
# about one request a second of a level whose requests matter for the slots, so that several are
# expected in this time.
PRESENT_SECONDS = 3.0


class PresentLevels:
    """The levels that had requests lately, by service and model.

    Requests for one model don't compete for the slots of another model's groups.

    :param clock: monotonic, in seconds.
    """

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._seen_at: dict[tuple[ModelKey, int], float] = {}

    def record(self, key: ModelKey, level: int) -> None:
        """Record a request of a level."""
        self._seen_at[key, level] = self._clock()

    def count_more_urgent(self, key: ModelKey, level: int) -> int:
        """Return the number of more urgent levels that had requests lately."""
        oldest = self._clock() - PRESENT_SECONDS
        return sum(
            self._seen_at.get((key, urgent), float("-inf")) >= oldest for urgent in range(level)
        )
