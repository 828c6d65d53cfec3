"""The rule on how many requests an endpoint with a rate limit may get from all daemons together.

Owns: nothing.
Relies on: the times at which requests reached the endpoint, in ascending order.
"""

import collections
import typing as t

WINDOW_SECONDS = 4.0
# A window may hold the limit multiplied by this factor, and some requests more.
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
# Requests don't count for this long after the endpoint's first notice of a limit.
FIRST_NOTICE_GRACE_SECONDS = 3.0
# A daemon's requests don't count for this long after the endpoint notified that daemon.
NOTICE_GRACE_SECONDS = 0.5


def max_allowed_in_window(limit: float) -> float:
    """Return how many requests an endpoint may get in a window.

    :param limit: requests a second.
    """
    return LIMIT_FACTOR * WINDOW_SECONDS * limit + EXTRA_REQUESTS


def max_requests_in_window(arrivals: t.Iterable[float]) -> int:
    """Return the largest number of requests that reached an endpoint in any window.

    :param arrivals: times of the requests that count, in seconds, ascending.
    """
    window: collections.deque[float] = collections.deque()
    highest = 0
    for at in arrivals:
        window.append(at)
        while window[0] <= at - WINDOW_SECONDS:
            window.popleft()
        highest = max(highest, len(window))
    return highest
