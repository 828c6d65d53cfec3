"""Whether a request is admitted or shed, by what the groups of its model can still take.

Owns: nothing; every rule is a pure function.
Relies on: :mod:`..capacity_estimate` for the capacity, :mod:`.present_levels` for the levels that
compete for it, and :mod:`.pacing` for this daemon's share of it.
"""

import enum

from ..capacity_estimate import CapacityEstimate

# Share of the slots that each level leaves to each more urgent level that competes with it. Groups
# in full use start slots / service_seconds requests a second. With requests of some seconds and
# load reports each 0.1 to 0.5 s, up to a tenth of the slots is taken between two reports; this
# divides that tenth among a few levels.
RESERVED_FRACTION_PER_LEVEL = 0.02
# Share of the slots that the least urgent level leaves free at most: what is taken between two
# reports. A larger reserve would leave slots idle that no more urgent caller could have needed.
MAX_RESERVED_FRACTION = 0.1
# Requests for each slot from which workspaces keep to their shares. Between two load reports within
# a failure domain, requests of some seconds take about a twentieth of the slots: a higher threshold
# would leave no slot to share, and a lower one would keep callers from slots that no other needs.
PRESSURE_THRESHOLD = 0.95
# Mean age of the load reports, as a fraction of the oldest one's.
MEAN_REPORT_AGE = 0.5

# Requests that take a slot for a shorter time have left it before the next load report. The reports
# then tell the average use, but no free slot that could be reserved or shared out.
MIN_LASTING_SECONDS = 0.5
# Share of the time left that each more urgent level takes from short requests, so that the less
# urgent ones are shed first. They wait for milliseconds, so that is felt in long queues only.
TARGET_FRACTION_PER_LEVEL = 0.1
MIN_TARGET_FRACTION = 0.5
# Share of the time left up to which short requests wait whoever sent them; beyond it daemons keep
# to their shares. The rest is left for what all daemons admit before the next load reports.
UNSHARED_TARGET_FRACTION = 0.5


class ShedCause(enum.Enum):
    """Why a request is shed; the value is logged and sent to the caller."""

    RESERVED = "the free slots are reserved for more urgent requests"
    LATE = "no free slot, and the first event would miss its target"
    PACED = "no slot left in the share of this daemon"
    OVER_SHARE = "the workspace is over its fair share"


def reserved_slots(slots: int, urgent_levels: int) -> float:
    """Return the number of free slots that a request leaves to more urgent ones.

    :param urgent_levels: more urgent levels that compete for the slots.
    """
    fraction = min(RESERVED_FRACTION_PER_LEVEL * urgent_levels, MAX_RESERVED_FRACTION)
    return fraction * slots


def expected_first_event(capacity: CapacityEstimate) -> float:
    """Return the expected seconds until the first event.

    The least loaded group of a late report is soon not the least loaded one any more, so the wait
    is at least that of all groups together.
    """
    waiting = capacity.running - capacity.slots
    if waiting <= 0 or not capacity.freed_per_second:
        return capacity.first_event
    return max(capacity.first_event, waiting / capacity.freed_per_second)


def shared_pressure(capacity: CapacityEstimate, urgent_levels: int) -> float:
    """Return the requests for each slot from which daemons keep to their shares.

    The most urgent level may take every slot. The others leave what has been taken since the load
    reports, up to the largest reserve.
    """
    if not urgent_levels:
        return 1.0
    taken_fraction = MEAN_REPORT_AGE * capacity.report_age / capacity.seconds_in_slot
    return 1.0 - min(taken_fraction, MAX_RESERVED_FRACTION)


def shed_cause(
    capacity: CapacityEstimate, urgent_levels: int, target_left: float, *, has_share: bool
) -> ShedCause | None:
    """Return why a request is shed, or None if it is admitted.

    A late answer is worth little to its caller and makes others late, so a request that would miss
    its target is better refused at once. The estimate alone never turns a request away from a free
    slot, since it may be wrong.

    :param urgent_levels: more urgent levels that compete for the slots.
    :param target_left: seconds left until the target of the first event.
    :param has_share: whether the request is within this daemon's share of the slots that come free.
    """
    if not capacity.groups or not capacity.slots:
        # Without a group the request is refused for another cause.
        return None
    if capacity.seconds_in_slot < MIN_LASTING_SECONDS:
        return _short_cause(capacity, urgent_levels, target_left, has_share=has_share)
    if urgent_levels and capacity.free_slots <= reserved_slots(capacity.slots, urgent_levels):
        return ShedCause.RESERVED
    if not capacity.free_slots and expected_first_event(capacity) > target_left:
        return ShedCause.LATE
    is_shared = capacity.pressure >= shared_pressure(capacity, urgent_levels)
    return ShedCause.PACED if is_shared and not has_share else None


def _short_cause(
    capacity: CapacityEstimate, urgent_levels: int, target_left: float, *, has_share: bool
) -> ShedCause | None:
    """Return why a short request is shed, by the expected wait only."""
    fraction = max(MIN_TARGET_FRACTION, 1 - TARGET_FRACTION_PER_LEVEL * urgent_levels)
    expected = expected_first_event(capacity) / fraction
    if capacity.free_slots or expected <= UNSHARED_TARGET_FRACTION * target_left:
        return None
    if expected > target_left:
        return ShedCause.LATE
    return None if has_share else ShedCause.PACED
