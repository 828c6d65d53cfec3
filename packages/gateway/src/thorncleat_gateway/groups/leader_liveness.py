"""Determines whether the leader of a group that is being ended is dead.

A leader that doesn't answer the controller may still answer other daemons, so they are asked to
probe it and to report.

One that refuses connections may have ended, may be draining and finishing its requests, or may be
refused to this daemon alone. One that a recent list shows as not draining has ended once every
daemon has reported since that it has no request there, and none gets an answer of it; for others
the list has to show that they are gone.

Owns: no state.
Relies on: the other daemons to report at once when they get a :class:`.Probe`, and again when the
endpoint answers them; reports name the requests under way and the endpoints that answered.
"""

import asyncio
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.failure_detector import FailureDetector
from ..peers.load_reporter import contact_ttl_seconds
from ..peers.load_table import LoadTable
from ..peers.messages import Probe
from ..store.roster import Endpoint
from ..store.view import StoreView
from .orders import PROBE_INTERVAL_SECONDS
from .orders import Orders

# Age up to which the list proves that an endpoint missing from it is unlisted.
MAX_LIST_AGE_SECONDS = 2.0
# How long before a probe an endpoint's contact with any daemon still counts.
CONTACT_LOOKBACK_SECONDS = 1.0
# How long the other daemons may take to probe an endpoint and to report.
PROBE_ROUND_SECONDS = 2 * PROBE_INTERVAL_SECONDS
# How long the other daemons may take to report their requests under way: a datagram each way and
# one turn of the other daemon's event loop.
REPORT_ROUND_SECONDS = 0.1
# Longest wait until reports no longer name an endpoint's earlier contacts. With many daemons
# reports are rare and this would take longer; the list shows sooner that an endpoint is gone.
MAX_CONTACT_TTL_SECONDS = 1.0


def is_unlisted(listed: bool, list_age: float) -> bool:
    """Return whether a recent list lacks an endpoint.

    :param list_age: seconds for which the list may be out of date.
    """
    return not listed and list_age < MAX_LIST_AGE_SECONDS


def is_dead(*, listed: bool, has_contact: bool) -> bool:
    """Return whether an endpoint that doesn't answer the controller's probes is dead.

    :param listed: whether it is listed.
    :param has_contact: whether it answered any daemon since :data:`CONTACT_LOOKBACK_SECONDS`
        before the daemons were asked to probe it.
    """
    return not (listed or has_contact)


def is_idle(*, requests: int, silent_daemons: t.Collection[str]) -> bool:
    """Return whether an endpoint has no requests from any daemon.

    :param requests: number of its requests according to the latest reports.
    :param silent_daemons: daemons that have not reported since the probe; they may have requests
        there.
    """
    return requests == 0 and not silent_daemons


def is_possibly_leaving(listed: Endpoint | None, list_age: float) -> bool:
    """Return whether an endpoint may have stopped listening without having ended.

    :param listed: its entry; None if it isn't listed, which may be so while it leaves.
    :param list_age: seconds for which the list may be out of date.
    """
    return listed is None or listed.draining or list_age >= MAX_LIST_AGE_SECONDS


class LeaderLiveness:
    """Determines whether a silent leader is dead."""

    def __init__(
        self,
        view: StoreView,
        orders: Orders,
        detector: FailureDetector,
        load_table: LoadTable,
        peers: PeerChannel,
        clock: t.Callable[[], float],
    ) -> None:
        self._view = view
        self._orders = orders
        self._detector = detector
        self._load_table = load_table
        self._peers = peers
        self._clock = clock

    async def wait_dead(self, leader: Endpoint) -> bool:
        """Wait until a silent leader is dead or answers.

        :returns: True if it is dead, False if it answers.
        """
        while True:
            if is_unlisted(self._is_listed(leader), self._view.entries_age()):
                requested_at = self._request_probes(leader)
                if await self._orders.is_responding(leader):
                    return False
                await asyncio.sleep(PROBE_ROUND_SECONDS)
                if self._is_dead(leader, requested_at):
                    return True
            elif await self._orders.is_responding(leader):
                return False
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def has_ended(self, leader: Endpoint) -> bool:
        """Return whether a leader that refuses connections has ended.

        It may also be finishing its requests, or be unreachable from this daemon only. It has
        ended once all daemons report no requests there and none gets an answer. If it may be
        leaving, or a daemon does not report, it must also be unlisted.
        """
        requested_at = self._request_probes(leader)
        await asyncio.sleep(REPORT_ROUND_SECONDS)
        silent_daemons = self._peers.other_daemons - self._load_table.reporters_since(requested_at)
        requests = self._load_table.request_count(leader.id)
        listed = self._view.roster.endpoints.get(leader.id)
        is_leader_idle = is_idle(requests=requests, silent_daemons=silent_daemons)
        if is_leader_idle and not is_possibly_leaving(listed, self._view.entries_age()):
            return not await self._is_responding_to_others(leader)
        if requests or not is_unlisted(listed is not None, self._view.entries_age()):
            return False
        await asyncio.sleep(PROBE_ROUND_SECONDS)
        return self._is_dead(leader, requested_at)

    async def _is_responding_to_others(self, leader: Endpoint) -> bool:
        """Return whether a leader that refuses this daemon's connections answers another daemon.

        Reports name an endpoint for some time after its last answer, so the probe is sent only
        after that time.
        """
        await asyncio.sleep(
            min(contact_ttl_seconds(self._peers.report_interval_seconds()), MAX_CONTACT_TTL_SECONDS)
        )
        requested_at = self._request_probes(leader)
        await asyncio.sleep(PROBE_ROUND_SECONDS)
        return self._detector.has_contact_since(leader.id, requested_at)

    def _request_probes(self, leader: Endpoint) -> float:
        """Ask the other daemons to probe a leader; return the time of the request."""
        self._peers.broadcast(Probe(leader.id))
        return self._clock()

    def _is_dead(self, leader: Endpoint, requested_at: float) -> bool:
        """Return whether a leader that does not answer this daemon is dead.

        :param requested_at: when the other daemons were asked to probe it.
        """
        has_contact = self._detector.has_contact_since(
            leader.id, requested_at - CONTACT_LOOKBACK_SECONDS
        )
        return is_dead(listed=self._is_listed(leader), has_contact=has_contact)

    def _is_listed(self, leader: Endpoint) -> bool:
        return leader.id in self._view.roster.endpoints
