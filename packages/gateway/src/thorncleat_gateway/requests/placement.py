"""Among which endpoints a daemon chooses, where hundreds of daemons choose by old reports.

The load pattern: all daemons see the same reports, some tenths of a second old, and each sends its
next request to the endpoint that has the fewest by them. Until the next reports all go there, and
the first events of what it gets beyond its places come late.

So each draws two endpoints of its own failure domain at random, whose reports are the newest, and
takes the better one. An endpoint that looks best then gets only as many requests as draw it.
Others are drawn only where the own failure domain has no room: they look better than they are,
since what is known of them is older.

Pure, but for the random numbers.

Owns: nothing.
Relies on: :mod:`..peers.load_table` for whether the requests of other daemons are known one by one.
"""

import random
import typing as t

from ..store.roster import Endpoint

# endpoints that are drawn: the least that make a choice; with more, more daemons choose the same
SAMPLE_SIZE = 2


def draw(
    endpoints: t.Sequence[Endpoint],
    failure_domain: str,
    is_busy: t.Callable[[Endpoint], bool],
) -> list[Endpoint]:
    """Return the endpoints to choose among.

    :param failure_domain: of this daemon.
    :param is_busy: returns whether an endpoint has no place left.
    """
    near = [endpoint for endpoint in endpoints if endpoint.failure_domain == failure_domain]
    drawn = random.sample(near, min(SAMPLE_SIZE, len(near)))
    wanted = SAMPLE_SIZE - sum(not is_busy(endpoint) for endpoint in drawn)
    far = [endpoint for endpoint in endpoints if endpoint.failure_domain != failure_domain]
    return drawn + random.sample(far, min(wanted, len(far)))
