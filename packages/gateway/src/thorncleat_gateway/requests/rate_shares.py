"""Which daemons send to an endpoint that takes few requests, and how many each.

The limit holds for all daemons together, and they can't ask each other before each request. So it
is divided by the list of daemons, which all know alike. Were each to get the same part, there would
be as many first requests as daemons: with eight of them and a limit of one a second that alone is
the endpoint's fill for 8 s. So a few have a share and the others none: chosen by rendezvous
hashing, those of the endpoint's failure domain first.

Pure.

Owns: nothing.
Relies on: :mod:`..store.fleet_knowledge` for who may use a share at all.
"""

import math
import typing as t

from thorncleat_core import rendezvous

from ..store.fleet_knowledge import FleetKnowledge
from ..store.relays import Daemon
from ..store.roster import Endpoint

# of a limit, requests a second for which one daemon has a share: with more holders their first
# requests come on top of the rate, with fewer some have too few callers to use theirs
RATE_PER_HOLDER = 1.0
# of a limit that is given out: with one request at once of each holder the requests of any 4 s stay
# within the limit
ALLOCATED_FRACTION = 0.75
# of its share that a daemon uses whose list is old: another one may have got the same share since
STALE_LIST_FRACTION = 0.25
# requests a second that are sent to an endpoint whose limit is lower, since only its answers can
# tell that it takes more again
MIN_RATE = 1 / 30


def rate(limit: float) -> float:
    """Return the requests a second that all daemons together send to an endpoint with a limit."""
    return max(ALLOCATED_FRACTION * limit, MIN_RATE)


def share(
    limit: float,
    endpoint: Endpoint,
    own: Daemon,
    daemons: t.Mapping[str, Daemon],
    knowledge: FleetKnowledge,
) -> float:
    """Return the requests a second that a daemon may send to an endpoint; 0 for none.

    :param limit: requests a second that the endpoint takes from all daemons together.
    """
    if knowledge is FleetKnowledge.NONE or own.id not in daemons:
        return 0.0
    holders = max(1, min(len(daemons), math.ceil(limit / RATE_PER_HOLDER)))
    if not _is_holder(endpoint, own, daemons.values(), holders):
        return 0.0
    of_holder = rate(limit) / holders
    return of_holder * STALE_LIST_FRACTION if knowledge is FleetKnowledge.OLD else of_holder


def _is_holder(endpoint: Endpoint, own: Daemon, daemons: t.Iterable[Daemon], holders: int) -> bool:
    """Return whether a daemon is among the first of the list in the order of an endpoint."""
    key = f"limit {endpoint.id} {endpoint.born}"

    def preference(daemon: Daemon) -> tuple[bool, int, str]:
        is_near = daemon.failure_domain == endpoint.failure_domain
        return is_near, rendezvous.score(key, daemon.id), daemon.id

    mine = preference(own)
    return sum(preference(daemon) > mine for daemon in daemons) < holders
