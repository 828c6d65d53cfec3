"""Ends groups: ensures that a group no longer answers before its members are released.

A group has ended once its leader has left or another process has its address, or once it is broken
because members have left a leader that no daemon reaches. One whose members were only silent is
kept if all of them serve it again before that. No order is sent to a leader while it is silent,
since a paused one would carry it out when it goes on.

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
from ..exceptions import EndpointTimeoutError
from ..peers.load_table import LoadTable
from ..ports import Close
from ..ports import Leave
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.roster import Membership
from .ended import BROADCAST_INTERVAL_SECONDS
from .ended import EndedGroups
from .group_health import EndReason
from .group_recovery import MAX_PAUSE_SECONDS
from .group_recovery import GroupRecovery
from .jobs import Start
from .leader_liveness import Absence
from .leader_liveness import LeaderLiveness
from .lost_endpoints import LostEndpoints
from .orders import ACCEPTED
from .orders import POLL_INTERVAL_SECONDS
from .orders import PROBE_INTERVAL_SECONDS
from .orders import Orders
from .records import Detached
from .records import GroupRecords
from .separation import MemberSeparator
from .separation import Separated
from .separation import Separation

# How long the requests of a draining group may take to finish.
DRAIN_TIMEOUT_SECONDS = 6.0
# How often it is told again that a group is kept.
KEPT_REPEATS = 2


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
        recovery: GroupRecovery,
        separator: MemberSeparator,
        lost: LostEndpoints,
        load_table: LoadTable,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._orders = orders
        self._records = records
        self._ended = ended
        self._liveness = liveness
        self._recovery = recovery
        self._separator = separator
        self._lost = lost
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

        :param members: the members that are listed; all of them have to serve for it to be kept.
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
        self._start(self._end(group, reason, members, drain_timeout))

    async def _end(
        self,
        group: GroupId,
        reason: EndReason,
        members: t.Sequence[Endpoint],
        drain_timeout: float,
    ) -> None:
        """Ensure that a group no longer answers, and release its members, or keep it."""
        started_at = self._clock()
        try:
            leader = self._records.leader(group) or await self._wait_leader(group)
            if leader is None:
                self._release(group, Detached.BROKEN, 0, started_at)
                return
            if reason.is_graceful:
                await self._drain(leader, group, drain_timeout)
            requests = self._load_table.request_count(leader.id)
            how = await self._detach_leader(leader, group, members if reason.is_revocable else ())
            if how is not None:
                self._release(group, how, requests, started_at)
            else:
                self._keep(group, leader, members, started_at)
        finally:
            self._under_way.discard(group)

    def _release(self, group: GroupId, how: Detached, requests: int, started_at: float) -> None:
        """Record that a group has ended, so that its members may be used.

        :param requests: how many requests ran there, without those that a drain let finish.
        """
        self._records.end(group, how)
        seconds = round(self._clock() - started_at, 3)
        events.GROUP_DETACHED.log(
            group=group.name, how=how.value, seconds=seconds, requests=requests
        )

    def _keep(
        self, group: GroupId, leader: Endpoint, members: t.Sequence[Endpoint], started_at: float
    ) -> None:
        """Use a group again whose members all serve it.

        :raises LeaseError: if this daemon may no longer be the controller.
        """
        self._orders.check_lease()
        self._lost.mark_answering(members)
        self._ended.keep(group, leader.id)
        self._start(self._repeat_kept(group, leader))
        seconds = round(self._clock() - started_at, 3)
        events.GROUP_KEPT.log(
            group=group.name, members=[member.id for member in members], seconds=seconds
        )

    async def _repeat_kept(self, group: GroupId, leader: Endpoint) -> None:
        """Tell the other daemons again that a group is kept, since datagrams may be lost."""
        for _ in range(KEPT_REPEATS):
            await asyncio.sleep(BROADCAST_INTERVAL_SECONDS)
            if group in self._under_way:
                return
            self._orders.check_lease()
            self._ended.keep(group, leader.id)

    async def _drain(self, leader: Endpoint, group: GroupId, timeout: float) -> None:
        """Order a leader to finish its requests, and wait until it has or the timeout passes."""
        deadline = self._clock() + timeout
        if not await self._close(leader, group, deadline):
            # The order to leave that follows determines the leader's state.
            return
        while self._clock() < deadline:
            is_listed = self._orders.is_listed(leader)
            try:
                member = await self._latest_membership(leader)
            except EndpointTimeoutError:
                # It may only pause.
                pass
            except EndpointError:
                return
            else:
                if member is None or member.group != group or member.state is GroupState.READY:
                    return
            await asyncio.sleep(POLL_INTERVAL_SECONDS if is_listed else PROBE_INTERVAL_SECONDS)

    async def _latest_membership(self, leader: Endpoint) -> Membership | None:
        """Return a leader's membership as listed, or as it reports if it isn't listed.

        :raises EndpointError: if it is asked and doesn't answer.
        """
        if self._orders.is_listed(leader):
            return self._orders.listed_membership(leader)
        return (await self._orders.fetch_member_report(leader)).membership

    async def _close(self, leader: Endpoint, group: GroupId, deadline: float) -> bool:
        """Order a leader to finish its requests; return whether it has answered in time.

        One that is silent for longer than a sound one may be has most likely died.
        """
        deadline = min(deadline, self._clock() + MAX_PAUSE_SECONDS)
        while self._clock() < deadline:
            try:
                await self._orders.send(leader, Close(group))
                return True
            except EndpointTimeoutError:
                # It may only pause; the order is idempotent.
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            except EndpointError:
                return False
        return False

    async def _detach_leader(
        self, leader: Endpoint, group: GroupId, recoverable: t.Sequence[Endpoint]
    ) -> Detached | None:
        """Order a leader to leave its group until it has left, has ended, or is dead.

        :param recoverable: the members of a group that is kept if all of them serve it again.
        :returns: None if the group is kept.
        """
        if recoverable and await self._recovery.wait_recovered(group, recoverable):
            return None
        separation = self._separator.begin(group, leader)
        try:
            return await self._wait_detached(separation, leader, recoverable)
        finally:
            self._separator.end(separation)

    async def _wait_detached(
        self, separation: Separation, leader: Endpoint, recoverable: t.Sequence[Endpoint]
    ) -> Detached | None:
        """Order a leader to leave until it has; return None if the group is kept."""
        group = separation.group
        absence: Absence | None = None
        while True:
            try:
                # A silent leader gets no order.
                await self._orders.fetch_member_report(leader)
                if absence is not None and await self._is_recovered(separation, recoverable):
                    return None
                how = await self._order_to_leave(leader, group)
                if how is not None:
                    return how
                absence = None
            except EndpointReplacedError:
                return Detached.PROCESS_ENDED
            except EndpointError as error:
                absence = absence or Absence(leader)
                absence.record(self._clock(), refused=isinstance(error, EndpointRefusedError))
                how = await self._separate(separation, absence)
                if how is not None:
                    return how
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            if await self._is_recovered(separation, recoverable):
                return None

    async def _wait_leader(self, group: GroupId) -> Endpoint | None:
        """Take the members of a group away whose leader neither its record nor the list names.

        :returns: the leader, if it is listed before the group is broken.
        """
        separation = self._separator.begin(group, None)
        try:
            while (leader := self._records.leader(group)) is None:
                if await self._separator.separate(separation) is Separated.BROKEN:
                    return None
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            return leader
        finally:
            self._separator.end(separation)

    async def _is_recovered(
        self, separation: Separation, recoverable: t.Sequence[Endpoint]
    ) -> bool:
        """Return whether all members of a group that may be kept serve it again."""
        if not recoverable or separation.has_begun:
            return False
        return await self._recovery.is_recovered(separation.group, recoverable)

    async def _separate(self, separation: Separation, absence: Absence) -> Detached | None:
        """Take the members away from a leader that no daemon reaches.

        :returns: None while the group may still answer with them.
        """
        if not separation.has_begun and not await self._liveness.is_lost(absence):
            return None
        match await self._separator.separate(separation):
            case Separated.BROKEN:
                return Detached.BROKEN
            case Separated.ALL_SILENT:
                self._records.mark_silent(separation.group)
                return Detached.DEAD
        return None

    async def _order_to_leave(self, leader: Endpoint, group: GroupId) -> Detached | None:
        """Order a leader to leave its group.

        :returns: None if it refuses and is still in the group.
        :raises EndpointError: if it doesn't answer.
        """
        if await self._orders.send(leader, Leave(group)) in ACCEPTED:
            return Detached.LEFT
        if not await self._orders.is_member(leader, group):
            return Detached.ELSEWHERE
        return None
