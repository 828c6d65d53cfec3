"""Determines whether a group whose members were silent serves again, so that it need not end.

A sound endpoint may pause for a second: it accepts connections, and answers when it goes on. Until
a member has been silent for longer than that, its group may go on with all it runs.

Owns: no state.
Relies on: the members' own reports, and :mod:`.witnesses` for members that answer other daemons.
"""

import asyncio
import enum
import typing as t

from ..exceptions import EndpointError
from ..exceptions import EndpointRefusedError
from ..exceptions import EndpointReplacedError
from ..exceptions import EndpointTimeoutError
from ..ports import EngineReport
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import GroupState
from .lost_endpoints import LostEndpoints
from .orders import READY_STATES
from .orders import Orders
from .witnesses import Witnesses

# Longest pause of a sound endpoint. Only after it, other daemons are asked whether it answers them:
# it takes some time to go on.
MAX_PAUSE_SECONDS = 1.5
# Interval between two rounds of probes. With the time-out of a probe it is short enough that a
# probe meets an endpoint which goes on for a moment between two pauses.
ROUND_INTERVAL_SECONDS = 0.05
# How much of a silence the lateness of this daemon's own event loop may excuse.
MAX_EXCUSED_SECONDS = 3.0


class MemberState(enum.Enum):
    """What a probe shows of a member of a group that is to be ended."""

    SERVING = "serving"
    SILENT = "silent"
    # It has left the group, has restarted, or its process has ended.
    GONE = "gone"


def state_of(
    report: EngineReport, group: GroupId, rank: int, *, has_restarted: bool
) -> MemberState:
    """Return the state of a member that has answered a probe.

    :param rank: its rank in the group; the leader's is 0.
    :param has_restarted: whether its report is from another incarnation than its entry.
    """
    membership = report.membership
    if has_restarted or membership is None or not membership.is_at(group, rank):
        return MemberState.GONE
    serving_states = (GroupState.OPEN,) if rank == 0 else READY_STATES
    return MemberState.SERVING if membership.state in serving_states else MemberState.GONE


class Silences:
    """For how long members have been silent, without the time in which the own loop was late.

    :param began_at: when the silence of a member began, by its id.
    """

    def __init__(self, began_at: t.Mapping[str, float]) -> None:
        self._began_at = dict(began_at)
        self._excused_seconds = 0.0

    def record_answer(self, endpoint_id: str) -> None:
        """End a member's silence."""
        self._began_at.pop(endpoint_id, None)

    def record_silence(self, endpoint_id: str, asked_at: float) -> None:
        """Begin a member's silence unless it has begun."""
        self._began_at.setdefault(endpoint_id, asked_at)

    def excuse(self, seconds: float) -> None:
        """Leave out some time in which the own event loop was late."""
        seconds = min(seconds, MAX_EXCUSED_SECONDS - self._excused_seconds)
        self._excused_seconds += seconds
        self._began_at = {key: at + seconds for key, at in self._began_at.items()}

    def over(self, seconds: float, now: float) -> list[str]:
        """Return the ids of the members that have been silent for some time or longer."""
        return [key for key, at in self._began_at.items() if now - at >= seconds]


class GroupRecovery:
    """Probes the members of groups that are to be ended because members were silent."""

    def __init__(
        self,
        orders: Orders,
        lost: LostEndpoints,
        witnesses: Witnesses,
        clock: t.Callable[[], float],
    ) -> None:
        self._orders = orders
        self._lost = lost
        self._witnesses = witnesses
        self._clock = clock

    async def wait_recovered(self, group: GroupId, members: t.Sequence[Endpoint]) -> bool:
        """Wait until all members serve the group again, or one certainly doesn't.

        :returns: False if a member is gone, or silent for longer than a sound one may be.
        """
        silences = Silences(self._lost.silent_since(members))
        while True:
            asked_at = self._clock()
            states = await self._probe_all(group, members)
            if MemberState.GONE in states:
                return False
            self._record(silences, members, states, asked_at)
            overdue = silences.over(MAX_PAUSE_SECONDS, self._clock())
            silent = [member for member in members if member.id in overdue]
            if await self._is_any_lost(silent):
                return False
            # Those that were overdue answer another daemon, so only this one doesn't reach them.
            if all(
                state is MemberState.SERVING or member in silent
                for member, state in zip(members, states, strict=True)
            ):
                return True
            for member in silent:
                silences.record_answer(member.id)
            await asyncio.sleep(ROUND_INTERVAL_SECONDS)

    async def is_recovered(self, group: GroupId, members: t.Sequence[Endpoint]) -> bool:
        """Return whether all members serve the group now."""
        states = await self._probe_all(group, members)
        return all(state is MemberState.SERVING for state in states)

    def _record(
        self,
        silences: Silences,
        members: t.Sequence[Endpoint],
        states: t.Sequence[MemberState],
        asked_at: float,
    ) -> None:
        if self._orders.was_late_since(asked_at):
            silences.excuse(self._clock() - asked_at)
        for member, state in zip(members, states, strict=True):
            if state is MemberState.SERVING:
                silences.record_answer(member.id)
            else:
                silences.record_silence(member.id, asked_at)

    async def _probe_all(
        self, group: GroupId, members: t.Sequence[Endpoint]
    ) -> t.Sequence[MemberState]:
        return await asyncio.gather(*(self._probe(group, member) for member in members))

    async def _probe(self, group: GroupId, member: Endpoint) -> MemberState:
        try:
            report = await self._orders.fetch_member_report(member)
        except EndpointTimeoutError:
            return MemberState.SILENT
        except EndpointReplacedError:
            return MemberState.GONE
        except EndpointRefusedError:
            # Only this daemon's path to it may be reset.
            is_lost = await self._witnesses.confirm_lost(member)
            return MemberState.GONE if is_lost else MemberState.SILENT
        return state_of(
            report,
            group,
            member.membership.rank if member.membership is not None else 0,
            has_restarted=self._orders.has_restarted(member, report),
        )

    async def _is_any_lost(self, members: t.Sequence[Endpoint]) -> bool:
        """Return whether one of some silent members answers neither this daemon nor another."""
        return any(await asyncio.gather(*(self._is_lost(member) for member in members)))

    async def _is_lost(self, member: Endpoint) -> bool:
        is_lost, has_answered = await asyncio.gather(
            self._witnesses.confirm_lost(member), self._answers(member)
        )
        return is_lost and not has_answered

    async def _answers(self, member: Endpoint) -> bool:
        try:
            await self._orders.fetch_member_report(member)
        except EndpointError:
            return False
        return True
