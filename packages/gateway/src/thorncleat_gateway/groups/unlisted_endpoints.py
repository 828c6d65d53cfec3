"""Endpoints that are no longer listed but still answer: they leave, or are cut off from the store.

A group with such a member goes on serving. Such an endpoint may also join a new group, but never
leads it.

Owns: the unlisted endpoints that are polled, their latest reports, and which of them respond.
Relies on: the roster's record of endpoints that were removed recently, and :mod:`.witnesses` for
endpoints that answer other daemons.
"""

import asyncio
import dataclasses
import typing as t

from ..exceptions import EndpointError
from ..exceptions import EndpointRefusedError
from ..exceptions import EndpointReplacedError
from ..ports import EngineReport
from ..store.roster import Endpoint
from ..store.roster import GroupId
from ..store.roster import Membership
from ..store.view import StoreView
from .group_recovery import MAX_PAUSE_SECONDS
from .jobs import Start
from .orders import PROBE_INTERVAL_SECONDS
from .orders import Orders
from .witnesses import Witnesses

# Interval between two probes of an unlisted endpoint.
POLL_INTERVAL_SECONDS = 1.0
# Longest time for which an unlisted endpoint is polled.
MAX_WATCH_SECONDS = 30.0
# How long an endpoint counts as responding after it was removed from the list.
UNLISTED_GRACE_SECONDS = 0.4


def _is_at(member: Membership | None, group: GroupId, rank: int) -> bool:
    return member is not None and member.is_at(group, rank)


class UnlistedEndpoints:
    """Polls endpoints that are no longer listed.

    :param witnesses: asked about one that is silent for longer than a sound one may be.
    :param start: starts a background job of the term.
    """

    def __init__(
        self,
        view: StoreView,
        orders: Orders,
        witnesses: Witnesses,
        clock: t.Callable[[], float],
        start: Start,
    ) -> None:
        self._view = view
        self._orders = orders
        self._witnesses = witnesses
        self._clock = clock
        self._start = start
        # The entries as last listed, updated from the endpoints' reports.
        self._watched: dict[str, Endpoint] = {}
        # Ids of the watched endpoints that have answered.
        self._responding: set[str] = set()
        self._has_begun = False

    def of_service(self, service: str) -> list[Endpoint]:
        """Return a service's unlisted endpoints that answered their latest probe."""
        listed = self._view.roster.endpoints
        return [
            endpoint
            for endpoint in self._watched.values()
            if endpoint.id in self._responding
            and endpoint.service == service
            and endpoint.id not in listed
        ]

    def has_member(self, group: GroupId, rank: int) -> bool:
        """Return whether an unlisted endpoint may still be a group's member of a rank.

        A former member that is listed again has restarted if its entry doesn't name the group.
        """
        listed = self._view.roster.endpoints
        watched = (
            endpoint for endpoint_id, endpoint in self._watched.items() if endpoint_id not in listed
        )
        if any(_is_at(endpoint.membership, group, rank) for endpoint in watched):
            return True
        since = self._clock() - UNLISTED_GRACE_SECONDS
        return any(
            removed.at >= since and _is_at(removed.endpoint.membership, group, rank)
            for removed in self._view.roster.removed.values()
        )

    def watch_removed(self) -> None:
        """Start to poll the recently removed endpoints.

        The first call includes all removed endpoints that the roster still holds, since a new
        controller doesn't know which of them respond.
        """
        since = self._clock() - UNLISTED_GRACE_SECONDS if self._has_begun else float("-inf")
        self._has_begun = True
        for endpoint_id, removed in self._view.roster.removed.items():
            is_recent = removed.at >= since
            if is_recent and removed.endpoint.fabric_domain and endpoint_id not in self._watched:
                self._watched[endpoint_id] = removed.endpoint
                self._start(self._watch(removed.endpoint))

    async def _watch(self, endpoint: Endpoint) -> None:
        deadline = self._clock() + MAX_WATCH_SECONDS
        try:
            while not self._orders.is_listed(endpoint) and self._clock() < deadline:
                report = await self._wait_report(endpoint, deadline)
                if report is None:
                    return
                self._watched[endpoint.id] = dataclasses.replace(
                    endpoint,
                    membership=report.membership,
                    staged=report.staged,
                    models=report.models,
                )
                self._responding.add(endpoint.id)
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        finally:
            self._responding.discard(endpoint.id)
            self._watched.pop(endpoint.id, None)

    async def _wait_report(self, endpoint: Endpoint, deadline: float) -> EngineReport | None:
        """Return an endpoint's report; None once it has been silent for too long, or has ended.

        One that is silent isn't used meanwhile, but its group isn't ended for a pause.
        """
        silent_since = self._clock()
        while not self._orders.is_listed(endpoint) and self._clock() < deadline:
            asked_at = self._clock()
            try:
                return await self._orders.fetch_member_report(endpoint)
            except EndpointReplacedError:
                return None
            except EndpointRefusedError:
                if await self._witnesses.confirm_lost(endpoint):
                    return None
            except EndpointError:
                if self._orders.was_late_since(asked_at):
                    silent_since += self._clock() - asked_at
            self._responding.discard(endpoint.id)
            is_overdue = self._clock() - silent_since >= MAX_PAUSE_SECONDS
            if is_overdue and await self._witnesses.confirm_lost(endpoint):
                return None
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        return None
