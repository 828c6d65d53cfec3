"""When a caller whose request has not run is told to come back, in seconds, for each case.

Pure, but for the random numbers.

Owns: nothing.
Relies on: callers that honour ``Retry-After`` with its fractions, up to a third of the time
that they have left.
"""

import random

# the daemon is stopping: another one can take the request at once
STOPPING_SECONDS = 0.05
# no configuration, or one too old for keys: the store or a relay has to answer first, or the
# balancer has to choose another daemon
CONFIGURATION_SECONDS = 0.5
# no endpoint of a plain service answered, or the retry budget is spent
PLAIN_SECONDS = 0.3
# no group for the model, or a stream that has not begun is given up
STREAM_SECONDS = 0.4
# for which endpoints' pauses are waited for at most, in seconds: a third of the 8 s that the most
# patient callers of today wait
MAX_WAIT_SECONDS = 2.7


def during_pause(usual: float, pause_left: float) -> float:
    """Return when to come back while endpoints want no requests of this daemon.

    Where none is left, most other daemons have been asked for a pause as well, so to come back
    sooner is in vain. The pauses end together, and the callers are spread so that they don't all
    come at that moment.

    :param usual: seconds for the kind of request.
    :param pause_left: seconds until the first of them takes requests; 0 if none wants a pause.
    """
    if not pause_left:
        return usual
    return min(pause_left, MAX_WAIT_SECONDS) + random.uniform(0, usual)
