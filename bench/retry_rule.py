"""The rule on how often all daemons together may send requests to a service again.

Owns: the times of a service's requests and repeats.
Relies on: times that are recorded in ascending order.
"""

import bisect


class RetryRule:
    """Counts the requests for a service, and the arrivals there beyond the first of a request.

    :param ratio: repeats for each request in the window.
    :param extra: further repeats in the window.
    :param window: length of the window in seconds.
    """

    def __init__(self, ratio: float, extra: float, window: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._requests: list[float] = []
        self._repeats: list[float] = []

    def record_request(self, at: float) -> None:
        """Record that a caller sent a request, whether or not it arrived."""
        self._requests.append(at)

    def record_repeat(self, at: float) -> None:
        """Record an arrival of a request that had arrived before."""
        self._repeats.append(at)

    def repeats(self, now: float) -> int:
        """Return the number of repeats in the window that ends now."""
        return _count(self._repeats, now - self._window, now)

    def allowed(self, now: float) -> float:
        """Return how many repeats the window that ends now may hold.

        The requests are those of this window, of the one before it, or of the one half a window
        earlier, whichever are most.
        """
        starts = (now - self._window * windows for windows in (1.0, 1.5, 2.0))
        requests = max(_count(self._requests, start, start + self._window) for start in starts)
        return self._ratio * requests + self._extra


def _count(times: list[float], begin: float, end: float) -> int:
    """Return how many times lie after a begin, up to an end."""
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, begin)
