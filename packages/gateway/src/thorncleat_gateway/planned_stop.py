"""Drains the requests of this daemon before a planned stop.

Owns: nothing.
Relies on: the frontend to refuse requests, and on the deployment's grace period, after which the
process is killed.
"""

import asyncio
import typing as t

from . import events
from .groups.election import Election
from .requests.frontend import Frontend
from .tunnels.server import TunnelServer

# How long requests are accepted after the order to stop, until the load balancer has noticed.
ACCEPT_SECONDS = 2.5
# How long before the kill the daemon stops, for closing its sockets.
STOP_MARGIN_SECONDS = 0.7
POLL_INTERVAL_SECONDS = 0.05


def refuses_requests(elapsed: float) -> bool:
    """Return whether new requests are refused.

    :param elapsed: seconds since the order to stop.
    """
    return elapsed > ACCEPT_SECONDS


def must_stop(elapsed: float, grace: float) -> bool:
    """Return whether the daemon stops even if requests are still running.

    :param elapsed: seconds since the order to stop.
    :param grace: seconds from the order to stop to the kill.
    """
    return elapsed >= grace - STOP_MARGIN_SECONDS


class PlannedStop:
    """Drains the requests of a daemon.

    :param grace: seconds from the order to stop to the kill.
    :param clock: a clock that never goes back, in seconds.
    :param tunnels: those that this daemon carries for others, which are finished too.
    """

    def __init__(
        self,
        frontend: Frontend,
        election: Election,
        grace: float,
        clock: t.Callable[[], float],
        tunnels: TunnelServer | None = None,
    ) -> None:
        self._tunnels = tunnels
        self._frontend = frontend
        self._election = election
        self._grace = grace
        self._clock = clock

    @property
    def _running_tunnels(self) -> int:
        return self._tunnels.running if self._tunnels is not None else 0

    async def wait(self, ordered_at: float | None = None) -> None:
        """Drain the running requests; return when the daemon may stop.

        The daemon reports itself as not ready at once, but serves requests until the load balancer
        has noticed, and refuses them from then on. One that the load balancer has never known
        refuses them at once.

        :param ordered_at: time of the order to stop; None for now.
        """
        events.STOPPING.log(running=self._frontend.running)
        if ordered_at is None:
            ordered_at = self._clock()
        was_known = self._frontend.is_known
        self._frontend.stopping = True
        self._frontend.ends_at = ordered_at + self._grace - STOP_MARGIN_SECONDS
        if self._tunnels is not None:
            self._tunnels.stopping = True
        # Another daemon takes over as controller while this one still serves requests.
        self._election.stopping = True
        while not must_stop(self._clock() - ordered_at, self._grace):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if not was_known or refuses_requests(self._clock() - ordered_at):
                self._frontend.closed = True
                if not self._frontend.running and not self._running_tunnels:
                    return
