"""Ending groups: making sure that a group answers no more before its members are free.

Only leaders are ordered to leave. A group counts as ended when its leader has left, its process
has ended, or it is dead (:mod:`.leader_liveness`). Which groups are ended, and why, is decided in
:mod:`.group_health`.

Owns: which groups are being ended.
Relies on: the group's record for its leader, and on endpoints that refuse an order to leave a
group that they are not in.
"""

import asyncio
import typing as t

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointRefusedError
from ..exceptions import EndpointReplacedError
from ..ports import Close
from ..ports import Leave
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import GroupState
from .ended import EndedGroups
from .group_health import EndReason
from .jobs import Start
from .leader_liveness import LeaderLiveness
from .orders import ACCEPTED
from .orders import ASK_SECONDS
from .orders import LOOK_SECONDS
from .orders import Orders
from .records import Detached
from .records import GroupRecords

# for the requests of a draining group to end, in seconds
CLOSE_SECONDS = 6.0


class GroupEnding:
    """Ends groups, and knows which are being ended.

    :param start: runs a coroutine beside the others of the controller.
    """

    def __init__(
        self,
        orders: Orders,
        records: GroupRecords,
        ended: EndedGroups,
        liveness: LeaderLiveness,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._orders = orders
        self._records = records
        self._ended = ended
        self._liveness = liveness
        self._clock = clock
        self._start = start
        self._under_way: set[GroupId] = set()

    def __contains__(self, group: GroupId) -> bool:
        return group in self._under_way

    def tell(self) -> None:
        """Tell the other daemons which groups are being ended."""
        for group in self._under_way:
            self._ended.tell(group)

    def end(self, group: GroupId, reason: EndReason, members: t.Sequence[Endpoint]) -> None:
        """Begin to end a group.

        :param members: those that are known, for the log.
        """
        self._under_way.add(group)
        self._ended.tell(group)
        events.GROUP_ENDED.log(
            group=group.name,
            cause=reason.value,
            members=[member.id for member in members],
            graceful=reason.graceful,
        )
        self._start(self._detach(group, reason.graceful))

    async def _detach(self, group: GroupId, graceful: bool) -> None:
        """Make sure that a group answers no more, and set its members free.

        :param graceful: let the requests end that it has.
        """
        begun = self._clock()
        try:
            how = Detached.NO_RECORD
            leader = self._records.leader(group)
            if leader is not None:
                if graceful:
                    await self._drain(leader, group)
                how = await self._detach_leader(leader, group)
            self._records.end(group, how)
            seconds = round(self._clock() - begun, 3)
            events.GROUP_DETACHED.log(group=group.name, how=how.value, seconds=seconds)
        finally:
            self._under_way.discard(group)

    async def _drain(self, leader: Endpoint, group: GroupId) -> None:
        """Let a leader finish its requests."""
        until = self._clock() + CLOSE_SECONDS
        try:
            await self._orders.give(leader, Close(group))
        except EndpointError:
            # the order to leave that follows finds out what has become of it
            return
        while self._clock() < until:
            member = self._orders.listed(leader)
            if member is None or member.group != group or member.state is GroupState.READY:
                return
            await asyncio.sleep(LOOK_SECONDS)

    async def _detach_leader(self, leader: Endpoint, group: GroupId) -> Detached:
        """Make a leader leave, or wait until it is dead."""
        while True:
            try:
                outcome = await self._orders.give(leader, Leave(group))
                if outcome in ACCEPTED:
                    return Detached.LEFT
                if not await self._orders.is_in(leader, group):
                    return Detached.ELSEWHERE
            except EndpointReplacedError:
                return Detached.PROCESS_ENDED
            except EndpointRefusedError:
                if await self._liveness.has_ended(leader):
                    return Detached.PROCESS_ENDED
            except EndpointError:
                if await self._liveness.wait_dead(leader):
                    return Detached.DEAD
            await asyncio.sleep(ASK_SECONDS)
