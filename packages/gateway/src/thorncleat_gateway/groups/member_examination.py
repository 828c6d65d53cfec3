"""Probes the members of groups that some daemon suspects.

Owns: no state.
Relies on: :mod:`.lost_endpoints` and :mod:`.slow_endpoints` to hold the results, and
:mod:`.witnesses` to tell a lost member from a controller that is cut off.
"""

import asyncio
import typing as t

from ..ports import EngineReport
from ..store.roster import Endpoint
from .lost_endpoints import LostCause
from .lost_endpoints import LostEndpoints
from .orders import Orders
from .slow_endpoints import SlowEndpoints
from .witnesses import Question
from .witnesses import Witnesses

# How long a member may take to answer before other daemons are asked about it, so that those that
# answer cost nobody else a probe.
ASK_AFTER_SECONDS = 0.05


class MemberExamination:
    """Finds members that are lost or slow."""

    def __init__(
        self,
        orders: Orders,
        lost: LostEndpoints,
        slow: SlowEndpoints,
        witnesses: Witnesses,
        clock: t.Callable[[], float],
    ) -> None:
        self._orders = orders
        self._lost = lost
        self._slow = slow
        self._witnesses = witnesses
        self._clock = clock

    async def examine(self, members: t.Sequence[Endpoint]) -> None:
        """Probe members and mark those as lost that answer no daemon or have restarted.

        The list shows this late: an entry expires some time after its last heartbeat, and an
        endpoint that is cut off from the store writes none.
        """
        await asyncio.gather(*(self._examine(member) for member in members))

    async def _examine(self, member: Endpoint) -> None:
        question = self._witnesses.begin(member)
        try:
            report = await self._probe(member, question)
            if report is not None:
                self._record_report(member, report)
            elif await self._witnesses.is_lost(question):
                self._lost.mark_lost(member, LostCause.SILENT_UNDER_SUSPICION)
        finally:
            self._witnesses.end(question)

    async def _probe(self, member: Endpoint, question: Question) -> EngineReport | None:
        """Probe a member, and ask the other daemons meanwhile if it doesn't answer soon."""
        ask = asyncio.get_running_loop().call_later(
            ASK_AFTER_SECONDS, lambda: question.ask(self._clock())
        )
        try:
            return await self._orders.probe(member)
        finally:
            ask.cancel()

    def _record_report(self, member: Endpoint, report: EngineReport) -> None:
        if self._orders.has_restarted(member, report):
            self._lost.mark_lost(member, LostCause.STARTED_AGAIN)
        else:
            self._slow.record_report(member, report)
