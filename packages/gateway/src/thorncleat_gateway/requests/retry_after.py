"""When a caller whose request has not run is told to come back, in seconds, for each case.

Owns: nothing.
Relies on: callers that honour ``Retry-After`` with its fractions, up to a third of the time
that they have left.
"""

# the daemon is stopping: another one can take the request at once; chosen, not measured
STOPPING_SECONDS = 0.05
# no configuration, or one too old for keys: the store or a relay has to answer first, or the
# balancer has to choose another daemon; chosen, not measured
CONFIGURATION_SECONDS = 0.5
# no endpoint of a plain service answered, or the retry budget is spent; chosen, not measured
PLAIN_SECONDS = 0.3
# no group for the model, or a stream that has not begun is given up; chosen, not measured
STREAM_SECONDS = 0.4
