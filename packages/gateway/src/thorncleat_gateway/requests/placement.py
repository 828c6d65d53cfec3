"""Samples the endpoints among which a daemon chooses.

All daemons see the same load reports, which lag behind. Would each choose the least loaded endpoint
of all, they would overload it until the next reports. So each daemon samples two endpoints of its
own failure domain at random, and endpoints of other domains only if those have no capacity left.

Owns: nothing.
Relies on: :mod:`..peers.load_table` for whether the requests of other daemons are known singly.
"""

import random
import typing as t

from ..store.roster import Endpoint

# Endpoints in a sample; a larger sample makes more daemons choose the same endpoint.
SAMPLE_SIZE = 2


def draw(
    endpoints: t.Sequence[Endpoint],
    failure_domain: str,
    is_busy: t.Callable[[Endpoint], bool],
) -> list[Endpoint]:
    """Return the endpoints to choose among.

    :param failure_domain: of this daemon.
    :param is_busy: returns whether an endpoint has no capacity left.
    """
    local = [endpoint for endpoint in endpoints if endpoint.failure_domain == failure_domain]
    drawn = random.sample(local, min(SAMPLE_SIZE, len(local)))
    missing = SAMPLE_SIZE - sum(not is_busy(endpoint) for endpoint in drawn)
    remote = [endpoint for endpoint in endpoints if endpoint.failure_domain != failure_domain]
    return drawn + random.sample(remote, min(missing, len(remote)))
