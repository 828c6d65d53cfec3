"""Who tells whom how many requests are under way, where there are hundreds of daemons.

Where there are many daemons, reports from each to each would be old or too many. So each reports to
its neighbours, the daemons of its failure domain, and two of these tell all others the sum.

Pure.

Owns: nothing.
Relies on: the registered daemons, which all know alike but for moments; a sum that is told by more
daemons or fewer is still replaced by the next one.
"""

import typing as t

from thorncleat_core import rendezvous

# daemons up to which each reports to all others
MOST_THAT_REPORT_TO_ALL = 16
# daemons of a failure domain that tell its sum, so that one may have died
TELLERS = 2
# between two sums of one teller, in seconds: the tellers together tell it twice as often, which
# bounds its age for the choice of an endpoint in another failure domain
SUM_SECONDS = 0.5


def reports_to_all(daemons: int) -> bool:
    """Return whether each daemon reports to all others."""
    return daemons <= MOST_THAT_REPORT_TO_ALL


def tells_sum(own_id: str, neighbours: t.Iterable[str]) -> bool:
    """Return whether this daemon tells the sum of its failure domain."""
    return own_id in rendezvous.rank("sum", {*neighbours, own_id})[:TELLERS]
