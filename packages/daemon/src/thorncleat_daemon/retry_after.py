"""Values of the ``Retry-After`` header in seconds, by cause.

Owns: nothing.
Relies on: callers that respect the header; a full queue computes its own value
(:meth:`thorncleat_core.daemon.queues.FairQueue.retry_after`).
"""

import random

GROUP_CLOSED = 1.0
ENDPOINT_UNREACHABLE = 1.0
ENGINE_REFUSED = 1.0
EXPIRED_IN_QUEUE = 1.0
# Another request with the same idempotency key is running.
KEY_RUNNING = 1.0
# The owner of a key is unreachable or can't write.
CLAIMS_UNAVAILABLE = 2.0
# Range for requests refused in a burst, so that their retries are spread.
MIN_OVERLOAD_DELAY = 1.0
MAX_OVERLOAD_DELAY = 3.0
# Largest share added to a queue's value.
JITTER_SHARE = 0.5


def random_overload_delay() -> float:
    """Return a random delay in seconds for a request refused in a burst."""
    return random.uniform(MIN_OVERLOAD_DELAY, MAX_OVERLOAD_DELAY)


def with_jitter(seconds: float) -> float:
    """Return a delay lengthened by a random share, so that retries are spread."""
    return seconds * random.uniform(1, 1 + JITTER_SHARE)
