"""The rules for ordering an endpoint to join a group: is it free, and did it take the order.

Pure. The order names the number of orders that the engine had begun at the report by which it was
judged, so it is refused by an engine whose state has changed since, and then the engine is judged
anew.

A report names no endpoint: whatever process has the address answers it. An order is answered only
by the endpoint that is meant, so only such an answer shows that it has joined; an order without an
answer is given again, which means the same to one that carried it out.

Owns: no state.
Relies on: :meth:`.GroupRecords.is_over` for whether the endpoint's former group is over.
"""

import enum
import typing as t

from ..ports import Outcome
from ..store.roster import GroupId
from ..store.roster import Membership
from .orders import ACCEPTED


class Availability(enum.Enum):
    """Where an endpoint stands that is to join a group."""

    FREE = enum.auto()
    TAKEN = enum.auto()


class JoinResult(enum.Enum):
    """What an answer to an order to join means."""

    JOINED = enum.auto()
    REFUSED = enum.auto()
    STATE_CHANGED = enum.auto()


def availability(
    member: Membership | None, group: GroupId, is_over: t.Callable[[GroupId], bool]
) -> Availability:
    """Return where an endpoint stands, from its own report.

    :param member: its place as it reports it.
    :param group: the group that it is to join.
    :param is_over: returns whether a former group answers no more requests.
    """
    if member is None or member.group == group:
        return Availability.FREE
    return Availability.FREE if is_over(member.group) else Availability.TAKEN


def join_result(outcome: Outcome) -> JoinResult:
    """Return what an endpoint's answer to an order to join means."""
    if outcome in ACCEPTED:
        return JoinResult.JOINED
    return JoinResult.STATE_CHANGED if outcome is Outcome.CONFLICT else JoinResult.REFUSED
