"""Endpoints that report that they are slow, and the groups that are replaced because of them.

A group computes at the pace of its slowest member, so a slow group is replaced if there are enough
other endpoints that hold the model.

Owns: the incarnations of the endpoints whose latest report says that they are slow.
Relies on: :mod:`.member_examination`, which probes the members of suspected groups; a slow group's
pauses make daemons suspect it.
"""

import asyncio
import dataclasses
import typing as t

from .. import events
from ..ports import EngineReport
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import Incarnation
from ..store.serving import EngineModel
from ..store.view import StoreView
from .call_window import BACKGROUND
from .jobs import Start
from .orders import Orders

# Multiple of a step's usual duration from which an endpoint counts as slow.
SLOW_PACE = 3.0
# Interval between two probes of a slow endpoint.
POLL_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class SlowGroup:
    """A running group with slow members.

    :param slow_count: number of slow members.
    :param members: the listed members.
    """

    id: GroupId
    model: str
    slow_count: int
    members: tuple[Endpoint, ...]


def groups_to_replace(
    groups: t.Iterable[SlowGroup], spares: t.Collection[Endpoint], model: EngineModel
) -> list[SlowGroup]:
    """Return the groups of a domain to end so that one without slow members can be formed.

    Groups with the fewest slow members are chosen first, so that as few groups as possible end.
    The result is empty if spares and members that aren't slow are too few for a group.

    :param groups: groups of one model that have slow members.
    :param spares: free endpoints of the domain that aren't slow.
    """
    usable = sum(model.name in spare.staged for spare in spares)
    chosen: list[SlowGroup] = []
    for group in sorted(groups, key=lambda group: (group.slow_count, group.id)):
        chosen.append(group)
        usable += len(group.members) - group.slow_count
        if usable >= model.size:
            return chosen
    return []


class SlowEndpoints:
    """Holds which endpoints are slow and polls them until they are not.

    :param start: starts a background job of the term.
    :param wake: makes the controller plan again.
    """

    def __init__(
        self, view: StoreView, orders: Orders, start: Start, wake: t.Callable[[], None]
    ) -> None:
        self._view = view
        self._orders = orders
        self._start = start
        self._wake = wake
        self._incarnations: set[Incarnation] = set()

    def __contains__(self, endpoint: Endpoint) -> bool:
        return endpoint.incarnation in self._incarnations

    def record_report(self, endpoint: Endpoint, report: EngineReport) -> None:
        """Mark an endpoint as slow if its report says so."""
        if report.pace < SLOW_PACE or endpoint in self:
            return
        self._incarnations.add(endpoint.incarnation)
        events.ENDPOINT_SLOW.log(endpoint=endpoint.id, pace=report.pace)
        self._wake()
        self._start(self._poll_until_normal(endpoint))

    async def _poll_until_normal(self, endpoint: Endpoint) -> None:
        """Poll a slow endpoint until it is no longer slow, is silent, or has been replaced."""
        pace: float | None = SLOW_PACE
        while pace is not None and pace >= SLOW_PACE:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            pace = await self._pace(endpoint)
        self._incarnations.discard(endpoint.incarnation)
        events.ENDPOINT_NORMAL.log(endpoint=endpoint.id, pace=pace)

    async def _pace(self, endpoint: Endpoint) -> float | None:
        """Return an endpoint's pace, as a multiple of a step's usual duration.

        :returns: None if it is silent or its incarnation has ended.
        """
        listed = self._view.roster.endpoints.get(endpoint.id)
        if listed is None or listed.incarnation != endpoint.incarnation:
            return None
        report = await self._orders.probe(endpoint, BACKGROUND)
        return report.pace if report is not None else None
