"""A planned stop: when this daemon stops taking requests, and when it ends.

A daemon that was told to stop is no longer ready at once, but the balancer and callers with open
connections go on sending for some time. Those requests are served; after :data:`LEAVE_SECONDS`
new ones are refused, so that the daemon ends as soon as the requests that run are answered.

Owns: nothing beyond one stop.
Relies on: the frontend to refuse, and on the deployment's grace, after which the process is killed.
"""

import asyncio
import typing as t

from . import events
from .groups.election import Election
from .requests.frontend import Frontend

# seconds after the order to stop in which the balancer notices: it takes a daemon out after two
# misses, one second apart. Without an end of this time requests that keep coming would be cut
LEAVE_SECONDS = 2.5
# seconds before the kill at which the daemon ends, for closing its sockets
STOP_MARGIN_SECONDS = 0.7
# seconds between two looks at the requests that run
LOOK_SECONDS = 0.05


def refuses_requests(elapsed: float) -> bool:
    """Return whether new requests are refused.

    :param elapsed: seconds since the order to stop.
    """
    return elapsed > LEAVE_SECONDS


def must_end(elapsed: float, grace: float) -> bool:
    """Return whether the daemon ends though requests may still run.

    :param elapsed: seconds since the order to stop.
    :param grace: seconds from the order to stop to the kill.
    """
    return elapsed >= grace - STOP_MARGIN_SECONDS


class PlannedStop:
    """Lets the requests of a daemon finish.

    :param grace: seconds from the order to stop to the kill.
    :param clock: seconds that never go back.
    """

    def __init__(
        self,
        frontend: Frontend,
        election: Election,
        grace: float,
        clock: t.Callable[[], float],
    ) -> None:
        self._frontend = frontend
        self._election = election
        self._grace = grace
        self._clock = clock

    async def wait(self) -> None:
        """Return when the daemon may end."""
        events.STOPPING.log(running=self._frontend.running)
        begun = self._clock()
        self._frontend.stopping = True
        # another daemon takes over the control of groups while this one still serves
        self._election.stopping = True
        while not must_end(self._clock() - begun, self._grace):
            await asyncio.sleep(LOOK_SECONDS)
            if refuses_requests(self._clock() - begun):
                self._frontend.closed = True
                if not self._frontend.running:
                    return
