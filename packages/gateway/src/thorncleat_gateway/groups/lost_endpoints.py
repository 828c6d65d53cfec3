"""Endpoints that did not answer the controller; no group is formed with them until they do.

Only those that are certainly dead, and not by the controller's silence alone, end the group that
they are in: the controller may be the one that is cut off.

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

    @property
    def proves_death(self) -> bool:
        """Whether more than the controller's own silence shows that the endpoint is lost."""
        return self in (
            LostCause.PROCESS_ENDED,
            LostCause.STARTED_AGAIN,
            LostCause.SILENT_UNDER_SUSPICION,
        )


class LostEndpoints:
    """Holds which endpoints are lost and polls them until they answer.

    :param start: starts a background job of the term.
    :param wake: makes the controller plan again.
    """

    def __init__(
        self,
        view: StoreView,
        orders: Orders,
        start: Start,
        wake: t.Callable[[], None],
        clock: t.Callable[[], float],
    ) -> None:
        self._view = view
        self._orders = orders
        self._start = start
        self._wake = wake
        self._clock = clock
        self._incarnations: dict[str, Incarnation] = {}
        # Those of them that are certainly dead.
        self._dead: dict[str, Incarnation] = {}
        # When each was lost, and when its silence began.
        self._lost_at: dict[str, float] = {}
        self._silent_since: dict[str, float] = {}

    def __contains__(self, endpoint: Endpoint) -> bool:
        return _holds(self._incarnations, endpoint)

    def is_dead(self, endpoint: Endpoint) -> bool:
        """Return whether a lost endpoint is certainly dead, so that its group must end."""
        return endpoint in self and _holds(self._dead, endpoint)

    def discard_unlisted(self) -> None:
        """Discard lost endpoints that are no longer listed."""
        listed = self._view.roster.endpoints
        for endpoint_id in [key for key in self._incarnations if key not in listed]:
            self._discard(endpoint_id)

    def silent_since(self, endpoints: t.Iterable[Endpoint]) -> dict[str, float]:
        """Return since when those of some endpoints have been silent that are lost, by id."""
        return {
            endpoint.id: self._silent_since[endpoint.id]
            for endpoint in endpoints
            if endpoint in self and endpoint.id in self._silent_since
        }

    def mark_lost(
        self, endpoint: Endpoint, cause: LostCause, silent_since: float | None = None
    ) -> None:
        """Mark an endpoint as lost until it answers.

        :param silent_since: when its silence began; None if it did answer, or if that isn't known.
        """
        is_known = endpoint in self and (self.is_dead(endpoint) or not cause.proves_death)
        if is_known:
            return
        was_lost = endpoint in self
        if silent_since is not None:
            self._silent_since.setdefault(endpoint.id, silent_since)
        if cause.proves_death:
            self._dead[endpoint.id] = endpoint.incarnation
        self._incarnations[endpoint.id] = endpoint.incarnation
        events.ENDPOINT_LOST.log(endpoint=endpoint.id, cause=cause.value)
        self._wake()
        if not was_lost:
            self._lost_at[endpoint.id] = self._clock()
            self._start(self._poll_until_responding(endpoint))

    async def _poll_until_responding(self, endpoint: Endpoint) -> None:
        """Poll a lost endpoint while it is listed, until it answers."""
        report = None
        while endpoint in self and endpoint.id in self._view.roster.endpoints:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            report = await self._orders.probe(endpoint, BACKGROUND)
            if report is not None:
                break
        if self._incarnations.get(endpoint.id) == endpoint.incarnation:
            if report is not None:
                self._log_regained(endpoint, restarted=self._orders.has_restarted(endpoint, report))
            self._discard(endpoint.id)

    def mark_answering(self, endpoints: t.Iterable[Endpoint]) -> None:
        """Mark endpoints as no longer lost, since they answer as the incarnations they were."""
        for endpoint in endpoints:
            if endpoint in self:
                self._log_regained(endpoint, restarted=False)
                self._discard(endpoint.id)

    def _log_regained(self, endpoint: Endpoint, *, restarted: bool) -> None:
        seconds = round(self._clock() - self._lost_at[endpoint.id], 3)
        events.ENDPOINT_REGAINED.log(endpoint=endpoint.id, seconds=seconds, restarted=restarted)

    def _discard(self, endpoint_id: str) -> None:
        for by_id in (self._incarnations, self._dead, self._lost_at, self._silent_since):
            by_id.pop(endpoint_id, None)


def _holds(incarnations: t.Mapping[str, Incarnation], endpoint: Endpoint) -> bool:
    """Return whether an endpoint's incarnation is among some, by id."""
    incarnation = incarnations.get(endpoint.id)
    return incarnation is not None and not incarnation.is_superseded_by(endpoint.incarnation)
