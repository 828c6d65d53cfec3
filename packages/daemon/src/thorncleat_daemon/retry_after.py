"""After how many seconds a refused caller should come back, by the reason.

Owns: nothing.
Relies on: callers that keep to it; what waits in a queue is told by the queue's own measure
(:meth:`thorncleat_core.daemon.queues.FairQueue.refuse`).
"""

import random

# all in seconds; chosen, not measured
GROUP_CLOSED = 1.0
ENDPOINT_UNREACHABLE = 1.0
ENGINE_REFUSED = 1.0
EXPIRED_IN_QUEUE = 1.0
# another request with the same key runs
KEY_RUNNING = 1.0
# the owner of a key can't be asked, or can't write
CLAIMS_UNAVAILABLE = 2.0
# too many came at once: spread, so that they don't come back at once
SHORTEST_RUSH = 1.0
LONGEST_RUSH = 3.0
# part by which a queue's measure is spread upwards
JITTER = 0.5


def rush() -> float:
    """Return the seconds for one of many that came at once."""
    return random.uniform(SHORTEST_RUSH, LONGEST_RUSH)


def spread(seconds: float) -> float:
    """Return the seconds, or somewhat more, so that those refused together come back apart."""
    return seconds * random.uniform(1, 1 + JITTER)
