"""Endpoints that did not answer the controller: no group is formed with them until they do."""

import asyncio
import typing as t

from .. import events
from ..store.roster import Endpoint
from ..store.view import StoreView
from .orders import Orders

ASK_AGAIN_SECONDS = 1.0
Start = t.Callable[[t.Coroutine[t.Any, t.Any, None]], None]


class LostEndpoints:
    """Keeps which endpoints are lost, and asks them until they answer.

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
        self._ids: set[str] = set()

    def __contains__(self, endpoint_id: str) -> bool:
        return endpoint_id in self._ids

    def forget_unlisted(self) -> None:
        """Forget those that are no longer listed."""
        self._ids.intersection_update(self._view.roster.endpoints)

    def lose(self, one: Endpoint, cause: str) -> None:
        """Take in that an endpoint does not answer."""
        if one.id in self._ids:
            return
        self._ids.add(one.id)
        events.ENDPOINT_LOST.log(endpoint=one.id, cause=cause)
        self._wake()
        self._start(self._await_return(one))

    async def _await_return(self, one: Endpoint) -> None:
        """Use an endpoint again when it answers."""
        while one.id in self._view.roster.endpoints:
            await asyncio.sleep(ASK_AGAIN_SECONDS)
            if await self._orders.answers(one):
                break
        self._ids.discard(one.id)

    async def examine(self, members: t.Sequence[Endpoint]) -> None:
        """Ask the members of a group that is suspected."""
        answers = await asyncio.gather(*(self._orders.answers(one) for one in members))
        for one, answered in zip(members, answers, strict=True):
            if not answered:
                self.lose(one, "silent under suspicion")
