"""How far a daemon may trust its list of daemons, to share something with all of them.

What a fixed figure allows all daemons together is divided by the list: each works out its own part
and asks nobody. The parts add up to the whole only if all who use one divide it among lists that
hold all of them. That is so while each user knows a recent list, is registered for longer than a
recent list can be old, and is still registered: then any two of them stand in each other's lists,
whoever else comes, goes or is cut off.

Pure.

Owns: nothing.
Relies on: :mod:`.registration` for the lease, and :mod:`.freshness` for the age of the list.
"""

import enum

# age up to which a list counts as recent: one that is followed is 1.4 s old at most
RECENT_LIST_MAX_AGE_SECONDS = 2.5
# for which a daemon is registered until every recent list holds it; more than such a list's age,
# since clocks run unlike
MIN_REGISTERED_SECONDS = 3.0


class FleetKnowledge(enum.Enum):
    """What a daemon's list of daemons is good for."""

    # others may divide without this daemon
    NONE = "none"
    # others may have come or gone since, and may divide by another list
    OLD = "old"
    # all who know as much divide among each other
    RECENT = "recent"


def fleet_knowledge(
    registered_for: float | None, lease_left: float, list_age: float
) -> FleetKnowledge:
    """Return what a daemon's list of daemons is good for.

    :param registered_for: seconds for which its record has stood; None if it doesn't.
    :param lease_left: seconds that its record stands for certain.
    :param list_age: seconds for which a change may have been made that the list doesn't show.
    """
    if registered_for is None or registered_for < MIN_REGISTERED_SECONDS:
        return FleetKnowledge.NONE
    is_recent = lease_left > 0 and list_age <= RECENT_LIST_MAX_AGE_SECONDS
    return FleetKnowledge.RECENT if is_recent else FleetKnowledge.OLD
