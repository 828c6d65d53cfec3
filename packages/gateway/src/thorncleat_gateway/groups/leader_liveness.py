"""Determines whether any daemon reaches the leader of a group that is being ended.

A leader that doesn't answer the controller may still answer other daemons, so they are asked to
probe it and to report.

One that refuses connections may have ended, may be finishing its requests, or may be cut off from
some daemons or from all of them. One that no daemon reaches and whose entry has expired may still
be open: the same cut can keep connections from it and entries from the store. So this shows only
that it may lose its members (:mod:`.separation`). Its requests may finish first: each daemon has to
report that it has none there. One that doesn't report may have requests there for as long as a
leader that refuses connections may work.

Owns: no state.
Relies on: the other daemons to report at once when they get a :class:`.Probe`, and again when the
endpoint answers them; reports name the requests under way and the endpoints that answered.
"""

import asyncio
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.failure_detector import FailureDetector
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
# How long an endpoint that has stopped listening may finish requests: 10 s by the platform's rules,
# and two rounds of questions after the one in which it did.
MAX_FINISH_SECONDS = 10.0 + 2 * PROBE_ROUND_SECONDS


def is_unlisted(listed: bool, list_age: float) -> bool:
    """Return whether a recent list lacks an endpoint.

    :param list_age: seconds for which the list may be out of date.
    """
    return not listed and list_age < MAX_LIST_AGE_SECONDS


def is_unreached(*, listed: bool, has_contact: bool) -> bool:
    """Return whether an endpoint that doesn't answer the controller's probes answers no daemon.

    :param listed: whether it is listed.
    :param has_contact: whether it answered any daemon since :data:`CONTACT_LOOKBACK_SECONDS`
        before the daemons were asked to probe it.
    """
    return not (listed or has_contact)


def has_stopped(*, unlisted: bool, requests: int) -> bool:
    """Return whether a leader that refuses connections has no requests left.

    :param unlisted: whether a recent list lacks it; while it is listed, its entry may be renewed.
    :param requests: number of its requests according to the latest reports.
    """
    return unlisted and requests == 0


def may_finish_requests(*, has_silent_daemon: bool, refused_seconds: float) -> bool:
    """Return whether a leader may still work on requests that no daemon reports.

    :param has_silent_daemon: whether a daemon has not reported since that it has none there.
    :param refused_seconds: seconds for which the leader has refused connections.
    """
    return has_silent_daemon and refused_seconds < MAX_FINISH_SECONDS


class Absence:
    """The failures of this daemon's calls to a leader, and which daemons have no requests there.

    A daemon that has none while the leader refuses connections gets none there later either. One
    that is no longer registered may still run.
    """

    def __init__(self, leader: Endpoint) -> None:
        self.leader = leader
        self._refuses_since: float | None = None
        self._silent: set[str] = set()
        self._idle: set[str] = set()

    @property
    def refuses_since(self) -> float | None:
        """When it refused a connection first, on the gateway's clock; None if it is silent."""
        return self._refuses_since

    @property
    def has_silent_daemon(self) -> bool:
        """Whether a daemon has not reported since that it has no requests there."""
        return bool(self._silent)

    def record(self, now: float, *, refused: bool) -> None:
        """Record that a call failed.

        :param refused: whether the leader refused the connection; else it did not answer.
        """
        if not refused:
            self._refuses_since = None
        elif self._refuses_since is None:
            self._refuses_since = now

    def update(self, daemons: t.Iterable[str], idle: t.Iterable[str]) -> None:
        """Add the daemons that are registered and those that have reported no requests there."""
        self._idle.update(idle)
        self._silent.update(daemons)
        self._silent -= self._idle


class LeaderLiveness:
    """Determines whether any daemon reaches a leader that doesn't answer this one."""

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

    async def is_lost(self, absence: Absence) -> bool:
        """Return whether a leader is unlisted, reached by no daemon, and has finished requests."""
        if not self._is_unlisted(absence.leader):
            return False
        if absence.refuses_since is None:
            return await self._is_silent(absence.leader)
        return await self._has_stopped(absence, absence.refuses_since)

    async def _is_silent(self, leader: Endpoint) -> bool:
        requested_at = self._request_probes(leader)
        if await self._orders.is_responding(leader):
            return False
        await asyncio.sleep(PROBE_ROUND_SECONDS)
        return self._is_unreached(leader, requested_at)

    async def _has_stopped(self, absence: Absence, refuses_since: float) -> bool:
        """Return whether a leader that refuses connections has stopped for all daemons."""
        leader = absence.leader
        requested_at = self._request_probes(leader)
        await asyncio.sleep(REPORT_ROUND_SECONDS)
        requests = self._load_table.request_count(leader.id)
        if not has_stopped(unlisted=self._is_unlisted(leader), requests=requests):
            return False
        await asyncio.sleep(PROBE_ROUND_SECONDS)
        idle = self._load_table.idle_reporters(leader.id, requested_at)
        absence.update(self._peers.other_daemons, idle)
        if may_finish_requests(
            has_silent_daemon=absence.has_silent_daemon,
            refused_seconds=self._clock() - refuses_since,
        ):
            return False
        return self._is_unreached(leader, requested_at)

    def _request_probes(self, leader: Endpoint) -> float:
        """Ask the other daemons to probe a leader; return the time of the request."""
        self._peers.broadcast(Probe(leader.id))
        return self._clock()

    def _is_unreached(self, leader: Endpoint, requested_at: float) -> bool:
        """Return whether a leader that does not answer this daemon answers no other either.

        :param requested_at: when the other daemons were asked to probe it.
        """
        has_contact = self._detector.has_contact_since(
            leader.id, requested_at - CONTACT_LOOKBACK_SECONDS
        )
        return is_unreached(listed=self._is_listed(leader), has_contact=has_contact)

    def _is_unlisted(self, leader: Endpoint) -> bool:
        return is_unlisted(self._is_listed(leader), self._view.entries_age())

    def _is_listed(self, leader: Endpoint) -> bool:
        return leader.id in self._view.roster.endpoints
