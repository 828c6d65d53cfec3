"""Rules for ordering an endpoint into a group: whether it is free, and whether it has joined.

An order to join names the order count of the report that showed the engine as free, so an engine
whose state has changed since then refuses the order.

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
    """Whether an endpoint may be ordered into a group."""

    FREE = enum.auto()
    TAKEN = enum.auto()


class JoinResult(enum.Enum):
    """Result of an order to join."""

    JOINED = enum.auto()
    REFUSED = enum.auto()
    STATE_CHANGED = enum.auto()


def availability(
    member: Membership | None, group: GroupId, is_over: t.Callable[[GroupId], bool]
) -> Availability:
    """Return whether an endpoint may join a group, by its own report.

    :param member: the endpoint's reported membership.
    :param group: the group to join.
    :param is_over: returns whether a former group no longer answers requests.
    """
    if member is None or member.group == group:
        return Availability.FREE
    return Availability.FREE if is_over(member.group) else Availability.TAKEN


def join_result(outcome: Outcome) -> JoinResult:
    """Return the result of an order to join from the endpoint's answer.

    Only this answer shows that an endpoint has joined: a report may come from another endpoint at
    the same address.
    """
    if outcome in ACCEPTED:
        return JoinResult.JOINED
    return JoinResult.STATE_CHANGED if outcome is Outcome.CONFLICT else JoinResult.REFUSED
