"""What an attempt says of crashes: whether its endpoint crashed under it, or lives on.

Owns: nothing; what counts as a crash is a pure function.
Relies on: :mod:`.quarantine` for what follows from the crashes, and on whoever listens to tell the
other daemons (:mod:`.crash_reporter`).
"""

import typing as t

from ..exceptions import AttemptError
from ..exceptions import ConnectionBreak
from ..peers.failure_detector import FailureDetector
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from ..store.view import StoreView
from .fingerprint import Fingerprint
from .quarantine import MAY_HAVE_WAITED_POINTS
from .quarantine import RAN_POINTS
from .quarantine import Involvement
from .quarantine import Quarantine
from .request import Request

# without anything from an endpoint, after which its end has another cause than a request that runs
# there: a group that lacks a member stands still for seconds before it breaks
STILL_SECONDS = 1.0
# in which bytes that an endpoint sent before its end may still arrive
ARRIVAL_SECONDS = 0.25


def points(broken: ConnectionBreak | None, *, streaming: bool, expected: bool, still: bool) -> int:
    """Return what a failed attempt counts against its request; 0 if it shows no crash.

    An endpoint of a plain service sends the head only when the answer is there, so there a request
    without one counts as running.

    :param expected: whether the endpoint was about to end anyway. That its group is being ended
        says nothing: the controller ends it some milliseconds after its leader's crash.
    :param still: whether nothing had come from the endpoint for :data:`STILL_SECONDS`.
    """
    if broken is None or expected or still:
        return 0
    if broken is ConnectionBreak.BEFORE_HEAD and streaming:
        return MAY_HAVE_WAITED_POINTS
    return RAN_POINTS


class CrashListener(t.Protocol):
    """Whoever is told of what this daemon has seen."""

    def endpoint_crashed(
        self, incarnation: Incarnation, at: float, requests: t.Mapping[Fingerprint, Involvement]
    ) -> None:
        """Take in that requests were under way at an endpoint when it crashed."""
        ...

    def endpoint_lives(self, incarnation: Incarnation, at: float) -> None:
        """Take in that an endpoint that seemed to have crashed lived later."""
        ...

    def request_served(self, fingerprint: Fingerprint, at: float) -> None:
        """Take in that a request was served that had been under way at a crash."""
        ...


class CrashWatch:
    """Notes what this daemon's attempts say of crashes.

    :param clock: seconds that never go back.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        view: StoreView,
        detector: FailureDetector,
        listener: CrashListener,
        clock: t.Callable[[], float],
    ) -> None:
        self._quarantine = quarantine
        self._view = view
        self._detector = detector
        self._listener = listener
        self._clock = clock

    def held_for(self, request: Request) -> float:
        """Return the seconds for which a request is not to be sent; 0 if it may be."""
        if not self._quarantine.holds_any:
            return 0.0
        return self._quarantine.held_for(request.fingerprint)

    def is_suspect(self, request: Request) -> bool:
        """Return whether a request was under way at a crash."""
        return not self._quarantine.is_empty and self._quarantine.is_suspect(request.fingerprint)

    def keeps_from(self, request: Request, endpoints: t.Callable[[], t.Iterable[Endpoint]]) -> bool:
        """Return whether a request is to be sent to none of the endpoints that could serve it.

        :param endpoints: returns them; asked only for a request that was at crashes.

        One that was at two crashes doesn't get the last endpoint until others are back, so that
        other requests are still served: of a plain service with 3 endpoints that one request ends,
        all requests in place of 67 in 100 (virtual time, 10 seeds of 8 s).
        """
        if not self.is_suspect(request) or not self._quarantine.spares_last(request.fingerprint):
            return False
        living = sum(not self._quarantine.knows(endpoint.incarnation) for endpoint in endpoints())
        return living <= 1

    def failed(self, request: Request, endpoint: Endpoint, failure: AttemptError) -> None:
        """Note a failed attempt, which may have ended with its endpoint's crash."""
        now = self._clock()
        found = points(
            failure.broken,
            streaming=request.service.engine is not None,
            expected=self._is_expected(endpoint),
            still=not self._heard_lately(endpoint, request, now),
        )
        if not found:
            return
        ran = now - request.head_at if request.head_at else 0.0
        told = {request.fingerprint: Involvement(found, ran)}
        if self._quarantine.note(endpoint.incarnation, now, told):
            self._listener.endpoint_crashed(endpoint.incarnation, now, told)

    def answers(self, endpoint: Endpoint, sent_at: float) -> None:
        """Note that an endpoint began to answer an attempt.

        :param sent_at: when the attempt was sent; the endpoint lived then or later.
        """
        if self._quarantine.is_empty or not self._quarantine.knows(endpoint.incarnation):
            return
        if self._quarantine.endpoint_lives(endpoint.incarnation, sent_at):
            self._listener.endpoint_lives(endpoint.incarnation, sent_at)

    def served(self, request: Request, endpoint: Endpoint) -> None:
        """Note that a request was answered whole by an endpoint, which survived it."""
        if self._quarantine.is_empty:
            return
        now = self._clock()
        self.answers(endpoint, now - ARRIVAL_SECONDS)
        if not self._quarantine.is_suspect(request.fingerprint):
            return
        self._quarantine.request_served(request.fingerprint, now)
        self._listener.request_served(request.fingerprint, now)

    def _is_expected(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is leaving."""
        listed = self._view.roster.endpoints.get(endpoint.id)
        return listed is None or listed.draining

    def _heard_lately(self, endpoint: Endpoint, request: Request, now: float) -> bool:
        begin = now - STILL_SECONDS
        return request.sent_at >= begin or self._detector.has_contact_since(endpoint.id, begin)
