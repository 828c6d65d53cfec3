"""Samples the endpoints among which a daemon chooses.

Owns: nothing.
Relies on: nothing; :mod:`.endpoint_selector` decides when to sample.
"""

import random
import typing as t

from ..store.roster import Endpoint

# Endpoints in a sample: the fewest that leave a choice. A larger sample makes more daemons choose
# the same endpoint.
SAMPLE_SIZE = 2


def draw(
    endpoints: t.Sequence[Endpoint],
    failure_domain: str,
    is_busy: t.Callable[[Endpoint], bool],
) -> list[Endpoint]:
    """Return a random sample of the endpoints.

    Daemons that all chose the least loaded endpoint would overload it until the next load reports.
    Endpoints of other failure domains are drawn only if the local ones have no capacity left.

    :param failure_domain: of this daemon.
    :param is_busy: returns whether an endpoint has no capacity left.
    """
    local = [endpoint for endpoint in endpoints if endpoint.failure_domain == failure_domain]
    drawn = random.sample(local, min(SAMPLE_SIZE, len(local)))
    missing = SAMPLE_SIZE - sum(not is_busy(endpoint) for endpoint in drawn)
    remote = [endpoint for endpoint in endpoints if endpoint.failure_domain != failure_domain]
    return drawn + random.sample(remote, min(missing, len(remote)))
