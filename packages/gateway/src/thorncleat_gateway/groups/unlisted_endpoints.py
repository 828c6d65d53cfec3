"""Endpoints that are no longer listed and still answer.

They may be leaving, or only be cut off from the store. A group with such a member goes on
serving; one may also help out in a new group, but it never leads.
"""

import asyncio
import dataclasses
import typing as t

from ..exceptions import EndpointError
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.view import StoreView
from .orders import Orders

ASK_SECONDS = 1.0
LONGEST_SECONDS = 30.0
# in which an endpoint that has just vanished counts as answering
BENEFIT_SECONDS = 0.4


class UnlistedEndpoints:
    """Asks endpoints that have vanished from the list whether they are still there.

    :param start: runs a coroutine beside the others of the controller.
    """

    def __init__(
        self,
        view: StoreView,
        orders: Orders,
        clock: t.Callable[[], float],
        start: t.Callable[[t.Coroutine[t.Any, t.Any, None]], None],
    ) -> None:
        self._view = view
        self._orders = orders
        self._clock = clock
        self._start = start
        self._watched: set[str] = set()
        self._answering: dict[str, Endpoint] = {}

    def of_service(self, service: str) -> list[Endpoint]:
        """Return those of a service that answered when they were last asked."""
        listed = self._view.roster.endpoints
        return [
            one
            for one in self._answering.values()
            if one.service == service and one.id not in listed
        ]

    def holds(self, group: GroupId, rank: int) -> bool:
        """Tell whether a member that isn't listed may still be in its place."""
        for one in self._answering.values():
            member = one.membership
            if member is not None and member.group == group and member.rank == rank:
                return True
        begin = self._clock() - BENEFIT_SECONDS
        for gone in self._view.roster.gone.values():
            member = gone.endpoint.membership
            lately = gone.at >= begin and member is not None
            if lately and member and member.group == group and member.rank == rank:
                return True
        return False

    def look(self) -> None:
        """Begin to ask those that have vanished lately."""
        begin = self._clock() - BENEFIT_SECONDS
        for name, gone in self._view.roster.gone.items():
            if gone.at >= begin and gone.endpoint.fabric_domain and name not in self._watched:
                self._watched.add(name)
                self._start(self._watch(gone.endpoint))

    async def _watch(self, one: Endpoint) -> None:
        until = self._clock() + LONGEST_SECONDS
        try:
            while one.id not in self._view.roster.endpoints and self._clock() < until:
                if not await self._orders.answers(one):
                    return
                report = await self._orders.ask(one)
                self._answering[one.id] = dataclasses.replace(
                    one, membership=report.membership, staged=report.staged, models=report.models
                )
                await asyncio.sleep(ASK_SECONDS)
        except EndpointError:
            return
        finally:
            self._answering.pop(one.id, None)
            self._watched.discard(one.id)
