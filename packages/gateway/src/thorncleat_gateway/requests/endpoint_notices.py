"""Tracks the endpoints whose answers ask this daemon for a pause, or say that they drain.

Owns: until when each endpoint pauses.
Relies on: the store's view, which marks draining endpoints before the list shows them as such.
"""

import typing as t

from .. import events
from ..exceptions import EndpointNotAcceptingError
from ..ports import AnswerMeta
from ..store.roster import Endpoint
from ..store.roster import Incarnation
from ..store.view import StoreView

# Longest pause that an endpoint gets, so that a time in the wrong unit doesn't exclude it for good.
MAX_PAUSE_SECONDS = 3600.0


class _Pause(t.NamedTuple):
    """A pause that an endpoint has asked for.

    :param until: when the pause ends, on the gateway's clock.
    """

    incarnation: Incarnation
    until: float


class EndpointNotices:
    """The pauses that endpoints have asked this daemon for.

    :param clock: monotonic, in seconds.
    """

    def __init__(self, view: StoreView, clock: t.Callable[[], float]) -> None:
        self._view = view
        self._clock = clock
        self._pauses: dict[str, _Pause] = {}

    def record_answer(self, endpoint: Endpoint, meta: AnswerMeta) -> None:
        """Record the pause that an answer of the endpoint asks for, and whether it is draining."""
        if meta.draining and meta.speaks_for in (None, endpoint.id):
            self._view.mark_draining(endpoint.incarnation)
        if meta.retry_after:
            self._pause(endpoint.incarnation, min(meta.retry_after, MAX_PAUSE_SECONDS))

    def _pause(self, incarnation: Incarnation, seconds: float) -> None:
        """Record a pause; it doesn't shorten a running one."""
        now = self._clock()
        until = max(now + seconds, now + self._seconds_left(incarnation))
        # Pauses of removed endpoints are never looked up, so they are deleted here.
        self._pauses = {key: pause for key, pause in self._pauses.items() if pause.until > now}
        self._pauses[incarnation.endpoint_id] = _Pause(incarnation, until)
        events.ENDPOINT_PAUSED.log(
            endpoint=incarnation.endpoint_id, seconds=round(seconds, 3), left=round(until - now, 3)
        )

    def accepting(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that accept requests now."""
        # Fast path, since this runs for every choice of an endpoint.
        if not self._pauses:
            return endpoints
        return [endpoint for endpoint in endpoints if not self.pause_left(endpoint)]

    def pause_left(self, endpoint: Endpoint) -> float:
        """Return the seconds left of an endpoint's pause; 0 if it doesn't pause."""
        return self._seconds_left(endpoint.incarnation) if self._pauses else 0.0

    def _seconds_left(self, incarnation: Incarnation) -> float:
        pause = self._pauses.get(incarnation.endpoint_id)
        if pause is None or pause.incarnation.is_superseded_by(incarnation):
            return 0.0
        left = pause.until - self._clock()
        if left <= 0:
            del self._pauses[incarnation.endpoint_id]
        return max(0.0, left)

    def check(self, endpoint: Endpoint) -> None:
        """Check right before a request is sent that its endpoint still accepts requests.

        The endpoint may have asked for a pause, or begun to drain, since it was chosen.

        :raises EndpointNotAcceptingError: if it doesn't.
        """
        seconds = self.pause_left(endpoint)
        if seconds:
            raise EndpointNotAcceptingError(
                f"{endpoint.id!r} wants no requests for {seconds:.3f} s"
            )
        listed = self._view.roster.endpoints.get(endpoint.id)
        if (
            listed is not None
            and listed.draining
            and not listed.incarnation.is_superseded_by(endpoint.incarnation)
        ):
            raise EndpointNotAcceptingError(f"{endpoint.id!r} is draining")
