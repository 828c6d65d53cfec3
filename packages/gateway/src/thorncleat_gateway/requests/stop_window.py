"""Whether a planned stop leaves time to send a request to an endpoint.

What is sent must be able to end before this daemon does. A caller whose request has not run can go
elsewhere at once, so it is refused as soon as it is known that its request can't be served.

Owns: the requests that have no answer yet, and the time of the stop.
Relies on: :mod:`..planned_stop` to set that time, and the forwarders to ask before each attempt.
"""

import asyncio
import contextlib
import dataclasses
import math
import typing as t

from ..timeouts import reschedule
from .request import Request

# How long before the stop the requests without an answer are refused, so that the refusals arrive.
REFUSAL_SECONDS = 0.1


def may_send(give_up_at: float, ends_at: float, *, is_closed: bool, must_go_on: bool) -> bool:
    """Return whether an attempt may be sent.

    Until the load balancer has noticed the stop, every request is served. After that one is sent
    only if it is given up before the daemon stops, whatever its endpoint does.

    :param give_up_at: when the request is given up.
    :param ends_at: when the daemon stops; infinite without an order to stop.
    :param is_closed: whether this daemon accepts no more requests.
    :param must_go_on: whether a refusal now helps the caller no more than the end of the attempt at
        the stop: a part of the answer is passed on, or the request may have run already.
    """
    return not is_closed or must_go_on or give_up_at <= ends_at - REFUSAL_SECONDS


@dataclasses.dataclass(eq=False)
class WatchedRequest:
    """A request that is refused when the stop leaves it no time.

    :param scope: ends the request when it expires.
    :param has_begun: returns whether the caller has got the head of the answer.
    :param is_read: whether the body is complete, so that the request may have been sent.
    """

    scope: asyncio.Timeout
    give_up_at: float
    has_begun: t.Callable[[], bool]
    is_read: bool = False

    def end(self) -> None:
        """End the request now."""
        reschedule(self.scope, asyncio.get_running_loop().time())


class StopWindow:
    """The time that a planned stop leaves to the requests of a daemon.

    :param clock: a clock that never goes back, in seconds.
    """

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._ends_at = math.inf
        self._is_closed = False
        self._watched: set[WatchedRequest] = set()

    @property
    def ends_at(self) -> float:
        """When the daemon stops; infinite without an order to stop."""
        return self._ends_at

    @ends_at.setter
    def ends_at(self, ends_at: float) -> None:
        self._ends_at = ends_at
        seconds = ends_at - REFUSAL_SECONDS - self._clock()
        asyncio.get_running_loop().call_later(max(0.0, seconds), self._end_unanswered)

    @property
    def is_closed(self) -> bool:
        """Whether this daemon accepts no more requests."""
        return self._is_closed

    @is_closed.setter
    def is_closed(self, is_closed: bool) -> None:
        self._is_closed = is_closed
        for watched in self._watched:
            if not watched.is_read and not self._may_begin(watched.give_up_at):
                watched.end()

    def may_send(self, request: Request, *, must_go_on: bool) -> bool:
        """Return whether an attempt of a request may be sent, see :func:`may_send`."""
        return may_send(
            request.give_up_at, self._ends_at, is_closed=self._is_closed, must_go_on=must_go_on
        )

    @contextlib.contextmanager
    def watch(
        self, scope: asyncio.Timeout, give_up_at: float, has_begun: t.Callable[[], bool]
    ) -> t.Iterator[WatchedRequest]:
        """End a request through its scope as soon as the stop leaves it no time."""
        watched = WatchedRequest(scope, give_up_at, has_begun)
        self._watched.add(watched)
        try:
            yield watched
        finally:
            self._watched.discard(watched)

    def _may_begin(self, give_up_at: float) -> bool:
        return may_send(give_up_at, self._ends_at, is_closed=self._is_closed, must_go_on=False)

    def _end_unanswered(self) -> None:
        """End the requests that would be cut without an answer."""
        for watched in self._watched:
            if not watched.has_begun():
                watched.end()
