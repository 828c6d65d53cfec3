"""When a caller whose request has not run is told to come back, in seconds, for each case.

Pure, but for the random numbers.

Owns: nothing.
Relies on: callers that honour ``Retry-After`` with its fractions, up to a third of the time
that they have left.
"""

import random

# the daemon is stopping: another one can take the request at once; chosen, not measured
STOPPING_SECONDS = 0.05
# no configuration, or one too old for keys: the store or a relay has to answer first, or the
# balancer has to choose another daemon; chosen, not measured
CONFIGURATION_SECONDS = 0.5
# no endpoint of a plain service answered, or the retry budget is spent; chosen, not measured
PLAIN_SECONDS = 0.3
# no group for the model, or a stream that has not begun is given up; chosen, not measured
STREAM_SECONDS = 0.4
# that endpoints' pauses are waited for at most, in seconds: a third of the 8 s that callers wait
LONGEST_PAUSE_SECONDS = 2.7


def plain_in_a_pause(pause_left: float) -> float:
    """Return when to come back to a plain service whose endpoints want no requests of this daemon.

    Others may not have been asked for a pause, so it is not waited for: of 300 requests a second
    to three endpoints that serve 360, 0.8 in 100 stay unserved, where 19 do if all wait
    (virtual time, one seed and two, of 3 s, pauses of 1 s).

    :param pause_left: seconds until the first of them takes requests; 0 if none wants a pause.
    """
    return min(PLAIN_SECONDS, pause_left) if pause_left else PLAIN_SECONDS


def stream_in_a_pause(pause_left: float) -> float:
    """Return when to come back for a stream while groups want no requests of this daemon.

    There are many groups, so where none is left most other daemons have been asked as well. The
    pauses end together, and the callers don't come back all at once: of 60 requests a second to
    groups that all decline for half a second and ask for 1 s, 8 in 100 stay unserved; 11 do
    without the spread, and 15 if callers come back sooner (virtual time, two seeds of 4 s; with
    pauses of 3 s 17, 25 and 38).

    :param pause_left: seconds until the first of them takes requests; 0 if none wants a pause.
    """
    if not pause_left:
        return STREAM_SECONDS
    return min(pause_left, LONGEST_PAUSE_SECONDS) + random.uniform(0, STREAM_SECONDS)
