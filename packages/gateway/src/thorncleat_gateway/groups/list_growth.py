"""Whether the list of endpoints is complete before the system's first request.

A layout for only some of a starting system's endpoints would soon be replaced, at the cost of
loads.

Owns: the largest number of endpoints seen, and when it was reached.
Relies on: a call at each plan until the first request.
"""

import typing as t

# Time without a new endpoint after which the list counts as complete.
GROWTH_TIMEOUT_SECONDS = 1.0


class ListGrowth:
    """Detects when the list of endpoints no longer grows."""

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._max_listed = 0
        self._grown_at = clock()

    def is_growing(self, listed: int) -> bool:
        """Return whether an endpoint was added recently.

        :param listed: number of endpoints listed now.
        """
        now = self._clock()
        if listed > self._max_listed:
            self._max_listed, self._grown_at = listed, now
        return now - self._grown_at < GROWTH_TIMEOUT_SECONDS
