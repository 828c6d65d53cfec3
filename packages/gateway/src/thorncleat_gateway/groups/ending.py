"""Ends groups: ensures that a group no longer answers before its members are released.

Only leaders are ordered to leave; a group has ended once its leader has left or is dead.
:mod:`.group_health` decides which groups are ended and why.

Owns: which groups are being ended.
Relies on: the group's record for its leader, and on endpoints to refuse an order to leave a group
that they are not in.
"""

import asyncio
import typing as t

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointRefusedError
from ..exceptions import EndpointReplacedError
from ..peers.load_table import LoadTable
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
from .orders import POLL_INTERVAL_SECONDS
from .orders import PROBE_INTERVAL_SECONDS
from .orders import Orders
from .records import Detached
from .records import GroupRecords

# How long the requests of a draining group may take to finish.
DRAIN_TIMEOUT_SECONDS = 6.0


class GroupEnding:
    """Ends groups and holds those that are being ended.

    :param start: starts a background job of the term.
    """

    def __init__(
        self,
        orders: Orders,
        records: GroupRecords,
        ended: EndedGroups,
        liveness: LeaderLiveness,
        load_table: LoadTable,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._orders = orders
        self._records = records
        self._ended = ended
        self._liveness = liveness
        self._load_table = load_table
        self._clock = clock
        self._start = start
        self._under_way: set[GroupId] = set()

    def __contains__(self, group: GroupId) -> bool:
        return group in self._under_way

    def broadcast(self) -> None:
        """Broadcast to the other daemons which groups are being ended."""
        for group in self._under_way:
            self._ended.broadcast(group)

    def end(
        self,
        group: GroupId,
        reason: EndReason,
        members: t.Sequence[Endpoint],
        drain_timeout: float = DRAIN_TIMEOUT_SECONDS,
    ) -> None:
        """Begin to end a group.

        :param members: the members that are listed, for the log.
        :param drain_timeout: how long its requests may take to finish, if it is drained.
        """
        self._under_way.add(group)
        self._ended.broadcast(group)
        events.GROUP_ENDED.log(
            group=group.name,
            cause=reason.value,
            members=[member.id for member in members],
            graceful=reason.is_graceful,
        )
        self._start(self._detach(group, drain_timeout if reason.is_graceful else None))

    async def _detach(self, group: GroupId, drain_timeout: float | None) -> None:
        """Ensure that a group no longer answers, and release its members.

        :param drain_timeout: how long its requests may take to finish first; None not to wait.
        """
        started_at = self._clock()
        try:
            how, requests = Detached.NO_RECORD, 0
            leader = self._records.leader(group)
            if leader is not None:
                if drain_timeout is not None:
                    await self._drain(leader, group, drain_timeout)
                requests = self._load_table.request_count(leader.id)
                how = await self._detach_leader(leader, group)
            self._records.end(group, how)
            seconds = round(self._clock() - started_at, 3)
            events.GROUP_DETACHED.log(
                group=group.name, how=how.value, seconds=seconds, requests=requests
            )
        finally:
            self._under_way.discard(group)

    async def _drain(self, leader: Endpoint, group: GroupId, timeout: float) -> None:
        """Order a leader to finish its requests, and wait until it has or the timeout passes."""
        deadline = self._clock() + timeout
        try:
            await self._orders.send(leader, Close(group))
        except EndpointError:
            # The order to leave that follows determines the leader's state.
            return
        while self._clock() < deadline:
            member = self._orders.listed_membership(leader)
            if member is None or member.group != group or member.state is GroupState.READY:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _detach_leader(self, leader: Endpoint, group: GroupId) -> Detached:
        """Order a leader to leave its group until it has left, has ended, or is dead."""
        while True:
            try:
                outcome = await self._orders.send(leader, Leave(group))
                if outcome in ACCEPTED:
                    return Detached.LEFT
                if not await self._orders.is_member(leader, group):
                    return Detached.ELSEWHERE
            except EndpointReplacedError:
                return Detached.PROCESS_ENDED
            except EndpointRefusedError:
                if await self._liveness.has_ended(leader):
                    return Detached.PROCESS_ENDED
            except EndpointError:
                if await self._liveness.wait_dead(leader):
                    return Detached.DEAD
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
