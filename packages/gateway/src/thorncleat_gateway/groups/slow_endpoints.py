"""Endpoints that say they are slow, and the groups that do better without them.

The load pattern: a few instances turn slow for some seconds, and each group computes at the pace of
its slowest member. Groups of 12 with two in five of the endpoints slow are all slow, though three
in five of the endpoints would do for more than half of the groups.

So slow groups of a domain are ended where their other members and the spares that hold the model
are enough for a group, which stands 1 to 2 s later, sooner if the spares are warm. Where there are
not enough, a slow group is better than none. Slow endpoints join a group only after those that
aren't, but before those that don't hold the model.

Owns: the lives of the endpoints whose last report said that they are slow.
Relies on: :mod:`.member_examination`, which asks the members of a group that some daemon suspects:
the pauses of a slow group are long enough for that.
"""

import asyncio
import dataclasses
import typing as t

from .. import events
from ..ports import EngineReport
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import Life
from ..store.serving import EngineModel
from ..store.view import StoreView
from .call_window import BACKGROUND
from .jobs import Start
from .orders import Orders

# times the usual duration of a step from which an endpoint counts as slow: to form its group anew
# makes a pause of 2 s, which a stream at twice its duration seldom lasts
SLOW_PACE = 3.0
# between two questions to a slow endpoint, in seconds
POLL_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class SlowGroup:
    """A group that stands and has slow members.

    :param slow: how many.
    :param members: those that are listed.
    """

    id: GroupId
    model: str
    slow: int
    members: tuple[Endpoint, ...]


def groups_to_replace(
    groups: t.Iterable[SlowGroup], spares: t.Collection[Endpoint], model: EngineModel
) -> list[SlowGroup]:
    """Return the groups of a domain to end, so that one can be formed without slow members.

    There are none if their other members are too few for one. Those with the fewest slow members
    come first, so that as few groups as can be are ended.

    :param groups: of one model.
    :param spares: free endpoints of the domain that aren't slow.
    """
    available = sum(model.name in spare.staged for spare in spares)
    chosen: list[SlowGroup] = []
    for group in sorted(groups, key=lambda group: (group.slow, group.id)):
        chosen.append(group)
        available += len(group.members) - group.slow
        if available >= model.size:
            return chosen
    return []


class SlowEndpoints:
    """Keeps which endpoints are slow, and asks them until they are not.

    :param start: runs a coroutine beside the others of the controller.
    :param wake: has the controller plan anew.
    """

    def __init__(
        self, view: StoreView, orders: Orders, start: Start, wake: t.Callable[[], None]
    ) -> None:
        self._view = view
        self._orders = orders
        self._start = start
        self._wake = wake
        self._incarnations: set[Life] = set()

    def __contains__(self, endpoint: Endpoint) -> bool:
        return endpoint.life in self._incarnations

    def record_report(self, endpoint: Endpoint, report: EngineReport) -> None:
        """Take notice of what an endpoint says of its pace."""
        if report.pace < SLOW_PACE or endpoint in self:
            return
        self._incarnations.add(endpoint.life)
        events.ENDPOINT_SLOW.log(endpoint=endpoint.id, pace=report.pace)
        self._wake()
        self._start(self._poll_until_normal(endpoint))

    async def _poll_until_normal(self, endpoint: Endpoint) -> None:
        """Count an endpoint as slow until it says otherwise, or its life is over."""
        pace: float | None = SLOW_PACE
        while pace is not None and pace >= SLOW_PACE:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            pace = await self._pace(endpoint)
        self._incarnations.discard(endpoint.life)
        events.ENDPOINT_NORMAL.log(endpoint=endpoint.id, pace=pace)

    async def _pace(self, endpoint: Endpoint) -> float | None:
        """Return an endpoint's pace; None if that life is over or silent."""
        listed = self._view.roster.endpoints.get(endpoint.id)
        if listed is None or listed.life != endpoint.life:
            return None
        report = await self._orders.probe(endpoint, BACKGROUND)
        return report.pace if report is not None else None
