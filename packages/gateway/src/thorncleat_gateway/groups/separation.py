"""Takes a group's members away from a leader that may be cut off, until the group is broken.

A leader that is neither listed nor heard may have died, or may go on with members that reach it. It
stands still once one of them has left, and is broken after the stall.

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
from ..exceptions import EndpointTimeoutError
from ..ports import Leave
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.view import StoreView
from .orders import ACCEPTED
from .orders import PROBE_INTERVAL_SECONDS
from .orders import Orders

# How much later than after its stall a leader may notice that it is broken.
BREAK_DELAY_SECONDS = 0.3


class Separated(enum.Enum):
    """What is known of a group whose leader is neither listed nor heard."""

    # It no longer answers.
    BROKEN = enum.auto()
    # No member is listed and none answers, so no member can be used either.
    ALL_SILENT = enum.auto()
    # A member may yet be ordered to leave, or the leader isn't silent any more.
    UNDECIDED = enum.auto()


@dataclasses.dataclass(eq=False)
class Separation:
    """State of taking the members of a group away from its leader.

    :param left_at: when a member had certainly left; None before.
    :param ordered: ids of the members that were ordered to leave.
    """

    group: GroupId
    leader: Endpoint
    left_at: float | None = None
    ordered: set[str] = dataclasses.field(default_factory=set)


class MemberSeparator:
    """Orders members of groups without a leader to leave, and waits until the groups are broken.

    :param stall: seconds after which a group that lacks a member is broken.
    """

    def __init__(
        self, view: StoreView, orders: Orders, stall: float, clock: t.Callable[[], float]
    ) -> None:
        self._view = view
        self._orders = orders
        self._stall = stall
        self._clock = clock
        self._under_way: list[Separation] = []

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint was ordered to leave a group that may not be broken yet."""
        return any(endpoint.id in separation.ordered for separation in self._under_way)

    def begin(self, group: GroupId, leader: Endpoint) -> Separation:
        """Return the state for a group that is being ended."""
        separation = Separation(group, leader)
        self._under_way.append(separation)
        return separation

    def end(self, separation: Separation) -> None:
        """Let the members be used, since their group no longer answers or the term is over."""
        self._under_way.remove(separation)

    async def separate(self, separation: Separation) -> Separated:
        """Order the members that answer to leave, and wait until the group is broken.

        The wait ends if the leader isn't silent any more.
        """
        await self._order_all_to_leave(separation)
        if separation.left_at is None:
            return self._state_without_answers(separation)
        broken_at = separation.left_at + self._stall + BREAK_DELAY_SECONDS
        while self._clock() < broken_at:
            if not await self._is_silent(separation.leader):
                return Separated.UNDECIDED
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        return Separated.BROKEN

    def _state_without_answers(self, separation: Separation) -> Separated:
        listed = self._view.roster.endpoints
        if any(member.id in listed for member in self._members(separation)):
            return Separated.UNDECIDED
        return Separated.ALL_SILENT

    async def _order_all_to_leave(self, separation: Separation) -> None:
        members = self._members(separation)
        results = await asyncio.gather(
            *(self._order_to_leave(member, separation) for member in members)
        )
        if any(results) and separation.left_at is None:
            separation.left_at = self._clock()

    async def _order_to_leave(self, member: Endpoint, separation: Separation) -> bool:
        """Order a member to leave; return whether it is certainly not in the group any more."""
        group = separation.group
        try:
            report = await self._orders.fetch_member_report(member)
            if report.membership is None or report.membership.group != group:
                return True
            separation.ordered.add(member.id)
            return await self._orders.send(member, Leave(group)) in ACCEPTED
        except EndpointReplacedError:
            return True
        except EndpointError:
            # It may still be in the group, whether it is silent or refuses connections.
            return False

    async def _is_silent(self, leader: Endpoint) -> bool:
        try:
            await self._orders.fetch_member_report(leader)
        except EndpointTimeoutError:
            return True
        except EndpointError:
            # Whether it has ended is determined otherwise.
            return False
        return False

    def _members(self, separation: Separation) -> list[Endpoint]:
        """Return a group's members without its leader, listed or lately removed."""
        roster = self._view.roster
        removed = (entry.endpoint for entry in roster.removed.values())
        return [
            endpoint
            for endpoint in (*roster.endpoints.values(), *removed)
            if endpoint.membership is not None
            and endpoint.membership.group == separation.group
            and endpoint.id != separation.leader.id
        ]
