"""After how many seconds a refused caller should come back, by the reason.

Owns: nothing.
Relies on: callers that keep to it; what waits in a queue is told by the queue's own measure
(:meth:`thorncleat_core.daemon.queues.FairQueue.refuse`).
"""

import random

# All figures but the last are seconds.

# another group may serve, or this one again
GROUP_CLOSED = 1.0
# another endpoint of the service may be tried
ENDPOINT_UNREACHABLE = 1.0
# the engine is full
ENGINE_REFUSED = 1.0
# the queue was longer than the caller's deadline
EXPIRED_IN_QUEUE = 1.0
# another request with the same key runs
KEY_RUNNING = 1.0
# the owner of a key can't be asked, or can't write
CLAIMS_UNAVAILABLE = 2.0
# too many came at once: from the shortest to the longest, so that they come back apart
MIN_OVERLOAD = 1.0
# see SHORTEST_RUSH
MAX_OVERLOAD = 3.0
# part by which a queue's measure is spread upwards
JITTER_SHARE = 0.5


def random_overload_delay() -> float:
    """Return the seconds for one of many that came at once."""
    return random.uniform(MIN_OVERLOAD, MAX_OVERLOAD)


def with_jitter(seconds: float) -> float:
    """Return the seconds, or somewhat more, so that those refused together come back apart."""
    return seconds * random.uniform(1, 1 + JITTER_SHARE)
