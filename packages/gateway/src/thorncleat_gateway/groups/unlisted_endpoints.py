"""Endpoints that are no longer listed and still answer.

They may be leaving, or only be cut off from the store. A group with such a member goes on
serving; one may also help out in a new group, but it never leads.

A term begins with a question to all those that the roster remembers: a daemon that has just become
the controller doesn't know which of them the former controller had found to answer.

Owns: the unlisted endpoints that are asked, with their last reports, and which of them answer.
Relies on: the roster's memory of endpoints that were unlisted lately.
"""

import asyncio
import dataclasses
import typing as t

from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import Membership
from ..store.view import StoreView
from .jobs import Start
from .orders import Orders

# between two questions to an unlisted endpoint, in seconds
POLL_INTERVAL_SECONDS = 1.0
# for which an unlisted endpoint is asked at most, in seconds
MAX_WATCH_SECONDS = 30.0
# in which an endpoint that was just unlisted counts as answering, in seconds
UNLISTED_GRACE_SECONDS = 0.4


def _is_at(member: Membership | None, group: GroupId, rank: int) -> bool:
    return member is not None and member.is_at(group, rank)


class UnlistedEndpoints:
    """Asks endpoints that are no longer listed whether they are still there.

    :param start: runs a coroutine beside the others of the controller.
    """

    def __init__(
        self,
        view: StoreView,
        orders: Orders,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._view = view
        self._orders = orders
        self._clock = clock
        self._start = start
        # as last listed, and then as they report
        self._watched: dict[str, Endpoint] = {}
        # ids of those that have answered
        self._answering: set[str] = set()
        self._begun = False

    def of_service(self, service: str) -> list[Endpoint]:
        """Return those of a service that answered when they were last asked."""
        listed = self._view.roster.endpoints
        return [
            endpoint
            for endpoint in self._watched.values()
            if endpoint.id in self._answering
            and endpoint.service == service
            and endpoint.id not in listed
        ]

    def has_member(self, group: GroupId, rank: int) -> bool:
        """Return whether a member that isn't listed may still be in its place.

        One that is listed again is not in it, or its entry would say so: it has started again.
        """
        listed = self._view.roster.endpoints
        watched = (known for name, known in self._watched.items() if name not in listed)
        if any(_is_at(known.membership, group, rank) for known in watched):
            return True
        begin = self._clock() - UNLISTED_GRACE_SECONDS
        return any(
            gone.at >= begin and _is_at(gone.endpoint.membership, group, rank)
            for gone in self._view.roster.gone.values()
        )

    def watch_removed(self) -> None:
        """Begin to ask those that were unlisted lately; at first all that are remembered."""
        begin = self._clock() - UNLISTED_GRACE_SECONDS if self._begun else float("-inf")
        self._begun = True
        for endpoint_id, gone in self._view.roster.gone.items():
            lately = gone.at >= begin
            if lately and gone.endpoint.fabric_domain and endpoint_id not in self._watched:
                self._watched[endpoint_id] = gone.endpoint
                self._start(self._watch(gone.endpoint))

    async def _watch(self, endpoint: Endpoint) -> None:
        until = self._clock() + MAX_WATCH_SECONDS
        try:
            while endpoint.id not in self._view.roster.endpoints and self._clock() < until:
                report = await self._orders.probe(endpoint)
                if report is None:
                    return
                self._watched[endpoint.id] = dataclasses.replace(
                    endpoint,
                    membership=report.membership,
                    staged=report.staged,
                    models=report.models,
                )
                self._answering.add(endpoint.id)
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        finally:
            self._answering.discard(endpoint.id)
            self._watched.pop(endpoint.id, None)
