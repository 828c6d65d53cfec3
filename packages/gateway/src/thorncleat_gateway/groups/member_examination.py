"""Probes the members of groups that some daemon suspects.

Owns: no state.
Relies on: :mod:`.lost_endpoints` and :mod:`.slow_endpoints` to hold the results, and
:mod:`.witnesses` to tell a lost member from a controller that is cut off.
"""

import asyncio
import typing as t

from ..peers.failure_detector import FailureDetector
from ..peers.load_table import LoadTable
from ..ports import EngineReport
from ..store.roster import Endpoint
from ..store.roster import Group
from .lost_endpoints import LostCause
from .lost_endpoints import LostEndpoints
from .orders import Orders
from .slow_endpoints import SlowEndpoints
from .witnesses import Question
from .witnesses import Witnesses

# How long a member may take to answer before other daemons are asked about it, so that those that
# answer cost nobody else a probe.
ASK_AFTER_SECONDS = 0.05
# Longest silence of a group, before its members are probed, that counts as theirs: the shortest one
# for which it is suspected. It may have been quiet for longer before one of them fell silent.
MAX_EARLIER_SILENCE_SECONDS = 0.3


def silence_start(probed_at: float, last_contact_at: float, *, has_requests: bool) -> float:
    """Return since when a member that doesn't answer a probe has been silent.

    A group with requests makes events as long as all of its members go on, so that its silence is
    theirs. Times are in seconds on the gateway's clock.

    :param probed_at: when the member was probed first.
    :param last_contact_at: when its group's leader last answered any daemon.
    :param has_requests: whether any daemon has requests in the group.
    """
    if not has_requests:
        return probed_at
    return min(probed_at, max(last_contact_at, probed_at - MAX_EARLIER_SILENCE_SECONDS))


class MemberExamination:
    """Finds members that are lost or slow."""

    def __init__(
        self,
        orders: Orders,
        lost: LostEndpoints,
        slow: SlowEndpoints,
        witnesses: Witnesses,
        detector: FailureDetector,
        load_table: LoadTable,
        clock: t.Callable[[], float],
    ) -> None:
        self._orders = orders
        self._lost = lost
        self._slow = slow
        self._witnesses = witnesses
        self._detector = detector
        self._load_table = load_table
        self._clock = clock

    async def examine(self, group: Group) -> None:
        """Probe a group's members and mark those as lost that answer no daemon or have restarted.

        The list shows this late: an entry expires some time after its last heartbeat, and an
        endpoint that is cut off from the store writes none.
        """
        silent_since = self._silence_start(group)
        await asyncio.gather(
            *(self._examine(member, silent_since) for member in group.members.values())
        )

    def _silence_start(self, group: Group) -> float:
        now, leader = self._clock(), group.leader
        if leader is None:
            return now
        return silence_start(
            now,
            self._detector.last_contact_at(leader.id),
            has_requests=self._load_table.request_count(leader.id) > 0,
        )

    async def _examine(self, member: Endpoint, silent_since: float) -> None:
        question = self._witnesses.begin(member)
        try:
            report = await self._probe(member, question)
            if report is not None:
                self._record_report(member, report)
            elif await self._witnesses.is_lost(question):
                self._lost.mark_lost(
                    member, LostCause.SILENT_UNDER_SUSPICION, silent_since=silent_since
                )
        finally:
            self._witnesses.end(question)

    async def _probe(self, member: Endpoint, question: Question) -> EngineReport | None:
        """Probe a member, and ask the other daemons meanwhile if it doesn't answer soon."""
        ask = asyncio.get_running_loop().call_later(
            ASK_AFTER_SECONDS, lambda: question.ask(self._clock())
        )
        try:
            return await self._orders.probe_member(member)
        finally:
            ask.cancel()

    def _record_report(self, member: Endpoint, report: EngineReport) -> None:
        if self._orders.has_restarted(member, report):
            self._lost.mark_lost(member, LostCause.STARTED_AGAIN)
        else:
            self._slow.record_report(member, report)
