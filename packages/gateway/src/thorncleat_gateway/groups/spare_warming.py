"""Loads models from the host into the engines of spare endpoints before they are needed.

A spare joins a group of its own, which is never opened, and leaves it as soon as it is ready. Such
a group has no record, so its endpoint counts as free all the time.

Owns: the groups of the endpoints that are being warmed, and which endpoints were warmed recently.
Relies on: engines that keep a model when they leave its group, and don't open groups by
themselves.
"""

import typing as t

from .. import events
from ..exceptions import EndpointError
from ..ports import Join
from ..ports import Leave
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import Incarnation
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

# Interval between two attempts to warm the same endpoint.
RETRY_INTERVAL_SECONDS = 10.0
# Longest wait for a change of the list.
CHANGE_WAIT_SECONDS = 0.25


def spares_to_warm(
    spares: t.Iterable[Endpoint], models: t.Iterable[EngineModel]
) -> list[tuple[Endpoint, EngineModel]]:
    """Return the spares of a domain to warm, each with the model that its host holds.

    :param models: the models that the domain carries.
    """
    carried = {model.name: model for model in models}
    result = []
    for spare in spares:
        staged = [name for name in spare.staged if name in carried]
        if staged and not any(name in spare.models for name in staged):
            result.append((spare, carried[staged[0]]))
    return result


class SpareWarming:
    """Warms spares in one term.

    :param start: starts a background job of the term.
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
        # By group, when its attempt expires unless the list shows the group.
        self._groups: dict[GroupId, float] = {}
        self._retry_at: dict[Incarnation, float] = {}

    def __contains__(self, group: GroupId) -> bool:
        return group in self._groups

    def warm(self, endpoint: Endpoint, model: EngineModel) -> None:
        """Start to warm an endpoint unless it was tried recently."""
        now = self._clock()
        if self._retry_at.get(endpoint.incarnation, now) > now:
            return
        self._discard_expired(now)
        self._retry_at[endpoint.incarnation] = now + RETRY_INTERVAL_SECONDS
        group = self._state.next_group()
        self._groups[group] = now + RETRY_INTERVAL_SECONDS
        events.SPARE_WARMED.log(endpoint=endpoint.id, group=group.name, model=model.name)
        self._start(self._run(endpoint, group, model))

    def _discard_expired(self, now: float) -> None:
        """Discard expired attempts and groups that the list no longer shows."""
        self._retry_at = {
            incarnation: retry_at
            for incarnation, retry_at in self._retry_at.items()
            if retry_at > now
        }
        listed = self._view.roster.groups
        self._groups = {
            group: until for group, until in self._groups.items() if until > now or group in listed
        }

    async def _run(self, endpoint: Endpoint, group: GroupId, model: EngineModel) -> None:
        try:
            if await self._join(endpoint, group, model):
                await self._wait_ready(endpoint, group, WARM_TIMEOUT_FACTOR * model.warm)
                # Refused if the endpoint has been ordered into another group meanwhile.
                await self._orders.send(endpoint, Leave(group))
        except EndpointError:
            # The endpoint is lost, or stays in a group that never opens; it is free either way.
            pass

    async def _join(self, endpoint: Endpoint, group: GroupId, model: EngineModel) -> bool:
        """Order a free endpoint into a group of its own; return whether it accepted the order."""
        report = await self._orders.fetch_report(endpoint, BACKGROUND)
        availability = join_rules.availability(report.membership, group, self._records.is_over)
        if availability is not Availability.FREE:
            return False
        order = Join(group, model.name, (endpoint.id,))
        return await self._orders.send(endpoint, order, report.order_count) in ACCEPTED

    async def _wait_ready(self, endpoint: Endpoint, group: GroupId, seconds: float) -> None:
        deadline = self._clock() + seconds
        while self._clock() < deadline and not self._orders.was_seen_ready(endpoint, group, 0):
            await self._view.wait_change(CHANGE_WAIT_SECONDS)
