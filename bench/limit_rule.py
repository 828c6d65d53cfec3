"""What an endpoint that names a limit may get from all daemons together: the users' rule.

Owns: nothing.
Relies on: the moments at which requests reached the endpoint, in order.
"""

import collections
import typing as t

# a span in which the endpoint counts
SPAN_SECONDS = 4.0
# times the limit that it may get in a span, and requests beside
SLACK = 1.5
EXTRA = 5
# after its first word, from which on requests count
KNOWN_SECONDS = 3.0
# after its word to a daemon, from which on that daemon's requests count
TOLD_SECONDS = 0.5


def allowed(limit: float) -> float:
    """Return how many requests an endpoint may get in a span.

    :param limit: requests a second.
    """
    return SLACK * SPAN_SECONDS * limit + EXTRA


def most_in_a_span(arrivals: t.Iterable[float]) -> int:
    """Return how many requests reached an endpoint in some span.

    :param arrivals: of the requests that count, in seconds.
    """
    window: collections.deque[float] = collections.deque()
    most = 0
    for at in arrivals:
        window.append(at)
        while window[0] <= at - SPAN_SECONDS:
            window.popleft()
        most = max(most, len(window))
    return most
