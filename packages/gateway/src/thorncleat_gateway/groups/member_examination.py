"""Probes the members of groups that some daemon suspects.

Owns: no state.
Relies on: :mod:`.lost_endpoints` and :mod:`.slow_endpoints` to hold the results.
"""

import asyncio
import typing as t

from ..store.roster import Endpoint
from .lost_endpoints import LostCause
from .lost_endpoints import LostEndpoints
from .orders import Orders
from .slow_endpoints import SlowEndpoints


class MemberExamination:
    """Finds members that are lost or slow."""

    def __init__(self, orders: Orders, lost: LostEndpoints, slow: SlowEndpoints) -> None:
        self._orders = orders
        self._lost = lost
        self._slow = slow

    async def examine(self, members: t.Sequence[Endpoint]) -> None:
        """Probe members and mark those as lost that are silent or have restarted.

        The list shows this late: an entry expires some time after its last heartbeat, and an
        endpoint that is cut off from the store writes none.
        """
        reports = await asyncio.gather(*(self._orders.probe(member) for member in members))
        for member, report in zip(members, reports, strict=True):
            if report is None:
                self._lost.mark_lost(member, LostCause.SILENT_UNDER_SUSPICION)
            elif self._orders.has_restarted(member, report):
                self._lost.mark_lost(member, LostCause.STARTED_AGAIN)
            else:
                self._slow.record_report(member, report)
