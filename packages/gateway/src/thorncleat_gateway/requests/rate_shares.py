"""Divides an endpoint's rate limit among the daemons, without coordination between them.

Owns: nothing; every rule is a pure function.
Relies on: :mod:`..store.fleet_knowledge` for whether a daemon may use a share.
"""

import math
import typing as t

from thorncleat_core import rendezvous

from ..store.fleet_knowledge import FleetKnowledge
from ..store.relays import Daemon
from ..store.roster import Endpoint

# Requests per second of a limit for each daemon that holds a share. With more holders their first
# requests would exceed the rate; with fewer, some would have too few callers to use their share.
RATE_PER_HOLDER = 1.0
# Fraction of a limit that is divided; the rest covers the first requests of the holders. With one
# of these from each holder, the requests of any 4 s stay within the limit.
ALLOCATED_FRACTION = 0.75
# Fraction of its share that a daemon with a stale list uses, since another daemon may hold the same
# share by now.
STALE_LIST_FRACTION = 0.25
# Requests per second that are sent to an endpoint whatever its limit, since only its answers can
# raise the limit.
MIN_RATE = 1 / 30


def fleet_rate(limit: float) -> float:
    """Return the requests per second that all daemons together send to an endpoint with a limit."""
    return max(ALLOCATED_FRACTION * limit, MIN_RATE)


def share(
    limit: float,
    endpoint: Endpoint,
    own: Daemon,
    daemons: t.Mapping[str, Daemon],
    knowledge: FleetKnowledge,
) -> float:
    """Return the requests per second that a daemon may send to an endpoint; 0 without a share.

    Only a few daemons hold a share, since the first requests of many would exceed the limit.

    :param limit: requests per second that the endpoint takes from all daemons together.
    """
    if knowledge is FleetKnowledge.NONE or own.id not in daemons:
        return 0.0
    holder_count = max(1, min(len(daemons), math.ceil(limit / RATE_PER_HOLDER)))
    if not _is_holder(endpoint, own, daemons.values(), holder_count):
        return 0.0
    per_holder = fleet_rate(limit) / holder_count
    return per_holder * STALE_LIST_FRACTION if knowledge is FleetKnowledge.OLD else per_holder


def _is_holder(
    endpoint: Endpoint, own: Daemon, daemons: t.Iterable[Daemon], holder_count: int
) -> bool:
    """Return whether a daemon holds a share of an endpoint's limit.

    Holders are chosen by rendezvous hashing, preferably in the endpoint's failure domain.
    """
    key = f"limit {endpoint.id} {endpoint.born}"

    def preference(daemon: Daemon) -> tuple[bool, int, str]:
        is_same_domain = daemon.failure_domain == endpoint.failure_domain
        return is_same_domain, rendezvous.score(key, daemon.id), daemon.id

    own_preference = preference(own)
    return sum(preference(daemon) > own_preference for daemon in daemons) < holder_count
