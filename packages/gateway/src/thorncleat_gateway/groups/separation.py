"""Takes a group's members away from a leader that may be cut off, until the group is broken.

A leader that no daemon reaches may have died, or may go on with members that reach it. It stands
still once one of them has left, and is broken after the stall.

Owns: the members that have been ordered to leave and may not be used yet.
Relies on: the list and its recently removed endpoints for the members of a group, and on endpoints
to refuse an order to leave a group that they are not in.
"""

import asyncio
import dataclasses
import enum
import typing as t

from ..exceptions import EndpointError
from ..exceptions import EndpointReplacedError
from ..ports import Leave
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.view import StoreView
from .orders import ACCEPTED
from .orders import Orders

# How much later than it was sent an order without an answer may be carried out: by the platform's
# rules, and the time to send it.
MAX_ORDER_DELAY_SECONDS = 12.0 + 0.5
# How much later than after its stall a leader may notice that it is broken.
BREAK_DELAY_SECONDS = 0.3
# States of a leader that has carried out an order to open its group.
OPENED_STATES = (GroupState.OPEN, GroupState.CLOSING, GroupState.BROKEN)


def seconds_until_broken(stall: float) -> float:
    """Return the seconds from the leaving of a member until its group is certainly broken.

    :param stall: seconds after which a group that lacks a member is broken.
    """
    return stall + BREAK_DELAY_SECONDS


class Separated(enum.Enum):
    """What is known of a group whose leader no daemon reaches."""

    # It no longer answers.
    BROKEN = enum.auto()
    # No member is listed and none answers, so no member can be used either.
    ALL_SILENT = enum.auto()
    # A member may yet be ordered to leave, or the stall isn't over.
    UNDECIDED = enum.auto()


@dataclasses.dataclass(eq=False)
class Separation:
    """State of taking the members of a group away from its leader.

    :param leader: None if it is unknown.
    :param left_at: when a member had certainly left; None before.
    :param ordered: ids of the members that were ordered to leave.
    """

    group: GroupId
    leader: Endpoint | None
    left_at: float | None = None
    ordered: set[str] = dataclasses.field(default_factory=set)

    @property
    def has_begun(self) -> bool:
        """Whether a member has left, so that the group can't be kept."""
        return self.left_at is not None


class MemberSeparator:
    """Orders members of groups without a leader to leave, and waits until the groups are broken.

    One is created at the beginning of each term.

    :param stall: seconds after which a group that lacks a member is broken.
    """

    def __init__(
        self, view: StoreView, orders: Orders, stall: float, clock: t.Callable[[], float]
    ) -> None:
        self._view = view
        self._orders = orders
        self._stall = stall
        self._clock = clock
        self._began_at = clock()
        self._under_way: list[Separation] = []

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint was ordered to leave a group that may not be broken yet."""
        return any(endpoint.id in separation.ordered for separation in self._under_way)

    def begin(self, group: GroupId, leader: Endpoint | None) -> Separation:
        """Return the state for a group that is being ended."""
        separation = Separation(group, leader)
        self._under_way.append(separation)
        return separation

    def end(self, separation: Separation) -> None:
        """Let the members be used, since their group no longer answers or the term is over."""
        self._under_way.remove(separation)

    async def separate(self, separation: Separation) -> Separated:
        """Order the members that answer to leave unless one has left; return what that shows."""
        if not separation.has_begun:
            await self._order_all_to_leave(separation)
        if separation.left_at is None:
            return self._state_without_answers(separation)
        stands_still_at = max(separation.left_at, self._opens_until(separation))
        broken_at = stands_still_at + seconds_until_broken(self._stall)
        return Separated.BROKEN if self._clock() >= broken_at else Separated.UNDECIDED

    def _opens_until(self, separation: Separation) -> float:
        """Return until when a leader may carry out an order to open its group.

        One that opens without a member serves, and stalls only from then on. An earlier controller
        may have sent the order until this term began.
        """
        if self._was_open(separation):
            return float("-inf")
        sent_at = max(self._began_at, self._orders.unanswered_open_at(separation.group))
        return sent_at + MAX_ORDER_DELAY_SECONDS

    def _was_open(self, separation: Separation) -> bool:
        """Return whether a leader's latest entry shows that its group was opened."""
        if separation.leader is None:
            return False
        roster = self._view.roster
        removed = roster.removed.get(separation.leader.id)
        leader = roster.endpoints.get(separation.leader.id, removed.endpoint if removed else None)
        member = leader.membership if leader is not None else None
        return (
            member is not None
            and member.group == separation.group
            and member.state in OPENED_STATES
        )

    def _state_without_answers(self, separation: Separation) -> Separated:
        listed = self._view.roster.endpoints
        if any(member.id in listed for member in self._members(separation)):
            return Separated.UNDECIDED
        return Separated.ALL_SILENT

    async def _order_all_to_leave(self, separation: Separation) -> None:
        members = self._members(separation)
        leavings = await asyncio.gather(
            *(self._order_to_leave(member, separation) for member in members)
        )
        separation.left_at = min((at for at in leavings if at is not None), default=None)

    async def _order_to_leave(self, member: Endpoint, separation: Separation) -> float | None:
        """Order a member to leave; return when it had certainly left, or None if it may not."""
        group = separation.group
        try:
            report = await self._orders.fetch_member_report(member)
            if report.membership is None or report.membership.group != group:
                return self._left_at(member, group)
            separation.ordered.add(member.id)
            has_left = await self._orders.send(member, Leave(group)) in ACCEPTED
            return self._clock() if has_left else None
        except EndpointReplacedError:
            return self._left_at(member, group)
        except EndpointError:
            # It may still be in the group, whether it is silent or refuses connections.
            return None

    def _left_at(self, member: Endpoint, group: GroupId) -> float:
        """Return when a member that isn't in a group any more had left it at the latest."""
        ungrouped = self._view.roster.ungrouped.get(member.id)
        if ungrouped is not None and ungrouped.former == group:
            return ungrouped.since
        return self._clock()

    def _members(self, separation: Separation) -> list[Endpoint]:
        """Return a group's members without its leader: listed, lately removed, or lately left."""
        roster = self._view.roster
        removed = (entry.endpoint for entry in roster.removed.values())
        leader_id = separation.leader.id if separation.leader is not None else None
        return [
            endpoint
            for endpoint in (*roster.endpoints.values(), *removed)
            if endpoint.id != leader_id and self._was_in(endpoint, separation.group)
        ]

    def _was_in(self, endpoint: Endpoint, group: GroupId) -> bool:
        """Return whether a group is the latest one that an endpoint was listed in."""
        if endpoint.membership is not None:
            return endpoint.membership.group == group
        ungrouped = self._view.roster.ungrouped.get(endpoint.id)
        return ungrouped is not None and ungrouped.former == group
