"""Endpoints that did not answer the controller; no group is formed with them until they do.

Owns: the incarnations of the listed endpoints that don't answer.
Relies on: callers that send orders or probes, to report silent endpoints.
"""

import asyncio
import enum
import typing as t

from .. import events
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from ..store.view import StoreView
from .call_window import BACKGROUND
from .jobs import Start
from .orders import Orders

# Interval between two probes of a lost endpoint.
POLL_INTERVAL_SECONDS = 1.0


class LostCause(enum.Enum):
    """How an endpoint was lost; logged as ``cause`` of event 7208."""

    PROCESS_ENDED = "process ended"
    REFUSED = "refuses connections"
    SILENT = "silent"
    SILENT_WHILE_JOINING = "silent while joining"
    SILENT_UNDER_SUSPICION = "silent under suspicion"
    # It answers, but has restarted since it joined the group that its entry still names.
    STARTED_AGAIN = "started again"


class LostEndpoints:
    """Holds which endpoints are lost and polls them until they answer.

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
        self._incarnations: dict[str, Incarnation] = {}

    def __contains__(self, endpoint: Endpoint) -> bool:
        incarnation = self._incarnations.get(endpoint.id)
        return incarnation is not None and not incarnation.is_superseded_by(endpoint.incarnation)

    def discard_unlisted(self) -> None:
        """Discard lost endpoints that are no longer listed."""
        listed = self._view.roster.endpoints
        self._incarnations = {
            endpoint_id: incarnation
            for endpoint_id, incarnation in self._incarnations.items()
            if endpoint_id in listed
        }

    def mark_lost(self, endpoint: Endpoint, cause: LostCause) -> None:
        """Mark an endpoint as lost until it answers."""
        if endpoint in self:
            return
        self._incarnations[endpoint.id] = endpoint.incarnation
        events.ENDPOINT_LOST.log(endpoint=endpoint.id, cause=cause.value)
        self._wake()
        self._start(self._poll_until_responding(endpoint))

    async def _poll_until_responding(self, endpoint: Endpoint) -> None:
        """Poll a lost endpoint while it is listed, until it answers."""
        while endpoint.id in self._view.roster.endpoints:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if await self._orders.is_responding(endpoint, BACKGROUND):
                break
        if self._incarnations.get(endpoint.id) == endpoint.incarnation:
            del self._incarnations[endpoint.id]
