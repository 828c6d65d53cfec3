"""Requests to plain services: the whole answer, or a refusal that says whether it ran."""

import dataclasses
import typing as t

from ..exceptions import AttemptError
from ..exceptions import Ran
from ..peers.loads import Loads
from ..peers.pulse import Pulse
from ..ports import Headers
from ..ports import Wire
from ..store.roster import Endpoint
from .dispatch import Dispatcher
from .request import Repeats
from .request import Request
from .request import log_failed
from .upstream import Upstream
from .upstream import within

RETRY_AFTER_SECONDS = 0.3
# a repeatable request goes to another endpoint after this many times its target
PATIENCE = 0.8


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """An endpoint's whole answer."""

    status: int
    headers: Headers
    body: bytes


class PlainRequests:
    """Sends requests to the endpoints of plain services."""

    def __init__(
        self,
        wire: Wire,
        upstream: Upstream,
        dispatcher: Dispatcher,
        loads: Loads,
        repeats: Repeats,
        pulse: Pulse,
        clock: t.Callable[[], float],
    ) -> None:
        self._wire = wire
        self._upstream = upstream
        self._dispatcher = dispatcher
        self._loads = loads
        self._repeats = repeats
        self._pulse = pulse
        self._clock = clock

    async def serve(self, request: Request) -> PlainAnswer:
        """Return an endpoint's answer.

        :raises RefusalError: if there is none.
        """
        kept: PlainAnswer | None = None
        while True:
            one = self._dispatcher.plain(request.service.name, request.tried)
            if one is None and kept is not None:
                return kept
            if one is None:
                raise request.refusal("no endpoint", RETRY_AFTER_SECONDS)
            try:
                kept = await self._attempt(request, one)
                self._pulse.heard(one.id, self._clock())
                self._dispatcher.answered(one.id, well=kept.status < 500)
                if kept.status < 500 or not self._again(request):
                    return kept
                error = AttemptError(f"status {kept.status}", Ran.MAYBE)
            except AttemptError as failure:
                error = failure
                self._dispatcher.answered(one.id, well=False)
                if not error.sent:
                    self._dispatcher.avoid(one.id)
            request.failed(one, error)
            log_failed(request, one, error, self._clock())
            if self._clock() >= request.until:
                raise request.refusal("out of time", RETRY_AFTER_SECONDS)
            if request.may_have_run and not request.route.repeatable:
                raise request.refusal(error.cause, None)
            if not self._repeats.take(request):
                if kept is not None:
                    return kept
                raise request.refusal(error.cause, RETRY_AFTER_SECONDS)

    def _again(self, request: Request) -> bool:
        """Tell whether a failure of the endpoint's own may be tried elsewhere."""
        more = request.sends + 1 < request.route.max_attempts
        return request.route.repeatable and more and self._clock() < request.until

    async def _attempt(self, request: Request, one: Endpoint) -> PlainAnswer:
        left = request.until - self._clock()
        if self._again(request):
            left = min(left, PATIENCE * request.route.target)
        with self._loads.running(one.id):
            answer: PlainAnswer = await within(left, self._exchange(request, one))
        return answer

    async def _exchange(self, request: Request, one: Endpoint) -> PlainAnswer:
        headers = request.forwarded(self._wire, one, self._clock(), None)
        async with self._upstream.open(
            one.address, request.method, request.path, headers, request.body, request.head.id
        ) as exchange:
            body = await exchange.body()
            return PlainAnswer(exchange.status, self._wire.returned(exchange.headers), body)
