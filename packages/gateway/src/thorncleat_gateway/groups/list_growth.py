"""Whether the list of endpoints is whole, before the first request of all.

When a whole system starts, its endpoints are listed one after the other. A layout for a part of
them would not last, and forming its groups anew costs a load each.

Owns: the largest number of endpoints seen, and when it was reached.
Relies on: being asked at each plan until the first request.
"""

import typing as t

# without a new endpoint for so long the list is whole, in seconds
GROWTH_TIMEOUT_SECONDS = 1.0


class ListGrowth:
    """Notices that the list of endpoints no longer grows."""

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._max_listed = 0
        self._grown_at = clock()

    def is_growing(self, listed: int) -> bool:
        """Return whether an endpoint was added lately.

        :param listed: how many endpoints are listed now.
        """
        now = self._clock()
        if listed > self._max_listed:
            self._max_listed, self._grown_at = listed, now
        return now - self._grown_at < GROWTH_TIMEOUT_SECONDS
