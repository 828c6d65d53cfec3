"""Whether an endpoint takes requests of this daemon now, by what it has said in its answers.

An endpoint that turns a request away may name a time in which it wants no other from this daemon.
One that drains says so in every answer; the list shows that later, and not at all while the store
is away. Both hold for every way to an endpoint, so they are asked where an endpoint is chosen and
once more where a request is sent.

Owns: until when each endpoint wants no requests.
Relies on: the store's view, which keeps what endpoints say of draining beside what it reads.
"""

import typing as t

from .. import events
from ..exceptions import EndpointClosedError
from ..ports import AnswerMeta
from ..store.roster import Endpoint
from ..store.roster import Life
from ..store.view import StoreView

# that an endpoint is believed at most: it may ask for as long as it likes, but a time in another
# unit, or a time of day, must not shut it out for good
MAX_PAUSE_SECONDS = 3600.0


class _Pause(t.NamedTuple):
    """A time in which an endpoint wants no requests.

    :param until: seconds on the gateway's clock.
    """

    life: Life
    until: float


class EndpointNotices:
    """Keeps what endpoints have said to this daemon about taking requests.

    :param clock: seconds that never go back.
    """

    def __init__(self, view: StoreView, clock: t.Callable[[], float]) -> None:
        self._view = view
        self._clock = clock
        self._pauses: dict[str, _Pause] = {}

    def record_answer(self, endpoint: Endpoint, meta: AnswerMeta) -> None:
        """Take in what an answer says, which the endpoint itself has given."""
        if meta.draining and meta.speaks_for in (None, endpoint.id):
            self._view.said_draining(endpoint.life)
        if meta.retry_after:
            self._pause(endpoint.life, min(meta.retry_after, MAX_PAUSE_SECONDS))

    def _pause(self, life: Life, seconds: float) -> None:
        """Note a time; an earlier one that ends later goes on holding."""
        now = self._clock()
        until = max(now + seconds, now + self._left(life))
        # those of endpoints that nobody asks for any more
        self._pauses = {key: pause for key, pause in self._pauses.items() if pause.until > now}
        self._pauses[life.endpoint_id] = _Pause(life, until)
        events.ENDPOINT_PAUSED.log(
            endpoint=life.endpoint_id, seconds=round(seconds, 3), left=round(until - now, 3)
        )

    def accepting(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return those of some endpoints that take requests now."""
        # most of the time none pauses, and every choice asks
        if not self._pauses:
            return endpoints
        return [endpoint for endpoint in endpoints if not self.pause_left(endpoint)]

    def pause_left(self, endpoint: Endpoint) -> float:
        """Return the seconds for which an endpoint wants no requests; 0 if it takes some."""
        return self._left(endpoint.life) if self._pauses else 0.0

    def _left(self, life: Life) -> float:
        pause = self._pauses.get(life.endpoint_id)
        if pause is None or pause.life.is_over(life):
            return 0.0
        left = pause.until - self._clock()
        if left <= 0:
            del self._pauses[life.endpoint_id]
        return max(0.0, left)

    def check(self, endpoint: Endpoint) -> None:
        """Check right before a request is sent that its endpoint takes it.

        The endpoint may have spoken after it was chosen.

        :raises EndpointClosedError: if it takes none.
        """
        seconds = self.pause_left(endpoint)
        if seconds:
            raise EndpointClosedError(f"{endpoint.id!r} wants no requests for {seconds:.3f} s")
        listed = self._view.roster.endpoints.get(endpoint.id)
        if listed is not None and listed.draining and not listed.life.is_over(endpoint.life):
            raise EndpointClosedError(f"{endpoint.id!r} is draining")
