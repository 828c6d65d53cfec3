"""Ending groups: making sure that a group answers no more before its members are free.

Only leaders are ordered to leave. A group counts as ended when its leader has left, its process
has ended, or it is neither listed nor heard by any daemon.
"""

import asyncio
import typing as t

from .. import events
from ..exceptions import EndpointError
from ..exceptions import EndpointGoneError
from ..peers.datagrams import PeerChannel
from ..peers.datagrams import Probe
from ..peers.failure_detector import FailureDetector
from ..ports import Close
from ..ports import Leave
from ..ports import Outcome
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import GroupState
from ..store.view import StoreView
from .ended import EndedGroups
from .lost_endpoints import Start
from .orders import Orders
from .records import GroupRecords

ASK_SECONDS = 0.25
LOOK_SECONDS = 0.02
# for a draining group's requests to end
CLOSE_SECONDS = 6.0
# how old the list may be for an endpoint that is missing from it to count as unlisted
LIST_AGE_SECONDS = 2.0
# before a question in which an answer to any daemon still counts as one to it
HEARD_BEFORE_SECONDS = 1.0


class GroupEnding:
    """Ends groups, and knows which are being ended.

    :param start: runs a coroutine beside the others of the controller.
    """

    def __init__(
        self,
        view: StoreView,
        orders: Orders,
        groups: GroupRecords,
        ended: EndedGroups,
        detector: FailureDetector,
        peers: PeerChannel,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._view = view
        self._orders = orders
        self._groups = groups
        self._ended = ended
        self._detector = detector
        self._peers = peers
        self._clock = clock
        self._start = start
        self._under_way: set[GroupId] = set()

    def __contains__(self, group: GroupId) -> bool:
        return group in self._under_way

    def tell(self) -> None:
        """Tell the other daemons which groups are being ended."""
        for group in self._under_way:
            self._ended.tell(group)

    def end(
        self, group: GroupId, cause: str, members: t.Sequence[Endpoint], *, graceful: bool = False
    ) -> None:
        """Begin to end a group.

        :param graceful: let the requests end that it has.
        """
        self._under_way.add(group)
        self._ended.tell(group)
        events.GROUP_ENDED.log(
            group=group.name, cause=cause, members=[one.id for one in members], graceful=graceful
        )
        self._start(self._detach(group, graceful))

    async def _detach(self, group: GroupId, graceful: bool) -> None:
        """Make sure that a group answers no more, and set its members free."""
        begun = self._clock()
        try:
            how = "no record"
            leader = self._groups.leader(group)
            if leader is not None:
                if graceful:
                    await self._drain(leader, group)
                how = await self._detach_from(leader, group)
            self._groups.end(group)
            seconds = round(self._clock() - begun, 3)
            events.GROUP_DETACHED.log(group=group.name, how=how, seconds=seconds)
        finally:
            self._under_way.discard(group)

    async def _drain(self, leader: Endpoint, group: GroupId) -> None:
        """Let a leader finish its requests."""
        until = self._clock() + CLOSE_SECONDS
        try:
            await self._orders.give(leader, Close(group))
        except EndpointError:
            return
        while self._clock() < until:
            member = self._orders.listed(leader)
            if member is None or member.group != group or member.state is GroupState.READY:
                return
            await asyncio.sleep(LOOK_SECONDS)

    async def _detach_from(self, leader: Endpoint, group: GroupId) -> str:
        """Make a leader leave, or wait until it surely is no more."""
        while True:
            try:
                outcome = await self._orders.give(leader, Leave(group))
                if outcome is Outcome.BEGUN or outcome is Outcome.DONE:
                    return "left"
                if not await self._orders.is_in(leader, group):
                    return "in no such group"
            except EndpointGoneError:
                return "process ended"
            except EndpointError:
                if await self._surely_dead(leader):
                    return "neither listed nor heard"
            await asyncio.sleep(ASK_SECONDS)

    async def _surely_dead(self, leader: Endpoint) -> bool:
        """Wait while a leader is silent; False as soon as it answers again."""
        while True:
            unlisted_endpoints = leader.id not in self._view.roster.endpoints
            if unlisted_endpoints and self._view.age() < LIST_AGE_SECONDS:
                asked_at = self._clock()
                self._peers.tell_all(Probe(leader.id))
                answers = await self._orders.answers(leader)
                await asyncio.sleep(2 * ASK_SECONDS)
                if answers:
                    return False
                unlisted_endpoints = leader.id not in self._view.roster.endpoints
                since = asked_at - HEARD_BEFORE_SECONDS
                if unlisted_endpoints and not self._detector.heard_since(leader.id, since):
                    return True
            elif await self._orders.answers(leader):
                return False
            await asyncio.sleep(ASK_SECONDS)
