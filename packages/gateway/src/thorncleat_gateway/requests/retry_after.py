"""The seconds after which a caller whose request has not run is asked to retry.

Owns: nothing.
Relies on: callers that honour fractions in ``Retry-After``, up to a third of their time left.
"""

import random

# The daemon is stopping; another one can take the request at once.
STOPPING_SECONDS = 0.05
# The configuration is missing or too old for keys; the store or a relay has to answer first, or the
# load balancer has to choose another daemon.
CONFIGURATION_SECONDS = 0.5
# No endpoint of a plain service answered, or the retry budget is spent.
PLAIN_SECONDS = 0.3
# No group for the model, or a stream that has not begun is given up.
STREAM_SECONDS = 0.4
# Callers honour a third of the time they have left, and the most patient ones wait 8 s.
MAX_PAUSE_WAIT_SECONDS = 2.7


def during_pause(usual: float, pause_left: float) -> float:
    """Return the seconds until a retry.

    Endpoints that all pause for this daemon mostly do so for the others as well, so an earlier
    retry would fail. Retries are spread at random, since the pauses end together.

    :param usual: seconds if no endpoint pauses.
    :param pause_left: seconds until the first endpoint accepts requests; 0 if none pauses.
    """
    if not pause_left:
        return usual
    return min(pause_left, MAX_PAUSE_WAIT_SECONDS) + random.uniform(0, usual)
