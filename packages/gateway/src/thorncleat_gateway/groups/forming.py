"""Forms groups.

A group is recorded in the store before its first order, and opened only after each member was seen
ready under the group's name and epoch.

Owns: no state; :mod:`.forming_state` holds the groups that are being formed.
Relies on: :mod:`.formation` for which group to form, :mod:`.group_steps` for the steps.
"""

import asyncio
import enum
import typing as t

from .. import events
from ..exceptions import StoreError
from ..ports import Join
from ..store.roster import GroupId
from .ending import GroupEnding
from .formation import GroupPlan
from .forming_state import FormingState
from .group_health import EndReason
from .group_steps import GroupSteps
from .jobs import Start
from .records import GroupRecords


class FailedStep(enum.Enum):
    """The step at which forming a group failed; logged as ``step`` of event 7205."""

    RECORD = "record"
    JOIN = "join"
    OPEN = "open"


class GroupForming:
    """Forms groups.

    :param start: starts a background job of the term.
    """

    def __init__(
        self,
        state: FormingState,
        records: GroupRecords,
        steps: GroupSteps,
        ending: GroupEnding,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._state = state
        self._records = records
        self._steps = steps
        self._ending = ending
        self._clock = clock
        self._start = start

    def form(self, plan: GroupPlan) -> None:
        """Start forming a group.

        A group that could not be formed is ended like any other, since its leader may still open.
        """
        group = self._state.begin(plan)
        events.GROUP_FORMING.log(
            group=group.name,
            model=plan.model.name,
            domain=plan.domain,
            members=[member.id for member in plan.members],
            cold=[member.id for member in plan.cold_members],
        )
        self._start(self._run(group, plan))

    async def _run(self, group: GroupId, plan: GroupPlan) -> None:
        started_at = self._clock()
        try:
            if not await self._record(group, plan):
                return
            joined = await self._join(group, plan)
            if all(joined) and await self._steps.wait_ready(group, plan):
                await self._open(group, plan, started_at)
                return
            seconds = round(self._clock() - started_at, 3)
            events.GROUP_FAILED.log(
                group=group.name, step=FailedStep.JOIN.value, joined=joined, seconds=seconds
            )
            self._state.pause(plan.domain)
            self._ending.end(group, EndReason.NOT_FORMED, plan.members)
        finally:
            self._state.finish(group)

    async def _record(self, group: GroupId, plan: GroupPlan) -> bool:
        """Write the group's record, which must exist before any member is ordered to join."""
        try:
            written = await self._records.begin(group, plan)
            cause = "no longer the controller"
        except StoreError as error:
            written, cause = False, str(error)
        if not written:
            self._state.pause(plan.domain)
            events.GROUP_FAILED.log(group=group.name, step=FailedStep.RECORD.value, cause=cause)
        return written

    async def _join(self, group: GroupId, plan: GroupPlan) -> list[bool]:
        """Order all members into the group concurrently; return for each whether it has joined."""
        order = Join(group, plan.model.name, tuple(member.id for member in plan.members))
        joined = await asyncio.gather(*(self._steps.join(member, order) for member in plan.members))
        for member, has_joined in zip(plan.members, joined, strict=True):
            if not has_joined:
                self._state.record_refusal(member.id)
        return joined

    async def _open(self, group: GroupId, plan: GroupPlan, started_at: float) -> None:
        """Open the group; it counts as being formed until the list shows that it serves."""
        leader = plan.members[0]
        if not await self._steps.open(leader, group):
            events.GROUP_FAILED.log(group=group.name, step=FailedStep.OPEN.value)
            self._ending.end(group, EndReason.NOT_OPENED, plan.members)
            return
        events.GROUP_OPENED.log(
            group=group.name,
            leader=leader.id,
            model=plan.model.name,
            seconds=round(self._clock() - started_at, 3),
        )
        await self._steps.wait_listed(leader, group)
