"""Whether the leader of a group that is being ended is dead, though it never said that it left.

A leader that the controller can't reach may still answer requests of other daemons. It counts as
dead only once it is not listed, does not answer the controller, and no daemon hears it.

Owns: no state.
Relies on: the other daemons' asking the endpoint too when they get a :class:`.Probe`, and on their
next load reports, which name the endpoints that answered.
"""

import asyncio
import typing as t

from ..peers.datagrams import PeerChannel
from ..peers.datagrams import Probe
from ..peers.failure_detector import FailureDetector
from ..store.roster import Endpoint
from ..store.view import StoreView
from .orders import ASK_SECONDS
from .orders import Orders

# how old the list may be for an endpoint that is missing from it to count as unlisted, in
# seconds; chosen, not measured
LIST_AGE_SECONDS = 2.0
# how long before a probe an answer to any daemon still counts as one to it, in seconds; chosen,
# not measured
HEARD_BEFORE_SECONDS = 1.0
# for the other daemons to probe an endpoint and to report, in seconds; chosen, not measured
PROBED_SECONDS = 2 * ASK_SECONDS


def is_unlisted(listed: bool, list_age: float) -> bool:
    """Return whether a recent list lacks an endpoint.

    :param list_age: seconds for which the list may have changed unnoticed.
    """
    return not listed and list_age < LIST_AGE_SECONDS


def is_dead(*, listed: bool, answered: bool, heard: bool) -> bool:
    """Return whether an endpoint that all daemons were asked for is dead.

    :param listed: whether it is listed again.
    :param answered: whether it answered the controller.
    :param heard: whether it answered any daemon since :data:`HEARD_BEFORE_SECONDS` before.
    """
    return not (listed or answered or heard)


class LeaderLiveness:
    """Finds out whether a silent leader is dead or answers again."""

    def __init__(
        self,
        view: StoreView,
        orders: Orders,
        detector: FailureDetector,
        peers: PeerChannel,
        clock: t.Callable[[], float],
    ) -> None:
        self._view = view
        self._orders = orders
        self._detector = detector
        self._peers = peers
        self._clock = clock

    async def wait_dead(self, leader: Endpoint) -> bool:
        """Wait while a leader is silent.

        :returns: True once it is dead, False as soon as it answers.
        """
        while True:
            if is_unlisted(self._listed(leader), self._view.age()):
                asked_at = self._clock()
                self._peers.tell_all(Probe(leader.id))
                answered = await self._orders.answers(leader)
                await asyncio.sleep(PROBED_SECONDS)
                if answered:
                    return False
                heard = self._detector.heard_since(leader.id, asked_at - HEARD_BEFORE_SECONDS)
                if is_dead(listed=self._listed(leader), answered=answered, heard=heard):
                    return True
            elif await self._orders.answers(leader):
                return False
            await asyncio.sleep(ASK_SECONDS)

    def _listed(self, leader: Endpoint) -> bool:
        return leader.id in self._view.roster.endpoints
