"""Rules for the exchange of load reports among many daemons.

Few daemons form a full mesh. Otherwise each daemon reports to its failure domain only, and some
daemons of each domain send its total to all other domains.

Owns: nothing.
Relies on: a list of registered daemons that is nearly the same at all daemons.
"""

import typing as t

from thorncleat_core import rendezvous

MAX_FULL_MESH_DAEMONS = 16
# Daemons of a failure domain that send its total; more than one, so that one may fail.
SUM_SENDERS = 2
# Interval at which each of these daemons sends the total of its failure domain. Together they send
# it twice as often, which bounds its age for the choice of an endpoint in another failure domain.
SUM_INTERVAL_SECONDS = 0.5


def is_full_mesh(daemons: int) -> bool:
    """Return whether each daemon reports to all other daemons."""
    return daemons <= MAX_FULL_MESH_DAEMONS


def is_sum_sender(own_id: str, domain_peers: t.Iterable[str]) -> bool:
    """Return whether this daemon sends the total of its failure domain to the others."""
    return own_id in rendezvous.rank("sum", {*domain_peers, own_id})[:SUM_SENDERS]
