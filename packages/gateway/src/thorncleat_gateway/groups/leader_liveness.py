"""Whether the leader of a group that is being ended is dead, though it never said that it left.

A leader that the controller can't reach may still answer requests of other daemons. It counts as
dead only once it is not listed, does not answer the controller, and no daemon hears it.

One that refuses connections may have ended, may be leaving and finish the requests that it has, or
may be refused to this daemon alone, on the way. One that a recent list shows as not leaving has
ended once every daemon has said since that it has no request there, and none gets an answer of it;
for others the list has to show that they are gone.

Owns: no state.
Relies on: the other daemons' reporting at once when they get a :class:`.Probe`, and again when the
endpoint answers them; reports name the requests under way and the endpoints that answered.
"""

import asyncio
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.datagrams import Probe
from ..peers.failure_detector import FailureDetector
from ..peers.load_reporter import contact_ttl_seconds
from ..peers.load_table import LoadTable
from ..store.roster import Endpoint
from ..store.view import StoreView
from .orders import ASK_SECONDS
from .orders import Orders

# how old the list may be for an endpoint that is missing from it to count as unlisted, in
# seconds
LIST_AGE_SECONDS = 2.0
# how long before a probe an answer to any daemon still counts as one to it, in seconds
HEARD_BEFORE_SECONDS = 1.0
# for the other daemons to probe an endpoint and to report, in seconds
PROBED_SECONDS = 2 * ASK_SECONDS
# for the other daemons to report what they have under way, in seconds: a datagram each way and
# one turn of the other daemon's loop
REPORTED_SECONDS = 0.1
# that answers from before a question are waited out, in seconds; where many daemons report rarely
# that takes longer, and the list shows sooner that an endpoint is gone
LONGEST_FADE_SECONDS = 1.0


def is_unlisted(listed: bool, list_age: float) -> bool:
    """Return whether a recent list lacks an endpoint.

    :param list_age: seconds for which the list may have changed unnoticed.
    """
    return not listed and list_age < LIST_AGE_SECONDS


def is_dead(*, listed: bool, heard: bool) -> bool:
    """Return whether an endpoint that all daemons were asked for, and that is silent here, is dead.

    :param listed: whether it is listed again.
    :param heard: whether it answered any daemon since :data:`HEARD_BEFORE_SECONDS` before.
    """
    return not (listed or heard)


def is_idle(*, requests: int, silent_daemons: t.Collection[str]) -> bool:
    """Return whether an endpoint has no request left of any daemon.

    :param requests: that it has, by the newest reports.
    :param silent_daemons: those that have not reported since it was asked for; they may have
        requests there.
    """
    return requests == 0 and not silent_daemons


def may_be_leaving(listed: Endpoint | None, list_age: float) -> bool:
    """Return whether an endpoint may have stopped listening without having ended.

    :param listed: its entry; None without one, as for some that leave.
    :param list_age: seconds for which the list may have changed unnoticed.
    """
    return listed is None or listed.draining or list_age >= LIST_AGE_SECONDS


class LeaderLiveness:
    """Finds out whether a silent leader is dead or answers again."""

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
        """Wait while a leader is silent.

        :returns: True once it is dead, False as soon as it answers.
        """
        while True:
            if is_unlisted(self._listed(leader), self._view.age()):
                asked_at = self._ask_others(leader)
                if await self._orders.answers(leader):
                    return False
                await asyncio.sleep(PROBED_SECONDS)
                if self._is_dead(leader, asked_at):
                    return True
            elif await self._orders.answers(leader):
                return False
            await asyncio.sleep(ASK_SECONDS)

    async def has_ended(self, leader: Endpoint) -> bool:
        """Return whether a leader that refuses connections has ended.

        It hasn't while a daemon reports requests there. Where it may be leaving, or a daemon
        doesn't report that may have some, only the list and the silence towards all daemons count,
        as for a leader that doesn't answer at all.
        """
        asked_at = self._ask_others(leader)
        await asyncio.sleep(REPORTED_SECONDS)
        silent = self._peers.other_daemons - self._load_table.reporters_since(asked_at)
        requests = self._load_table.request_count(leader.id)
        listed = self._view.roster.endpoints.get(leader.id)
        idle = is_idle(requests=requests, silent_daemons=silent)
        if idle and not may_be_leaving(listed, self._view.age()):
            return not await self._answers_others(leader)
        if requests or not is_unlisted(listed is not None, self._view.age()):
            return False
        await asyncio.sleep(PROBED_SECONDS)
        return self._is_dead(leader, asked_at)

    async def _answers_others(self, leader: Endpoint) -> bool:
        """Return whether a leader that refuses this daemon's connections answers another one's.

        Reports go on naming an endpoint for some time after its last answer, which may have come
        before its end; so the question is asked only after that time.
        """
        await asyncio.sleep(
            min(contact_ttl_seconds(self._peers.report_interval_seconds()), LONGEST_FADE_SECONDS)
        )
        asked_at = self._ask_others(leader)
        await asyncio.sleep(PROBED_SECONDS)
        return self._detector.has_contact_since(leader.id, asked_at)

    def _ask_others(self, leader: Endpoint) -> float:
        """Ask the other daemons for a leader; return the time at which they were asked."""
        self._peers.broadcast(Probe(leader.id))
        return self._clock()

    def _is_dead(self, leader: Endpoint, asked_at: float) -> bool:
        """Return whether a leader that does not answer here is dead.

        :param asked_at: when the other daemons were asked for it.
        """
        heard = self._detector.has_contact_since(leader.id, asked_at - HEARD_BEFORE_SECONDS)
        return is_dead(listed=self._listed(leader), heard=heard)

    def _listed(self, leader: Endpoint) -> bool:
        return leader.id in self._view.roster.endpoints
