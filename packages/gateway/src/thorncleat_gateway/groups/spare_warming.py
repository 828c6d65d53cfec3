"""Loading models from the host into the engines of spare endpoints, before they are needed.

The load pattern: one endpoint of a group is lost every few seconds, and the group is formed again
with a spare. An engine whose last group had the same model joins in 0.2 s; one that has the model
only on its host loads it first, and the other members wait for it. So spares join a group of their
own, which is never opened, and leave it as soon as they are ready in it.

Such a group has no record, so its endpoint counts as free all the time: a group that needs it at
once may have it, and has lost nothing.

Owns: which endpoints are being warmed, in which groups, and which were lately.
Relies on: engines that keep a model when they leave its group, and open none by themselves.
"""

import typing as t

from .. import events
from ..exceptions import EndpointError
from ..ports import Join
from ..ports import Leave
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import Life
from ..store.serving import EngineModel
from ..store.view import StoreView
from . import join_rules
from .call_window import BACKGROUND
from .forming_state import FormingState
from .group_steps import WARM_TIMEOUT_FACTOR
from .jobs import Start
from .join_rules import Availability
from .orders import ACCEPTED
from .orders import Orders
from .records import GroupRecords

# after an endpoint was warmed, or wasn't, until it is tried again, in seconds: the list shows its
# model long before
RETRY_INTERVAL_SECONDS = 10.0
# without a change of the list, for which a wait for the endpoint rests, in seconds
CHANGE_WAIT_SECONDS = 0.25


def spares_to_warm(
    spares: t.Iterable[Endpoint], models: t.Iterable[EngineModel]
) -> list[tuple[Endpoint, EngineModel]]:
    """Return the spares of a domain to warm, each with the model that its host holds.

    :param models: those that the domain carries.
    """
    carried = {model.name: model for model in models}
    chosen = []
    for spare in spares:
        held = [name for name in spare.staged if name in carried]
        if held and not any(name in spare.models for name in held):
            chosen.append((spare, carried[held[0]]))
    return chosen


class SpareWarming:
    """Warms spares, in one term.

    :param start: runs a coroutine beside the others of the controller.
    """

    def __init__(
        self,
        view: StoreView,
        orders: Orders,
        records: GroupRecords,
        state: FormingState,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._view = view
        self._orders = orders
        self._records = records
        self._state = state
        self._clock = clock
        self._start = start
        # with the time until which the list may not show them yet
        self._groups: dict[GroupId, float] = {}
        self._retry_at: dict[Life, float] = {}

    def __contains__(self, group: GroupId) -> bool:
        return group in self._groups

    def warm(self, endpoint: Endpoint, model: EngineModel) -> None:
        """Begin to warm an endpoint, unless it was tried lately."""
        now = self._clock()
        if self._retry_at.get(endpoint.life, now) > now:
            return
        self._forget(now)
        self._retry_at[endpoint.life] = now + RETRY_INTERVAL_SECONDS
        group = self._state.next_group()
        self._groups[group] = now + RETRY_INTERVAL_SECONDS
        events.SPARE_WARMED.log(endpoint=endpoint.id, group=group.name, model=model.name)
        self._start(self._run(endpoint, group, model))

    def _forget(self, now: float) -> None:
        """Forget the endpoints tried long ago, and the groups that the list shows no more."""
        self._retry_at = {life: until for life, until in self._retry_at.items() if until > now}
        listed = self._view.roster.groups
        self._groups = {
            group: until for group, until in self._groups.items() if until > now or group in listed
        }

    async def _run(self, endpoint: Endpoint, group: GroupId, model: EngineModel) -> None:
        try:
            if await self._join(endpoint, group, model):
                await self._wait_ready(endpoint, group, WARM_TIMEOUT_FACTOR * model.warm)
                # refused if the endpoint has been ordered into another group meanwhile
                await self._orders.send(endpoint, Leave(group))
        except EndpointError:
            # it is lost, or it stays in a group that is never opened: it is free in either case
            pass

    async def _join(self, endpoint: Endpoint, group: GroupId, model: EngineModel) -> bool:
        """Order an endpoint into its own group if it is free; return whether it took the order."""
        report = await self._orders.fetch_report(endpoint, BACKGROUND)
        place = join_rules.availability(report.membership, group, self._records.is_over)
        if place is not Availability.FREE:
            return False
        order = Join(group, model.name, (endpoint.id,))
        return await self._orders.send(endpoint, order, report.order_count) in ACCEPTED

    async def _wait_ready(self, endpoint: Endpoint, group: GroupId, seconds: float) -> None:
        until = self._clock() + seconds
        while self._clock() < until and not self._orders.was_seen_ready(endpoint, group, 0):
            await self._view.wait_change(CHANGE_WAIT_SECONDS)
