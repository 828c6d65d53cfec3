"""How far a daemon may rely on its list of daemons when it divides a fixed limit among them.

The shares add up to the limit only if all daemons that use their shares list each other. So a
share is used only with a recent list, and once every other recent list holds this daemon. What a
limit over a window allows is used only by daemons that have been listed for the whole of it.

Owns: nothing.
Relies on: :mod:`.registration` for the lease, and :mod:`.freshness` for the age of the list.
"""

import enum

# A list that is followed is at most 1.4 s old.
RECENT_LIST_MAX_AGE_SECONDS = 2.5
# How long a daemon must be registered until every recent list holds it. It exceeds the age of a
# recent list, since clocks run at different rates.
MIN_REGISTERED_SECONDS = 3.0


class FleetKnowledge(enum.Enum):
    """How reliable a daemon's list of daemons is."""

    # Others may divide a limit without this daemon.
    NONE = "none"
    # Others may have come or left since, and may divide a limit by another list.
    OLD = "old"
    # All daemons with a recent list divide a limit among each other.
    RECENT = "recent"


def fleet_knowledge(
    registered_for: float | None, lease_left: float, list_age: float
) -> FleetKnowledge:
    """Return how reliable a daemon's list of daemons is.

    :param registered_for: seconds since the daemon's record was written; None without a record.
    :param lease_left: seconds for which its record certainly stays.
    :param list_age: seconds for which a change may be missing from the list.
    """
    if registered_for is None or registered_for < MIN_REGISTERED_SECONDS:
        return FleetKnowledge.NONE
    is_recent = lease_left > 0 and list_age <= RECENT_LIST_MAX_AGE_SECONDS
    return FleetKnowledge.RECENT if is_recent else FleetKnowledge.OLD


def has_share_of_window(
    registered_for: float | None, lease_left: float, list_age: float, window: float
) -> bool:
    """Return whether a daemon has a share of what all daemons together may use within a window.

    All that use their shares within a window were then listed by each other when it began. A
    process without memory of what its predecessor used has none until that is out of the window.

    :param registered_for: seconds since the daemon's record was written, without a gap since; None
        without a record.
    :param lease_left: seconds for which its record certainly stays.
    :param list_age: seconds for which a change may be missing from its list.
    :param window: seconds.
    """
    if registered_for is None or lease_left <= 0:
        return False
    return registered_for >= window + MIN_REGISTERED_SECONDS and list_age <= window
